//! Polls the platform's list of live and leaving instances and targets.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use primrosemast_core::node::{Event, PlatformList};
use serde::Deserialize;
use tokio::time::timeout;

use super::Handle;
use crate::{
    http_client,
    list_entries::{ListDocument, decode_entries, list_text},
};

/// Time to fetch the list, including the connection.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted list, in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;

/// Fetches the list at an interval, until the task is dropped.
pub(super) async fn poll(url: String, interval: Duration, handle: Handle) {
    loop {
        let read = timeout(FETCH_TIMEOUT, fetch(&url)).await;
        match read.context("it did not respond in time").flatten() {
            Ok(list) => handle.event(Event::Platform(list)),
            // The list is only a hint, so the daemon continues without it.
            Err(e) => {
                log::warn!("cannot read the platform's list at {url}: {e:#}");
            }
        }
        tokio::time::sleep(interval).await;
    }
}

async fn fetch(url: &str) -> anyhow::Result<PlatformList> {
    const INSTANCES: &str = "instances";
    const TARGETS: &str = "targets";

    #[derive(Deserialize)]
    struct Entry {
        address: SocketAddr,
        #[serde(default)]
        leaving: bool,
    }

    let body = http_client::get(url, FETCH_TIMEOUT, MAX_LIST_BYTES).await?;
    let text = list_text(&body);
    let list = ListDocument::split(&text, &[INSTANCES, TARGETS], &[])?;
    let entries = |name| {
        let entries = list.entries(name).unwrap_or_default();
        decode_entries(entries, |e: Entry| Ok((e.address, e.leaving)))
    };
    Ok(PlatformList {
        instances: entries(INSTANCES),
        targets: entries(TARGETS),
    })
}
