/*!
The platform's target list, fetched by one instance for the fleet. The code
calls the list the directory.

Calls to the platform are charged and rate-limited. Therefore the entry
instance with the smallest identifier, the designated reader, fetches the list.
If it does not answer, the next instances take over one after another, so that
they do not all call the platform at once. However old the list becomes, only
as many instances fetch it as the rate limit allows, by the number of its pages:
if more did, all their calls would fail, and the list would stay old.

In a small fleet, the others request the list from the reader. In a large one,
the first instances of each availability zone are relays, from which the others
of the zone request it, so that a list enters each zone a few times only. A
reply holds what has changed since the list that the other side has, whose hash
the request names.

The age of a list in a reply counts from the time at which the request was
sent. Otherwise a message that a partition has delayed for seconds would be
mistaken for a new list.
*/

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{id::InstanceId, time::Time};

/// Number of instances among which requests rotate while none is answered.
/// As many may fetch the list, whatever the rate limit is.
const CANDIDATE_READERS: usize = 3;

/// Number of requests after which the preferred source is tried again.
const PREFERRED_INTERVAL: u64 = 4;

/// Time that reading a page may take, by which a list gets older before the
/// others have it.
const PAGE_READ_TIME: Duration = Duration::from_millis(30);

/// Largest number of instances that fetch the list at the same time when it
/// reaches the age of the fallback.
const MAX_FALLBACK_READERS: usize = 8;

/// Largest number of other instances that request the list from the reader
/// itself.
const MAX_DIRECT_REQUESTERS: usize = 32;

/// Number of former lists that are kept to answer with differences.
const MAX_FORMER_LISTS: usize = 8;

/// Maximum number of doublings of the pause before a request is repeated.
const MAX_RETRY_DOUBLINGS: u32 = 1;

/// Maximum number of doublings of the pause before a failed call is repeated.
/// The pause ends at the interval, so that instances whose calls fail make no
/// more of them than while they succeed.
const MAX_CALL_DOUBLINGS: u32 = 8;

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
    /// Version of the target's software; empty if the list has none.
    #[serde(default)]
    pub version: String,
}

/// The platform's target list, as one call returned it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// All listed targets.
    pub targets: Vec<ListedTarget>,
}

/// Differences between two target lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Hash of the former list.
    pub base: u64,
    /// Hash of the new list.
    pub hash: u64,
    /// Names of the targets that are no longer listed.
    pub removed: Vec<String>,
    /// Targets that are new or have changed.
    pub changed: Vec<ListedTarget>,
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
    /// Replies to `Wanted` with what has changed since the sender's list.
    Changes {
        /// Number of the request.
        number: u64,
        /// Time since the start of the call that fetched the list, in
        /// microseconds.
        age_us: u64,
        /// The differences.
        changes: Arc<Changes>,
    },
}

impl Message {
    /// Returns the age of the list in a reply.
    fn age(&self) -> Option<Duration> {
        match self {
            Message::Wanted { .. } => None,
            Message::Reading { age_us, .. }
            | Message::Changes { age_us, .. }
            | Message::Unchanged { age_us, .. } => {
                Some(Duration::from_micros(*age_us))
            }
        }
    }
}

