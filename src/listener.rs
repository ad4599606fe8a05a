/*!
Listeners that cut no request off when the process stops.

The system resets the connections in the queue of a listener that is closed,
although their callers may have sent requests. They are accepted first, and
given time for their first request, which is then answered or refused.
*/

use std::{io, net::SocketAddr, time::Duration};

use tokio::net::{TcpListener, TcpStream};

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
) -> io::Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let mut accepted = Vec::new();
    while let Ok(connection) = listener.accept() {
        accepted.push(connection);
    }
    drop(listener);
    accepted
        .into_iter()
        .map(|(stream, peer)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, peer))
        })
        .collect()
}
