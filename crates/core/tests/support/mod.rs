//! A fleet simulated in memory, with simulated time and a faulty network.

use std::{
    collections::{BTreeMap, HashSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use primrosemast_core::{
    config_sync::{
        self, ConfigRecord, ConfigSync, Roster, RosterEntry, SyncEffect,
        SyncEvent, SyncOptions,
    },
    id::{ConfigVersion, InstanceId, ReplicaId, ZoneId},
    membership::{
        self, Member, MemberState, Membership, MembershipEffect,
        MembershipEvent, MembershipOptions, Recipient,
    },
    message::PeerMessage,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Identifier of the control group.
pub const GROUP: u64 = 77;

/// An instance, reduced to membership and configuration sync.
pub struct Node {
    pub id: InstanceId,
    pub membership: Membership,
    pub sync: ConfigSync,
    pub up: bool,
    pub frozen: bool,
    pub replica: Option<Replica>,
    /// Versions installed since the node was last started.
    pub installed: Vec<ConfigVersion>,
    pub serving_since: Option<Time>,
    /// Members that this node has considered dead at any time.
    pub observed_dead: Vec<InstanceId>,
    /// Records of members that changed at this node since it was created.
    pub member_changes: u64,
    /// Messages and bytes sent by the membership protocol.
    pub membership_sent: (u64, u64),
    /// Messages and bytes sent by the configuration sync.
    pub sync_sent: (u64, u64),
    /// Messages and bytes sent to other zones by both.
    pub across_sent: (u64, u64),
    incarnation: u64,
    /// Messages that arrived while the node was frozen.
    inbox: Vec<(InstanceId, PeerMessage)>,
    /// Deadline for which the node's next tick is scheduled.
    due: Option<Time>,
    /// When the node's next tick is scheduled, late or not.
    wake: Option<Time>,
}

/// The control replica of a node, as the configuration sync sees it.
#[derive(Clone, Copy)]
pub struct Replica {
    pub group: u64,
    pub voters: u32,
    pub logged: ConfigVersion,
}

/// An entry of the simulation's event queue.
enum QueueItem {
    Packet { from: usize, to: usize, message: PeerMessage },
    Wake(usize),
}

/// The simulated network and its nodes.
pub struct Net {
    pub seed: u64,
    pub now: Time,
    pub nodes: Vec<Node>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
    pub duplication: f64,
    /// Range of the delivery delay.
    pub delay_us: (u64, u64),
    /// Range of the time by which timers are late.
    pub timer_delay_us: (u64, u64),
    /// Encoded length of a message. If set, bytes sent and processing time
    /// are measured.
    pub message_len: Option<fn(&PeerMessage) -> usize>,
    /// Returns true for messages that are always lost.
    pub drop_filter: fn(&PeerMessage) -> bool,
    /// Time spent in the membership reducers, if measured.
    pub membership_time: Duration,
    /// Time spent in the configuration sync reducers, if measured.
    pub sync_time: Duration,
    options: (MembershipOptions, SyncOptions),
    /// Number of instances, all of which are in the roster.
    size: usize,
    /// Pairs of sender and receiver whose messages are lost.
    partitioned: HashSet<(usize, usize)>,
    rng: Pcg64,
    queue: BTreeMap<(Time, u64), QueueItem>,
    /// Orders queue entries of the same time.
    last_order: u64,
}

impl Drop for Net {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("network seed {} at {:?}", self.seed, self.now);
        }
    }
}

pub fn address(index: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8);
    SocketAddr::new(IpAddr::V4(ip), 7000)
}

fn index_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { unreachable!("all are IPv4") };
    let [_, _, high, low] = ip.octets();
    usize::from(high) << 8 | usize::from(low)
}

