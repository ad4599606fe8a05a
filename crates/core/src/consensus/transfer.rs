//! Snapshots: when they are taken, and how they reach a replica that is far
//! behind.

use bytes::{Bytes, BytesMut};

use super::{
    Consensus, Message, Payload, Peer, Replica, State, StoredSnapshot, Write,
};
use crate::{
    consensus::ConsensusEffect, event::control as kinds, id::ReplicaId,
    time::Time,
};

/// A snapshot that a leader sends, one part at a time.
pub(super) struct Transfer {
    snapshot: StoredSnapshot,
    offset: u64,
    /// Whether the part at `offset` is on its way.
    pub(super) waiting: bool,
}

impl Transfer {
    pub(super) fn index(&self) -> u64 {
        self.snapshot.index
    }
}

/// A snapshot that a follower receives.
pub(super) struct Incoming {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Consensus {
    /// Asks for a snapshot when enough entries were applied. The log must
    /// also have grown to half the size of the last snapshot, so that a
    /// large state is not written again and again for a few small entries.
    pub(super) fn ask_snapshot(&mut self) {
        let snapshot = self.log.snapshot.as_ref();
        let size = snapshot.map_or(0, |s| s.data.len() as u64);
        let applied = self.applied - self.log.snapshot_index();
        if !self.snapshot_asked
            && applied >= self.options.snapshot_threshold
            && self.log.bytes() >= size / 2
        {
            self.snapshot_asked = true;
            self.out.push(ConsensusEffect::TakeSnapshot);
        }
    }

    pub(super) fn take_snapshot(&mut self, index: u64, data: Bytes) {
        self.snapshot_asked = false;
        // The state machine counts commands only, so the state also covers
        // the other entries up to its next command.
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
        // The disk must hold the entries before a snapshot covers them.
        self.write_log();
        let snapshot = StoredSnapshot {
            index,
            term,
            members: self.log.members_at(index).to_vec(),
            data,
        };
        self.log(
            &kinds::SNAPSHOT_TAKEN,
            format!("index={index} bytes={}", snapshot.data.len()),
        );
        self.persist(Write::Snapshot(snapshot.clone()));
        self.log.compact(snapshot, self.options.trailing_entries);
    }

    /// Starts or continues a transfer to a member.
    pub(super) fn transfer(&mut self, member: &Replica, now: Time) {
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
            p.transfer =
                Some(Transfer { snapshot, offset: 0, waiting: false });
            p.in_flight.clear();
            p.moved = now;
            self.log(&kinds::SNAPSHOT_SENT, detail);
        }
        let State::Leader(leader) = &mut self.state else { return };
        let Some(p) = leader.progress_mut(member.id) else { return };
        let Some(t) = p.transfer.as_mut().filter(|t| !t.waiting) else {
            return;
        };
        t.waiting = true;
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
        };
        self.send(member, 0, message);
    }

    /// Handles a part of a snapshot of the accepted leader.
    pub(super) fn snapshot_part(
        &mut self,
        peer: Peer,
        part: StoredSnapshot,
        offset: u64,
        done: bool,
    ) {
        let term = self.term;
        if part.index <= self.commit {
            // Already there. What is committed here is also at the leader.
            let ticket = self.log.last_ticket().unwrap_or(0);
            let index = self.commit;
            let message =
                Message::AppendReply { term, success: true, index, round: 0 };
            self.answer(&peer, ticket, message);
            return;
        }
        let same = self
            .incoming
            .as_ref()
            .is_some_and(|i| i.index == part.index && i.term == part.term);
        if !same {
            self.incoming = Some(Incoming {
                index: part.index,
                term: part.term,
                data: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else { return };
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
            self.answer(&peer, 0, message);
            return;
        }
        let data = std::mem::take(&mut incoming.data).freeze();
        self.incoming = None;
        self.install(peer, StoredSnapshot { data, ..part });
    }

    fn install(&mut self, peer: Peer, snapshot: StoredSnapshot) {
        let (term, index) = (self.term, snapshot.index);
        self.log(
            &kinds::SNAPSHOT_INSTALLED,
            format!("index={index} bytes={}", snapshot.data.len()),
        );
        let ticket = self.persist(Write::Snapshot(snapshot.clone()));
        self.out.push(ConsensusEffect::Restore {
            index,
            data: snapshot.data.clone(),
        });
        self.log.install(snapshot, ticket);
        self.commit = index;
        self.applied = index;
        let message =
            Message::AppendReply { term, success: true, index, round: 0 };
        self.answer(&peer, ticket, message);
    }

    pub(super) fn snapshot_reply(
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
        // A repeated answer to an earlier part changes nothing. A smaller
        // offset means that the receiver has started again.
        if offset != t.offset || !t.waiting {
            t.offset = offset;
            t.waiting = false;
            p.moved = now;
            self.replicate_one(from, now);
        }
    }
}
