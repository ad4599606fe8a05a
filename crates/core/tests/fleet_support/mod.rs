//! Whole instances with their control replicas and disks, simulated in memory
//! with simulated time and a faulty network. A run depends on its seed only.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use primrosemast_core::{
    config::Configuration,
    config_sync::OUTDATED_BOUND,
    consensus::{Recovered, Write},
    control::{ControlReply, TableRevision},
    forward::table::Forwarding,
    id::{ConfigVersion, InstanceId, ReplicaId, Token, ZoneId},
    membership::{Member, MemberState},
    message::PeerMessage,
    node::{Effect, Event, Node, NodeOptions, OperatorReply, OperatorRequest},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Time that a disk needs for a write.
const SYNC: Duration = Duration::from_millis(2);

/// Tolerance of the checks, which run between the events of the simulation.
const MARGIN: Duration = Duration::from_millis(10);

/// An instance of the fleet.
pub struct Machine {
    pub node: Node,
    pub up: bool,
    /// Whether the process is suspended; messages to it wait in `inbox`.
    pub paused: bool,
    pub has_disk: bool,
    disk: Recovered,
    unsynced: VecDeque<(u64, Write)>,
    inbox: Vec<(InstanceId, PeerMessage)>,
    /// Raised at each start; writes of an earlier process are dropped.
    generation: u64,
    incarnation: u64,
    wake: Option<Time>,
}

enum Item {
    Packet { from: usize, to: usize, message: PeerMessage },
    Synced { at: usize, generation: u64, ticket: u64 },
    Wake(usize),
}

/// The fleet, its network and its operator.
pub struct Fleet {
    pub seed: u64,
    pub now: Time,
    pub machines: Vec<Machine>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Range of the delay of messages, in microseconds.
    pub delay_us: (u64, u64),
    /// Versions that the operator got acknowledged, and when.
    pub acknowledged: Vec<(ConfigVersion, Time)>,
    /// Messages sent.
    pub messages: u64,
    pub rng: Pcg64,
    options: NodeOptions,
    /// Pairs of sender and receiver whose messages are lost.
    cut: HashSet<(usize, usize)>,
    queue: BTreeMap<(Time, u64), Item>,
    last_order: u64,
    revision: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("fleet seed {} at {:?}", self.seed, self.now);
        }
    }
}

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7_000)
}

fn index_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { unreachable!("all are IPv4") };
    (u32::from(ip) & 0xffff) as usize
}

impl Fleet {
    /// Starts a fleet whose first `disks` machines have a disk, and waits
    /// until it serves a first configuration.
    pub fn serving(seed: u64, size: usize, disks: usize) -> Fleet {
        Fleet::serving_with(seed, size, disks, NodeOptions::default())
    }

    pub fn serving_with(
        seed: u64,
        size: usize,
        disks: usize,
        options: NodeOptions,
    ) -> Fleet {
        let mut fleet = Fleet::new(seed, size, disks, options);
        fleet.run(Duration::from_secs(8));
        let version = fleet.accept_change(Duration::from_secs(10));
        assert!(fleet.run_until(Duration::from_secs(5), |x| {
            x.machines
                .iter()
                .all(|m| m.node.serving() && version_of(m) >= version)
        }));
        fleet.run(Duration::from_secs(2));
        fleet
    }

    pub fn new(
        seed: u64,
        size: usize,
        disks: usize,
        options: NodeOptions,
    ) -> Fleet {
        let options = NodeOptions {
            seeds: (0..3.min(disks)).map(address).collect(),
            control_group_size: 3,
            min_voters: 3,
            auto_bootstrap: true,
            ..options
        };
        let mut fleet = Fleet {
            seed,
            now: Time::from_millis(1),
            machines: Vec::new(),
            loss: 0.0,
            delay_us: (300, 2_000),
            acknowledged: Vec::new(),
            messages: 0,
            rng: Pcg64::seed_from_u64(seed),
            options,
            cut: HashSet::new(),
            queue: BTreeMap::new(),
            last_order: 0,
            revision: 0,
        };
        for index in 0..size {
            let member = member(index, index < disks, 1);
            let seed = fleet.rng.random();
            let node = Node::new(member, fleet.options.clone(), seed);
            fleet.machines.push(Machine {
                node,
                up: false,
                paused: false,
                has_disk: index < disks,
                disk: Recovered::default(),
                unsynced: VecDeque::new(),
                inbox: Vec::new(),
                generation: 0,
                incarnation: 0,
                wake: None,
            });
        }
        for index in 0..size {
            fleet.start(index);
        }
        // Only a fleet that starts for the first time may found a group.
        fleet.options.auto_bootstrap = false;
        fleet
    }

