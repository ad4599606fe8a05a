//! HTTP/1.1 server loop shared by the simulated services.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{net::TcpListener, task::JoinSet};

pub(crate) type Reply = Response<Full<Bytes>>;

/// Reason why a handler returns no response.
pub(crate) enum HandlerError {
    /// The connection is closed without a response.
    Disconnect,
}

/// Serves connections until the task is aborted.
///
/// `on_connect` runs before a connection is served and returns a guard that
/// is held until the connection ends, or `None` to refuse the connection.
pub(crate) async fn serve<G, C, H, CF, HF>(
    listener: TcpListener,
    on_connect: C,
    handler: H,
) where
    G: Send + 'static,
    C: Fn() -> CF + Send + Sync + 'static,
    CF: Future<Output = Option<G>> + Send,
    H: Fn(Request<Incoming>) -> HF + Send + Sync + 'static,
    HF: Future<Output = Result<Reply, HandlerError>> + Send + 'static,
{
    let on_connect = Arc::new(on_connect);
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        while connections.try_join_next().is_some() {}
        let on_connect = Arc::clone(&on_connect);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let Some(_guard) = on_connect().await else { return };
            let service = service_fn(|req| {
                let response = handler(req);
                async move {
                    match response.await {
                        Ok(reply) => Ok(reply),
                        Err(HandlerError::Disconnect) => Err("disconnect"),
                    }
                }
            });
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Returns a response with a JSON document.
pub(crate) fn json(value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("serializable value");
    Response::builder()
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("valid response")
}

/// Returns a response with a status and no body.
pub(crate) fn status(code: StatusCode) -> Reply {
    Response::builder()
        .status(code)
        .body(Full::new(Bytes::new()))
        .expect("valid response")
}

/// Reads a JSON request body; returns `None` if it is malformed.
pub(crate) async fn read_json<T: serde::de::DeserializeOwned>(
    req: Request<Incoming>,
) -> Option<T> {
    use http_body_util::BodyExt;
    let body = req.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
