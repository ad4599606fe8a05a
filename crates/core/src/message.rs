/*!
Messages between instances.

The transport gives no more than "delivered once or not at all, in order
while a connection lives". Every protocol here copes with lost, late and
repeated messages on its own.
*/

use serde::{Deserialize, Serialize};

use crate::{config_sync, consensus, control, forward, membership, query};

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Failure detection and dissemination of members.
    Membership(membership::Message),
    /// The replicated log among control replicas.
    Consensus(consensus::Envelope),
    /// Spread and confirmation of the configuration.
    Sync(config_sync::Message),
    /// Shard requests and their replies.
    Query(query::Message),
    /// Requests to the control leader and their replies.
    Control(control::Message),
    /// Readings of the platform's list of targets.
    Directory(forward::directory::Message),
    /// Requests that instances share.
    Shared(forward::shared::Message),
}
