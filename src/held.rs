/*!
What the process holds for others: the bytes of bodies, and connections that
others have opened.

The decisions are those of [`primrosemast_core::held`]. This module keeps the
buffers of bodies that are being read beside the account, so that a body that
is given up is freed at once and not when its reader runs again. A complete
body carries its bytes in the account until the last reference to it is
dropped, also while it is written to a connection.
*/

use std::{
    fmt,
    future::poll_fn,
    pin::{Pin, pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::Poll,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use primrosemast_core::{
    event::LogEvent,
    held::{
        Admission, BodyId, ConnectionId, Gauges, Grant, HeldOptions, Holder,
        Ledger, Listener, Phase,
    },
    time::Time,
};
use tokio::{sync::Notify, time::timeout};

use crate::settings::Resources;

/// Buffer for the small pieces of a body, in bytes.
const PIECES_BYTES: usize = 4 << 10;

/// Longest time for which an answer waits for the room of responses that were
/// given up for it.
const ROOM_WAIT: Duration = Duration::from_millis(200);

/// Largest body of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Longest time for which the rest of a refused body is discarded.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Largest part of a refused body that is discarded, in bytes.
const MAX_DISCARDED_BYTES: u64 = 4 << 20;

/// Time after which the senders of refused requests may try again. Longer
/// than a body needs to stall.
pub(crate) const ROOM_RETRY: Duration = Duration::from_secs(1);

/// Why a body was not read.
#[derive(Debug)]
pub enum ReadError {
    /// It is longer than this limit, in bytes.
    TooLong(usize),
    /// There is no room for it now.
    NoRoom,
    /// The connection failed, or what arrived is not a body.
    Broken(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::TooLong(limit) => {
                write!(f, "the body is longer than {limit} bytes")
            }
            ReadError::NoRoom => {
                f.write_str("there is no room for the body now")
            }
            ReadError::Broken(e) => {
                write!(f, "the body cannot be read: {e}")
            }
        }
    }
}

impl std::error::Error for ReadError {}

/// The account of the process; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Account(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when bytes are given back.
    released: Notify,
    start: Instant,
    /// Whether the settings limit what is held.
    limited: bool,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Bodies that are being read; sorted by identifier.
    readers: Vec<Reader>,
    /// How to close each connection; sorted by identifier.
    connections: Vec<(ConnectionId, Arc<Notify>)>,
}

#[derive(Debug)]
struct Reader {
    id: BodyId,
    buf: Vec<u8>,
    given_up: Arc<Notify>,
}

impl State {
    fn reader(&self, id: BodyId) -> Result<usize, usize> {
        self.readers.binary_search_by_key(&id, |r| r.id)
    }

    fn drop_reader(&mut self, id: BodyId) -> Option<Reader> {
        self.reader(id).ok().map(|i| self.readers.remove(i))
    }

    /// Tells the task of a connection to end.
    fn end_connection(&mut self, id: ConnectionId) {
        let i = self.connections.binary_search_by_key(&id, |c| c.0);
        if let Ok(i) = i {
            self.connections.remove(i).1.notify_one();
        }
    }
}

impl Account {
    /// Creates the account of a process with these resources.
    pub(crate) fn new(resources: &Resources) -> Account {
        let percent = |value: u64, percent: u64| {
            usize::try_from(value.saturating_mul(percent) / 100)
                .unwrap_or(usize::MAX)
        };
        let mut options = HeldOptions::default();
        if let Some(mb) = resources.memory_mb {
            let bytes = mb.saturating_mul(1 << 20);
            options =
                options.with_bytes(percent(bytes, resources.held_percent));
        }
        if let Some(count) = resources.descriptors {
            let count = percent(count, resources.connection_percent);
            options = options.with_connections(count);
        }
        Account(Arc::new(Shared {
            state: Mutex::new(State {
                ledger: Ledger::new(options),
                readers: Vec::new(),
                connections: Vec::new(),
            }),
            released: Notify::new(),
            start: Instant::now(),
            limited: options != HeldOptions::default(),
        }))
    }

