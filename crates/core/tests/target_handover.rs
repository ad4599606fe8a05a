/*!
Tests of the agreement between the home and the standby of a target: a target
that is cold gets requests from one instance only.
*/
#![allow(missing_docs)]

use std::collections::VecDeque;

use primrosemast_core::{
    id::{ConnId, InstanceId, JobId, TargetId},
    target::*,
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

mod target_support;
use target_support::*;

const HOME: InstanceId = InstanceId(1);
const STANDBY: InstanceId = InstanceId(2);

fn configured(role: HomeRole, peer: InstanceId) -> TargetEvent {
    let peer = Some(peer);
    TargetEvent::Configure(vec![TargetSpec { role, peer, ..spec(1, 4) }])
}

fn notices(effects: &[TargetEffect]) -> Vec<SharingNotice> {
    let notice = |e: &TargetEffect| match e {
        TargetEffect::NotifyStandby { to, notice, .. } => {
            assert_eq!(*to, STANDBY);
            Some(*notice)
        }
        _ => None,
    };
    effects.iter().filter_map(notice).collect()
}

fn confirmations(effects: &[TargetEffect]) -> Vec<SharingNotice> {
    let notice = |e: &TargetEffect| match e {
        TargetEffect::ConfirmSharing { notice, .. } => Some(*notice),
        _ => None,
    };
    effects.iter().filter_map(notice).collect()
}

fn noticed(notice: SharingNotice) -> TargetEvent {
    TargetEvent::SharingNoticed(TargetId(1), HOME, notice)
}

fn confirmed(notice: SharingNotice) -> TargetEvent {
    TargetEvent::SharingConfirmed(TargetId(1), STANDBY, notice)
}

/// Submits a job that waits for longer than any hand-over takes.
fn submit_patient(rig: &mut Rig) {
    let deadline = rig.now + ms(5_000);
    rig.next_job += 1;
    rig.step(TargetEvent::Submit(job(rig.next_job, 1, deadline)));
}

fn rig(role: HomeRole, peer: InstanceId) -> Rig {
    let options = TargetOptions {
        fleet_is_new: true,
        cancel_grace: ms(25),
        ..TargetOptions::default()
    };
    let mut rig = Rig::new(options);
    rig.step(configured(role, peer));
    rig
}

/// Guards against a home that sends to a cold target while its standby may
/// still send, and against one that waits for a dead standby for ever.
#[test]
fn a_home_sends_to_a_cold_target_after_its_standby_has_stopped() {
    let mut rig = rig(HomeRole::Home, STANDBY);
    let first = notices(&rig.effects);
    assert!(!first[0].allowed);
    rig.submit();
    assert_eq!(connects(&rig.effects), [], "sent before the confirmation");
    // A notice that was lost is sent again.
    rig.effects = rig.advance(ms(100));
    assert_eq!(notices(&rig.effects), first);
    let other = SharingNotice { number: 0, ..first[0] };
    rig.step(confirmed(other));
    assert_eq!(connects(&rig.effects), [], "confirmed another notice");
    rig.step(confirmed(first[0]));
    assert_eq!(connects(&rig.effects).len(), 1);

    let mut rig = self::rig(HomeRole::Home, STANDBY);
    submit_patient(&mut rig);
    rig.effects = rig.advance(ms(1_999));
    assert_eq!(connects(&rig.effects), []);
    rig.effects = rig.advance(ms(1));
    assert_eq!(connects(&rig.effects).len(), 1);
}

/// Guards against a standby that sends without the permission of the home, or
/// with one that was revoked or meant for an earlier run of its process.
#[test]
fn a_standby_sends_only_while_its_home_allows_it() {
    let mut rig = rig(HomeRole::Standby, HOME);
    let [unasked] = confirmations(&rig.effects)[..] else { panic!() };
    assert_eq!((unasked.number, unasked.allowed), (0, false));
    let shed = |rig: &mut Rig| {
        let job = rig.submit();
        assert_eq!(ended_jobs(&rig.effects), [(job.id, JobOutcome::Shed)]);
    };
    shed(&mut rig);
    let stale = SharingNotice { number: 1, allowed: true, token: 0 };
    rig.step(noticed(stale));
    shed(&mut rig);
    let token = confirmations(&rig.effects);
    assert_eq!(token, []);
    rig.step(noticed(SharingNotice { token: unasked.token, ..stale }));
    assert!(confirmations(&rig.effects)[0].allowed);
    rig.submit();
    let sent = rig.open_all();
    let [(conn, job)] = &sent[..] else { panic!("{sent:?}") };

    // The revocation is confirmed when the request has ended.
    let revoke = SharingNotice { number: 2, allowed: false, token: 0 };
    rig.step(noticed(revoke));
    assert_eq!(confirmations(&rig.effects), []);
    shed(&mut rig);
    rig.answer(*conn, job);
    let [done] = confirmations(&rig.effects)[..] else { panic!() };
    assert_eq!((done.number, done.allowed), (2, false));
    // The former permission arrives late.
    rig.step(noticed(SharingNotice { token: unasked.token, ..stale }));
    shed(&mut rig);
}

/// Guards against two senders to a cold target when a standby takes over from
/// a home that has not ended its requests, and when a new home replaces one
/// that does not know of it yet.
#[test]
fn a_takeover_of_a_cold_target_waits_for_the_former_home() {
    let mut rig = rig(HomeRole::Standby, HOME);
    rig.step(configured(HomeRole::Home, STANDBY));
    let [notice] = notices(&rig.effects)[..] else { panic!() };
    rig.step(confirmed(notice));
    submit_patient(&mut rig);
    rig.effects = rig.advance(ms(999));
    assert_eq!(connects(&rig.effects), []);
    rig.effects = rig.advance(ms(1));
    assert_eq!(connects(&rig.effects).len(), 1);

    // The former home becomes the standby of the new one.
    let mut rig = self::rig(HomeRole::Home, InstanceId(3));
    rig.effects = rig.advance(ms(2_000));
    rig.submit();
    let sent = rig.open_all();
    let revoke = SharingNotice { number: 1, allowed: false, token: 0 };
    rig.step(noticed(revoke));
    assert_eq!(confirmations(&rig.effects), []);
    rig.step(configured(HomeRole::Standby, HOME));
    let numbers = |rig: &Rig| -> Vec<u64> {
        confirmations(&rig.effects).iter().map(|n| n.number).collect()
    };
    assert_eq!(numbers(&rig), [0]);
    rig.answer(sent[0].0, &sent[0].1);
    assert_eq!(numbers(&rig), [1]);
}

/// A home and its standby with a network between them that delays, loses and
/// duplicates messages, and the requests that run at their target.
struct Pair {
    rng: Pcg32,
    rigs: [Rig; 2],
    /// Arrival time, recipient and event.
    network: VecDeque<(Time, usize, TargetEvent)>,
    /// Instance, connection, job, end of the work and whether the home took
    /// the target for cold when the request was sent.
    running: Vec<(usize, ConnId, Job, Time, bool)>,
    cold_sends: u32,
    standby_sends: u32,
}

impl Pair {
    fn new(seed: u64) -> Pair {
        Pair {
            rng: Pcg32::seed_from_u64(seed),
            rigs: [rig(HomeRole::Home, STANDBY), rig(HomeRole::Standby, HOME)],
            network: VecDeque::new(),
            running: Vec::new(),
            cold_sends: 0,
            standby_sends: 0,
        }
    }

    fn is_cold(&self) -> bool {
        let report = self.rigs[0].targets.report(TargetId(1));
        report.expect("the home reports").state == TargetState::Cold
    }

    fn step(&mut self, i: usize, event: TargetEvent) {
        self.rigs[i].step(event);
        self.carry_out(i);
    }

    fn carry_out(&mut self, i: usize) {
        let now = self.rigs[i].now;
        for effect in std::mem::take(&mut self.rigs[i].effects) {
            match effect {
                TargetEffect::NotifyStandby { target, notice, .. } => {
                    let event =
                        TargetEvent::SharingNoticed(target, HOME, notice);
                    self.transmit(now, 1, event);
                }
                TargetEffect::ConfirmSharing { target, notice, .. } => {
                    let event =
                        TargetEvent::SharingConfirmed(target, STANDBY, notice);
                    self.transmit(now, 0, event);
                }
                TargetEffect::Connect { conn, .. } => {
                    self.step(i, TargetEvent::Connected(conn));
                }
                TargetEffect::Send { conn, job } => {
                    self.check_send(i);
                    let work = ms(self.rng.random_range(1..40));
                    let cold = self.is_cold();
                    self.running.push((i, conn, job, now + work, cold));
                }
                TargetEffect::Close(conn) => {
                    self.running.retain(|r| (r.0, r.1) != (i, conn));
                }
                _ => {}
            }
        }
    }

    fn transmit(&mut self, now: Time, to: usize, event: TargetEvent) {
        let copies = [0, 1, 1, 1, 2][self.rng.random_range(0..5)];
        for _ in 0..copies {
            let delay = ms(self.rng.random_range(0..300));
            self.network.push_back((now + delay, to, event.clone()));
        }
    }

    fn check_send(&mut self, i: usize) {
        if !self.is_cold() {
            self.standby_sends += u32::from(i == 1);
            return;
        }
        self.cold_sends += 1;
        let others = self.running.iter().filter(|r| r.0 != i);
        match i {
            0 => assert_eq!(others.count(), 0, "the standby is sending"),
            _ => assert!(others.clone().all(|r| !r.4), "the home is sending"),
        }
    }

    fn advance(&mut self) {
        for i in 0..2 {
            self.rigs[i].effects = self.rigs[i].advance(ms(1));
            self.carry_out(i);
        }
        let now = self.rigs[0].now;
        for _ in 0..self.network.len() {
            match self.network.pop_front() {
                Some((at, to, event)) if at <= now => self.step(to, event),
                later => self.network.extend(later),
            }
        }
        while let Some(n) = self.running.iter().position(|r| r.3 <= now) {
            let (i, conn, job, ..) = self.running.swap_remove(n);
            let event = TargetEvent::Answer(conn, job.id, answer_to(&job));
            self.step(i, event);
        }
    }

    fn submit(&mut self, i: usize, id: u64) {
        let deadline = self.rigs[i].now + ms(200);
        let job = Job { id: JobId(id), ..job(id, 1, deadline) };
        self.step(i, TargetEvent::Submit(job));
    }
}

/// Guards against two instances that send to a cold target around a hand-over,
/// whatever messages between them are late, lost or duplicated.
#[test]
fn a_cold_target_has_one_sender_in_every_order_of_messages() {
    let (mut cold_sends, mut standby_sends) = (0, 0);
    for seed in 0..40 {
        let mut pair = Pair::new(seed);
        for n in 0..6_000u64 {
            pair.advance();
            match pair.rng.random_range(0..100) {
                0..25 => pair.submit(0, 2 * n),
                25..40 => pair.submit(1, 2 * n + 1),
                _ => {}
            }
            // The home learns from a health report that the target restarted.
            if pair.rng.random_range(0..700) == 0 {
                let report = health(HealthStatus::Ok, n + 10);
                let event = TargetEvent::Health(TargetId(1), Some(report));
                pair.step(0, event);
            }
        }
        cold_sends += pair.cold_sends;
        standby_sends += pair.standby_sends;
    }
    println!("{cold_sends} sends to a cold target");
    println!("{standby_sends} sends of the standby to a warm one");
    assert!(cold_sends > 1_000 && standby_sends > 1_000);
}
