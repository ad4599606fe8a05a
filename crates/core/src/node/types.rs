//! Options, events and effects of the node's reducer.

use std::{net::SocketAddr, time::Duration};

use crate::{
    config_sync::SyncOptions,
    consensus::{ConsensusOptions, Recovered, Write},
    control::{
        Change, ControlReply, TableRevision, ZoneStateChange,
        repair::RepairOptions,
    },
    event::LogEvent,
    forward::{ForwardEffect, ForwardEvent, ForwardOptions},
    id::{InstanceId, ReplicaId, Token},
    membership::{MembershipOptions, Recipient},
    message::PeerMessage,
    query::{CallerRequest, CallerResponse, QueryOptions},
    rollout::{RolloutMove, RolloutOrder},
    shares::ShareOptions,
    target::{TargetEffect, TargetEvent, TargetOptions},
};

/// Options of the node and its subsystems.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// Options of the membership protocol.
    pub membership: MembershipOptions,
    /// Options of configuration replication and the lease.
    pub sync: SyncOptions,
    /// Options of the query path.
    pub query: QueryOptions,
    /// Options of target connections and scheduling.
    pub target: TargetOptions,
    /// Options of the forwarding path.
    pub forward: ForwardOptions,
    /// Options of the limits that all instances share.
    pub shares: ShareOptions,
    /// Options of the replicated log.
    pub consensus: ConsensusOptions,
    /// Peer addresses that are contacted to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Target number of voters in the control group.
    pub control_group_size: u32,
    /// Minimum number of voters for the leader to accept changes. With fewer,
    /// the group could not survive the number of failures that the site is
    /// configured to tolerate.
    pub min_voters: u32,
    /// Time without contact after which a voter is replaced by a learner; see
    /// `RepairOptions::replace_after`.
    pub replace_voter_after: Duration,
    /// Whether this instance may bootstrap the control group without an
    /// operator.
    pub auto_bootstrap: bool,
    /// Wall-clock time at `Time::ZERO`, in milliseconds since the Unix
    /// epoch. The expiry of claims is computed from it.
    pub wall_epoch_ms: u64,
    /// Time for which new requests are still accepted after a shutdown was
    /// announced, so that load balancers can stop sending them.
    pub drain_grace: Duration,
    /// Longest time to wait for requests in progress at shutdown.
    pub drain_limit: Duration,
    /// Time within which an operator's request has to be committed.
    pub change_budget: Duration,
    /// Time within which the outcome of a claimed request has to be recorded.
    pub settle_budget: Duration,
}

impl Default for NodeOptions {
    fn default() -> NodeOptions {
        NodeOptions {
            membership: MembershipOptions::default(),
            sync: SyncOptions::default(),
            query: QueryOptions::default(),
            target: TargetOptions::default(),
            forward: ForwardOptions::default(),
            shares: ShareOptions::default(),
            consensus: ConsensusOptions::default(),
            seeds: Vec::new(),
            control_group_size: 3,
            min_voters: 1,
            replace_voter_after: RepairOptions::default().replace_after,
            auto_bootstrap: false,
            wall_epoch_ms: 0,
            drain_grace: Duration::from_secs(3),
            drain_limit: Duration::from_secs(25),
            // Shorter than the response timeout of the command-line tool, so
            // that the tool receives the error if there is no quorum.
            change_budget: Duration::from_secs(3),
            settle_budget: Duration::from_secs(10),
        }
    }
}

/// Input of the node's reducer.
#[derive(Debug)]
pub enum Event {
    /// The daemon has started.
    Start {
        /// The control replica and the state recovered from its data folder,
        /// if the instance has one.
        recovered: Option<(ReplicaId, Recovered)>,
    },
    /// A caller has sent a request.
    Caller(Token, CallerRequest),
    /// The caller has closed its connection.
    CallerGone(Token),
    /// An operator has sent a request.
    Operator(Token, OperatorRequest),
    /// A message from another instance has arrived.
    Peer(InstanceId, PeerMessage),
    /// A connection to another instance could not be opened.
    Unreachable(InstanceId),
    /// This instance is receiving a long message of the replicated log.
    Receiving(InstanceId),
    /// An event from a target or from a connection to one.
    Target(TargetEvent),
    /// An event of the forwarding path.
    Forward(ForwardEvent),
    /// The addresses contacted to join the fleet have changed.
    Seeds(Vec<SocketAddr>),
    /// All writes up to this ticket are durable.
    Persisted(u64),
    /// The platform's list has been read.
    Platform(PlatformList),
    /// Begin a graceful shutdown.
    Shutdown,
    /// A deadline has passed.
    Tick,
}

/// The platform's list of live and leaving instances and targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformList {
    /// Peer addresses of instances, and whether each is leaving.
    pub instances: Vec<(SocketAddr, bool)>,
    /// Addresses of targets, and whether each is leaving.
    pub targets: Vec<(SocketAddr, bool)>,
}

/// An operator's request to the control group.
#[derive(Clone, Debug)]
pub enum OperatorRequest {
    /// Replace the configuration.
    Change(Change),
    /// Install a forwarding table.
    Revise(TableRevision),
    /// Take a zone out of service or return it to service.
    SetZone(ZoneStateChange),
    /// Reads the number of orders for an availability zone.
    ReadZone(String),
    /// Obtain the newest committed version of the configuration.
    Barrier,
    /// Bootstrap a control group with this instance as its only voter.
    Bootstrap {
        /// Identifier of the group; not 0, and different from that of any
        /// other group.
        group: u64,
    },
    /// Remove a replica from the control group.
    Remove(ReplicaId),
    /// Start a roll-out.
    StartRollout(RolloutOrder),
    /// Change the stage of a roll-out.
    MoveRollout(RolloutMove),
}

/// Reply to an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// The control leader's reply, or an error if it could not be reached.
    Control(ControlReply),
    /// The control group was bootstrapped on this instance.
    Bootstrapped,
    /// The request was refused for this reason.
    Refused(String),
}

/// Output of the node's reducer.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another instance.
    Send {
        /// Recipient; 0 if only its address is known.
        to: InstanceId,
        /// Its peer address.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Carry out an action at a target or on a connection to one.
    Target(TargetEffect),
    /// Carry out an action of the forwarding path.
    Forward(ForwardEffect),
    /// Send a message of the forwarding path to another instance, with the
    /// request or response content that the daemon stores.
    SendContent {
        /// Its peer address.
        address: SocketAddr,
        /// The message: a `SendTask` or a `SendPart`.
        effect: ForwardEffect,
    },
    /// Write to the data folder, sync, then report `Persisted`.
    Persist {
        /// Sequence number of the write; grows by one with each write.
        ticket: u64,
        /// Data to write.
        write: Write,
    },
    /// Send a response to a caller.
    Respond(Token, CallerResponse),
    /// Send a reply to an operator.
    Reply(Token, OperatorReply),
    /// Write an event to the log.
    Log(LogEvent),
    /// The shutdown is complete or timed out; the process may exit.
    Drained,
}

impl Effect {
    pub(crate) fn send_to(to: Recipient, message: PeerMessage) -> Effect {
        let (to, address) = match to {
            Recipient::Member(id, address) => (id, address),
            Recipient::Address(address) => (InstanceId(0), address),
        };
        Effect::Send { to, address, message }
    }
}

/// Home and standby of a target, as placed by this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetHome {
    /// Instance that sends requests to the target.
    pub home: Option<InstanceId>,
    /// Instance that serves requests which the home does not acknowledge.
    pub standby: Option<InstanceId>,
}
