/*!
Messages between instances.

The transport delivers messages in order while a connection lasts. It may drop
any message, and it may deliver a shard request or a reply twice if a
connection fails. Every protocol here tolerates lost, delayed and duplicated
messages by itself.
*/

use serde::{Deserialize, Serialize};

use crate::{
    config_sync, consensus, control, forward, membership, query, shares,
};

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Failure detection and dissemination of membership.
    Membership(membership::Message),
    /// Consensus among the control replicas.
    Consensus(consensus::Envelope),
    /// Replication of the configuration to all instances, and the lease.
    Sync(config_sync::Message),
    /// Shard requests, their replies and target reports.
    Query(query::Message),
    /// Requests to the control leader and their replies.
    Control(control::Message),
    /// Distribution of the platform's list of targets.
    Directory(forward::directory::Message),
    /// Delegation of parts of forwarded requests to other instances.
    Shared(forward::shared::Message),
    /// Tokens of the limits that all instances share.
    Shares(shares::Message),
}

impl PeerMessage {
    /// Returns the name of the protocol that the message belongs to, for
    /// metrics.
    pub fn class(&self) -> &'static str {
        match self {
            PeerMessage::Membership(_) => "membership",
            PeerMessage::Consensus(_) => "consensus",
            PeerMessage::Sync(_) => "sync",
            PeerMessage::Query(_) => "query",
            PeerMessage::Control(_) => "control",
            PeerMessage::Directory(_) => "directory",
            PeerMessage::Shared(_) => "shared",
            PeerMessage::Shares(_) => "shares",
        }
    }

    /// Returns the name of the kind of message within its protocol, for
    /// metrics; the same as the class where there is only one.
    pub fn kind(&self) -> &'static str {
        use config_sync::Message as Sync;
        use forward::{directory::Message as List, shared::Message as Task};
        use membership::Message as Member;
        match self {
            PeerMessage::Membership(message) => match message {
                Member::Ping { .. } => "ping",
                Member::Ack { .. } => "ack",
                Member::PingRequest { .. } => "ping_request",
                Member::Digest { .. } => "digest",
                Member::Full { .. } => "full",
                Member::Buckets { .. } => "buckets",
                Member::Difference { .. } => "difference",
            },
            PeerMessage::Sync(message) => match message {
                Sync::Compare { .. } => "compare",
                Sync::Compared { .. } => "compared",
                Sync::Pull { .. } => "pull",
                Sync::Push(_) => "push",
                Sync::PullRoster { .. } => "pull_roster",
                Sync::Roster(_) => "roster",
            },
            PeerMessage::Directory(message) => match message {
                List::Wanted { .. } => "wanted",
                List::Reading { .. } => "reading",
                List::Unchanged { .. } => "unchanged",
                List::Changes { .. } => "changes",
            },
            PeerMessage::Shared(message) => match message {
                Task::Ask(_) => "ask",
                Task::Accepted(_) => "accepted",
                Task::Confirm(_) => "confirm",
                Task::Declined(_) => "declined",
                Task::Part(_) => "part",
                Task::Cancel { .. } => "cancel",
            },
            PeerMessage::Control(message) => match message {
                control::Message::Request { .. } => "request",
                control::Message::Reply { .. } => "reply",
                control::Message::Report(_) => "report",
            },
            PeerMessage::Consensus(_)
            | PeerMessage::Query(_)
            | PeerMessage::Shares(_) => self.class(),
        }
    }
}
