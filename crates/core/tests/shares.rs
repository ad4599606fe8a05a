//! Tests of the limits that all instances share, each for a load pattern or a
//! failure. Inside the limit are the requests that a single token bucket with
//! the plain rate and burst would admit.

mod shares_support;

use std::time::Duration;

use primrosemast_core::{
    id::{InstanceId, LimitId, Token, ZoneId},
    placement::Candidate,
    shares::{
        Grant, Message, Millitokens, ShareEffect, ShareEvent, ShareOptions,
        Shares, VoterList, Want,
        authority::{Authority, Change},
        bucket::{Bucket, Part},
    },
    time::Time,
};
use rand::RngExt;
use shares_support::*;

/// Largest share of the requests inside the limit that may be refused.
const MAX_REFUSED: f64 = 0.01;

const INSTANCES: usize = 94;

/// A fleet whose grantors have been granting for some seconds.
fn warm_fleet(per_second: f64, burst: f64, seed: u64) -> Fleet {
    let options = ShareOptions::default();
    let mut fleet = Fleet::new(INSTANCES, 5, options, seed);
    fleet.set_limits(vec![(LIMIT, limit(per_second, burst))]);
    fleet.run(Duration::from_secs(10));
    fleet
}

/// Checks the bound and prints what the pattern cost. Returns the share of the
/// requests inside the limit that were refused.
fn refused_share(fleet: &Fleet, name: &str, from: Time) -> f64 {
    let limit = fleet.limits[0].1;
    let (inside, refused) = fleet.inside(LIMIT, from);
    let worst = fleet.worst_window(LIMIT);
    let allowed = fleet.options.allowed(limit);
    let admitted = fleet.admitted(LIMIT, from);
    let waits = fleet.offered.iter().filter_map(|o| {
        Some(o.admitted_at?.since(o.at).as_secs_f64() * 1_000.0)
    });
    let longest = waits.fold(0.0, f64::max);
    println!(
        "{name}: inside={inside} refused={refused} admitted={admitted} \
         worst_window={worst} allowed={allowed:.1} longest_wait_ms={longest} \
         messages={} bytes={}",
        fleet.messages, fleet.bytes
    );
    assert!(worst as f64 <= allowed, "{name}: {worst} of {allowed}");
    assert!(inside > 0);
    refused as f64 / inside as f64
}

// Guards against refusals inside the limit where one instance gets most of
// the traffic.
#[test]
fn one_instance_gets_most_of_the_traffic() {
    let mut fleet = warm_fleet(17.0, 17.0, 1);
    let from = fleet.now;
    let pick = |rng: &mut rand_pcg::Pcg32| match rng.random_bool(0.9) {
        true => 40,
        false => rng.random_range(0..INSTANCES),
    };
    fleet.load_inside(LIMIT, 16.0, Duration::from_secs(60), pick);
    fleet.run(ms(500));
    let share = refused_share(&fleet, "one instance", from);
    assert!(share <= MAX_REFUSED, "{share}");
}

// Guards against refusals inside the limit where each instance gets a few
// requests, so that none has tokens in advance.
#[test]
fn the_traffic_is_spread_over_all_instances() {
    for (rate, burst) in [(17.0, 17.0), (2.0, 2.0), (200.0, 100.0)] {
        let mut fleet = warm_fleet(rate, burst, 2);
        let from = fleet.now;
        let pick = |rng: &mut rand_pcg::Pcg32| rng.random_range(0..INSTANCES);
        fleet.load_inside(LIMIT, rate * 0.95, Duration::from_secs(60), pick);
        fleet.run(ms(500));
        let share = refused_share(&fleet, "spread", from);
        assert!(share <= MAX_REFUSED, "{rate}: {share}");
    }
}

