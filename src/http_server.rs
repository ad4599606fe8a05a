/*!
HTTP connections that others open.

Each is admitted by the account of what the process holds, and closed when it
has to make room. The request that it carries is followed, so that one that
has been passed on is never cut off for another connection.
*/

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::{
    body::{Body, Bytes, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use primrosemast_core::held::{Listener, Phase};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::watch,
};
use tokio_util::task::TaskTracker;
use volo::{Service, net::Address};
use volo_http::{
    body::Body as RouterBody,
    context::ServerContext,
    server::{response::IntoResponse, route::Router},
};

use crate::{
    held::{Account, Connection},
    listener::{FIRST_REQUEST_TIMEOUT, accept_remaining},
};

/// Pause after a failed accept, so that the loop does not spin while the
/// process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Largest buffer for a head or a part of a body on the APIs, in bytes, where
/// the settings limit what is held.
const API_BUFFER_BYTES: usize = 16 << 10;

/// Accepts connections until the process drains, and starts those that are
/// admitted. The others are closed.
pub(crate) async fn accept(
    listener: TcpListener,
    account: Account,
    kind: Listener,
    mut drained: watch::Receiver<bool>,
    start: impl Fn(TcpStream, SocketAddr, Connection),
) {
    let admit = |stream: TcpStream, peer: SocketAddr| {
        if let Some(held) = account.admit(kind) {
            start(stream, peer, held);
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drained.wait_for(|drained| *drained) => break,
        };
        match accepted {
            Ok((stream, peer)) => admit(stream, peer),
            Err(e) => {
                log::warn!("cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    match accept_remaining(listener) {
        Ok(streams) => {
            streams.into_iter().for_each(|(s, peer)| admit(s, peer));
        }
        Err(e) => log::warn!("cannot accept the last connections: {e}"),
    }
}

/// How a connection is served.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionOptions {
    /// Time for a head, from the end of the request before it; not limited
    /// if it is `None`.
    pub(crate) head_timeout: Option<Duration>,
    /// Largest buffer for a head or a part of a body, in bytes; the default
    /// of hyper if it is `None`.
    pub(crate) buffer_bytes: Option<usize>,
    /// Time for which a connection that has carried a request is still read
    /// after the process has drained.
    pub(crate) last_read: Duration,
}

/// Serves the requests of one connection until it ends or has to make room.
pub(crate) async fn serve_connection<H, R, B>(
    stream: TcpStream,
    held: Connection,
    options: ConnectionOptions,
    mut drained: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(http::Request<Incoming>, Arc<Follower>) -> R,
    R: Future<Output = http::Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let follower = Arc::new(Follower {
        held,
        phase: AtomicU8::new(Phase::Waiting as u8),
        used: AtomicBool::new(false),
    });
    let service = service_fn(|req: http::Request<Incoming>| {
        follower.used.store(true, Ordering::Relaxed);
        let response = handle(req, Arc::clone(&follower));
        let follower = Arc::clone(&follower);
        async move {
            let response = response.await;
            follower.set_phase(Phase::Responding);
            Ok::<_, Infallible>(response)
        }
    });
    let stream = Followed { stream, follower: Arc::clone(&follower) };
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(options.head_timeout);
    if let Some(bytes) = options.buffer_bytes {
        builder.max_buf_size(bytes);
    }
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let last_read = async {
        // Fails only if the daemon has ended.
        let _ = drained.wait_for(|drained| *drained).await;
        tokio::time::sleep(if follower.used.load(Ordering::Relaxed) {
            options.last_read
        } else {
            FIRST_REQUEST_TIMEOUT
        })
        .await;
    };
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = follower.held.ended() => {
            log::debug!("a connection is closed to make room");
            return;
        }
        () = last_read => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("a connection failed: {e}");
    }
}

/// Follows what a connection is used for.
#[derive(Debug)]
pub(crate) struct Follower {
    held: Connection,
    /// Number of the phase.
    phase: AtomicU8,
    /// Whether the connection has carried a request.
    used: AtomicBool,
}

impl Follower {
    /// Records what the connection is used for now.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.held.set_phase(phase);
    }

    fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }
}

/// The body of a request to an API. The request has been passed on once its
/// body is complete.
#[derive(Debug)]
struct FollowedBody {
    body: Incoming,
    follower: Arc<Follower>,
}

impl Body for FollowedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.follower.set_phase(Phase::Running);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose responses are followed until they are sent.
#[derive(Debug)]
struct Followed {
    stream: TcpStream,
    follower: Arc<Follower>,
}

impl Followed {
    /// Records that a part of a response was sent.
    fn note(&self, written: &io::Result<usize>) {
        let follower = &self.follower;
        if !matches!(written, Ok(1..)) {
            return;
        }
        if follower.is_in(Phase::Responding) {
            follower.held.progress();
        } else if follower.is_in(Phase::Waiting) {
            follower.set_phase(Phase::Responding);
        }
    }
}

impl AsyncRead for Followed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let follower = &self.follower;
        if buf.filled().len() > before && follower.is_in(Phase::Reading) {
            follower.held.progress();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Followed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf));
        self.note(&written);
        Poll::Ready(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = Pin::new(&mut self.stream);
        let written = ready!(stream.poll_write_vectored(cx, bufs));
        self.note(&written);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        // The buffers of the connection are empty when it is flushed.
        if self.follower.is_in(Phase::Responding) {
            self.follower.set_phase(Phase::Waiting);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Serves the routes of an API until the process has drained and the accepted
/// requests are answered.
pub(crate) async fn serve_router(
    listener: TcpListener,
    router: Router,
    account: Account,
    kind: Listener,
    drained: watch::Receiver<bool>,
) {
    let connections = TaskTracker::new();
    let router = Rc::new(router);
    let options = ConnectionOptions {
        head_timeout: None,
        buffer_bytes: account.is_limited().then_some(API_BUFFER_BYTES),
        last_read: FIRST_REQUEST_TIMEOUT,
    };
    let start = |stream: TcpStream, peer: SocketAddr, held: Connection| {
        let (router, drained) = (Rc::clone(&router), drained.clone());
        let handle = move |req: http::Request<Incoming>,
                           follower: Arc<Follower>| {
            let router = Rc::clone(&router);
            async move {
                let mut cx = ServerContext::new(Address::from(peer));
                let req = req.map(|body| {
                    if body.is_end_stream() {
                        follower.set_phase(Phase::Running);
                        return RouterBody::from_incoming(body);
                    }
                    follower.set_phase(Phase::Reading);
                    RouterBody::from_body(FollowedBody { body, follower })
                });
                router.call(&mut cx, req).await.into_response()
            }
        };
        let served = serve_connection(stream, held, options, drained, handle);
        connections.spawn_local(served);
    };
    accept(listener, account, kind, drained.clone(), start).await;
    connections.close();
    connections.wait().await;
}