/// Options of fetching the target list.
#[derive(Clone, Debug)]
pub struct DirectoryOptions {
    /// Time between two fetches, and between a reply and the next request.
    pub interval: Duration,
    /// Time after which an unanswered request is sent to another instance,
    /// and a call that has failed for the first time is repeated.
    pub retry_after: Duration,
    /// Age of the list at which the first instance after the designated
    /// reader fetches it.
    pub takeover: Duration,
    /// Additional age for each further instance.
    pub takeover_step: Duration,
    /// Age at which the first instances in line fetch the list, because they
    /// may be partitioned from the others.
    pub fallback: Duration,
    /// Time by which the target list may lag behind the platform's state.
    pub lag: Duration,
    /// Calls that the platform accepts within `interval`, from all instances.
    pub max_calls: u32,
    /// Number of targets on a page of the list. Each page is a call.
    pub page_size: u32,
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
            max_calls: 40,
            page_size: 50,
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
    /// Those of them in the own zone, sorted.
    zone_peers: Vec<InstanceId>,
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
    /// Number of consecutive requests without a reply that has a new list.
    unanswered: u32,
    /// Position in the rotation of the instances that the list is requested
    /// from. Stays where a request was answered.
    turn: usize,
    /// Time of the last reply of an instance with a smaller identifier.
    reader_heard_at: Option<Time>,
    /// Whether this instance fetches the list in place of the designated
    /// reader, until one before it has a list again.
    acts_as_reader: bool,
    /// Number of consecutive calls that failed.
    failed_calls: u32,
    /// Time before which this instance does not call the platform.
    call_at: Time,
    /// Former lists with their hashes, oldest first.
    former: VecDeque<(u64, Arc<Directory>)>,
    /// Differences to the newest list that were asked for.
    changes: Vec<Arc<Changes>>,
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
            zone_peers: Vec::new(),
            call_started: None,
            next_at: Time::ZERO,
            needed_since: None,
            read_at: None,
            directory: Arc::default(),
            hash: 0,
            pending: None,
            last_request: 0,
            unanswered: 0,
            turn: 0,
            reader_heard_at: None,
            acts_as_reader: false,
            failed_calls: 0,
            call_at: Time::ZERO,
            former: VecDeque::new(),
            changes: Vec::new(),
        }
    }

    /// Numbers requests from a random start, so that a late reply to a request
    /// from before a restart matches none. It would give a list a wrong age.
    pub fn with_first_request(mut self, number: u64) -> DirectoryReader {
        self.last_request = number;
        self
    }

    /// Sets the other entry instances that are alive, and those of them in the
    /// own zone.
    pub fn set_peers(
        &mut self,
        mut peers: Vec<InstanceId>,
        mut zone_peers: Vec<InstanceId>,
    ) {
        peers.sort_unstable();
        zone_peers.sort_unstable();
        self.zone_peers = zone_peers;
        if peers != self.peers {
            self.peers = peers;
            self.turn = 0;
        }
    }

    /// Returns the time at which `tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.call_started.is_none().then_some(self.next_at)
    }

    /// Returns the age of the newest list.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Returns the age of the newest list or, if there is none, the time since
    /// one has been needed.
    pub fn wait(&self, now: Time) -> Option<Duration> {
        self.read_at.or(self.needed_since).map(|at| now.since(at))
    }

    /// Returns the newest list.
    pub fn directory(&self) -> &Directory {
        &self.directory
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
        let age = now.since(latest);
        let takes_over = self.rank() < self.max_readers()
            && (age >= self.takeover_age() && !self.reader_is_slow(now, age)
                || self.acts_as_reader && age >= self.options.interval);
        if now >= self.call_at && (self.is_designated_reader() || takes_over) {
            self.call_started = Some(now);
            out.push(DirectoryEffect::Read);
        }
        if self.is_designated_reader() {
            self.next_at = now + self.options.interval;
        } else {
            self.request_directory(now, out);
        }
    }

    /// Requests the list from another instance, after an unanswered request
    /// from the next one.
    fn request_directory(
        &mut self,
        now: Time,
        out: &mut Vec<DirectoryEffect>,
    ) {
        if self.pending.is_some() {
            self.next_source();
        }
        // In a small fleet, the preferred source is the reader itself.
        let interval = if self.is_large() { PREFERRED_INTERVAL } else { 1 };
        if self.unanswered == 0 && self.last_request.is_multiple_of(interval) {
            self.turn = 0;
        }
        let Some(to) = self.source() else { return };
        self.last_request += 1;
        let number = self.last_request;
        self.pending = Some((number, now));
        let hash = if self.read_at.is_some() { self.hash } else { 0 };
        out.push(DirectoryEffect::Send(to, Message::Wanted { number, hash }));
        // A reply moves this to a full interval.
        self.next_at = now + self.retry_pause(self.unanswered);
    }

    /// Turns to another instance after one that gave no new list.
    fn next_source(&mut self) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.turn = self.turn.wrapping_add(1);
    }

    /// Whether the fleet is so large that requests of all instances at the same
    /// time would be too many for one of them.
    fn is_large(&self) -> bool {
        self.peers.len() > MAX_DIRECT_REQUESTERS
    }

    /// Returns the pause before a request is repeated.
    fn retry_pause(&self, doublings: u32) -> Duration {
        // After a loss of power, no instance has a list and all wait for it.
        let backs_off = self.is_large() && self.read_at.is_some();
        let most = if backs_off { MAX_RETRY_DOUBLINGS } else { 0 };
        self.pause_after(doublings.min(most))
    }

    fn pause_after(&self, doublings: u32) -> Duration {
        let pause = self.options.retry_after * (1 << doublings);
        pause.min(self.options.interval)
    }

    /// Returns the instance from which the list is requested next.
    fn source(&self) -> Option<InstanceId> {
        // Two relays are tried before the readers.
        if self.is_large() && !self.is_relay() && self.turn % 4 < 2 {
            let rank = self.zone_rank();
            let at = (rank + self.turn) % self.relay_count();
            return self.zone_peers.get(at).copied();
        }
        let readers = self.peers.len().clamp(1, CANDIDATE_READERS);
        let at = self.turn % readers;
        self.peers.get(at.min(self.peers.len().saturating_sub(1))).copied()
    }

    /// Returns the number of relays in the own zone of a large fleet.
    fn relay_count(&self) -> usize {
        let instances = self.zone_peers.len() + 1;
        instances.div_ceil(MAX_DIRECT_REQUESTERS).max(CANDIDATE_READERS)
    }

    /// Whether other instances request the list from this one, so that it
    /// needs the newest one sooner.
    fn is_relay(&self) -> bool {
        self.is_large() && self.zone_rank() < self.relay_count()
    }

    /// Returns the number of instances of the own zone with a smaller
    /// identifier.
    fn zone_rank(&self) -> usize {
        self.zone_peers.partition_point(|p| *p < self.own_id)
    }

    /// Returns the number of instances with a smaller identifier.
    fn rank(&self) -> usize {
        self.peers.partition_point(|p| *p < self.own_id)
    }

    /// Returns how many instances may fetch the list within an interval.
    fn max_readers(&self) -> usize {
        if self.read_at.is_none() {
            return CANDIDATE_READERS;
        }
        let readers = self.options.max_calls / self.page_count();
        (readers as usize).max(CANDIDATE_READERS)
    }

    /// Whether an instance before this one is alive and has to be given time,
    /// because the rate limit does not allow two of them to read the list.
    fn reader_is_slow(&self, now: Time, age: Duration) -> bool {
        let two_fit = 2 * self.page_count() <= self.options.max_calls;
        let is_heard = self
            .reader_heard_at
            .is_some_and(|at| now.since(at) < self.takeover_age());
        !two_fit && is_heard && age < 2 * self.options.fallback
    }

    /// Returns the number of pages of the newest list.
    fn page_count(&self) -> u32 {
        let targets = u32::try_from(self.directory.targets.len());
        targets.unwrap_or(u32::MAX).div_ceil(self.options.page_size).max(1)
    }

    /// Returns the age of the list at which this instance fetches it although
    /// it is not the designated reader.
    fn takeover_age(&self) -> Duration {
        let steps = u32::try_from(self.rank().saturating_sub(1));
        let wait = self
            .options
            .takeover_step
            .saturating_mul(steps.unwrap_or(u32::MAX));
        let relay = match self.is_relay() {
            true => self.options.interval / 2,
            false => Duration::ZERO,
        };
        let slack = relay + PAGE_READ_TIME * self.page_count();
        let age = (self.options.takeover + slack).saturating_add(wait);
        if self.rank() <= MAX_FALLBACK_READERS {
            age.min(self.options.fallback.max(self.options.takeover + slack))
        } else {
            age
        }
    }

    /// Handles the result of a call; `None` if it failed.
    pub fn read_finished(
        &mut self,
        now: Time,
        directory: Option<Directory>,
        out: &mut Vec<DirectoryEffect>,
    ) {
        let Some(read_at) = self.call_started.take() else { return };
        let Some(mut directory) = directory else {
            let pause =
                self.pause_after(self.failed_calls.min(MAX_CALL_DOUBLINGS));
            self.failed_calls = self.failed_calls.saturating_add(1);
            self.call_at = now + pause;
            self.next_at = self.next_at.min(now + pause);
            return;
        };
        self.failed_calls = 0;
        self.acts_as_reader = !self.is_designated_reader()
            && self.reader_heard_at.is_none_or(|at| at < read_at);
        directory.targets.sort_by(|a, b| a.name.cmp(&b.name));
        directory.targets.dedup_by(|a, b| a.name == b.name);
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
        if let Some(age) = message.age()
            && from < self.own_id
        {
            self.reader_heard_at = Some(now);
            if age < 2 * self.options.fallback {
                self.acts_as_reader = false;
            }
        }
        match message {
            Message::Wanted { number, hash } => {
                let Some(age) = self.age(now) else { return };
                let age_us = age.as_micros() as u64;
                let reply = if hash == self.hash {
                    Message::Unchanged { number, age_us }
                } else if let Some(changes) = self.changes_since(hash) {
                    Message::Changes { number, age_us, changes }
                } else {
                    let directory = Arc::clone(&self.directory);
                    Message::Reading { number, age_us, directory }
                };
                out.push(DirectoryEffect::Send(from, reply));
            }
            Message::Reading { number, age_us, directory } => {
                if let Some(read_at) = self.match_reply(now, number, age_us) {
                    let hash = hash(&directory);
                    self.install(read_at, hash, Some(directory), out);
                }
            }
            Message::Changes { number, age_us, changes } => {
                let Some(read_at) = self.match_reply(now, number, age_us)
                else {
                    return;
                };
                match self.apply(&changes) {
                    Some(directory) => {
                        let directory = Some(Arc::new(directory));
                        self.install(read_at, changes.hash, directory, out);
                    }
                    // The whole list is requested next.
                    None => {
                        self.hash = 0;
                        self.next_at = now;
                    }
                }
            }
            Message::Unchanged { number, age_us } => {
                if let Some(read_at) = self.match_reply(now, number, age_us) {
                    self.install(read_at, self.hash, None, out);
                }
            }
        }
    }

    /// Ends the pending request if it has this number, and returns the
    /// earliest possible start of the call that fetched the list.
    fn match_reply(
        &mut self,
        now: Time,
        number: u64,
        age_us: u64,
    ) -> Option<Time> {
        let (last, sent_at) = self.pending?;
        if last != number {
            return None;
        }
        self.pending = None;
        let age = Duration::from_micros(age_us);
        if age >= self.options.fallback {
            // The sender gets no new list itself, so another one is asked.
            self.next_source();
            self.next_at = now + self.retry_pause(self.unanswered);
        } else {
            self.unanswered = 0;
            let divisor = if self.is_relay() { 2 } else { 1 };
            self.next_at = now + self.options.interval / divisor;
        }
        Some(sent_at - age)
    }

    /// Returns the differences between a former list and the newest one, if
    /// the former one is known and they are shorter than the list.
    fn changes_since(&mut self, base: u64) -> Option<Arc<Changes>> {
        if let Some(known) = self.changes.iter().find(|c| c.base == base) {
            return Some(Arc::clone(known));
        }
        let (_, former) = self.former.iter().find(|f| f.0 == base)?;
        let changes = differences(former, &self.directory);
        let length = changes.removed.len() + changes.changed.len();
        if length * 2 > self.directory.targets.len() {
            return None;
        }
        let changes = Arc::new(Changes { base, hash: self.hash, ..changes });
        self.changes.push(Arc::clone(&changes));
        Some(changes)
    }

    /// Applies differences to the list. Returns `None` if they are to another
    /// list, or if the result is not the list that they describe.
    fn apply(&self, changes: &Changes) -> Option<Directory> {
        if changes.base != self.hash {
            return None;
        }
        let mut targets = self.directory.targets.clone();
        let removed = |name: &String| changes.removed.contains(name);
        targets.retain(|t| !removed(&t.name));
        for target in &changes.changed {
            let name = target.name.as_str();
            match targets.binary_search_by(|t| t.name.as_str().cmp(name)) {
                Ok(i) => targets[i].clone_from(target),
                Err(i) => targets.insert(i, target.clone()),
            }
        }
        let directory = Directory { targets };
        (hash(&directory) == changes.hash).then_some(directory)
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
            let former =
                std::mem::replace(&mut self.directory, Arc::clone(directory));
            if self.read_at.is_some() {
                self.former.push_back((self.hash, former));
            }
            if self.former.len() > MAX_FORMER_LISTS {
                self.former.pop_front();
            }
            self.changes.clear();
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

/// Returns what has changed from one list to another, both sorted by name.
fn differences(former: &Directory, newest: &Directory) -> Changes {
    let find = |list: &Directory, name: &str| {
        list.targets.binary_search_by(|t| t.name.as_str().cmp(name))
    };
    let removed = former
        .targets
        .iter()
        .filter(|t| find(newest, &t.name).is_err())
        .map(|t| t.name.clone())
        .collect();
    let is_changed = |t: &&ListedTarget| {
        find(former, &t.name).map_or(true, |i| former.targets[i] != **t)
    };
    let changed = newest.targets.iter().filter(is_changed).cloned().collect();
    Changes { removed, changed, ..Changes::default() }
}

fn hash(directory: &Directory) -> u64 {
    // Writing plain data to a vector cannot fail.
    xxh3_64(&rmp_serde::to_vec(directory).unwrap_or_default())
}
