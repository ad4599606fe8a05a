/*!
HTTP exchanges with servers that may be in trouble.

A server may send bytes without end, in a head or a body, until its client
closes the connection. Heads, with the interim responses before them, are
limited for each exchange. Bodies are limited by the account of what the
process holds.
*/

use std::{
    fmt, io,
    ops::RangeInclusive,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Size of the buffer from which hyper parses a head, in bytes. A longer head
/// is an error.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Bytes that are read until a head is complete: the interim responses, the
/// head, and what the last read holds of the body.
const MAX_HEAD_BYTES: usize = 2 * MAX_BUFFER_BYTES;

/// Statuses of final responses. hyper passes over interim ones except 101: no
/// request asks for another protocol, and what would follow in it is no body.
/// It also returns statuses that HTTP does not define, up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The driver of a connection, which runs as a task of its own.
pub(crate) type Driver = http1::Connection<TokioIo<Stream>, Full<Bytes>>;

/// Starts HTTP/1.1 on a connection.
///
/// # Errors
///
/// Fails if the connection breaks.
pub(crate) async fn handshake(
    stream: TcpStream,
) -> hyper::Result<(Sender, Driver)> {
    let head = HeadLimit::default();
    let stream = Stream { stream, head: head.clone() };
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok((Sender { sender, head }, driver))
}

/// The sending side of a connection.
#[derive(Debug)]
pub(crate) struct Sender {
    sender: SendRequest<Full<Bytes>>,
    head: HeadLimit,
}

impl Sender {
    /// Waits until the connection takes a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub(crate) async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or if what arrives is not the head of
    /// a response, is too long for one or has no final status.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let _limited = self.head.limit();
        let response = self.sender.send_request(req).await;
        let response = response.map_err(|e| {
            // hyper reports `canceled` only if it never took the request.
            if e.is_canceled() {
                SendError::NotSent
            } else {
                SendError::Broken
            }
        })?;
        if FINAL_STATUSES.contains(&response.status().as_u16()) {
            Ok(response)
        } else {
            Err(SendError::Broken)
        }
    }
}

/// Why there is no response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The connection was closed before anything was sent.
    NotSent,
    /// The request may have been received.
    Broken,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SendError::NotSent => "the connection was closed",
            SendError::Broken => "the response broke off or is not valid",
        })
    }
}

impl std::error::Error for SendError {}

/// Number of bytes that may be read before a head is complete;
/// `usize::MAX` while no head is awaited.
#[derive(Clone, Debug)]
struct HeadLimit(Arc<AtomicUsize>);

impl Default for HeadLimit {
    fn default() -> HeadLimit {
        HeadLimit(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl HeadLimit {
    /// Limits reads until the guard is dropped.
    fn limit(&self) -> HeadGuard {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
        HeadGuard(self.clone())
    }

    /// Counts bytes that were read. Returns false if they are too many.
    fn take(&self, count: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(count), Ordering::Relaxed);
        left >= count
    }
}

/// Ends the limit when it is dropped.
#[derive(Debug)]
struct HeadGuard(HeadLimit);

impl Drop for HeadGuard {
    fn drop(&mut self) {
        self.0.0.store(usize::MAX, Ordering::Relaxed);
    }
}

/// A connection whose reads are limited while a head is awaited.
#[derive(Debug)]
pub(crate) struct Stream {
    stream: TcpStream,
    head: HeadLimit,
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        Poll::Ready(if self.head.take(count) {
            Ok(())
        } else {
            Err(io::Error::other("the head of the response has no end"))
        })
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
