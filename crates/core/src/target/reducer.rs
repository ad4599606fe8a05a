/*!
The reducer over all targets of an instance.

A step costs the same however many targets there are: connections name their
target, jobs and timers are found in ordered tables.
*/

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::{
    HomeRole, Job, JobOutcome, TargetEffect, TargetEvent, TargetOptions,
    TargetReport, TargetSpec, TargetState,
    conn::slot_of,
    entry::{Cx, Target},
};
use crate::{
    event,
    id::{JobId, TargetId},
    time::Time,
};

/// All targets that this instance serves.
#[derive(Debug)]
pub struct Targets {
    options: TargetOptions,
    rng: Pcg64Mcg,
    /// Targets at fixed positions, which connection identifiers refer to.
    slots: Vec<Option<Target>>,
    free: Vec<u32>,
    /// Positions, sorted by target.
    index: Vec<(TargetId, u32)>,
    /// Jobs that have not ended. A tree, because there may be many thousands
    /// and they end in any order.
    jobs: BTreeMap<JobId, u32>,
    /// When each target needs a tick. A tree, because it changes with almost
    /// every step.
    timers: BTreeSet<(Time, u32)>,
    next_conn: u64,
    configured: bool,
}

impl Targets {
    /// Starts without targets; `seed` determines all random choices.
    pub fn new(options: TargetOptions, seed: u64) -> Targets {
        Targets {
            options,
            rng: Pcg64Mcg::seed_from_u64(seed),
            slots: Vec::new(),
            free: Vec::new(),
            index: Vec::new(),
            jobs: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_conn: 0,
            configured: false,
        }
    }

