/*!
Long messages in frames.

A long message crosses a connection in frames, each of which is acknowledged.
So a slow link shows that it works, short messages pass between the frames, and
a message goes on over the next connection where the last one has failed.
Messages of one class keep their order; the classes take turns.

The number of frames under way follows the measured round trips: it grows while
they take about as long as the shortest one, and is halved once frames wait
behind each other.
*/

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use primrosemast_core::id::InstanceId;
use primrosemast_wire::peer_capnp::Class;

use super::Outgoing;

/// Bytes of a message in one frame. A body up to this length is not split.
pub(super) const FRAME_BYTES: usize = 16 * 1024;

/// Smallest number of frames under way. A single one delays the heartbeats
/// behind it the least on a slow link.
const MIN_WINDOW: usize = 1;

/// Largest number of frames under way: 1 MiB with `FRAME_BYTES`.
const MAX_WINDOW: usize = 64;

/// Time beyond the shortest round trip from which on frames are taken to wait
/// behind each other. One heartbeat interval.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(100);

/// Time after which a message that is not continued is dropped. Several times
/// the longest acknowledgement timeout.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Bytes of incomplete messages that are held for all peers together.
const MAX_INCOMPLETE_BYTES: usize = 128 << 20;

/// Length of the numbers before the content of a frame, in bytes.
const HEADER_BYTES: usize = 24;

/// Reason with which a frame is refused that does not follow what is there.
pub(super) const MISSING_FRAMES: &str = "the frames before are missing";

/// Number of the classes of messages.
const CLASSES: usize = 5;

/// A part of the body of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Frame<'a> {
    /// Random identifier of the message.
    pub(super) id: u64,
    /// Position of the part in the body, in bytes.
    pub(super) offset: usize,
    /// Length of the body in bytes.
    pub(super) total: usize,
    /// The part.
    pub(super) data: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Writes the frame: three numbers in little-endian order and the part.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        for number in [self.id, self.offset as u64, self.total as u64] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(self.data);
        bytes
    }

    /// Reads a frame.
    pub(super) fn decode(bytes: &'a [u8]) -> Option<Frame<'a>> {
        let (id, rest) = bytes.split_first_chunk()?;
        let (offset, rest) = rest.split_first_chunk()?;
        let (total, data) = rest.split_first_chunk()?;
        let number = |bytes| usize::try_from(u64::from_le_bytes(bytes)).ok();
        Some(Frame {
            id: u64::from_le_bytes(*id),
            offset: number(*offset)?,
            total: number(*total)?,
            data,
        })
    }
}

/// A frame that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentFrame {
    id: u64,
    class: Class,
    to: InstanceId,
    /// End of its part in the body, in bytes.
    end: usize,
}

impl SentFrame {
    pub(super) fn class(&self) -> Class {
        self.class
    }

    pub(super) fn to(&self) -> InstanceId {
        self.to
    }
}

/// A message that is sent in frames.
#[derive(Debug)]
struct Transfer {
    id: u64,
    outgoing: Outgoing,
    /// Bytes sent, and acknowledged, from the beginning.
    sent: usize,
    acknowledged: usize,
}

impl Transfer {
    /// Whether a failed connection leaves it open if the message has arrived.
    fn may_have_arrived(&self) -> bool {
        self.sent == self.outgoing.body.len()
    }

    /// Whether it is harmless if the message arrives twice.
    fn is_repeatable(&self) -> bool {
        let class = self.outgoing.class;
        self.outgoing.resend
            || matches!(class, Class::Membership | Class::Consensus)
            || class == Class::Sync
    }
}

/// The long messages for one peer.
#[derive(Debug)]
pub(super) struct Transfers {
    /// One queue for each class.
    queues: [VecDeque<Transfer>; CLASSES],
    /// The class whose turn is next.
    turn: usize,
    /// Frames without acknowledgement.
    under_way: usize,
    window: usize,
    shortest_trip: Duration,
}