// Guards against tokens that stay where the traffic was.
#[test]
fn the_traffic_moves_between_instances() {
    let mut fleet = warm_fleet(50.0, 20.0, 3);
    let from = fleet.now;
    for i in 0..30 {
        let at = i * 3 % INSTANCES;
        fleet.load_inside(LIMIT, 47.0, Duration::from_secs(2), |_| at);
    }
    fleet.run(ms(500));
    let share = refused_share(&fleet, "moves", from);
    assert!(share <= MAX_REFUSED, "{share}");
}

// Guards against a burst that is refused although the limit allows it, at one
// instance or at many.
#[test]
fn a_burst_comes_after_quiet() {
    for spread in [false, true] {
        let mut fleet = warm_fleet(20.0, 40.0, 4);
        let from = fleet.now;
        for _ in 0..10 {
            for i in 0..40 {
                fleet.offer(if spread { i } else { 11 }, LIMIT);
            }
            fleet.run(Duration::from_secs(3));
        }
        let share = refused_share(&fleet, "burst after quiet", from);
        assert!(share <= MAX_REFUSED, "{share}");
    }
}

// Guards against a team that gets less than its limit when it sends many times
// as much, and against one that crowds the grantors with messages.
#[test]
fn a_team_sends_eight_times_its_limit() {
    let mut fleet = warm_fleet(17.0, 17.0, 5);
    let from = fleet.now;
    let pick = |rng: &mut rand_pcg::Pcg32| rng.random_range(0..INSTANCES);
    fleet.load(LIMIT, 8.0 * 17.0, Duration::from_secs(30), pick);
    fleet.run(ms(500));
    refused_share(&fleet, "eight times the limit", from);
    let (inside, _) = fleet.inside(LIMIT, from);
    let admitted = fleet.admitted(LIMIT, from);
    // Which of the requests are admitted does not matter here.
    assert!(
        admitted as f64 >= inside as f64 * (1.0 - MAX_REFUSED),
        "{admitted} of {inside}"
    );
    let asked = fleet.messages as f64 / fleet.offered.len() as f64;
    assert!(asked <= 10.0, "{asked} messages for each request");
    let refused = fleet.offered.iter().filter_map(|o| o.retry_after);
    let mut delays: Vec<Duration> = refused.collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 100, "all return together");
}

// Guards against a limit that is not served while a grantor is gone, is
// replaced, and the new one waits.
#[test]
fn a_grantor_vanishes() {
    let mut fleet = warm_fleet(17.0, 17.0, 6);
    let from = fleet.now;
    let pick = |rng: &mut rand_pcg::Pcg32| rng.random_range(8..INSTANCES);
    fleet.load_inside(LIMIT, 11.0, Duration::from_secs(4), pick);
    fleet.stop(0);
    fleet.load_inside(LIMIT, 11.0, Duration::from_secs(5), pick);
    fleet.set_voters(vec![0, 1, 2, 3, 4, 5]);
    fleet.run(ms(200));
    fleet.set_voters(vec![1, 2, 3, 4, 5]);
    fleet.load_inside(LIMIT, 11.0, Duration::from_secs(10), pick);
    fleet.run(ms(500));
    let share = refused_share(&fleet, "grantor vanishes", from);
    assert!(share <= MAX_REFUSED, "{share}");
    assert!(fleet.instances[5].shares.counts().granted > 0.0);
}

// Guards against a grantor that goes on with its part after it was replaced
// while it was frozen, and against refusals meanwhile.
#[test]
fn a_grantor_is_frozen_and_thawed() {
    let mut fleet = warm_fleet(17.0, 17.0, 7);
    let from = fleet.now;
    let pick = |rng: &mut rand_pcg::Pcg32| rng.random_range(8..INSTANCES);
    fleet.freeze(0, Duration::from_secs(12));
    fleet.load_inside(LIMIT, 11.0, Duration::from_secs(4), pick);
    fleet.set_voters(vec![0, 1, 2, 3, 4, 5]);
    fleet.run(ms(200));
    fleet.set_voters(vec![1, 2, 3, 4, 5]);
    let before = fleet.instances[0].shares.counts().granted;
    fleet.load_inside(LIMIT, 11.0, Duration::from_secs(15), pick);
    fleet.run(ms(500));
    let share = refused_share(&fleet, "frozen and thawed", from);
    assert!(share <= MAX_REFUSED, "{share}");
    assert_eq!(fleet.instances[0].shares.counts().granted, before);
}