    /// Handles an event and emits what has to be done about it.
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
                if let Some(&slot) = self.jobs.get(&job) {
                    self.touch(now, slot, out, |t, cx| t.cancel(cx, job));
                }
            }
            TargetEvent::Connected(conn) => {
                let slot = slot_of(conn) as u32;
                if self.get(slot).is_some() {
                    self.touch(now, slot, out, |t, cx| t.connected(cx, conn));
                } else {
                    out.extend([TargetEffect::Close(conn)]);
                }
            }
            TargetEvent::ConnectFailed(conn) => {
                self.touch(now, slot_of(conn) as u32, out, |t, cx| {
                    t.connect_failed(cx, conn);
                });
            }
            TargetEvent::Cancelled(target, request) => {
                if let Some(i) = self.find(target) {
                    self.touch(now, i, out, |t, _| t.cancelled(request));
                }
            }
            TargetEvent::Received(conn) => {
                self.touch(now, slot_of(conn) as u32, out, |t, cx| {
                    t.received(cx.now, conn);
                });
            }
            TargetEvent::Answer(conn, job, answer) => {
                self.touch(now, slot_of(conn) as u32, out, |t, cx| {
                    t.answer(cx, conn, job, answer);
                });
            }
            TargetEvent::ConnClosed(conn, reason) => {
                self.touch(now, slot_of(conn) as u32, out, |t, cx| {
                    t.closed(cx, conn, reason);
                });
            }
            TargetEvent::Health(target, report) => {
                if let Some(slot) = self.find(target) {
                    self.touch(now, slot, out, |t, cx| t.health(cx, report));
                }
            }
            TargetEvent::PlatformLeaving(target, leaving) => {
                if let Some(slot) = self.find(target) {
                    self.touch(now, slot, out, |t, cx| {
                        let by_health = t.leaving_by_health;
                        t.set_leaving(cx, by_health, leaving, "platform");
                    });
                }
            }
            TargetEvent::Tick => self.tick(now, out),
        }
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The report on a target, if this instance is its home.
    pub fn report(&self, target: TargetId) -> Option<TargetReport> {
        self.get(self.find(target)?)?.report()
    }

    /// Reports on all targets whose home is this instance, sorted by target.
    pub fn reports(&self) -> impl Iterator<Item = TargetReport> {
        self.index.iter().filter_map(|(_, slot)| self.get(*slot)?.report())
    }

    fn get(&self, slot: u32) -> Option<&Target> {
        self.slots.get(slot as usize)?.as_ref()
    }

    fn find(&self, target: TargetId) -> Option<u32> {
        let i = self.index.binary_search_by_key(&target, |x| x.0).ok()?;
        Some(self.index[i].1)
    }

    fn submit(
        &mut self,
        now: Time,
        job: Job,
        out: &mut impl Extend<TargetEffect>,
    ) {
        let Some(slot) = self.find(job.target) else {
            out.extend([TargetEffect::Done(job.id, JobOutcome::Shed)]);
            return;
        };
        self.jobs.insert(job.id, slot);
        self.touch(now, slot, out, |t, cx| t.submit(cx, job));
    }

    fn tick(&mut self, now: Time, out: &mut impl Extend<TargetEffect>) {
        let due: Vec<u32> = self
            .timers
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, slot)| *slot)
            .collect();
        for slot in due {
            self.touch(now, slot, out, |t, cx| t.tick(cx));
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
        let hold = !(first && self.options.fleet_is_new);
        let removed: Vec<u32> = self
            .index
            .iter()
            .filter(|(id, _)| {
                specs.binary_search_by_key(id, |spec| spec.id).is_err()
            })
            .map(|(_, slot)| *slot)
            .collect();
        for slot in removed {
            self.touch(now, slot, out, |t, cx| {
                t.gone = true;
                let spec =
                    TargetSpec { role: HomeRole::None, ..t.spec.clone() };
                t.configure(cx, spec, hold);
            });
        }
        for spec in specs {
            let slot = self.find(spec.id).unwrap_or_else(|| {
                let without_role =
                    TargetSpec { role: HomeRole::None, ..spec.clone() };
                self.insert(now, without_role)
            });
            self.touch(now, slot, out, |t, cx| {
                t.gone = false;
                t.configure(cx, spec, hold);
            });
        }
    }

    fn insert(&mut self, now: Time, spec: TargetSpec) -> u32 {
        let id = spec.id;
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            (self.slots.len() - 1) as u32
        });
        self.slots[slot as usize] = Some(Target::new(slot, spec, now));
        let i = self.index.partition_point(|x| x.0 < id);
        self.index.insert(i, (id, slot));
        slot
    }

    /// Applies `f` to a target, then does what its new state allows and
    /// updates its timer.
    fn touch<O: Extend<TargetEffect>>(
        &mut self,
        now: Time,
        slot: u32,
        out: &mut O,
        f: impl FnOnce(&mut Target, &mut Cx<'_, O>),
    ) {
        let Some(target) =
            self.slots.get_mut(slot as usize).and_then(Option::as_mut)
        else {
            return;
        };
        let mut cx = Cx {
            now,
            options: &self.options,
            rng: &mut self.rng,
            jobs: &mut self.jobs,
            next_conn: &mut self.next_conn,
            out,
        };
        target.refresh(&cx);
        f(target, &mut cx);
        target.pump(&mut cx);
        target.publish(&mut cx);
        let due = target.next_deadline(&self.options);
        let scheduled = std::mem::replace(&mut target.scheduled, due);
        if scheduled != due {
            if let Some(at) = scheduled {
                self.timers.remove(&(at, slot));
            }
            if let Some(at) = due {
                self.timers.insert((at, slot));
            }
        }
        if target.is_finished() {
            self.remove(slot);
        }
    }

    fn remove(&mut self, slot: u32) {
        let Some(target) = self.slots[slot as usize].take() else { return };
        if let Some(at) = target.scheduled {
            self.timers.remove(&(at, slot));
        }
        let id = target.spec.id;
        if let Ok(i) = self.index.binary_search_by_key(&id, |x| x.0) {
            self.index.remove(i);
        }
        self.free.push(slot);
    }
}

