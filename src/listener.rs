/*!
Listeners that cut no request off when the process stops.

The system resets the connections in the queue of a listener that is closed,
although their callers may have sent requests. They are accepted first, and
given time for their first request, which is then answered or refused.
*/

use std::{io, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use volo::net::{
    conn::Conn,
    incoming::{Incoming, MakeIncoming},
};

/// Time that a connection has for its first request after the process has
/// drained. The daemon refuses requests for longer than that.
pub(crate) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Closes a listener after accepting the connections in its queue.
///
/// # Errors
///
/// Fails if a socket cannot be handed over between the runtime and the system.
pub(crate) fn accept_remaining(
    listener: TcpListener,
) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut accepted = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        accepted.push(stream);
    }
    drop(listener);
    accepted
        .into_iter()
        .map(|stream| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        })
        .collect()
}

/// Connections for a server, until the process has drained.
#[derive(Debug)]
pub(crate) struct DrainingIncoming {
    listener: Option<TcpListener>,
    /// Connections that were in the queue when the listener was closed.
    remaining: Vec<TcpStream>,
    drained: watch::Receiver<bool>,
    /// Set once the server has got all connections.
    finished: watch::Sender<bool>,
}

impl DrainingIncoming {
    /// Returns the connections, and a channel that becomes true once the
    /// server has got the last one.
    pub(crate) fn new(
        listener: TcpListener,
        drained: watch::Receiver<bool>,
    ) -> (DrainingIncoming, watch::Receiver<bool>) {
        let (finished, rx) = watch::channel(false);
        let listener = Some(listener);
        let remaining = Vec::new();
        (DrainingIncoming { listener, remaining, drained, finished }, rx)
    }
}

impl MakeIncoming for DrainingIncoming {
    type Incoming = DrainingIncoming;

    async fn make_incoming(self) -> io::Result<DrainingIncoming> {
        Ok(self)
    }
}

impl Incoming for DrainingIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        if let Some(listener) = &self.listener {
            tokio::select! {
                accepted = listener.accept() => {
                    return accepted.map(|(stream, _)| Some(stream.into()));
                }
                _ = self.drained.wait_for(|drained| *drained) => {}
            }
        }
        if let Some(listener) = self.listener.take() {
            self.remaining = accept_remaining(listener)?;
        }
        match self.remaining.pop() {
            Some(stream) => Ok(Some(stream.into())),
            None => {
                let _ = self.finished.send(true);
                std::future::pending().await
            }
        }
    }
}
