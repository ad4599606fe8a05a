/*!
The platform's list of targets, read by one instance for all.

Every call to the platform has a price and the platform limits their rate, so
the entry instance with the smallest identifier reads the list and sends it
to the others. If no reading comes, the next ones take over one after the
other, so that they do not all call at once.
*/

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{id::InstanceId, time::Time};

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Name of this incarnation; a restart mostly brings another.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to stop and takes no new requests.
    pub leaving: bool,
    /// Time until it is warm, in milliseconds.
    pub cold_ms: u32,
}

/// One reading of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Every target that the list names.
    pub targets: Vec<ListedTarget>,
}

/// Messages between instances about the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A reading of the list.
    Reading {
        /// Time since the call that read it began, in microseconds.
        age_us: u64,
        /// The reading.
        directory: Arc<Directory>,
    },
    /// The sender has no reading yet and wants the receiver's.
    Wanted,
    /// A later call has read the same list again.
    Unchanged {
        /// Time since that call began, in microseconds.
        age_us: u64,
        /// Hash of the list.
        hash: u64,
    },
}

/// When the list is read.
#[derive(Clone, Debug)]
pub struct DirectoryOptions {
    /// Between two readings of the instance that reads for all.
    pub interval: Duration,
    /// Age of the last reading after which the instance that is next in line
    /// reads the list.
    pub takeover: Duration,
    /// Further age after which each following instance does.
    pub takeover_step: Duration,
    /// Age after which any instance does, because it may be cut off.
    pub fallback: Duration,
    /// Time by which the list may lag behind the platform's state.
    pub lag: Duration,
}

impl Default for DirectoryOptions {
    fn default() -> DirectoryOptions {
        DirectoryOptions {
            // A leaving target is known within the lag and one interval,
            // which leaves a second of the 3 s in which it must be left alone.
            interval: Duration::from_millis(900),
            // A reading has failed or was lost by then.
            takeover: Duration::from_millis(1_300),
            takeover_step: Duration::from_millis(250),
            fallback: Duration::from_millis(2_600),
            lag: Duration::from_secs(1),
        }
    }
}

/// What the reader asks of its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryEffect {
    /// Read the list and answer with its result.
    Read,
    /// Send a message to the other entry instances.
    Broadcast(Message),
    /// Send a message to one of them.
    Send(InstanceId, Message),
    /// Use this reading, which is at least as old as `read_at`.
    Install {
        /// When the call that read it began.
        read_at: Time,
        /// The reading; `None` if only its time has changed.
        directory: Option<Arc<Directory>>,
    },
}

/// Decides who reads the list, and keeps the newest reading.
#[derive(Clone, Debug)]
pub struct Reader {
    me: InstanceId,
    options: DirectoryOptions,
    fellows: Vec<InstanceId>,
    /// When the running call began.
    running: Option<Time>,
    next_at: Time,
    /// When this instance began to need a reading.
    needed_since: Option<Time>,
    read_at: Option<Time>,
    /// The last reading.
    directory: Arc<Directory>,
    hash: u64,
    /// Instances joined that have no full reading yet.
    full_due: bool,
}

impl Reader {
    /// Builds a reader for the instance `me`.
    pub fn new(me: InstanceId, options: DirectoryOptions) -> Reader {
        Reader {
            me,
            options,
            fellows: Vec::new(),
            running: None,
            next_at: Time::ZERO,
            needed_since: None,
            read_at: None,
            directory: Arc::default(),
            hash: 0,
            full_due: true,
        }
    }

    /// Sets the other entry instances that are alive.
    pub fn set_fellows(&mut self, fellows: Vec<InstanceId>) {
        let joined = fellows.iter().any(|f| !self.fellows.contains(f));
        self.full_due |= joined;
        self.fellows = fellows;
    }

