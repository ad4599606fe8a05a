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
