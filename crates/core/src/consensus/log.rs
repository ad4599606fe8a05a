//! The log in memory, and how much of it is written and synced to disk.

use std::collections::VecDeque;

use crate::consensus::{
    Entry, Payload, Recovered, Replica, StoredSnapshot, Write,
};

/// Most bytes that the encoding of a record with one entry adds to the payload.
const RECORD_BYTES: u64 = 80;

/// Longest identifier in a command, in bytes.
const MAX_ID_BYTES: u64 = crate::control::service::MAX_ID_BYTES as u64;

/// The log entries after a base index, and the last snapshot.
///
/// The base index is at or before the last index of the snapshot, so that a
/// follower that is slightly behind needs no snapshot.
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    size_bytes: u64,
    /// Size on disk of the entries after the snapshot.
    stored_bytes: u64,
    pub(crate) snapshot: Option<StoredSnapshot>,
    /// Each list of members with the index from which it applies, oldest
    /// first. The first list applies from an index at or before the base.
    members: Vec<(u64, Vec<Replica>)>,
    /// Last index up to which the issued writes match the log.
    written_index: u64,
    /// Whether the disk holds entries after `written_index` that were
    /// truncated in memory.
    truncated: bool,
    /// Last index up to which the log is synced.
    synced_index: u64,
    /// Ticket and last index of each write that is not synced yet.
    unsynced: VecDeque<(u64, u64)>,
}

impl Log {
    pub(crate) fn new(recovered: Recovered) -> Log {
        let (base_index, base_term, members) = match &recovered.snapshot {
            Some(s) => {
                let members = (s.members_since(), s.members.clone());
                (s.index, s.term, vec![members])
            }
            None => (0, 0, vec![(0, Vec::new())]),
        };
        let mut log = Log {
            base_index,
            base_term,
            entries: VecDeque::new(),
            size_bytes: 0,
            stored_bytes: 0,
            snapshot: recovered.snapshot,
            members,
            written_index: 0,
            truncated: false,
            synced_index: 0,
            unsynced: VecDeque::new(),
        };
        for entry in recovered.entries {
            log.push(entry);
        }
        log.written_index = log.last_index();
        log.synced_index = log.written_index;
        log
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Returns the last index of the snapshot, or 0.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Returns the size of the snapshot, or 0.
    pub(crate) fn snapshot_bytes(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.data.len() as u64)
    }

    /// Returns the largest size on disk of the entries after the snapshot.
    pub(crate) fn stored_bytes(&self) -> u64 {
        self.stored_bytes
    }