// Guards against two sides of a partition that spend the limit twice, and
// against a majority that cannot serve what its part of the limit allows.
#[test]
fn a_partition_cuts_two_grantors_off() {
    let mut fleet = warm_fleet(17.0, 17.0, 8);
    let from = fleet.now;
    for i in [0, 1] {
        fleet.instances[i].cut = (true, true);
    }
    let pick = |rng: &mut rand_pcg::Pcg32| rng.random_range(8..INSTANCES);
    // Three fifths of the rate stay, which is 10.2.
    fleet.load_inside(LIMIT, 9.0, Duration::from_secs(20), pick);
    for i in [0, 1] {
        fleet.instances[i].cut = (false, false);
    }
    fleet.load_inside(LIMIT, 16.0, Duration::from_secs(20), pick);
    fleet.run(ms(500));
    let share = refused_share(&fleet, "partition", from);
    assert!(share <= MAX_REFUSED, "{share}");
}

// Guards against a lowered limit that does not bind, and a raised one that has
// no effect.
#[test]
fn a_limit_is_lowered_and_raised() {
    let mut fleet = warm_fleet(40.0, 40.0, 9);
    let pick = |rng: &mut rand_pcg::Pcg32| rng.random_range(0..INSTANCES);
    fleet.load(LIMIT, 100.0, Duration::from_secs(10), pick);
    fleet.set_limits(vec![(LIMIT, limit(10.0, 10.0))]);
    // What was granted before ends within the validity.
    fleet.load(LIMIT, 100.0, fleet.options.validity, pick);
    let from = fleet.now;
    let offered = fleet.offered.len();
    fleet.load(LIMIT, 100.0, Duration::from_secs(10), pick);
    let mut later = std::mem::take(&mut fleet.offered).split_off(offered);
    later.retain(|o| o.admitted_at.is_some_and(|at| at >= from));
    fleet.offered = later;
    let allowed = fleet.options.allowed(fleet.limits[0].1);
    let worst = fleet.worst_window(LIMIT);
    assert!(worst as f64 <= allowed, "{worst} of {allowed}");

    let mut fleet = warm_fleet(10.0, 10.0, 10);
    fleet.set_limits(vec![(LIMIT, limit(40.0, 40.0))]);
    fleet.run(Duration::from_secs(1));
    let from = fleet.now;
    fleet.load_inside(LIMIT, 37.0, Duration::from_secs(20), pick);
    fleet.run(ms(500));
    let share = refused_share(&fleet, "raised", from);
    assert!(share <= MAX_REFUSED, "{share}");
}

// Guards against a limit that is too small to give each grantor a token and is
// therefore never served.
#[test]
fn a_limit_below_one_token_for_each_grantor_is_served() {
    let options = ShareOptions { slack: 0.0, ..ShareOptions::default() };
    let mut fleet = Fleet::new(12, 5, options, 11);
    fleet.set_limits(vec![(LIMIT, limit(0.5, 1.0))]);
    fleet.run(Duration::from_secs(10));
    let from = fleet.now;
    for i in 0..20 {
        fleet.offer(i % 12, LIMIT);
        fleet.run(Duration::from_secs(4));
    }
    let share = refused_share(&fleet, "small limit", from);
    assert_eq!(share, 0.0);
}

