//! The log in memory, and how much of it is written and synced.

use std::collections::VecDeque;

use crate::consensus::{
    Entry, Payload, Recovered, Replica, StoredSnapshot, Write,
};

/// The log behind its base, and the last snapshot.
///
/// The base lies at or before the last index of the snapshot, so that a
/// follower that is a little behind needs no snapshot.
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    bytes: u64,
    pub(crate) snapshot: Option<StoredSnapshot>,
    /// The members at each change, oldest first; the first is at or before
    /// the snapshot.
    members: Vec<(u64, Vec<Replica>)>,
    /// Up to here, the writes issued equal the log.
    written: u64,
    /// Whether the disk holds entries behind `written` that were cut here.
    cut: bool,
    /// Up to here, the log is synced.
    synced: u64,
    /// Ticket and last index of each append that is not synced yet.
    unsynced: VecDeque<(u64, u64)>,
}

impl Log {
    pub(crate) fn new(recovered: Recovered) -> Log {
        let (base_index, base_term, members) = match &recovered.snapshot {
            Some(s) => (s.index, s.term, vec![(s.index, s.members.clone())]),
            None => (0, 0, vec![(0, Vec::new())]),
        };
        let mut log = Log {
            base_index,
            base_term,
            entries: VecDeque::new(),
            bytes: 0,
            snapshot: recovered.snapshot,
            members,
            written: 0,
            cut: false,
            synced: 0,
            unsynced: VecDeque::new(),
        };
        for entry in recovered.entries {
            log.push(entry);
        }
        log.written = log.last_index();
        log.synced = log.written;
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

    pub(crate) fn synced(&self) -> u64 {
        self.synced
    }

    /// Last index of the snapshot, or zero.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |s| s.index)
    }

    /// Payload bytes of the entries in memory.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
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

    /// The members as of the last entry.
    pub(crate) fn members(&self) -> &[Replica] {
        self.members.last().map_or(&[], |(_, m)| m)
    }

    /// Index of the last change of the members.
    pub(crate) fn members_index(&self) -> u64 {
        self.members.last().map_or(0, |(i, _)| *i)
    }

    /// The members as of `index`.
    pub(crate) fn members_at(&self, index: u64) -> &[Replica] {
        let at = self.members.partition_point(|(i, _)| *i <= index);
        at.checked_sub(1).map_or(&[], |at| &self.members[at].1)
    }

    /// Everyone in the members as of `commit` or in a later change.
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
        self.bytes += size(&entry);
        self.entries.push_back(entry);
    }

    /// Entries from `from` to the end, up to `limit` bytes and at least one.
    pub(crate) fn slice(&self, from: u64, limit: u64) -> Vec<Entry> {
        let mut sum = 0;
        let mut entries = Vec::new();
        let at = from.saturating_sub(self.base_index + 1) as usize;
        for entry in self.entries.iter().skip(at) {
            sum += size(entry);
            if sum > limit && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Cuts everything behind `after`.
    pub(crate) fn truncate(&mut self, after: u64) {
        while self.last_index() > after {
            match self.entries.pop_back() {
                Some(e) => self.bytes -= size(&e),
                None => break,
            }
        }
        while self.members.len() > 1 && self.members_index() > after {
            self.members.pop();
        }
        if self.written > after {
            self.written = after;
            self.cut = true;
        }
        self.synced = self.synced.min(after);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(after);
        }
    }

    /// Whether an append is on its way to the disk.
    pub(crate) fn is_writing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Ticket of the append after which everything written is synced.
    pub(crate) fn last_ticket(&self) -> Option<u64> {
        self.unsynced.back().map(|(ticket, _)| *ticket)
    }

    /// The write that makes the disk equal to the log, if it is not.
    pub(crate) fn write(&mut self, ticket: u64) -> Option<Write> {
        if self.written == self.last_index() && !self.cut {
            return None;
        }
        let after = self.written;
        let entries = self.slice(after + 1, u64::MAX);
        self.written = self.last_index();
        self.cut = false;
        self.unsynced.push_back((ticket, self.written));
        Some(Write::Append { after, entries })
    }

    /// Notes that all writes up to `ticket` are synced.
    pub(crate) fn persisted(&mut self, ticket: u64) {
        while let Some((t, last)) = self.unsynced.front().copied() {
            if t > ticket {
                break;
            }
            self.synced = self.synced.max(last);
            self.unsynced.pop_front();
        }
    }

    /// Takes over a snapshot of the own state machine and drops the entries
    /// that it covers, but for the last `keep`.
    pub(crate) fn compact(&mut self, snapshot: StoredSnapshot, keep: u64) {
        let base = snapshot.index.saturating_sub(keep).max(self.base_index);
        let term = self.term_at(base).unwrap_or(snapshot.term);
        while self.base_index < base {
            let Some(entry) = self.entries.pop_front() else { break };
            self.bytes -= size(&entry);
            self.base_index += 1;
        }
        self.base_term = term;
        let first = self.members.partition_point(|(i, _)| *i <= base);
        self.members.drain(..first.saturating_sub(1));
        self.snapshot = Some(snapshot);
    }

    /// Takes over a snapshot from the leader. Entries behind it stay if they
    /// follow it. The write with this ticket must be the next one.
    pub(crate) fn install(&mut self, snapshot: StoredSnapshot, ticket: u64) {
        let follows = self.term_at(snapshot.index) == Some(snapshot.term);
        if follows && snapshot.index >= self.base_index {
            // Entries that are written but not synced keep their tickets.
            self.compact(snapshot, 0);
            let index = self.base_index;
            self.written = self.written.max(index);
            self.unsynced.push_back((ticket, index));
            return;
        }
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.bytes = 0;
        self.members = vec![(snapshot.index, snapshot.members.clone())];
        self.written = snapshot.index;
        self.cut = false;
        self.synced = 0;
        self.unsynced.clear();
        self.unsynced.push_back((ticket, snapshot.index));
        self.snapshot = Some(snapshot);
    }

    /// Entries behind `index`.
    pub(crate) fn after(&self, index: u64) -> impl Iterator<Item = &Entry> {
        let at = index.saturating_sub(self.base_index) as usize;
        self.entries.iter().skip(at)
    }
}

/// Bytes that an entry counts towards limits; the constant stands for its
/// numbers and framing.
fn size(entry: &Entry) -> u64 {
    let payload = match &entry.payload {
        Payload::Empty => 0,
        Payload::Command(c) => c.len() as u64,
        Payload::Members(m) => 64 * m.len() as u64,
    };
    payload + 24
}
