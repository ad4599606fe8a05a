//! HTTP requests to instances.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, time::timeout};

use crate::api::{ErrorResponse, ReplicaResponse, StatusResponse};

/// Largest response that the tool accepts. A configuration of the design size
/// takes about 15 MB.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// A request to one instance.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

impl Call {
    pub(crate) fn get(path: impl Into<String>) -> Call {
        Call {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    pub(crate) fn post(path: impl Into<String>, body: Bytes) -> Call {
        let json = ("content-type", "application/json".to_owned());
        let headers = vec![json];
        Call { method: Method::POST, headers, body, ..Call::get(path) }
    }
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

impl Reply {
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Parses the body; `None` if it has another form.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the error in the body as text.
    pub(crate) fn error_text(&self) -> String {
        if let Some(e) = self.parse::<ErrorResponse>() {
            return format!("{} ({})", e.message, e.reason);
        }
        // Refusals of replica changes have a body of another type.
        match self.parse::<ReplicaResponse>() {
            Some(refused) if !refused.message.is_empty() => refused.message,
            _ => format!("HTTP status {}", self.status),
        }
    }
}

/// Failure to get a complete response.
#[derive(Debug)]
pub(crate) struct CallError {
    /// Whether the instance may have received the request.
    pub(crate) may_have_arrived: bool,
    text: String,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// Sends a request to one instance and reads the whole response.
pub(crate) async fn call(
    address: SocketAddr,
    call: &Call,
    limit: Duration,
) -> Result<Reply, CallError> {
    let fail = |may_have_arrived, text: String| CallError {
        may_have_arrived,
        text: format!("{address}: {text}"),
    };
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(fail(false, e.to_string())),
        Err(_) => return Err(fail(false, "no connection in time".into())),
    };
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header("host", address.to_string());
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    let request = request
        .body(Full::new(call.body.clone()))
        .map_err(|e| fail(false, e.to_string()))?;
    let exchange = async {
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await?;
        let exchange = async {
            let response = sender.send_request(request).await?;
            let status = response.status().as_u16();
            let body = Limited::new(response, MAX_RESPONSE_BYTES);
            let body = body.collect().await?.to_bytes();
            Ok(Reply { status, body })
        };
        // The connection has to be polled while the exchange runs. It may
        // end first, because the instance closes it after its response.
        tokio::pin!(exchange);
        tokio::select! {
            reply = &mut exchange => reply,
            _ = connection => exchange.await,
        }
    };
    let result: Result<_, Box<dyn std::error::Error + Send + Sync>> =
        match timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => return Err(fail(true, "no response in time".into())),
        };
    result.map_err(|e| fail(true, e.to_string()))
}

/// Requests the status of an instance; `None` if there is no valid response.
pub(crate) async fn status(
    address: SocketAddr,
    limit: Duration,
) -> Option<StatusResponse> {
    let reply = call(address, &Call::get("/v1/status"), limit).await.ok()?;
    if reply.is_success() { reply.parse() } else { None }
}