/// Returns the initial membership record of a node.
pub fn member(index: usize, replica: Option<Replica>) -> Member {
    Member {
        id: InstanceId(index as u64 + 1),
        name: format!("instance-{index}"),
        address: address(index),
        operator_address: address(index),
        zone: ZoneId(index as u64 % 4),
        entry: true,
        replica: replica.map(|_| ReplicaId(index as u64 + 1_000)),
        control_group: replica.map_or(0, |x| x.group),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

pub fn record(version: u64, length: usize) -> ConfigRecord {
    ConfigRecord {
        version: ConfigVersion(version),
        hash: version * 31,
        document: Bytes::from(vec![version as u8; length]),
    }
}

/// Returns the roster of the first `count` instances.
pub fn roster_of(count: usize) -> Arc<Roster> {
    let entry =
        |x| RosterEntry { id: InstanceId(x as u64 + 1), address: address(x) };
    let entries = (0..count).map(entry).collect();
    Arc::new(Roster { index: 1, version: ConfigVersion(0), entries })
}

impl Net {
    /// Creates a fleet whose first `replicas` nodes are voters. If `joined`,
    /// all members know each other from the start.
    pub fn new(seed: u64, size: usize, replicas: usize, joined: bool) -> Net {
        let options = (MembershipOptions::default(), SyncOptions::default());
        Net::with_options(seed, size, replicas, joined, options)
    }

    pub fn with_options(
        seed: u64,
        size: usize,
        replicas: usize,
        joined: bool,
        options: (MembershipOptions, SyncOptions),
    ) -> Net {
        let mut net = Net {
            seed,
            now: Time::from_millis(1),
            nodes: Vec::new(),
            loss: 0.0,
            duplication: 0.0,
            delay_us: (500, 1_000),
            timer_delay_us: (0, 0),
            message_len: None,
            drop_filter: |_| false,
            membership_time: Duration::ZERO,
            sync_time: Duration::ZERO,
            options,
            size,
            partitioned: HashSet::new(),
            rng: Pcg64::seed_from_u64(seed),
            queue: BTreeMap::new(),
            last_order: 0,
        };
        for index in 0..size {
            let replica = (index < replicas).then_some(Replica {
                group: GROUP,
                voters: replicas as u32,
                logged: ConfigVersion(0),
            });
            let node = net.make_node(index, replica, 1);
            net.nodes.push(node);
        }
        let all: Vec<Member> =
            (0..size).map(|x| member(x, net.nodes[x].replica)).collect();
        for index in 0..size {
            net.start(index);
            if joined {
                let members = all.clone();
                let full = membership::Message::Full { members, reply: false };
                let from = InstanceId((index as u64 + 1) % size as u64 + 1);
                let event = MembershipEvent::Message(from, full);
                net.step_membership(index, event);
            }
        }
        net
    }

    fn make_node(
        &mut self,
        index: usize,
        replica: Option<Replica>,
        incarnation: u64,
    ) -> Node {
        let own_member = Member { incarnation, ..member(index, replica) };
        let (membership, sync) = self.options.clone();
        Node {
            id: own_member.id,
            sync: ConfigSync::new(own_member.id, sync, self.rng.random()),
            membership: Membership::new(
                own_member,
                membership,
                self.rng.random(),
            ),
            up: true,
            frozen: false,
            replica,
            installed: Vec::new(),
            serving_since: None,
            observed_dead: Vec::new(),
            member_changes: 0,
            membership_sent: (0, 0),
            sync_sent: (0, 0),
            across_sent: (0, 0),
            incarnation,
            inbox: Vec::new(),
            due: None,
            wake: None,
        }
    }

    fn start(&mut self, index: usize) {
        // The addresses of three instances, as in a settings file.
        let seeds = (0..3.min(self.nodes.len())).map(address).collect();
        self.step_membership(index, MembershipEvent::SeedAddresses(seeds));
        self.notify_members(index);
        self.notify_replica(index);
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Restarts a crashed node, which has lost its state.
    pub fn restart(&mut self, index: usize) {
        let replica = self.nodes[index].replica;
        let incarnation = self.nodes[index].incarnation + 1_000_000;
        self.nodes[index] = self.make_node(index, replica, incarnation);
        self.start(index);
    }

    /// Suspends a node. Its timers stop, and messages to it are buffered.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = true;
    }

    /// Resumes a frozen node. Whether its expired timers or the buffered
    /// messages are handled first is random.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        if self.rng.random() {
            self.tick(index);
        }
        for (from, message) in std::mem::take(&mut self.nodes[index].inbox) {
            self.receive(index, from, message);
        }
        self.tick(index);
    }

    /// Drops all messages from `from` to `to`, in this direction only.
    pub fn partition_one_way(&mut self, from: &[usize], to: &[usize]) {
        for &a in from {
            self.partitioned.extend(to.iter().map(|&b| (a, b)));
        }
    }

    /// Drops all messages between `left` and `right`.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        self.partition_one_way(left, right);
        self.partition_one_way(right, left);
    }

    /// Removes all partitions.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Returns the nodes that are neither crashed nor frozen.
    pub fn live(&self) -> Vec<usize> {
        let is_live = |x: &usize| self.nodes[*x].up && !self.nodes[*x].frozen;
        (0..self.nodes.len()).filter(is_live).collect()
    }

    /// Returns the state of node `of` according to node `at`.
    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        let id = self.nodes[of].id;
        let members = self.nodes[at].membership.members();
        members.iter().find(|x| x.id == id).map(|x| x.state)
    }

    /// Returns whether all live nodes other than `of` consider it to be in
    /// this state.
    pub fn all_observe(&self, of: usize, state: MemberState) -> bool {
        let live = self.live();
        live.iter().all(|&x| x == of || self.state(x, of) == Some(state))
    }

    /// Returns whether all live nodes consider each other alive.
    pub fn all_alive(&self) -> bool {
        self.live().iter().all(|&x| self.all_observe(x, MemberState::Alive))
    }

    /// Appends the version to the logs of the voters in `at` and commits it
    /// there.
    pub fn commit(&mut self, version: u64, length: usize, at: &[usize]) {
        for &index in at {
            let node = &mut self.nodes[index];
            if let Some(replica) = &mut node.replica {
                replica.logged = ConfigVersion(version);
            }
            self.notify_replica(index);
        }
        for &index in at {
            let event = SyncEvent::Committed(record(version, length));
            self.step_sync(index, event);
        }
    }

    fn notify_replica(&mut self, index: usize) {
        if let Some(Replica { voters, logged, .. }) = self.nodes[index].replica
        {
            let voter = true;
            let event = SyncEvent::Replica {
                voter,
                voters,
                logged,
                members_index: 1,
                logged_roster: 1,
            };
            self.step_sync(index, event);
            self.step_sync(index, SyncEvent::Roster(roster_of(self.size)));
        }
    }

    fn notify_members(&mut self, index: usize) {
        let members = self.nodes[index].membership.members();
        let live = members.iter().filter(|x| x.state != MemberState::Dead);
        let event = SyncEvent::Members(live.cloned().collect());
        self.step_sync(index, event);
    }

    /// Runs for the given time.
    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until the condition holds, for at most `duration`. Returns whether
    /// the condition holds at the end.
    pub fn run_until(
        &mut self,
        duration: Duration,
        mut done: impl FnMut(&Net) -> bool,
    ) -> bool {
        let end = self.now + duration;
        let mut next_check = self.now;
        loop {
            if self.now >= next_check {
                if done(self) {
                    return true;
                }
                next_check = self.now + Duration::from_millis(5);
            }
            let Some(entry) = self.queue.first_entry() else { break };
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            match entry.remove() {
                QueueItem::Wake(index) => {
                    let node = &self.nodes[index];
                    if node.wake == Some(self.now) && !node.frozen && node.up {
                        self.nodes[index].due = None;
                        self.tick(index);
                    }
                }
                QueueItem::Packet { from, to, message } => {
                    if self.nodes[to].up
                        && !self.partitioned.contains(&(from, to))
                    {
                        let from = self.nodes[from].id;
                        if self.nodes[to].frozen {
                            self.nodes[to].inbox.push((from, message));
                        } else {
                            self.receive(to, from, message);
                        }
                    }
                }
            }
        }
        self.now = end;
        done(self)
    }

    fn tick(&mut self, index: usize) {
        self.step_sync(index, SyncEvent::Tick);
        self.step_membership(index, MembershipEvent::Tick);
    }

    fn receive(&mut self, to: usize, from: InstanceId, message: PeerMessage) {
        match message {
            PeerMessage::Membership(message) => {
                let event = MembershipEvent::Message(from, message);
                self.step_membership(to, event);
            }
            PeerMessage::Sync(message) => {
                self.step_sync(to, SyncEvent::Message(from, message));
            }
            _ => unreachable!("only membership and sync messages are sent"),
        }
    }

    pub fn step_membership(&mut self, index: usize, event: MembershipEvent) {
        let mut effects = Vec::new();
        let started = self.message_len.map(|_| Instant::now());
        self.nodes[index].membership.step(self.now, event, &mut effects);
        if let Some(started) = started {
            self.membership_time += started.elapsed();
        }
        let mut changed = false;
        for effect in effects {
            match effect {
                MembershipEffect::Send(to, message) => {
                    let to = match to {
                        Recipient::Member(_, to) | Recipient::Address(to) => {
                            index_of(to)
                        }
                    };
                    self.send(index, to, PeerMessage::Membership(message));
                }
                MembershipEffect::Changed(member) => {
                    changed = true;
                    self.nodes[index].member_changes += 1;
                    if member.state == MemberState::Dead {
                        self.nodes[index].observed_dead.push(member.id);
                    }
                }
                MembershipEffect::Log(_) => {}
            }
        }
        if changed {
            self.notify_members(index);
        }
        self.schedule(index);
    }

    pub fn step_sync(&mut self, index: usize, event: SyncEvent) {
        let mut effects = Vec::new();
        let started = self.message_len.map(|_| Instant::now());
        self.nodes[index].sync.step(self.now, event, &mut effects);
        if let Some(started) = started {
            self.sync_time += started.elapsed();
        }
        for effect in effects {
            match effect {
                SyncEffect::Send(to, message) => {
                    let to = to.0 as usize - 1;
                    self.send(index, to, PeerMessage::Sync(message));
                }
                SyncEffect::Install(record) => {
                    self.nodes[index].installed.push(record.version);
                }
                SyncEffect::Serving(serving) => {
                    self.nodes[index].serving_since =
                        serving.then_some(self.now);
                }
                SyncEffect::Log(_) => {}
            }
        }
        self.schedule(index);
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        let length =
            self.message_len.map_or(0, |measure| measure(&message)) as u64;
        let node = &mut self.nodes[from];
        let sent = match &message {
            PeerMessage::Membership(_) => &mut node.membership_sent,
            _ => &mut node.sync_sent,
        };
        sent.0 += 1;
        sent.1 += length;
        if member(from, None).zone != member(to, None).zone {
            node.across_sent.0 += 1;
            node.across_sent.1 += length;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            let lost = self.rng.random_bool(self.loss)
                || (self.drop_filter)(&message);
            if to < self.nodes.len() && !lost {
                let (low, high) = self.delay_us;
                let delay = self.rng.random_range(low..=high);
                let at = self.now + Duration::from_micros(delay);
                let message = message.clone();
                self.enqueue(at, QueueItem::Packet { from, to, message });
            }
        }
    }

    fn enqueue(&mut self, at: Time, item: QueueItem) {
        self.last_order += 1;
        self.queue.insert((at, self.last_order), item);
    }

    fn schedule(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let deadlines =
            [node.membership.next_deadline(), node.sync.next_deadline()];
        let next = deadlines.into_iter().flatten().min();
        if node.due != next {
            node.due = next;
            node.wake = None;
            if let Some(at) = next {
                let (low, high) = self.timer_delay_us;
                let late = match high {
                    0 => 0,
                    _ => self.rng.random_range(low..=high),
                };
                let at = at.max(self.now) + Duration::from_micros(late);
                self.nodes[index].wake = Some(at);
                self.enqueue(at, QueueItem::Wake(index));
            }
        }
    }

    /// Delivers a message of the configuration sync to `to` that node `from`
    /// did not send.
    pub fn inject(
        &mut self,
        to: usize,
        from: usize,
        message: config_sync::Message,
    ) {
        let from = InstanceId(from as u64 + 1);
        self.step_sync(to, SyncEvent::Message(from, message));
    }

    pub fn serving(&self, index: usize) -> bool {
        self.nodes[index].sync.serving()
    }

    pub fn version(&self, index: usize) -> u64 {
        self.nodes[index].sync.version().0
    }

    pub fn current(&self, index: usize) -> Option<&Arc<ConfigRecord>> {
        self.nodes[index].sync.current()
    }
}