// Guards against messages of instances that serve no limited requests, and
// against one message for each request where many come at once.
#[test]
fn messages_are_batched_and_none_are_sent_when_idle() {
    let mut fleet = warm_fleet(100.0, 100.0, 12);
    assert_eq!(fleet.messages, 0, "no request yet");
    let limits: Vec<_> =
        (0..87).map(|i| (LimitId(100 + i), limit(20.0, 20.0))).collect();
    fleet.set_limits(limits);
    fleet.run(Duration::from_secs(3));
    for i in 0..87 {
        fleet.offer(50, LimitId(100 + i));
    }
    fleet.run(ms(500));
    assert!(fleet.offered.iter().all(|o| o.admitted_at.is_some()));
    // Five grantors with one message under way and one more for what came
    // meanwhile, and their answers.
    assert!(fleet.messages <= 20, "{}", fleet.messages);
    println!("87 limits: messages={} bytes={}", fleet.messages, fleet.bytes);
}

// Guards against a cost that grows with the number of instances or teams
// instead of the number of requests.
#[test]
fn messages_follow_the_requests() {
    for (instances, teams) in [(10, 87), (94, 87), (300, 87), (94, 400)] {
        let options = ShareOptions::default();
        let mut fleet = Fleet::new(instances, 5, options, 13);
        let limits: Vec<_> = (0..teams)
            .map(|i| (LimitId(100 + i), limit(15.0, 15.0)))
            .collect();
        fleet.set_limits(limits);
        fleet.run(Duration::from_secs(10));
        let end = fleet.now + Duration::from_secs(5);
        while fleet.now < end {
            let team = fleet.rng.random_range(0..teams);
            let i = fleet.rng.random_range(0..instances);
            fleet.offer(i, LimitId(100 + team));
            fleet.run(Duration::from_micros(1_250));
        }
        let requests = fleet.offered.len() as f64;
        let messages = fleet.messages as f64;
        let bytes = fleet.bytes as f64;
        let second = instances as f64 * 5.0;
        println!(
            "instances={instances} teams={teams} requests={requests}: \
             {:.2} messages and {:.0} bytes a request, {:.1} messages and \
             {:.0} bytes a second and instance",
            messages / requests,
            bytes / requests,
            messages / second,
            bytes / second,
        );
        // A request for a token and its answer.
        assert!(messages <= 2.2 * requests);
    }
}

const HOLD: Duration = Duration::from_millis(2_500);

fn options() -> ShareOptions {
    ShareOptions::default()
}

fn list(index: u64, voters: u32, confirmed_at: Time) -> VoterList {
    VoterList { index, voters, confirmed_at }
}

// Guards against a new grantor that grants while a former one still does.
#[test]
fn a_new_grantor_waits_until_former_grants_have_ended() {
    let (mut authority, options) = (Authority::default(), options());
    let start = Time::from_millis(10_000);
    let begun = authority.confirm(start, list(1, 5, start), &options);
    assert_eq!(begun, Some(Change::Begun));
    assert!(!authority.holds(start));
    let early = start + HOLD - ms(1);
    authority.confirm(early, list(1, 5, early), &options);
    assert!(!authority.holds(early));
    assert!(authority.holds(start + HOLD));
    // The confirmation counts from when it was asked for.
    assert!(!authority.holds(early + options.lease));
}

// Guards against a confirmation that arrives after its lease, such as one that
// waited while the process was frozen.
#[test]
fn a_late_confirmation_gives_no_authority() {
    let (mut authority, options) = (Authority::default(), options());
    let asked = Time::from_millis(10_000);
    let thawed = asked + options.lease;
    assert_eq!(authority.confirm(thawed, list(1, 5, asked), &options), None);
    assert!(!authority.holds(thawed + HOLD));
}

// Guards against a grantor that was replaced and returned while it was cut
// off, and goes on with its old bucket.
#[test]
fn authority_begins_anew_if_the_list_changed_meanwhile() {
    let (mut authority, options) = (Authority::default(), options());
    let start = Time::from_millis(10_000);
    authority.confirm(start, list(1, 5, start), &options);
    let again = start + Duration::from_secs(60);
    let same = authority.confirm(again, list(1, 5, again), &options);
    assert_eq!(same, Some(Change::Renewed));
    assert!(authority.holds(again));
    let later = again + Duration::from_secs(60);
    let other = authority.confirm(later, list(9, 5, later), &options);
    assert_eq!(other, Some(Change::Begun));
    assert!(!authority.holds(later));
}

