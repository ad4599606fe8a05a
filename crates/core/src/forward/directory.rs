/*!
The platform's target list, fetched by one instance for the fleet. The code
calls the list the directory.

Calls to the platform are charged and rate-limited. Therefore the entry
instance with the smallest identifier, the designated reader, fetches the list
and the others request it from that instance. If it does not answer, the next
instances take over one after another, so that they do not all call the
platform at once.

The age of a list in a reply counts from the time at which the request was
sent. Otherwise a message that a partition has delayed for seconds would be
mistaken for a new list.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{id::InstanceId, time::Time};

/// Number of instances among which requests rotate while none is answered.
const CANDIDATE_READERS: usize = 3;

/// An entry of the platform's target list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name of this incarnation. A restart usually changes it.
    pub name: String,
    /// Service to which the target belongs.
    pub service: String,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub availability_zone: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is about to stop and takes no new requests.
    pub leaving: bool,
    /// Time until the target is warm, in milliseconds.
    pub cold_ms: u32,
}

/// The platform's target list, as one call returned it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// All listed targets.
    pub targets: Vec<ListedTarget>,
}

/// Messages between instances about the target list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the receiver's list.
    Wanted {
        /// Request number, which the reply repeats.
        number: u64,
        /// Hash of the sender's list; 0 if it has none.
        hash: u64,
    },
    /// Replies to `Wanted` with a list.
    Reading {
        /// Number of the request.
        number: u64,
        /// Time since the start of the call that fetched the list, in
        /// microseconds.
        age_us: u64,
        /// The list.
        directory: Arc<Directory>,
    },
    /// Replies to `Wanted` that both lists have the same content.
    Unchanged {
        /// Number of the request.
        number: u64,
        /// Time since the start of the call that fetched the list, in
        /// microseconds.
        age_us: u64,
    },
}

/// Options of fetching the target list.
#[derive(Clone, Debug)]
pub struct DirectoryOptions {
    /// Time between two fetches, and between a reply and the next request.
    pub interval: Duration,
    /// Time after which an unanswered request is sent to another instance,
    /// and a failed call is repeated.
    pub retry_after: Duration,
    /// Age of the list at which the first instance after the designated
    /// reader fetches it.
    pub takeover: Duration,
    /// Additional age for each further instance.
    pub takeover_step: Duration,
    /// Age at which any instance fetches the list, because it may be
    /// partitioned from the others.
    pub fallback: Duration,
    /// Time by which the target list may lag behind the platform's state.
    pub lag: Duration,
}

impl Default for DirectoryOptions {
    fn default() -> DirectoryOptions {
        DirectoryOptions {
            // A leaving target must receive no new requests after 3 s. It is
            // known after the lag and one interval, which leaves about 1 s.
            interval: Duration::from_millis(900),
            // Many times a round trip within a region.
            retry_after: Duration::from_millis(100),
            // Longer than the interval and a few retries, so a fetch or its
            // message has failed by then.
            takeover: Duration::from_millis(1_300),
            takeover_step: Duration::from_millis(400),
            fallback: Duration::from_millis(2_600),
            lag: Duration::from_secs(1),
        }
    }
}

/// Output of the reader.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryEffect {
    /// Fetch the list and pass the result to `read_finished`.
    Read,
    /// Send a message to another entry instance.
    Send(InstanceId, Message),
    /// Use this list, whose call started at `read_at` or later.
    Install {
        /// Start of the call that fetched the list. For a list from another
        /// instance, the earliest possible start.
        read_at: Time,
        /// The list; `None` if its content is unchanged.
        directory: Option<Arc<Directory>>,
    },
}

/// Decides which instance fetches the list, and holds the newest one.
#[derive(Clone, Debug)]
pub struct DirectoryReader {
    own_id: InstanceId,
    options: DirectoryOptions,
    /// The other live entry instances, sorted.
    peers: Vec<InstanceId>,
    /// Start of the call in progress.
    call_started: Option<Time>,
    /// Time of the next fetch or request.
    next_at: Time,
    /// Time of the first tick. Until there is a list, its age counts from
    /// this time.
    needed_since: Option<Time>,
    /// Start of the call that fetched the newest list, or the earliest
    /// possible start if another instance sent the list.
    read_at: Option<Time>,
    /// The newest list.
    directory: Arc<Directory>,
    /// Hash of the newest list.
    hash: u64,
    /// Number and send time of the last request to another instance, while it
    /// is unanswered.
    pending: Option<(u64, Time)>,
    /// Number of the last request to another instance.
    last_request: u64,
    /// Number of consecutive unanswered requests.
    unanswered: usize,
}

impl DirectoryReader {
    /// Builds a reader for the instance `own_id`.
    pub fn new(
        own_id: InstanceId,
        options: DirectoryOptions,
    ) -> DirectoryReader {
        DirectoryReader {
            own_id,
            options,
            peers: Vec::new(),
            call_started: None,
            next_at: Time::ZERO,
            needed_since: None,
            read_at: None,
            directory: Arc::default(),
            hash: 0,
            pending: None,
            last_request: 0,
            unanswered: 0,
        }
    }

    /// Sets the other entry instances that are alive.
    pub fn set_peers(&mut self, mut peers: Vec<InstanceId>) {
        peers.sort_unstable();
        self.peers = peers;
    }

    /// Returns the time at which `tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.call_started.is_none().then_some(self.next_at)
    }

    /// Returns the age of the newest list.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Returns whether there is any list.
    pub fn has_directory(&self) -> bool {
        self.read_at.is_some()
    }

    /// Fetches the list, requests it from another instance, or does both, if
    /// that is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<DirectoryEffect>) {
        if self.call_started.is_some() || now < self.next_at {
            return;
        }
        let needed_since = *self.needed_since.get_or_insert(now);
        let latest = self.read_at.unwrap_or(needed_since);
        if self.is_designated_reader()
            || now.since(latest) >= self.takeover_age()
        {
            self.call_started = Some(now);
            out.push(DirectoryEffect::Read);
        }
        if self.is_designated_reader() {
            self.next_at = now + self.options.interval;
        } else {
            self.request_directory(now, out);
        }
    }

    /// Requests the list from the designated reader, or from the next instance
    /// after an unanswered request.
    fn request_directory(
        &mut self,
        now: Time,
        out: &mut Vec<DirectoryEffect>,
    ) {
        let timed_out = self.pending.is_some();
        self.unanswered = if timed_out { self.unanswered + 1 } else { 0 };
        let candidates = self.peers.len().clamp(1, CANDIDATE_READERS);
        let Some(&to) = self.peers.get(self.unanswered % candidates) else {
            return;
        };
        self.last_request += 1;
        let number = self.last_request;
        self.pending = Some((number, now));
        let hash = if self.read_at.is_some() { self.hash } else { 0 };
        out.push(DirectoryEffect::Send(to, Message::Wanted { number, hash }));
        // A reply moves this to a full interval.
        self.next_at = now + self.options.retry_after;
    }

    /// Returns the age of the list at which this instance fetches it although
    /// it is not the designated reader.
    fn takeover_age(&self) -> Duration {
        let preceding =
            self.peers.iter().filter(|p| **p < self.own_id).count();
        let steps =
            u32::try_from(preceding.saturating_sub(1)).unwrap_or(u32::MAX);
        let wait = self.options.takeover_step.saturating_mul(steps);
        self.options.takeover.saturating_add(wait).min(self.options.fallback)
    }

    /// Handles the result of a call; `None` if it failed.
    pub fn read_finished(
        &mut self,
        now: Time,
        directory: Option<Directory>,
        out: &mut Vec<DirectoryEffect>,
    ) {
        let Some(read_at) = self.call_started.take() else { return };
        let Some(directory) = directory else {
            self.next_at = self.next_at.min(now + self.options.retry_after);
            return;
        };
        let directory = Arc::new(directory);
        let hash = hash(&directory);
        self.install(read_at, hash, Some(directory), out);
    }

    /// Handles a message from another instance.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut Vec<DirectoryEffect>,
    ) {
        match message {
            Message::Wanted { number, hash } => {
                let Some(age) = self.age(now) else { return };
                let age_us = age.as_micros() as u64;
                let reply = if hash == self.hash {
                    Message::Unchanged { number, age_us }
                } else {
                    let directory = Arc::clone(&self.directory);
                    Message::Reading { number, age_us, directory }
                };
                out.push(DirectoryEffect::Send(from, reply));
            }
            Message::Reading { number, age_us, directory } => {
                if let Some(sent_at) = self.match_reply(now, number) {
                    let read_at = sent_at - Duration::from_micros(age_us);
                    let hash = hash(&directory);
                    self.install(read_at, hash, Some(directory), out);
                }
            }
            Message::Unchanged { number, age_us } => {
                if let Some(sent_at) = self.match_reply(now, number) {
                    let read_at = sent_at - Duration::from_micros(age_us);
                    self.install(read_at, self.hash, None, out);
                }
            }
        }
    }

    /// Ends the pending request if it has this number, and returns the time at
    /// which it was sent.
    fn match_reply(&mut self, now: Time, number: u64) -> Option<Time> {
        let (last, sent_at) = self.pending?;
        if last != number {
            return None;
        }
        self.pending = None;
        self.next_at = now + self.options.interval;
        Some(sent_at)
    }

    /// Installs a list unless it is older than the current one.
    fn install(
        &mut self,
        read_at: Time,
        hash: u64,
        directory: Option<Arc<Directory>>,
        out: &mut Vec<DirectoryEffect>,
    ) {
        if self.read_at.is_some_and(|at| read_at < at) {
            return;
        }
        let directory = directory.filter(|_| {
            // The hash covers the whole list, including the remaining cold
            // time of each target, so an equal hash means equal content.
            self.read_at.is_none() || hash != self.hash
        });
        if let Some(directory) = &directory {
            self.directory = Arc::clone(directory);
        }
        self.read_at = Some(read_at);
        self.hash = hash;
        out.push(DirectoryEffect::Install { read_at, directory });
    }

    /// Returns whether this instance has the smallest identifier.
    fn is_designated_reader(&self) -> bool {
        self.peers.iter().all(|p| self.own_id < *p)
    }
}

fn hash(directory: &Directory) -> u64 {
    // Writing plain data to a vector cannot fail.
    xxh3_64(&rmp_serde::to_vec(directory).unwrap_or_default())
}