    /// Starts a process from the disk of its machine.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let mut options = self.options.clone();
        options.wall_epoch_ms = self.now.as_micros() / 1_000;
        let machine = &mut self.machines[index];
        machine.generation += 1;
        machine.incarnation += 1_000_000;
        let member = member(index, machine.has_disk, machine.incarnation);
        machine.node = Node::new(member, options, seed);
        machine.up = true;
        machine.paused = false;
        machine.unsynced.clear();
        machine.inbox.clear();
        let recovered = machine
            .has_disk
            .then(|| (replica_id(index), machine.disk.clone()));
        self.step(index, Event::Start { recovered });
    }

    /// Kills a process. Some of what was not synced reaches its disk.
    pub fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.up = false;
        let kept = self.rng.random_range(0..=machine.unsynced.len());
        for (_, write) in machine.unsynced.drain(..).take(kept) {
            machine.disk.apply_write(write);
        }
    }

    pub fn pause(&mut self, index: usize) {
        self.machines[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.machines[index].paused = false;
        for (from, message) in std::mem::take(&mut self.machines[index].inbox)
        {
            self.step(index, Event::Peer(from, message));
        }
        self.step(index, Event::Tick);
    }

    /// Loses all messages from `from` to `to`.
    pub fn cut_one_way(&mut self, from: &[usize], to: &[usize]) {
        for &a in from {
            self.cut.extend(to.iter().map(|&b| (a, b)));
        }
    }

    pub fn cut(&mut self, left: &[usize], right: &[usize]) {
        self.cut_one_way(left, right);
        self.cut_one_way(right, left);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Sends a change to a machine, as an operator does.
    pub fn send_change(&mut self, to: usize) {
        if !self.machines[to].up || self.machines[to].paused {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let forwarding = Forwarding { revision, ..Forwarding::default() };
        let cfg = Configuration { forwarding, ..Configuration::default() };
        let table =
            rmp_serde::to_vec_named(&cfg.forwarding).expect("encoded").into();
        let revise =
            OperatorRequest::Revise(TableRevision { revision, table });
        self.step(to, Event::Operator(Token(revision), revise));
    }

    /// Sends changes until one is acknowledged, and returns its version.
    pub fn accept_change(&mut self, within: Duration) -> ConfigVersion {
        let count = self.acknowledged.len();
        let end = self.now + within;
        while self.now < end {
            let to = self.rng.random_range(0..self.machines.len());
            self.send_change(to);
            let wait = Duration::from_millis(200);
            if self.run_until(wait, |x| x.acknowledged.len() > count) {
                break;
            }
        }
        let last = self.acknowledged.get(count..).and_then(<[_]>::last);
        last.expect("a change is acknowledged in time").0
    }

    /// Returns a machine that serves a version for longer than the bound after
    /// the acknowledgement of a newer one.
    pub fn outdated(&self) -> Option<usize> {
        let due = self
            .acknowledged
            .iter()
            .filter(|x| x.1 + OUTDATED_BOUND + MARGIN < self.now);
        let newest = due.map(|x| x.0).max()?;
        self.machines.iter().position(|m| {
            m.up && !m.paused && m.node.serving() && version_of(m) < newest
        })
    }

    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until the condition holds, for at most `duration`, and returns
    /// whether it does.
    ///
    /// # Panics
    ///
    /// Panics if a machine serves an outdated version.
    pub fn run_until(
        &mut self,
        duration: Duration,
        mut done: impl FnMut(&Fleet) -> bool,
    ) -> bool {
        let end = self.now + duration;
        let mut next_check = self.now;
        loop {
            if self.now >= next_check {
                next_check = self.now + Duration::from_millis(5);
                if let Some(at) = self.outdated() {
                    panic!(
                        "machine {at} serves {:?}, acknowledged: {:?}",
                        version_of(&self.machines[at]),
                        self.acknowledged.last()
                    );
                }
                if done(self) {
                    return true;
                }
            }
            let Some(entry) = self.queue.first_entry() else { break };
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            match entry.remove() {
                Item::Wake(at) => {
                    let machine = &mut self.machines[at];
                    if machine.wake == Some(self.now) {
                        machine.wake = None;
                        if machine.up && !machine.paused {
                            self.step(at, Event::Tick);
                        }
                    }
                }
                Item::Synced { at, generation, ticket } => {
                    self.synced(at, generation, ticket);
                }
                Item::Packet { from, to, message } => {
                    let machine = &mut self.machines[to];
                    let sender = InstanceId(from as u64 + 1);
                    if !machine.up || self.cut.contains(&(from, to)) {
                    } else if machine.paused {
                        machine.inbox.push((sender, message));
                    } else {
                        self.step(to, Event::Peer(sender, message));
                    }
                }
            }
        }
        self.now = end;
        done(self)
    }

    fn synced(&mut self, at: usize, generation: u64, ticket: u64) {
        let machine = &mut self.machines[at];
        if !machine.up || machine.generation != generation {
            return;
        }
        while let Some((first, _)) = machine.unsynced.front()
            && *first <= ticket
            && let Some((_, write)) = machine.unsynced.pop_front()
        {
            machine.disk.apply_write(write);
        }
        if machine.paused {
            // The process learns of it when it runs again.
            let again = self.now + Duration::from_millis(50);
            self.enqueue(again, Item::Synced { at, generation, ticket });
        } else {
            self.step(at, Event::Persisted(ticket));
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut effects = Vec::new();
        self.machines[at].node.step(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { address, message, .. } => {
                    self.send(at, index_of(address), message);
                }
                Effect::Persist { ticket, write } => {
                    let machine = &mut self.machines[at];
                    machine.unsynced.push_back((ticket, write));
                    let generation = machine.generation;
                    let item = Item::Synced { at, generation, ticket };
                    self.enqueue(self.now + SYNC, item);
                }
                Effect::Reply(
                    _,
                    OperatorReply::Control(ControlReply::Version(version)),
                ) => self.acknowledged.push((version, self.now)),
                _ => {}
            }
        }
        self.schedule(at);
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        self.messages += 1;
        if to >= self.machines.len() || self.rng.random_bool(self.loss) {
            return;
        }
        let (low, high) = self.delay_us;
        let delay = Duration::from_micros(self.rng.random_range(low..=high));
        let item = Item::Packet { from, to, message };
        self.enqueue(self.now + delay, item);
    }

    fn enqueue(&mut self, at: Time, item: Item) {
        self.last_order += 1;
        self.queue.insert((at, self.last_order), item);
    }

    fn schedule(&mut self, at: usize) {
        let next = self.machines[at].node.next_deadline();
        let next = next.map(|next| next.max(self.now));
        if self.machines[at].wake != next {
            self.machines[at].wake = next;
            if let Some(next) = next {
                self.enqueue(next, Item::Wake(at));
            }
        }
    }
}

/// Returns the version in force at a machine.
pub fn version_of(machine: &Machine) -> ConfigVersion {
    machine.node.configuration().map_or(ConfigVersion(0), |x| x.0)
}

fn replica_id(index: usize) -> ReplicaId {
    ReplicaId(index as u64 + 1_000)
}

fn member(index: usize, has_disk: bool, incarnation: u64) -> Member {
    Member {
        id: InstanceId(index as u64 + 1),
        name: format!("instance-{index}"),
        address: address(index),
        operator_address: address(index),
        zone: ZoneId(index as u64 % 4),
        entry: true,
        replica: has_disk.then(|| replica_id(index)),
        control_group: 0,
        incarnation,
        state: MemberState::Alive,
    }
}