// Guards against parts that add up to more than the limit while the list of
// voters changes.
#[test]
fn the_part_is_the_smallest_after_the_list_has_changed() {
    let (mut authority, options) = (Authority::default(), options());
    let start = Time::from_millis(10_000);
    authority.confirm(start, list(1, 5, start), &options);
    let steady = start + HOLD;
    authority.confirm(steady, list(1, 5, steady), &options);
    assert_eq!(authority.fraction(steady, &options), 1.0 / 5.0);
    let changed = steady + ms(500);
    authority.confirm(changed, list(2, 4, changed), &options);
    assert!(authority.holds(changed));
    assert_eq!(authority.fraction(changed, &options), 1.0 / 6.0);
    assert_eq!(authority.fraction(changed + HOLD, &options), 1.0 / 4.0);
}

// Guards against tokens that flow in while as many as the capacity are in the
// hands of holders.
#[test]
fn outstanding_tokens_count_against_the_capacity() {
    let part = Part { per_second: 10.0, capacity: 20.0 };
    let mut bucket = Bucket::new(Time::ZERO, 20.0);
    let valid = ms(500);
    let key = |sequence| (InstanceId(9), sequence);
    let zero = Time::ZERO;
    assert_eq!(bucket.grant(zero, part, 25.0, valid, key(1)), 20.0);
    // The grants end after half a second; only then do tokens flow in.
    let before = Time::from_millis(499);
    assert_eq!(bucket.grant(before, part, 1.0, valid, key(2)), 0.0);
    let after = Time::from_millis(700);
    assert_eq!(bucket.grant(after, part, 5.0, valid, key(3)), 2.0);
    assert!(bucket.total() <= 20.0);
}

// Guards against tokens that are given back twice, by a message that was
// duplicated, or after they no longer count as outstanding.
#[test]
fn tokens_are_put_back_once_and_in_time() {
    let part = Part { per_second: 0.0, capacity: 20.0 };
    let mut bucket = Bucket::new(Time::ZERO, 20.0);
    let key = |sequence| (InstanceId(9), sequence);
    let zero = Time::ZERO;
    bucket.grant(zero, part, 5.0, ms(500), key(1));
    bucket.grant(zero, part, 5.0, ms(500), key(2));
    let now = Time::from_millis(400);
    bucket.put_back(now, part, key(1), 2.0);
    bucket.put_back(now, part, key(1), 2.0);
    assert_eq!(bucket.grant(now, part, 20.0, ms(500), key(3)), 12.0);
    let late = Time::from_millis(500);
    bucket.put_back(late, part, key(2), 5.0);
    assert_eq!(bucket.grant(late, part, 20.0, ms(500), key(4)), 0.0);
}

fn holder() -> Shares {
    let mut shares = Shares::new(InstanceId(50), ZoneId(1), options(), 99);
    let mut out = Vec::new();
    let limits = vec![(LIMIT, limit(10.0, 10.0))];
    shares.step(Time::ZERO, ShareEvent::Limits(limits), &mut out);
    let candidate =
        |id| Candidate { instance: InstanceId(id), zone: ZoneId(id) };
    let grantors = vec![candidate(1), candidate(2), candidate(3)];
    shares.step(Time::ZERO, ShareEvent::Grantors(grantors), &mut out);
    assert!(out.is_empty());
    shares
}

fn step(
    shares: &mut Shares,
    now: Time,
    event: ShareEvent,
) -> Vec<ShareEffect> {
    let mut out = Vec::new();
    shares.step(now, event, &mut out);
    out
}

fn take(shares: &mut Shares, now: Time, token: u64) -> Vec<ShareEffect> {
    let until = now + Duration::from_secs(1);
    step(shares, now, ShareEvent::Take(Token(token), LIMIT, until))
}