    /// Returns the size of the entries in memory.
    pub(crate) fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            Some(self.base_term)
        } else {
            self.entry(index).map(|e| e.term)
        }
    }

    /// Returns the members as of the last entry.
    pub(crate) fn members(&self) -> &[Replica] {
        self.members.last().map_or(&[], |(_, m)| m)
    }

    /// Returns the index of the last membership change.
    pub(crate) fn members_index(&self) -> u64 {
        self.members.last().map_or(0, |(i, _)| *i)
    }

    /// Returns the members as of `index`, and since when they apply.
    pub(crate) fn members_at(&self, index: u64) -> (u64, &[Replica]) {
        let at = self.members.partition_point(|(i, _)| *i <= index);
        let list = at.checked_sub(1).map(|at| &self.members[at]);
        list.map_or((0, &[]), |(since, members)| (*since, members))
    }

    /// Returns every replica in the members as of `commit` or in a later
    /// change.
    pub(crate) fn possible_members(
        &self,
        commit: u64,
    ) -> impl Iterator<Item = &Replica> {
        let at = self.members.partition_point(|(i, _)| *i <= commit);
        self.members[at.saturating_sub(1)..].iter().flat_map(|(_, m)| m)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.size_bytes += entry_bytes(&entry);
        self.stored_bytes += disk_bytes(&entry.payload);
        self.entries.push_back(entry);
    }

    /// Returns the entries from `from` on, up to `limit` bytes but at least
    /// one.
    pub(crate) fn slice(&self, from: u64, limit: u64) -> Vec<Entry> {
        let mut sum = 0;
        let mut entries = Vec::new();
        let at = from.saturating_sub(self.base_index + 1) as usize;
        for entry in self.entries.iter().skip(at) {
            sum += entry_bytes(entry);
            if sum > limit && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Removes all entries after index `after`.
    pub(crate) fn truncate(&mut self, after: u64) {
        while self.last_index() > after {
            match self.entries.pop_back() {
                Some(e) => {
                    self.size_bytes -= entry_bytes(&e);
                    self.stored_bytes -= disk_bytes(&e.payload);
                }
                None => break,
            }
        }
        while self.members.len() > 1 && self.members_index() > after {
            self.members.pop();
        }
        if self.written_index > after {
            self.written_index = after;
            self.truncated = true;
        }
        self.synced_index = self.synced_index.min(after);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(after);
        }
    }

    /// Whether a write is in progress.
    pub(crate) fn is_writing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Returns the ticket of the last unsynced write.
    pub(crate) fn last_ticket(&self) -> Option<u64> {
        self.unsynced.back().map(|(ticket, _)| *ticket)
    }

    /// Returns the write that makes the disk match the log, unless it already
    /// does.
    pub(crate) fn take_write(&mut self, ticket: u64) -> Option<Write> {
        if self.written_index == self.last_index() && !self.truncated {
            return None;
        }
        let after = self.written_index;
        let entries = self.slice(after + 1, u64::MAX);
        self.written_index = self.last_index();
        self.truncated = false;
        self.unsynced.push_back((ticket, self.written_index));
        Some(Write::Append { after, entries })
    }

    /// Records that all writes up to `ticket` are synced.
    pub(crate) fn mark_synced(&mut self, ticket: u64) {
        while let Some((t, last)) = self.unsynced.front().copied() {
            if t > ticket {
                break;
            }
            self.synced_index = self.synced_index.max(last);
            self.unsynced.pop_front();
        }
    }

    /// Stores a snapshot of the own state machine and drops the entries that
    /// it covers, except the last `keep`, of at most `keep_bytes`.
    pub(crate) fn compact(
        &mut self,
        snapshot: StoredSnapshot,
        keep: u64,
        keep_bytes: u64,
    ) {
        let least = snapshot.index.saturating_sub(keep).max(self.base_index);
        let (mut base, mut kept) = (snapshot.index, 0);
        while base > least {
            kept += self.entry(base).map_or(0, entry_bytes);
            if kept > keep_bytes {
                break;
            }
            base -= 1;
        }
        let term = self.term_at(base).unwrap_or(snapshot.term);
        while self.base_index < base {
            let Some(entry) = self.entries.pop_front() else { break };
            self.size_bytes -= entry_bytes(&entry);
            self.base_index += 1;
        }
        self.base_term = term;
        let first = self.members.partition_point(|(i, _)| *i <= base);
        self.members.drain(..first.saturating_sub(1));
        let rest = self.entries_after(snapshot.index);
        self.stored_bytes = rest.map(|e| disk_bytes(&e.payload)).sum();
        self.snapshot = Some(snapshot);
    }

    /// Stores a snapshot from the leader. The entries after it are kept if
    /// the entry at its index has the same term, and dropped otherwise.
    /// `ticket` must be the ticket of the next write.
    pub(crate) fn install(&mut self, snapshot: StoredSnapshot, ticket: u64) {
        let follows = self.term_at(snapshot.index) == Some(snapshot.term);
        if follows && snapshot.index >= self.base_index {
            // Entries that are written but not synced keep their tickets.
            self.compact(snapshot, 0, 0);
            let index = self.base_index;
            self.written_index = self.written_index.max(index);
            self.unsynced.push_back((ticket, index));
            return;
        }
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.size_bytes = 0;
        self.stored_bytes = 0;
        self.members =
            vec![(snapshot.members_since(), snapshot.members.clone())];
        self.written_index = snapshot.index;
        self.truncated = false;
        self.synced_index = 0;
        self.unsynced.clear();
        self.unsynced.push_back((ticket, snapshot.index));
        self.snapshot = Some(snapshot);
    }

    /// Returns the entries after `index`.
    pub(crate) fn entries_after(
        &self,
        index: u64,
    ) -> impl Iterator<Item = &Entry> {
        let at = index.saturating_sub(self.base_index) as usize;
        self.entries.iter().skip(at)
    }
}

/// Returns the size of an entry that counts towards the limits. The constant
/// accounts for its index, its term and the encoding overhead.
fn entry_bytes(entry: &Entry) -> u64 {
    payload_bytes(&entry.payload) + 24
}

fn payload_bytes(payload: &Payload) -> u64 {
    match payload {
        Payload::Empty => 0,
        Payload::Command(c) => c.len() as u64,
        Payload::Members(m) => 64 * m.len() as u64,
    }
}

/// Returns the most that an entry adds to the data folder, as an entry or as a
/// part of the state. A record of its own adds at most `RECORD_BYTES`, and the
/// state holds an identifier of at most `MAX_ID_BYTES` twice.
pub(super) fn disk_bytes(payload: &Payload) -> u64 {
    disk_bytes_of(payload_bytes(payload))
}

/// Returns the same for a payload of `bytes`.
pub(super) fn disk_bytes_of(bytes: u64) -> u64 {
    bytes + bytes.min(2 * MAX_ID_BYTES) + RECORD_BYTES
}