    fn now(&self) -> Time {
        Time::ZERO + self.0.start.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Each change leaves the state valid, also before a panic.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the settings limit what is held.
    pub(crate) fn is_limited(&self) -> bool {
        self.0.limited
    }

    /// Returns the state for metrics.
    pub(crate) fn gauges(&self) -> Gauges {
        self.state().ledger.gauges()
    }

    /// Closes connections whose responses have not been read for
    /// `idle_timeout`, if the settings limit what is held, and returns the
    /// events to log.
    pub(crate) fn sweep(&self, idle_timeout: Duration) -> Vec<LogEvent> {
        let now = self.now();
        let mut state = self.state();
        if self.0.limited {
            while let Some(id) =
                state.ledger.close_stalled_response(now, idle_timeout)
            {
                state.end_connection(id);
            }
        }
        state.ledger.take_events(now)
    }

    /// Admits a connection, or returns `None` if it has to be closed.
    pub(crate) fn admit(&self, listener: Listener) -> Option<Connection> {
        let now = self.now();
        let mut state = self.state();
        let id = match state.ledger.admit(now, listener) {
            Admission::Admitted(id) => id,
            Admission::Replaces(id, oldest) => {
                state.end_connection(oldest);
                id
            }
            Admission::Refused => return None,
        };
        let ended = Arc::new(Notify::new());
        state.connections.push((id, Arc::clone(&ended)));
        Some(Connection { account: self.clone(), id, ended })
    }

    /// Counts bytes that another instance has sent, and ties them to the
    /// count.
    pub(crate) fn hold_for_peer(&self, bytes: Bytes) -> Bytes {
        let count = bytes.len();
        if count == 0 {
            return bytes;
        }
        self.state().ledger.take(self.now(), Holder::Peers, count);
        self.tie(Holder::Peers, count, bytes)
    }

    /// Ties counted bytes to their count, which ends with the last reference.
    fn tie(&self, holder: Holder, count: usize, bytes: Bytes) -> Bytes {
        let _held = Held { account: self.clone(), holder, count };
        Bytes::from_owner(Owned { bytes, _held })
    }

    /// Reads the complete body of a request. What is left of one that is
    /// refused is discarded for a while, because a connection that is closed
    /// with unread bytes is reset and its client may not see the response.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, if there is no room for it, and if the
    /// connection breaks.
    pub(crate) async fn read<B>(
        &self,
        holder: Holder,
        body: B,
        limit: usize,
    ) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes>,
        B::Error: fmt::Display,
    {
        let mut body = pin!(body);
        let read = self.read_counted(holder, body.as_mut(), limit).await;
        if matches!(read, Err(ReadError::TooLong(_) | ReadError::NoRoom)) {
            // The refusal is the same if the time passes first.
            let _ = timeout(DISCARD_TIME, discard(body)).await;
        }
        read
    }

    async fn read_counted<B>(
        &self,
        holder: Holder,
        mut body: Pin<&mut B>,
        limit: usize,
    ) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes>,
        B::Error: fmt::Display,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let limit = limit.min(self.state().ledger.max_bytes(holder));
        let declared = body.size_hint().exact();
        if declared.is_some_and(|n| n > limit as u64) {
            return Err(ReadError::TooLong(limit));
        }
        let expected =
            declared.and_then(|n| usize::try_from(n).ok()).unwrap_or(limit);
        let Some(data) = next_data(body.as_mut()).await? else {
            return Ok(Bytes::new());
        };
        if data.len() > limit {
            return Err(ReadError::TooLong(limit));
        }
        if body.is_end_stream() {
            // Most bodies arrive in one piece. It is copied, because it holds
            // the whole buffer of its connection.
            if !self.state().ledger.take(self.now(), holder, data.len()) {
                return Err(ReadError::NoRoom);
            }
            let body = Bytes::copy_from_slice(&data);
            return Ok(self.tie(holder, data.len(), body));
        }
        let reading = Reading::start(self, holder);
        let mut pieces = Pieces { limit, expected, ..Pieces::default() };
        pieces.append(&reading, &data)?;
        drop(data);
        let mut given_up = pin!(reading.given_up.notified());
        poll_fn(|cx| {
            // The end of the room is of interest only while nothing arrives.
            while !body.is_end_stream() {
                match body.as_mut().poll_frame(cx) {
                    Poll::Ready(Some(Ok(frame))) => {
                        if let Some(data) = frame.data_ref() {
                            pieces.append(&reading, data)?;
                        }
                    }
                    Poll::Ready(Some(Err(e))) => {
                        let e = ReadError::Broken(e.to_string());
                        return Poll::Ready(Err(e));
                    }
                    Poll::Ready(None) => break,
                    Poll::Pending => {
                        let given_up = given_up.as_mut().poll(cx);
                        return given_up.map(|()| Err(ReadError::NoRoom));
                    }
                }
            }
            Poll::Ready(Ok(()))
        })
        .await?;
        reading.append(&pieces.buf, &[], 0)?;
        reading.complete(holder)
    }