/// Returns the recipient and the number of the only message.
fn asked(effects: &[ShareEffect]) -> (InstanceId, u64) {
    let mut asks = effects.iter().filter_map(|e| match e {
        ShareEffect::Send(to, Message::Ask { sequence, .. }) => {
            Some((*to, *sequence))
        }
        _ => None,
    });
    let ask = asks.next().expect("asked");
    assert!(asks.next().is_none(), "one message");
    ask
}

fn granted(from: InstanceId, sequence: u64, tokens: u32) -> ShareEvent {
    let grant = Grant {
        limit: LIMIT,
        tokens: Millitokens(tokens),
        empty_us: 0,
        low: false,
    };
    let grants = vec![grant];
    ShareEvent::Message(from, Message::Granted { sequence, grants })
}

// Guards against tokens that are spent after the grantor no longer counts
// them: their validity counts from the request and not from the answer.
#[test]
fn a_delayed_grant_is_valid_for_a_shorter_time() {
    let mut shares = holder();
    let sent = Time::from_millis(1_000);
    let (from, sequence) = asked(&take(&mut shares, sent, 1));
    assert_eq!(from, InstanceId(1), "the grantor of the own zone");
    let arrives = sent + ms(190);
    let effects = step(&mut shares, arrives, granted(from, sequence, 3_000));
    assert!(effects.contains(&ShareEffect::Admit(Token(1))));
    assert_eq!(shares.held(LIMIT), 2);
    let late = sent + ms(500);
    let effects = take(&mut shares, late, 2);
    assert!(!effects.contains(&ShareEffect::Admit(Token(2))), "{effects:?}");
}

// Guards against a grant that counts twice because the answer was duplicated,
// or because it answers a request of a former process.
#[test]
fn an_answer_counts_once() {
    let mut shares = holder();
    let now = Time::from_millis(1_000);
    let (from, sequence) = asked(&take(&mut shares, now, 1));
    step(&mut shares, now, granted(from, sequence, 2_000));
    assert_eq!(shares.held(LIMIT), 1);
    step(&mut shares, now, granted(from, sequence, 2_000));
    step(&mut shares, now, granted(from, sequence ^ 1, 2_000));
    assert_eq!(shares.held(LIMIT), 1);
}

// Guards against a request that waits for one silent grantor until its end.
#[test]
fn another_grantor_is_asked_after_a_short_time() {
    let mut shares = holder();
    let now = Time::from_millis(1_000);
    let (first, _) = asked(&take(&mut shares, now, 1));
    let due = shares.next_deadline().expect("a deadline");
    assert!(due <= now + ms(50), "{due:?}");
    let (second, sequence) = asked(&step(&mut shares, due, ShareEvent::Tick));
    assert_ne!(first, second);
    let effects = step(&mut shares, due, granted(second, sequence, 1_000));
    assert!(effects.contains(&ShareEffect::Admit(Token(1))));
}

// Guards against a request that is held to its end when no grantor answers.
#[test]
fn a_request_without_an_answer_is_refused_in_time() {
    let mut shares = holder();
    let start = Time::from_millis(1_000);
    let mut effects = take(&mut shares, start, 1);
    let mut now = start;
    while !effects.iter().any(|e| matches!(e, ShareEffect::Refuse { .. })) {
        now = shares.next_deadline().expect("a deadline").max(now);
        assert!(now <= start + options().max_wait);
        effects = step(&mut shares, now, ShareEvent::Tick);
    }
    assert_eq!(shares.counts().refused_silent, 1);
}

