/*!
Spread of the configuration and the right to serve.

Control replicas publish the committed configuration. Every instance compares
versions with its fellows and pulls what is newer, and confirms at short
intervals that it has not missed a version. See section 7 of the design page.
*/

mod lease;
mod options;
mod reducer;
mod rounds;
mod spread;
mod tree;

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    event::LogEvent,
    id::{ConfigVersion, InstanceId},
    membership::Member,
};

pub use options::{LEASE, OUTDATED_BOUND, SyncOptions};
pub use reducer::ConfigSync;

/// A committed configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Its version.
    pub version: ConfigVersion,
    /// Hash of the document.
    pub hash: u64,
    /// The document, in MessagePack.
    pub document: Bytes,
}

/// A confirmation by a control quorum that an instance passes on.
///
/// Who asked the sender at a time `t` knows that no version newer than the
/// sender's was accepted before `t - age`, because the sender answered after
/// `t`. Ages add up along a chain, so a confirmation never outlives the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The control group that confirmed.
    pub group: u64,
    /// Time since the control replicas were asked, in microseconds.
    pub age_us: u64,
}

/// Messages of the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What is your version? This is mine.
    Compare {
        /// Correlates the answer.
        sequence: u64,
        /// In force at the sender.
        version: ConfigVersion,
    },
    /// Answer to `Compare`.
    Compared {
        /// Of the question.
        sequence: u64,
        /// In force at the sender.
        version: ConfigVersion,
        /// At a control replica that votes: the newest version in its log,
        /// committed or not.
        logged: Option<ConfigVersion>,
        /// Number of voters that the sender knows of; 0 if it has no
        /// replica.
        voters: u32,
        /// The sender's control group.
        #[serde(default)]
        control_group: u64,
        /// The sender's last confirmation by a control quorum, if its lease
        /// still runs.
        #[serde(default)]
        confirmed: Option<Confirmation>,
        /// Place in the log of the list that `voters` was taken from.
        #[serde(default)]
        members_index: u64,
    },
    /// Send me the document if it is newer than this.
    Pull {
        /// In force at the sender.
        version: ConfigVersion,
    },
    /// A committed configuration.
    Push(Arc<ConfigRecord>),
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncEvent {
    /// All members that are not dead, sorted by identifier.
    Members(Vec<Member>),
    /// A message arrived.
    Message(InstanceId, Message),
    /// The replica on this instance applied a committed configuration.
    Committed(ConfigRecord),
    /// State of the replica on this instance.
    Replica {
        /// Whether it votes.
        voter: bool,
        /// Number of voters.
        voters: u32,
        /// Newest version in its log, committed or not.
        logged: ConfigVersion,
        /// Place in the log of the last change of the members.
        members_index: u64,
    },
    /// Time has passed.
    Tick,
}

/// Output of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncEffect {
    /// Send a message.
    Send(InstanceId, Message),
    /// Bring a configuration into force. Versions only grow.
    Install(Arc<ConfigRecord>),
    /// This instance gained or lost the right to serve.
    Serving(bool),
    /// A line for the log.
    Log(LogEvent),
}
