//! Tests of a platform's list that cannot be read for a while.

#[path = "forward_support/mod.rs"]
mod support;

use std::time::Duration;

use primrosemast_core::{
    event::forward::DIRECTORY_OUTDATED,
    forward::{ForwardEffect, ForwardEvent, directory::DirectoryOptions},
};
use support::{Harness, ms, route, split, table};

fn harness() -> Harness {
    let destination = split(&[("one", 1.0)]);
    Harness::new(&table(vec![route("q", destination)]), 1)
}

/// Lets each reading of the list fail, or succeed, for `span`. Returns the
/// number of readings.
fn read_for(harness: &mut Harness, span: Duration, fails: bool) -> usize {
    let end = harness.now + span;
    let mut reads = 0;
    while harness.now < end {
        let wanted = harness
            .effects
            .iter()
            .any(|e| matches!(e, ForwardEffect::ReadDirectory));
        if wanted {
            harness
                .effects
                .retain(|e| !matches!(e, ForwardEffect::ReadDirectory));
            reads += 1;
            let result = match fails {
                true => Err("no list".to_owned()),
                false => Ok(harness.directory.clone()),
            };
            harness.step(ForwardEvent::DirectoryRead(result));
        }
        harness.now += ms(10);
        harness.step(ForwardEvent::Tick);
    }
    reads
}

/// Removes and returns the lines about the age of the list.
fn take_lines(harness: &mut Harness) -> Vec<String> {
    let mut lines = Vec::new();
    harness.effects.retain(|e| match e {
        ForwardEffect::Log(event) if *event.kind == DIRECTORY_OUTDATED => {
            lines.push(event.detail.clone());
            false
        }
        _ => true,
    });
    lines
}

// Guards against a list that is out of date without a line in the log of each
// instance that uses it, and against one line for every failed reading.
#[test]
fn an_outdated_list_is_logged_when_it_begins_and_ends() {
    let mut harness = harness();
    read_for(&mut harness, ms(2_900), true);
    assert_eq!(take_lines(&mut harness), Vec::<String>::new());
    read_for(&mut harness, ms(20_000), true);
    let lines = take_lines(&mut harness);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with("outdated=true age_ms=3"), "{lines:?}");
    let age = harness.forwarder.list_wait(harness.now).expect("an age");
    assert!(age >= ms(22_000), "{age:?}");
    read_for(&mut harness, ms(5_000), false);
    let lines = take_lines(&mut harness);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].starts_with("outdated=false"), "{lines:?}");
    let age = harness.forwarder.list_wait(harness.now).expect("an age");
    assert!(age < ms(1_000), "{age:?}");
}

// Guards against readings that fail and are repeated more often than the
// platform accepts, which then refuses those of other instances, too.
#[test]
fn failed_readings_are_repeated_less_and_less_often() {
    let interval = DirectoryOptions::default().interval;
    let mut harness = harness();
    let span = interval * 20;
    let reads = read_for(&mut harness, span, true);
    // The first ones follow soon; after that, one an interval is due, as
    // while the readings succeed.
    assert!((20..=26).contains(&reads), "{reads}");
    // A list is read as soon as before once one could be read.
    read_for(&mut harness, interval * 2, false);
    let first = read_for(&mut harness, interval + ms(150), true);
    assert!(first >= 2, "{first}");
}
