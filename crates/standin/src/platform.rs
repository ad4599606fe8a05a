/*!
Simulated platform list of live and leaving instances and targets.

The list changes only when a test replaces it, so a test simulates a lagging
list by replacing it late.
*/

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, task::JoinHandle};

use crate::http::{json, serve, status};

/// Content of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Instances of the query tier, by peer address.
    pub instances: Vec<ListEntry>,
    /// Targets, by the address of their HTTP server.
    pub targets: Vec<ListEntry>,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListEntry {
    /// Address of the instance or target.
    pub address: SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// A running server of the list; stops when dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    list: Arc<Mutex<List>>,
    failing: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Platform {
    /// Starts to serve the list on a loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(list: List) -> std::io::Result<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new(list));
        let served = Arc::clone(&list);
        let failing = Arc::new(AtomicBool::new(false));
        let fails = Arc::clone(&failing);
        let task = tokio::spawn(serve(
            listener,
            || async { Some(()) },
            move |req| {
                let list = served.lock().expect("not poisoned").clone();
                let fails = fails.load(Ordering::Relaxed);
                async move {
                    match (req.method(), req.uri().path()) {
                        (&Method::GET, "/list") if fails => {
                            let mut reply = json(&List::default());
                            *reply.status_mut() =
                                StatusCode::INTERNAL_SERVER_ERROR;
                            Ok(reply)
                        }
                        (&Method::GET, "/list") => Ok(json(&list)),
                        _ => Ok(status(StatusCode::NOT_FOUND)),
                    }
                }
            },
        ));
        Ok(Platform { address, list, failing, task })
    }

    /// Returns the address of the server; the path of the list is `/list`.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list.
    pub fn set(&self, list: List) {
        *self.list.lock().expect("not poisoned") = list;
    }

    /// Sets whether the server answers with status 500 and an empty list.
    pub fn set_failing(&self, failing: bool) {
        self.failing.store(failing, Ordering::Relaxed);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.task.abort();
    }
}
