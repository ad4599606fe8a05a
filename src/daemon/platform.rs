//! Polls the platform's list of live and leaving instances and targets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use primrosemast_core::node::{Event, PlatformList};
use serde::Deserialize;
use tokio::{net::TcpStream, task::spawn_local, time::timeout};

use super::Handle;
use crate::list_entries::{ListDocument, decode_entries, list_text};

/// Time to fetch the list, including the connection.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted list, in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Fetches the list at an interval, until the task is dropped.
pub(super) async fn poll(url: String, interval: Duration, handle: Handle) {
    loop {
        match timeout(FETCH_TIMEOUT, fetch(&url)).await {
            Ok(Some(list)) => handle.event(Event::Platform(list)),
            // The list is only a hint, so the daemon continues without it.
            Ok(None) | Err(_) => {
                log::warn!("cannot read the platform's list at {url}");
            }
        }
        tokio::time::sleep(interval).await;
    }
}

async fn fetch(url: &str) -> Option<PlatformList> {
    const INSTANCES: &str = "instances";
    const TARGETS: &str = "targets";

    #[derive(Deserialize)]
    struct Entry {
        address: SocketAddr,
        #[serde(default)]
        leaving: bool,
    }

    let uri: Uri = url.parse().ok()?;
    let address: SocketAddr = uri.authority()?.as_str().parse().ok()?;
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move {
        let _ = connection.await;
    });
    let req = Request::get(uri.path())
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let response = sender.send_request(req).await.ok()?;
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let body = body.collect().await.ok()?.to_bytes();
    let text = list_text(&body);
    let list = ListDocument::split(&text, &[INSTANCES, TARGETS], &[]).ok()?;
    let entries = |name| {
        let entries = list.entries(name).unwrap_or_default();
        decode_entries(entries, |e: Entry| Ok((e.address, e.leaving)))
    };
    Some(PlatformList {
        instances: entries(INSTANCES),
        targets: entries(TARGETS),
    })
}
