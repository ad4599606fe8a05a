//! Snapshots: when they are taken, and their transfer to replicas that are
//! far behind.

use std::fmt;

use bytes::{Bytes, BytesMut};

use super::{
    Consensus, Message, Payload, Peer, Replica, State, StoredSnapshot, Write,
};
use crate::{
    consensus::ConsensusEffect, event::control as kinds, id::ReplicaId,
    time::Time,
};

/// A snapshot that a leader sends, one chunk at a time.
pub(super) struct SnapshotTransfer {
    snapshot: StoredSnapshot,
    offset: u64,
    /// Whether the chunk at `offset` was sent and not acknowledged yet.
    pub(super) awaiting_reply: bool,
}

impl fmt::Display for SnapshotTransfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SnapshotTransfer { snapshot, offset, .. } = self;
        write!(f, "{}:{offset}/{}", snapshot.index, snapshot.data.len())
    }
}

impl SnapshotTransfer {
    pub(super) fn index(&self) -> u64 {
        self.snapshot.index
    }
}

/// The chunks of a snapshot that a follower has received so far.
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Consensus {
    /// Requests a snapshot when enough entries or bytes were applied. For the
    /// number of entries, the log must also have reached half the size of the
    /// last snapshot, so that a large state is not rewritten for a few small
    /// entries.
    pub(super) fn request_snapshot(&mut self) {
        let size = self.log.snapshot_bytes();
        let applied = self.applied - self.log.snapshot_index();
        let enough_entries = applied >= self.options.snapshot_threshold
            && self.log.size_bytes() >= size / 2;
        if !self.snapshot_requested
            && applied > 0
            && (enough_entries || self.snapshot_frees_room())
        {
            self.snapshot_requested = true;
            self.effects.push(ConsensusEffect::TakeSnapshot);
        }
    }

    pub(super) fn store_snapshot(&mut self, index: u64, data: Bytes) {
        self.snapshot_requested = false;
        self.room_needed = 0;
        // The state machine knows the index of its last command only. The
        // entries between that one and the next command do not affect it, so
        // the snapshot covers them as well.
        let mut index = index.max(self.log.snapshot_index());
        while index < self.applied
            && self
                .log
                .entry(index + 1)
                .is_some_and(|e| !matches!(e.payload, Payload::Command(_)))
        {
            index += 1;
        }
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.applied || index <= self.log.snapshot_index() {
            return;
        }
        // Entries must be written before the snapshot that covers them.
        self.write_log();
        let (members_index, members) = self.log.members_at(index);
        let snapshot = StoredSnapshot {
            index,
            term,
            members: members.to_vec(),
            data,
            members_index,
        };
        self.log_event(
            &kinds::SNAPSHOT_TAKEN,
            format!("index={index} bytes={}", snapshot.data.len()),
        );
        self.persist(Write::Snapshot(snapshot.clone()));
        let options = &self.options;
        self.log.compact(
            snapshot,
            options.trailing_entries,
            options.trailing_bytes,
        );
    }

    /// Starts a snapshot transfer to a member, or sends its next chunk.
    pub(super) fn send_snapshot(&mut self, member: &Replica, now: Time) {
        let State::Leader(leader) = &mut self.state else { return };
        let Some(p) = leader.progress_mut(member.id) else { return };
        if p.transfer.is_none() {
            let Some(snapshot) = self.log.snapshot.clone() else { return };
            let detail = format!(
                "to={} index={} bytes={}",
                member.id,
                snapshot.index,
                snapshot.data.len()
            );
            p.transfer = Some(SnapshotTransfer {
                snapshot,
                offset: 0,
                awaiting_reply: false,
            });
            p.in_flight.clear();
            p.last_progress = now;
            self.log_event(&kinds::SNAPSHOT_SENT, detail);
        }
        let State::Leader(leader) = &mut self.state else { return };
        let Some(p) = leader.progress_mut(member.id) else { return };
        let Some(t) = p.transfer.as_mut().filter(|t| !t.awaiting_reply) else {
            return;
        };
        t.awaiting_reply = true;
        let size = t.snapshot.data.len();
        let start = (t.offset as usize).min(size);
        let end = (start + self.options.snapshot_chunk_bytes).min(size);
        let message = Message::Snapshot {
            term: self.term,
            index: t.snapshot.index,
            index_term: t.snapshot.term,
            members: t.snapshot.members.clone(),
            offset: start as u64,
            data: t.snapshot.data.slice(start..end),
            done: end == size,
            members_index: t.snapshot.members_index,
        };
        self.send(member, 0, message);
    }

    /// Handles a snapshot chunk from the accepted leader.
    pub(super) fn handle_snapshot_part(
        &mut self,
        peer: Peer,
        part: StoredSnapshot,
        offset: u64,
        done: bool,
    ) {
        let term = self.term;
        if part.index <= self.commit {
            // The snapshot covers only entries that are committed here. The
            // leader has all of those, so the reply confirms them.
            let ticket = self.log.last_ticket().unwrap_or(0);
            let index = self.commit;
            let message =
                Message::AppendReply { term, success: true, index, round: 0 };
            self.reply(&peer, ticket, message);
            return;
        }
        let continues = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|i| i.index == part.index && i.term == part.term);
        if !continues {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index: part.index,
                term: part.term,
                data: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return };
        let expected = incoming.data.len() as u64;
        if offset == expected {
            incoming.data.extend_from_slice(&part.data);
        }
        if offset != expected || !done {
            let message = Message::SnapshotReply {
                term,
                index: part.index,
                offset: incoming.data.len() as u64,
            };
            self.reply(&peer, 0, message);
            return;
        }
        let data = std::mem::take(&mut incoming.data).freeze();
        self.incoming_snapshot = None;
        self.install_snapshot(peer, StoredSnapshot { data, ..part });
    }

    fn install_snapshot(&mut self, peer: Peer, snapshot: StoredSnapshot) {
        let (term, index) = (self.term, snapshot.index);
        self.log_event(
            &kinds::SNAPSHOT_INSTALLED,
            format!("index={index} bytes={}", snapshot.data.len()),
        );
        let ticket = self.persist(Write::Snapshot(snapshot.clone()));
        self.effects.push(ConsensusEffect::Restore {
            index,
            data: snapshot.data.clone(),
        });
        self.log.install(snapshot, ticket);
        self.commit = index;
        self.applied = index;
        let message =
            Message::AppendReply { term, success: true, index, round: 0 };
        self.reply(&peer, ticket, message);
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        now: Time,
        from: ReplicaId,
        term: u64,
        index: u64,
        offset: u64,
    ) {
        if term > self.term {
            return;
        }
        let State::Leader(leader) = &mut self.state else { return };
        let Some(p) = leader.progress_mut(from) else { return };
        let Some(t) = &mut p.transfer else { return };
        if term != self.term || index != t.index() {
            return;
        }
        // A duplicate reply to an earlier chunk changes nothing. A smaller
        // offset means that the receiver has started over.
        if offset != t.offset || !t.awaiting_reply {
            t.offset = offset;
            t.awaiting_reply = false;
            p.advance(now);
            self.replicate_one(from, now);
        }
    }
}
