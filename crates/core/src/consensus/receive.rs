//! Bootstrap, joining a group, and the dispatch of received messages.

use super::{
    Consensus, Entry, Envelope, Message, Payload, Replica, StoredSnapshot,
    outbox::Peer,
};
use crate::{event::control as kinds, time::Time};

impl Consensus {
    pub(super) fn bootstrap(
        &mut self,
        now: Time,
        group: u64,
        replica: Replica,
    ) {
        let fresh = self.group == 0 && self.log.last_index() == 0;
        if !fresh || group == 0 || replica.id != self.id {
            self.log_event(
                &kinds::BOOTSTRAP_REFUSED,
                format!("replica={} group={:016x}", self.id, self.group),
            );
            return;
        }
        self.group = group;
        self.term = 1;
        self.led_term = 1;
        self.write_hard_state();
        self.log.push(Entry {
            index: 1,
            term: 1,
            payload: Payload::Members(vec![Replica {
                voter: true,
                ..replica
            }]),
        });
        self.write_log();
        self.log_event(
            &kinds::GROUP_FOUNDED,
            format!("replica={} group={group:016x}", self.id),
        );
        self.campaign(now);
    }

    pub(super) fn receive(&mut self, now: Time, envelope: Envelope) {
        let Envelope { group, from, to, answer_to, message } = envelope;
        if to != self.id || group == 0 {
            return;
        }
        if self.group == 0 {
            // A replica in no group joins the group of the first leader that
            // sends it an append or a snapshot. Leaders send these only to
            // members, so the replica was added as a learner before.
            let leads = matches!(
                message,
                Message::Append { .. } | Message::Snapshot { .. }
            );
            if !leads {
                return;
            }
            self.group = group;
            self.write_hard_state();
            self.log_event(
                &kinds::GROUP_JOINED,
                format!("replica={} group={group:016x}", self.id),
            );
        }
        if group != self.group {
            if self.last_foreign_group != group {
                self.last_foreign_group = group;
                self.log_event(
                    &kinds::FOREIGN_GROUP,
                    format!(
                        "from={from} group={group:016x} own={:016x}",
                        self.group
                    ),
                );
            }
            return;
        }
        let peer = Peer { id: from, answer_to };
        if let Message::Append { term, .. } | Message::Snapshot { term, .. } =
            &message
            && !self.accept_leader(now, from, *term)
        {
            self.reject_stale_leader(peer, &message);
            return;
        }
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.handle_pre_vote(now, peer, term, last_index, last_term);
            }
            Message::PreVoteReply { term, granted, current } => {
                self.handle_pre_vote_reply(now, from, term, granted, current);
            }
            Message::Vote { term, last_index, last_term } => {
                self.handle_vote(now, peer, term, last_index, last_term);
            }
            Message::VoteReply { term, granted } => {
                self.handle_vote_reply(now, from, term, granted);
            }
            Message::Append {
                previous_index,
                previous_term,
                entries,
                commit,
                round,
                ..
            } => {
                let previous = (previous_index, previous_term);
                self.handle_append(peer, previous, entries, commit, round);
            }
            Message::AppendReply { term, success, index, round } => {
                self.note_round(from, term, round);
                self.handle_append_reply(now, from, term, success, index);
            }
            Message::Snapshot {
                index,
                index_term,
                members,
                offset,
                data,
                done,
                members_index,
                ..
            } => {
                let part = StoredSnapshot {
                    index,
                    term: index_term,
                    members,
                    data,
                    members_index,
                };
                self.handle_snapshot_part(peer, part, offset, done);
            }
            Message::SnapshotReply { term, index, offset } => {
                self.handle_snapshot_reply(now, from, term, index, offset);
            }
        }
    }
}
