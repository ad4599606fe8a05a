/*!
The reducer over all targets of an instance.

The cost of a step is nearly independent of the number of targets: connection
identifiers contain the slab key of their target, and jobs and timers are
looked up in ordered maps.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    HomeRole, Job, JobOutcome, SharingNotice, TargetEffect, TargetEvent,
    TargetOptions, TargetReport, TargetSpec, TargetState,
    conn::slab_key_of,
    entry::{Cx, Target},
};
use crate::{
    event,
    id::{InstanceId, JobId, TargetId},
    time::Time,
};

/// Time between two connections of different targets that are found silent
/// within which they count as lost together. Requests that are sent at the
/// same time end within the time of a health probe of each other, 1 s.
const SHARED_LOSS_WINDOW: Duration = Duration::from_secs(1);

/// All targets that this instance serves.
#[derive(Debug)]
pub struct Targets {
    options: TargetOptions,
    rng: Pcg64Mcg,
    /// Targets under stable keys, which connection identifiers contain.
    slab: Vec<Option<Target>>,
    /// Unused keys of `slab`.
    free_keys: Vec<u32>,
    /// Slab keys, sorted by target identifier.
    by_id: Vec<(TargetId, u32)>,
    /// Slab key of the target of each job that has not ended. A B-tree,
    /// because there may be many thousands of jobs, which end in any order.
    jobs: BTreeMap<JobId, u32>,
    /// Time of the next tick of each target, by slab key. A B-tree, because
    /// it changes with almost every step.
    timers: BTreeSet<(Time, u32)>,
    /// Number of the connection that was opened last.
    conn_counter: u64,
    /// When a connection was last found silent, and the key of its target.
    last_silent: Option<(Time, u32)>,
    /// Whether a configuration has been applied.
    configured: bool,
}

impl Targets {
    /// Creates a reducer without targets; `seed` determines all its random
    /// choices.
    pub fn new(options: TargetOptions, seed: u64) -> Targets {
        Targets {
            options,
            rng: Pcg64Mcg::seed_from_u64(seed),
            slab: Vec::new(),
            free_keys: Vec::new(),
            by_id: Vec::new(),
            jobs: BTreeMap::new(),
            timers: BTreeSet::new(),
            conn_counter: 0,
            last_silent: None,
            configured: false,
        }
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn step(
        &mut self,
        now: Time,
        event: TargetEvent,
        out: &mut impl Extend<TargetEffect>,
    ) {
        match event {
            TargetEvent::Configure(specs) => self.configure(now, specs, out),
            TargetEvent::Submit(job) => self.submit(now, job, out),
            TargetEvent::Cancel(job) => {
                if let Some(&key) = self.jobs.get(&job) {
                    self.apply(now, key, out, |t, cx| t.cancel(cx, job));
                }
            }
            TargetEvent::Connected(conn) => {
                let key = slab_key_of(conn) as u32;
                if self.get(key).is_some() {
                    self.apply(now, key, out, |t, cx| t.connected(cx, conn));
                } else {
                    out.extend([TargetEffect::Close(conn)]);
                }
            }
            TargetEvent::ConnectFailed(conn) => {
                self.apply(now, slab_key_of(conn) as u32, out, |t, cx| {
                    t.connect_failed(cx, conn);
                });
            }
            TargetEvent::SharingNoticed(target, from, notice) => {
                self.sharing_noticed(now, target, from, notice, out);
            }
            TargetEvent::SharingConfirmed(target, from, notice) => {
                if let Some(key) = self.key_of(target) {
                    self.apply(now, key, out, |t, _| {
                        t.sharing_confirmed(from, notice);
                    });
                }
            }
            TargetEvent::Cancelled(target, request) => {
                if let Some(key) = self.key_of(target) {
                    self.apply(now, key, out, |t, _| t.cancelled(request));
                }
            }
            TargetEvent::Received(conn) => {
                self.apply(now, slab_key_of(conn) as u32, out, |t, cx| {
                    t.received(cx.now, conn);
                });
            }
            TargetEvent::Answer(conn, job, answer) => {
                self.apply(now, slab_key_of(conn) as u32, out, |t, cx| {
                    t.answer(cx, conn, job, answer);
                });
            }
            TargetEvent::ConnClosed(conn, reason) => {
                self.apply(now, slab_key_of(conn) as u32, out, |t, cx| {
                    t.closed(cx, conn, reason);
                });
            }
            TargetEvent::Health(target, report) => {
                if let Some(key) = self.key_of(target) {
                    self.apply(now, key, out, |t, cx| t.health(cx, report));
                }
            }
            TargetEvent::NewestSnapshots(newest) => {
                for (target, snapshot) in newest {
                    let Some(key) = self.key_of(target) else { continue };
                    self.apply(now, key, out, |t, _| {
                        t.newest_snapshot = snapshot;
                    });
                }
            }
            TargetEvent::PlatformLeaving(target, leaving) => {
                if let Some(key) = self.key_of(target) {
                    self.apply(now, key, out, |t, cx| {
                        let by_health = t.leaving_by_health;
                        t.set_leaving(cx, by_health, leaving, "platform");
                    });
                }
            }
            TargetEvent::Tick => self.tick(now, out),
        }
    }

    /// Returns the time at which the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Returns the report on a target if this instance is its home.
    pub fn report(&self, target: TargetId) -> Option<TargetReport> {
        self.get(self.key_of(target)?)?.report()
    }

    /// Returns reports on all targets whose home is this instance, sorted by
    /// target.
    pub fn reports(&self) -> impl Iterator<Item = TargetReport> {
        self.by_id.iter().filter_map(|(_, key)| self.get(*key)?.report())
    }

    fn get(&self, key: u32) -> Option<&Target> {
        self.slab.get(key as usize)?.as_ref()
    }

    fn key_of(&self, target: TargetId) -> Option<u32> {
        let i = self.by_id.binary_search_by_key(&target, |x| x.0).ok()?;
        Some(self.by_id[i].1)
    }

    fn submit(
        &mut self,
        now: Time,
        job: Job,
        out: &mut impl Extend<TargetEffect>,
    ) {
        let Some(key) = self.key_of(job.target) else {
            out.extend([TargetEffect::Done(job.id, JobOutcome::Shed)]);
            return;
        };
        self.jobs.insert(job.id, key);
        self.apply(now, key, out, |t, cx| t.submit(cx, job));
    }

    fn sharing_noticed(
        &mut self,
        now: Time,
        target: TargetId,
        from: InstanceId,
        notice: SharingNotice,
        out: &mut impl Extend<TargetEffect>,
    ) {
        if let Some(key) = self.key_of(target) {
            self.apply(now, key, out, |t, cx| {
                t.sharing_noticed(cx, from, notice);
            });
        } else {
            // Nothing is sent to a target that is not served here.
            let notice = SharingNotice { allowed: false, ..notice };
            let effect =
                TargetEffect::ConfirmSharing { to: from, target, notice };
            out.extend([effect]);
        }
    }

    fn tick(&mut self, now: Time, out: &mut impl Extend<TargetEffect>) {
        let due: Vec<u32> = self
            .timers
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, key)| *key)
            .collect();
        for key in due {
            self.apply(now, key, out, |t, cx| t.tick(cx));
        }
    }

    fn configure(
        &mut self,
        now: Time,
        specs: Vec<TargetSpec>,
        out: &mut impl Extend<TargetEffect>,
    ) {
        let first = !self.configured;
        self.configured = true;
        let needs_hold = !(first && self.options.fleet_is_new);
        let removed: Vec<u32> = self
            .by_id
            .iter()
            .filter(|(id, _)| {
                specs.binary_search_by_key(id, |spec| spec.id).is_err()
            })
            .map(|(_, key)| *key)
            .collect();
        for key in removed {
            self.apply(now, key, out, |t, cx| {
                t.removed = true;
                let spec = t.spec.without_role();
                t.configure(cx, spec, needs_hold);
            });
        }
        for spec in specs {
            let key = self.key_of(spec.id).unwrap_or_else(|| {
                let without_role = spec.without_role();
                self.insert(now, without_role)
            });
            self.apply(now, key, out, |t, cx| {
                t.removed = false;
                t.configure(cx, spec, needs_hold);
            });
        }
    }

    fn insert(&mut self, now: Time, spec: TargetSpec) -> u32 {
        let id = spec.id;
        let key = self.free_keys.pop().unwrap_or_else(|| {
            self.slab.push(None);
            (self.slab.len() - 1) as u32
        });
        self.slab[key as usize] = Some(Target::new(key, spec, now));
        let i = self.by_id.partition_point(|x| x.0 < id);
        self.by_id.insert(i, (id, key));
        key
    }

    /// Applies `f` to a target, then sends the jobs that its new state
    /// allows, publishes its report and reschedules its timer.
    fn apply<O: Extend<TargetEffect>>(
        &mut self,
        now: Time,
        key: u32,
        out: &mut O,
        f: impl FnOnce(&mut Target, &mut Cx<'_, O>),
    ) {
        let Some(target) =
            self.slab.get_mut(key as usize).and_then(Option::as_mut)
        else {
            return;
        };
        let mut cx = Cx {
            now,
            options: &self.options,
            rng: &mut self.rng,
            jobs: &mut self.jobs,
            conn_counter: &mut self.conn_counter,
            silent_sent_at: None,
            out,
        };
        target.expire(&cx);
        f(target, &mut cx);
        target.notify_standby(&mut cx);
        target.confirm_revocation(&mut cx);
        target.dispatch(&mut cx);
        target.publish_report(&mut cx);
        let silent_sent_at = cx.silent_sent_at;
        let due = target.next_deadline(&self.options);
        let previous = std::mem::replace(&mut target.scheduled_tick, due);
        if previous != due {
            if let Some(at) = previous {
                self.timers.remove(&(at, key));
            }
            if let Some(at) = due {
                self.timers.insert((at, key));
            }
        }
        if target.is_removable() {
            self.remove(key);
        }
        if let Some(at) = silent_sent_at {
            self.connection_silent(now, key, at, out);
        }
    }

    /// Notes that a connection on which a request was sent at `sent_at` was
    /// silent. If connections of several targets were, something between this
    /// instance and its targets has lost track of them, and probably of all
    /// that were idle at that time.
    fn connection_silent<O: Extend<TargetEffect>>(
        &mut self,
        now: Time,
        key: u32,
        sent_at: Time,
        out: &mut O,
    ) {
        let previous = self.last_silent.replace((now, key));
        let is_shared = previous.is_some_and(|(at, other)| {
            other != key && now.since(at) <= SHARED_LOSS_WINDOW
        });
        if !is_shared {
            return;
        }
        let keys: Vec<u32> = self.by_id.iter().map(|x| x.1).collect();
        for key in keys {
            self.apply(now, key, out, |t, cx| {
                let was_connected = !t.conns.is_empty();
                t.close_idle_since(cx, sent_at);
                // Without a connection, a restart would go unnoticed.
                t.maybe_restarted |= was_connected && t.conns.is_empty();
            });
        }
    }

    fn remove(&mut self, key: u32) {
        let Some(target) = self.slab[key as usize].take() else { return };
        if let Some(at) = target.scheduled_tick {
            self.timers.remove(&(at, key));
        }
        let id = target.spec.id;
        if let Ok(i) = self.by_id.binary_search_by_key(&id, |x| x.0) {
            self.by_id.remove(i);
        }
        self.free_keys.push(key);
    }
}

impl Target {
    /// Ends holds, pauses, cancel grace periods and connection limits that
    /// have expired, before an event is handled.
    fn expire<O>(&mut self, cx: &Cx<'_, O>) {
        self.pending_cancels.retain(|c| cx.now < c.until);
        self.hold_until = self.hold_until.filter(|until| cx.now < *until);
        if self.state != TargetState::Down {
            self.retry_at = self.retry_at.filter(|at| cx.now < *at);
        }
        if let Some((cap, raise_at)) = self.reduced_cap
            && cx.now >= raise_at
        {
            self.reduced_cap = None;
            if cap + 1 < self.conn_cap() {
                let raise_at = cx.now + cx.options.cap_recovery;
                self.reduced_cap = Some((cap + 1, raise_at));
            }
        }
    }

    /// Runs the checks that are due: connections, health probes and
    /// reconnection of a target that is down.
    fn tick<O: Extend<TargetEffect>>(&mut self, cx: &mut Cx<'_, O>) {
        self.check_conns(cx);
        match self.probe_started_at {
            Some(started) if cx.now >= started + cx.options.probe_timeout => {
                self.health(cx, None);
            }
            None if self.is_probed()
                && cx.now >= self.probe_due(cx.options) =>
            {
                self.start_probe(cx);
            }
            _ => {}
        }
        let reconnect = self.state == TargetState::Down
            && self.is_enabled()
            && self.retry_at.is_some_and(|at| cx.now >= at);
        if reconnect {
            self.open_conns(cx, 1);
        }
    }

    fn is_probed(&self) -> bool {
        self.spec.role != HomeRole::None
    }

    fn next_deadline(&self, options: &TargetOptions) -> Option<Time> {
        let silence_timeout = self.silence_timeout(options);
        let probe = match self.probe_started_at {
            Some(started) => Some(started + options.probe_timeout),
            None => self.is_probed().then(|| self.probe_due(options)),
        };
        let awaits_conn = self.is_enabled()
            && (self.state == TargetState::Down || self.queue.len() > 0)
            && !self.conns.iter().any(|c| c.is_connecting());
        let due = [
            self.queue.next_deadline(),
            self.pending_cancels.iter().map(|c| c.until).min(),
            self.hold_until,
            self.sharing.next_deadline(),
            self.report_due,
            self.retry_at.filter(|_| awaits_conn),
            probe,
        ];
        let conns = self
            .conns
            .iter()
            .map(|c| c.next_deadline(options, silence_timeout));
        due.into_iter().flatten().chain(conns).min()
    }

    /// Applies a new specification of the target.
    fn configure<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        spec: TargetSpec,
        needs_hold: bool,
    ) {
        let old = std::mem::replace(&mut self.spec, spec);
        let new = &self.spec;
        let (role, address_changed) = (new.role, old.address != new.address);
        let zone_restored = old.zone_out && !new.zone_out;
        if old.role != role {
            cx.log(
                &event::target::ROLE_TAKEN,
                format!(
                    "target={} from={:?} to={:?}",
                    new.name, old.role, role
                ),
            );
            self.hold_until = (role == HomeRole::Home && needs_hold)
                .then(|| cx.now + cx.options.takeover_hold);
        }
        if old.role != role || old.peer != self.spec.peer {
            self.role_changed(cx, old.role);
        }
        let newly_served =
            old.role == HomeRole::None && role != HomeRole::None;
        if address_changed {
            self.close_unused(cx, |_| true);
            self.answer_boot = None;
            self.health_boot = None;
            self.refuted_boot = None;
            self.latency = Default::default();
            self.failures = 0;
        }
        // The observed state of the target is out of date.
        if newly_served || zone_restored || address_changed {
            self.retry_at = None;
            self.set_state(cx, TargetState::Cold, "configuration");
            self.start_probe(cx);
        }
        self.limit = self.limit.min(self.slots());
        if self.state == TargetState::Ready && self.limit < self.slots() {
            self.set_state(cx, TargetState::Warming, "slots");
        }
        if role == HomeRole::None {
            self.close_unused(cx, |_| true);
        }
        if self.conns.len() > self.conn_cap() {
            self.close_unused(cx, |_| true);
        }
    }
}