// Guards against asking empty grantors again for each request, and against a
// refusal before all of them were asked.
#[test]
fn requests_are_refused_at_once_while_all_grantors_are_empty() {
    let mut shares = holder();
    let now = Time::from_millis(1_000);
    let mut effects = take(&mut shares, now, 1);
    for _ in 0..3 {
        let (from, sequence) = asked(&effects);
        let grant = Grant {
            limit: LIMIT,
            tokens: Millitokens(0),
            empty_us: 300_000,
            low: true,
        };
        let message = Message::Granted { sequence, grants: vec![grant] };
        let event = ShareEvent::Message(from, message);
        effects = step(&mut shares, now, event);
    }
    let refused = |effects: &[ShareEffect]| match effects {
        [ShareEffect::Refuse { retry_after, .. }] => Some(*retry_after),
        _ => None,
    };
    let after = refused(&effects).expect("refused");
    assert!(after >= ms(300) && after <= ms(600), "{after:?}");
    assert!(refused(&take(&mut shares, now + ms(10), 2)).is_some());
    asked(&take(&mut shares, now + ms(301), 3));
}

// Guards against learners and former voters that are asked again and again.
#[test]
fn an_instance_that_is_no_grantor_is_left_out() {
    let mut shares = holder();
    let now = Time::from_millis(1_000);
    let (first, sequence) = asked(&take(&mut shares, now, 1));
    let message = Message::NotGrantor { sequence };
    let event = ShareEvent::Message(first, message);
    let (second, _) = asked(&step(&mut shares, now, event));
    assert_ne!(first, second);
    step(&mut shares, now, ShareEvent::Drop(Token(1)));
    let later = Time::from_millis(1_400);
    let (third, _) = asked(&take(&mut shares, later, 2));
    assert_ne!(first, third);
}

// Guards against a removed limit that leaves its requests waiting, and against
// a grant for a request whose holder counts its tokens for longer.
#[test]
fn other_settings_and_removed_limits_are_handled() {
    let mut shares = holder();
    let now = Time::from_millis(1_000);
    asked(&take(&mut shares, now, 1));
    let effects = step(&mut shares, now, ShareEvent::Limits(Vec::new()));
    assert_eq!(effects, [ShareEffect::Admit(Token(1))]);

    let mut grantor = holder();
    step(&mut grantor, now, ShareEvent::Serving(true));
    let mut confirm = |at: Time| {
        let list = list(1, 1, at);
        step(&mut grantor, at, ShareEvent::Confirmed(list));
    };
    confirm(now);
    let now = now + HOLD + ms(500);
    confirm(now);
    let wants = vec![Want { limit: LIMIT, tokens: Millitokens::ONE }];
    for (validity_us, grants) in [(500_000, true), (500_001, false)] {
        let wants = wants.clone();
        let ask = Message::Ask { sequence: 1, validity_us, wants };
        let event = ShareEvent::Message(InstanceId(9), ask);
        let effects = step(&mut grantor, now, event);
        let [ShareEffect::Send(_, reply)] = &effects[..] else {
            panic!("{effects:?}")
        };
        assert_eq!(matches!(reply, Message::Granted { .. }), grants);
    }
}

// Guards against a team that uses up its limit by requests that were refused
// and not run, and against a token that is used again after its end.
#[test]
fn the_token_of_a_request_that_was_not_run_is_used_again() {
    let mut shares = holder();
    let sent = Time::from_millis(1_000);
    let (from, sequence) = asked(&take(&mut shares, sent, 1));
    step(&mut shares, sent, granted(from, sequence, 1_000));
    let now = sent + ms(100);
    step(&mut shares, now, ShareEvent::Drop(Token(1)));
    step(&mut shares, now, ShareEvent::Drop(Token(1)));
    assert_eq!(shares.held(LIMIT), 1);
    let effects = take(&mut shares, now, 2);
    assert!(effects.contains(&ShareEffect::Admit(Token(2))));
    let late = sent + ms(500);
    step(&mut shares, late, ShareEvent::Drop(Token(2)));
    assert_eq!(shares.held(LIMIT), 0);
    // The metrics need counts that never fall.
    let counts = shares.counts();
    assert_eq!((counts.spent, counts.taken_back), (2, 1));
}