    /// Reads the complete body of a target's answer. Returns `None` if it
    /// breaks off, is too long or finds no room.
    pub(crate) async fn read_answer<B>(&self, mut body: B) -> Option<Bytes>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let expected = body.size_hint().exact();
        let expected = expected.and_then(|n| usize::try_from(n).ok());
        let mut first = Bytes::new();
        let mut buf: Vec<u8> = Vec::new();
        let mut held =
            Held { account: self.clone(), holder: Holder::Targets, count: 0 };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            let before = first.len() + buf.len();
            let len = before + data.len();
            if len > held.count {
                // The capacity of the buffer is counted.
                let doubled = (2 * before).min(expected.unwrap_or(usize::MAX));
                let wanted = doubled.max(len);
                if !self.grow_answer(&mut held, wanted).await
                    && !self.grow_answer(&mut held, len).await
                {
                    return None;
                }
            }
            if before == 0 {
                // Most bodies arrive in one piece, which needs no copy.
                first = data;
            } else {
                buf.reserve_exact(held.count - buf.len());
                if buf.is_empty() {
                    buf.extend_from_slice(&std::mem::take(&mut first));
                }
                buf.extend_from_slice(&data);
            }
        }
        let body = if buf.is_empty() { first } else { buf.into() };
        if body.is_empty() {
            return Some(body);
        }
        Some(Bytes::from_owner(Owned { bytes: body, _held: held }))
    }

    /// Counts an answer of `len` bytes. Responses that callers do not read are
    /// given up for it.
    async fn grow_answer(&self, held: &mut Held, len: usize) -> bool {
        if len > MAX_ANSWER_BYTES {
            return false;
        }
        let count = len.saturating_sub(held.count);
        loop {
            let released = self.0.released.notified();
            {
                let now = self.now();
                let mut state = self.state();
                let ledger = &mut state.ledger;
                let holder = Holder::Targets;
                if ledger.take_part(now, holder, held.count, count) {
                    held.count += count;
                    return true;
                }
                if !self.0.limited {
                    return false;
                }
                let stall = ledger.stall();
                let Some(stalled) = ledger.close_stalled_response(now, stall)
                else {
                    return false;
                };
                state.end_connection(stalled);
            }
            if timeout(ROOM_WAIT, released).await.is_err() {
                return false;
            }
        }
    }
}

/// Counted bytes; given back when it is dropped.
#[derive(Debug)]
struct Held {
    account: Account,
    holder: Holder,
    count: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.count > 0 {
            let mut state = self.account.state();
            state.ledger.give_back(self.holder, self.count);
            drop(state);
            self.account.0.released.notify_waiters();
        }
    }
}