    /// When `tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.running.is_none().then_some(self.next_at)
    }

    /// Age of the newest reading.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Whether there is any reading.
    pub fn has_reading(&self) -> bool {
        self.read_at.is_some()
    }

    /// Starts a call if this instance is to read the list now.
    pub fn tick(&mut self, now: Time, out: &mut Vec<DirectoryEffect>) {
        if self.running.is_some() || now < self.next_at {
            return;
        }
        let needed_since = *self.needed_since.get_or_insert(now);
        let latest = self.read_at.unwrap_or(needed_since);
        let outdated = now.since(latest) >= self.patience();
        if self.read_at.is_none()
            && let Some(&fellow) = self.fellows.iter().min()
        {
            out.push(DirectoryEffect::Send(fellow, Message::Wanted));
        }
        if self.reads_for_all() || outdated {
            self.running = Some(now);
            out.push(DirectoryEffect::Read);
        }
        let wait = if self.reads_for_all() {
            self.options.interval
        } else {
            self.options.takeover_step
        };
        self.next_at = now + wait;
    }

    /// Age of the last reading at which this instance reads the list itself.
    fn patience(&self) -> Duration {
        let before = self.fellows.iter().filter(|f| **f < self.me).count();
        let steps =
            u32::try_from(before.saturating_sub(1)).unwrap_or(u32::MAX);
        let wait = self.options.takeover_step.saturating_mul(steps);
        self.options.takeover.saturating_add(wait).min(self.options.fallback)
    }

    /// Takes the result of a call; `None` if it failed.
    pub fn read(
        &mut self,
        now: Time,
        directory: Option<Directory>,
        out: &mut Vec<DirectoryEffect>,
    ) {
        let Some(read_at) = self.running.take() else { return };
        let Some(directory) = directory else { return };
        let directory = Arc::new(directory);
        let hash = hash(&directory);
        let unchanged = hash == self.hash;
        let age_us = now.since(read_at).as_micros() as u64;
        let message = if unchanged && !self.full_due {
            Message::Unchanged { age_us, hash }
        } else {
            let directory = Arc::clone(&directory);
            Message::Reading { age_us, directory }
        };
        self.full_due = false;
        out.push(DirectoryEffect::Broadcast(message));
        self.install(read_at, hash, Some(directory), out);
    }

    /// Takes a message of another instance.
    pub fn message(
        &mut self,
        now: Time,
        from: InstanceId,
        message: Message,
        out: &mut Vec<DirectoryEffect>,
    ) {
        let (age_us, hash, directory) = match message {
            Message::Reading { age_us, directory } => {
                (age_us, hash(&directory), Some(directory))
            }
            Message::Unchanged { age_us, hash } if hash == self.hash => {
                (age_us, hash, None)
            }
            Message::Wanted => {
                if let Some(age) = self.age(now) {
                    let directory = Arc::clone(&self.directory);
                    let age_us = age.as_micros() as u64;
                    let reading = Message::Reading { age_us, directory };
                    out.push(DirectoryEffect::Send(from, reading));
                }
                return;
            }
            // The reading that it refers to was lost. The fallback reads
            // the list if no full one follows.
            Message::Unchanged { .. } => return,
        };
        let read_at = now - Duration::from_micros(age_us);
        self.install(read_at, hash, directory, out);
    }

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
            // The remaining cold time is part of the hash, so an equal hash
            // says that nothing is to be taken over.
            self.read_at.is_none() || hash != self.hash
        });
        if let Some(directory) = &directory {
            self.directory = Arc::clone(directory);
        }
        self.read_at = Some(read_at);
        self.hash = hash;
        out.push(DirectoryEffect::Install { read_at, directory });
    }

    fn reads_for_all(&self) -> bool {
        self.fellows.iter().all(|f| self.me < *f)
    }
}

fn hash(directory: &Directory) -> u64 {
    // Writing plain data to a vector cannot fail.
    xxh3_64(&rmp_serde::to_vec(directory).unwrap_or_default())
}