impl Transfers {
    pub(super) fn new() -> Transfers {
        Transfers {
            queues: std::array::from_fn(|_| VecDeque::new()),
            turn: 0,
            under_way: 0,
            window: MIN_WINDOW,
            shortest_trip: Duration::MAX,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Returns the instance that the next message is for.
    pub(super) fn next_outgoing(&self) -> Option<&Outgoing> {
        let first = self.queues.iter().find_map(VecDeque::front);
        first.map(|transfer| &transfer.outgoing)
    }

    /// Whether a message has to cross in frames: it is long, or must not pass
    /// a long one.
    pub(super) fn must_queue(&self, outgoing: &Outgoing) -> bool {
        outgoing.body.len() > FRAME_BYTES
            || outgoing.ordered
                && !self.queues[outgoing.class as usize].is_empty()
    }

    pub(super) fn push(&mut self, outgoing: Outgoing) {
        let queue = &mut self.queues[outgoing.class as usize];
        queue.push_back(Transfer {
            id: rand::random(),
            outgoing,
            sent: 0,
            acknowledged: 0,
        });
    }

    /// Returns the next frame if the window allows one, with its message.
    pub(super) fn next_frame(
        &mut self,
    ) -> Option<(SentFrame, Vec<u8>, &Outgoing)> {
        if self.under_way >= self.window {
            return None;
        }
        let unsent =
            |t: &Transfer| t.acknowledged.max(t.sent) < t.outgoing.body.len();
        let class = (0..CLASSES)
            .map(|i| (self.turn + i) % CLASSES)
            .find(|&class| self.queues[class].iter().any(unsent))?;
        self.turn = (class + 1) % CLASSES;
        self.under_way += 1;
        let transfer =
            self.queues[class].iter_mut().find(|transfer| unsent(transfer))?;
        let body = &transfer.outgoing.body;
        let (offset, total) = (transfer.sent, body.len());
        let end = (offset + FRAME_BYTES).min(total);
        let data = &body[offset..end];
        let frame = Frame { id: transfer.id, offset, total, data }.encode();
        transfer.sent = end;
        let outgoing = &transfer.outgoing;
        let sent = SentFrame {
            id: transfer.id,
            class: outgoing.class,
            to: outgoing.to,
            end,
        };
        Some((sent, frame, outgoing))
    }

    /// Handles the acknowledgement of a frame after `trip`.
    pub(super) fn acknowledge(&mut self, frame: SentFrame, trip: Duration) {
        self.under_way = self.under_way.saturating_sub(1);
        self.shortest_trip = self.shortest_trip.min(trip);
        self.window =
            if trip.saturating_sub(self.shortest_trip) <= MAX_QUEUE_DELAY {
                (self.window + 1).min(MAX_WINDOW)
            } else {
                (self.window / 2).max(MIN_WINDOW)
            };
        let queue = &mut self.queues[frame.class as usize];
        let Some(at) = queue.iter().position(|t| t.id == frame.id) else {
            return;
        };
        let transfer = &mut queue[at];
        transfer.acknowledged = transfer.acknowledged.max(frame.end);
        if transfer.acknowledged == transfer.outgoing.body.len() {
            queue.remove(at);
        }
    }

    /// Handles the refusal of a frame. If the peer has dropped what it had of
    /// the message, that begins again with another identifier; otherwise the
    /// message cannot be received and is dropped.
    pub(super) fn refuse(&mut self, frame: SentFrame, reason: &str) {
        self.under_way = self.under_way.saturating_sub(1);
        let queue = &mut self.queues[frame.class as usize];
        let Some(at) = queue.iter().position(|t| t.id == frame.id) else {
            return;
        };
        let transfer = &mut queue[at];
        let repeats = transfer.is_repeatable() || !transfer.may_have_arrived();
        if !reason.contains(MISSING_FRAMES) || !repeats {
            queue.remove(at);
            return;
        }
        transfer.id = rand::random();
        transfer.sent = 0;
        transfer.acknowledged = 0;
    }

    /// Prepares the messages for the next connection. Each goes on after its
    /// last acknowledged frame.
    pub(super) fn reconnect(&mut self) {
        self.under_way = 0;
        self.window = MIN_WINDOW;
        self.shortest_trip = Duration::MAX;
        for queue in &mut self.queues {
            queue.retain(|t| t.is_repeatable() || !t.may_have_arrived());
            for transfer in queue {
                transfer.sent = transfer.acknowledged;
            }
        }
    }

    /// Takes all messages, for a peer that takes no frames.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = Outgoing> {
        self.under_way = 0;
        let queues = std::mem::take(&mut self.queues);
        queues.into_iter().flatten().map(|transfer| transfer.outgoing)
    }
}

/// A message of which frames have arrived.
#[derive(Debug)]
struct Incomplete {
    sender: u64,
    class: Class,
    id: u64,
    total: usize,
    data: Vec<u8>,
    /// Whether it is complete; the data is taken then.
    done: bool,
    last_frame: Instant,
}

/// The messages of which some frames have arrived: the last one of each class
/// from each peer. They outlive the connections.
#[derive(Debug, Default)]
pub(super) struct Assembly {
    messages: Vec<Incomplete>,
}

impl Assembly {
    /// Adds a frame, and returns the body of the message once it is complete.
    /// A frame that arrives again is ignored. One that does not follow what
    /// is there is an error, with its reason.
    pub(super) fn add(
        &mut self,
        sender: u64,
        class: Class,
        frame: Frame<'_>,
        max_bytes: usize,
        now: Instant,
    ) -> Result<Option<Vec<u8>>, String> {
        let Frame { id, offset, total, data } = frame;
        let end = offset.saturating_add(data.len());
        if total > max_bytes || end > total || data.is_empty() {
            return Err(format!("{end} of {total} bytes cannot be received"));
        }
        self.messages.retain(|m| now.duration_since(m.last_frame) < MAX_PAUSE);
        let known = self
            .messages
            .iter()
            .position(|m| m.sender == sender && m.class == class);
        let known = known.filter(|&at| {
            if self.messages[at].id == id {
                return true;
            }
            self.messages.swap_remove(at);
            false
        });
        let at = match known {
            Some(at) => at,
            None if offset == 0 => {
                self.messages.push(Incomplete {
                    sender,
                    class,
                    id,
                    total,
                    data: Vec::new(),
                    done: false,
                    last_frame: now,
                });
                self.messages.len() - 1
            }
            None => return Err(MISSING_FRAMES.into()),
        };
        let held: usize = self.messages.iter().map(|m| m.data.len()).sum();
        let message = &mut self.messages[at];
        message.last_frame = now;
        if message.done {
            return Ok(None);
        }
        let received = message.data.len();
        if offset > received || total != message.total {
            return Err(MISSING_FRAMES.into());
        }
        if end <= received {
            return Ok(None);
        }
        if held + data.len() > MAX_INCOMPLETE_BYTES {
            self.messages.swap_remove(at);
            return Err(format!("{held} bytes of other messages are held"));
        }
        message.data.extend_from_slice(&data[received - offset..]);
        if end < total {
            return Ok(None);
        }
        message.done = true;
        Ok(Some(std::mem::take(&mut message.data)))
    }
}