/// Bytes with their count.
#[derive(Debug)]
struct Owned {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Discards the rest of a body that is not too long for that.
async fn discard<B: Body<Data = Bytes>>(mut body: Pin<&mut B>) {
    let mut left = MAX_DISCARDED_BYTES;
    if body.size_hint().lower() > left {
        return;
    }
    while let Some(Ok(frame)) = body.frame().await {
        let len = frame.data_ref().map_or(0, Bytes::len) as u64;
        left = left.saturating_sub(len);
        if left == 0 {
            return;
        }
    }
}

/// Waits for the first bytes of a body; `None` if it has none.
async fn next_data<B>(
    mut body: Pin<&mut B>,
) -> Result<Option<Bytes>, ReadError>
where
    B: Body<Data = Bytes>,
    B::Error: fmt::Display,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| ReadError::Broken(e.to_string()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// The small pieces of a body are collected here first, so that each costs
/// neither a buffer nor a look at the account. The buffer is a part of what
/// the account reckons for a connection.
#[derive(Debug, Default)]
struct Pieces {
    buf: Vec<u8>,
    /// Length of the body so far.
    len: usize,
    /// Largest length of the body.
    limit: usize,
    /// Declared length, or the limit.
    expected: usize,
}

impl Pieces {
    fn append(
        &mut self,
        reading: &Reading<'_>,
        data: &[u8],
    ) -> Result<(), ReadError> {
        self.len += data.len();
        if self.len > self.limit {
            return Err(ReadError::TooLong(self.limit));
        }
        if self.buf.len() + data.len() > PIECES_BYTES {
            reading.append(&self.buf, data, self.expected)?;
            self.buf.clear();
        } else {
            self.buf.extend_from_slice(data);
        }
        Ok(())
    }
}

/// A body that is being read; dropped with its bytes unless it is completed.
struct Reading<'a> {
    account: &'a Account,
    id: BodyId,
    given_up: Arc<Notify>,
}

impl<'a> Reading<'a> {
    fn start(account: &'a Account, holder: Holder) -> Reading<'a> {
        let now = account.now();
        let mut state = account.state();
        let id = state.ledger.add_body(now, holder);
        let given_up = Arc::new(Notify::new());
        let reader =
            Reader { id, buf: Vec::new(), given_up: Arc::clone(&given_up) };
        state.readers.push(reader);
        Reading { account, id, given_up }
    }

    /// Appends two parts of a body of which at most `expected` bytes will
    /// come.
    fn append(
        &self,
        first: &[u8],
        second: &[u8],
        expected: usize,
    ) -> Result<(), ReadError> {
        let now = self.account.now();
        let mut state = self.account.state();
        let Ok(i) = state.reader(self.id) else {
            return Err(ReadError::NoRoom);
        };
        let buf = &state.readers[i].buf;
        let capacity = buf.capacity();
        let len = buf.len() + first.len() + second.len();
        let wanted = if len <= capacity {
            capacity
        } else {
            (2 * capacity).min(expected).max(len)
        };
        if wanted == capacity {
            state.ledger.body_progress(now, self.id);
        } else {
            let grant =
                state.ledger.grow_body(now, self.id, wanted - capacity);
            let Grant::Granted(given_up) = grant else {
                return Err(ReadError::NoRoom);
            };
            for id in given_up {
                if let Some(reader) = state.drop_reader(id) {
                    reader.given_up.notify_one();
                }
            }
        }
        // Others may have been removed.
        let Ok(i) = state.reader(self.id) else {
            return Err(ReadError::NoRoom);
        };
        let buf = &mut state.readers[i].buf;
        buf.reserve_exact(wanted - buf.len());
        buf.extend_from_slice(first);
        buf.extend_from_slice(second);
        Ok(())
    }

    /// Returns the complete body.
    fn complete(&self, holder: Holder) -> Result<Bytes, ReadError> {
        let mut state = self.account.state();
        let reader = state.drop_reader(self.id);
        let count = state.ledger.complete_body(self.id);
        drop(state);
        let (Some(reader), Some(count)) = (reader, count) else {
            return Err(ReadError::NoRoom);
        };
        Ok(self.account.tie(holder, count, reader.buf.into()))
    }
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        let mut state = self.account.state();
        state.ledger.drop_body(self.id);
        state.drop_reader(self.id);
    }
}

/// An admitted connection; counted until it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    account: Account,
    id: ConnectionId,
    ended: Arc<Notify>,
}

impl Connection {
    /// Records what the connection is used for now.
    pub(crate) fn set_phase(&self, phase: Phase) {
        let now = self.account.now();
        self.account.state().ledger.set_phase(now, self.id, phase);
    }

    /// Records that bytes of a response were sent.
    pub(crate) fn progress(&self) {
        let now = self.account.now();
        self.account.state().ledger.connection_progress(now, self.id);
    }

    /// Waits until the connection has to be closed for another one.
    pub(crate) async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.account.state();
        state.ledger.close(self.id);
        if let Ok(i) =
            state.connections.binary_search_by_key(&self.id, |c| c.0)
        {
            state.connections.remove(i);
        }
    }
}