impl Target {
    /// Drops what has run out, before an event is handled.
    fn refresh<O>(&mut self, cx: &Cx<'_, O>) {
        self.lingering.retain(|l| cx.now < l.until);
        self.hold_until = self.hold_until.filter(|until| cx.now < *until);
        if self.state != TargetState::Down {
            self.retry_at = self.retry_at.filter(|at| cx.now < *at);
        }
        if let Some((cap, raise_at)) = self.reduced_cap
            && cx.now >= raise_at
        {
            self.reduced_cap = None;
            if cap + 1 < self.cap() {
                let raise_at = cx.now + cx.options.cap_recovery;
                self.reduced_cap = Some((cap + 1, raise_at));
            }
        }
    }

    /// Handles everything whose time has come.
    fn tick<O: Extend<TargetEffect>>(&mut self, cx: &mut Cx<'_, O>) {
        self.check_conns(cx);
        match self.probe {
            Some(started) if cx.now >= started + cx.options.probe_timeout => {
                self.health(cx, None);
            }
            None if self.is_probed() && cx.now >= self.next_probe => {
                self.probe_now(cx);
            }
            _ => {}
        }
        let reconnect = self.state == TargetState::Down
            && self.is_wanted()
            && self.retry_at.is_some_and(|at| cx.now >= at);
        if reconnect {
            self.open(cx, 1);
        }
    }

    fn is_probed(&self) -> bool {
        self.spec.role != HomeRole::None
    }

    fn next_deadline(&self, options: &TargetOptions) -> Option<Time> {
        let silent_after = self.silent_after(options);
        let probe = match self.probe {
            Some(started) => Some(started + options.probe_timeout),
            None => self.is_probed().then_some(self.next_probe),
        };
        let waits = self.is_wanted()
            && (self.state == TargetState::Down || self.queue.len() > 0)
            && !self.conns.iter().any(|c| c.is_connecting());
        let due = [
            self.queue.next_deadline(),
            self.lingering.iter().map(|l| l.until).min(),
            self.hold_until,
            self.report_due,
            self.retry_at.filter(|_| waits),
            probe,
        ];
        let conns = self.conns.iter().map(|c| c.due(options, silent_after));
        due.into_iter().flatten().chain(conns).min()
    }

    /// Takes over a new description of the target.
    fn configure<O: Extend<TargetEffect>>(
        &mut self,
        cx: &mut Cx<'_, O>,
        spec: TargetSpec,
        hold: bool,
    ) {
        let old = std::mem::replace(&mut self.spec, spec);
        let new = &self.spec;
        let (role, moved) = (new.role, old.address != new.address);
        let zone_back = old.zone_out && !new.zone_out;
        if old.role != role {
            cx.log(
                &event::target::ROLE_TAKEN,
                format!(
                    "target={} from={:?} to={:?}",
                    new.name, old.role, role
                ),
            );
            self.hold_until = (role == HomeRole::Home && hold)
                .then(|| cx.now + cx.options.takeover_hold);
        }
        let taken = old.role == HomeRole::None && role != HomeRole::None;
        if moved {
            self.close_unused(cx, |_| true);
            self.answer_boot = None;
            self.health_boot = None;
            self.refuted_boot = None;
            self.latency = Default::default();
            self.failures = 0;
        }
        // What was known about the target is out of date.
        if taken || zone_back || moved {
            self.retry_at = None;
            self.set_state(cx, TargetState::Cold, "configuration");
            self.probe_now(cx);
        }
        self.limit = self.limit.min(self.slots());
        if self.state == TargetState::Ready && self.limit < self.slots() {
            self.set_state(cx, TargetState::Warming, "slots");
        }
        if role == HomeRole::None {
            self.close_unused(cx, |_| true);
        }
        if self.conns.len() > self.cap() {
            self.close_unused(cx, |_| true);
        }
    }
}
