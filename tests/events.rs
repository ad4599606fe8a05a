//! Tests of the catalogue of log events and its documentation.

use std::{collections::BTreeMap, fs, path::Path};

use primrosemast_core::event::{self, Level, catalogue};

fn expected() -> String {
    let mut kinds: Vec<_> = catalogue().collect();
    kinds.sort_by_key(|kind| kind.code);
    let mut table =
        String::from("| code | level | name | meaning |\n|---|---|---|---|\n");
    for kind in kinds {
        let level = match kind.level {
            Level::Error => "error",
            Level::Warn => "warn",
            Level::Info => "info",
            Level::Debug => "debug",
        };
        table.push_str(&format!(
            "| PM{:04} | {level} | {} | {} |\n",
            kind.code, kind.name, kind.meaning,
        ));
    }
    table
}

// Guards against log events that are missing from the documentation, so that
// operators cannot look them up.
#[test]
fn documentation_matches_the_catalogue() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/events.md");
    let page = fs::read_to_string(path).expect("docs/events.md");
    let found: String = page
        .lines()
        .filter(|l| l.starts_with('|'))
        .fold(String::new(), |table, line| table + line + "\n");
    let expected = expected();
    assert!(
        found == expected,
        "docs/events.md differs from the catalogue; replace its table with:\n\
         \n{expected}",
    );
}

// Guards against a code or name that two events share.
#[test]
fn codes_and_names_are_unique() {
    let mut codes = BTreeMap::new();
    let mut names = BTreeMap::new();
    for kind in catalogue() {
        let previous = codes.insert(kind.code, kind.name);
        assert_eq!(previous, None, "PM{:04} twice", kind.code);
        let previous = names.insert(kind.name, kind.code);
        assert_eq!(previous, None, "{} twice", kind.name);
    }
}

// Guards against codes outside the range of their area.
#[test]
fn codes_lie_in_the_range_of_their_area() {
    let areas = [
        (1, event::query::CATALOGUE),
        (2, event::target::CATALOGUE),
        (3, event::membership::CATALOGUE),
        (4, event::control::CATALOGUE),
        (5, event::config::CATALOGUE),
        (6, event::daemon::CATALOGUE),
        (7, event::forward::CATALOGUE),
    ];
    let mut count = 0;
    for (hundred, kinds) in areas {
        for kind in kinds {
            assert_eq!(kind.code / 100, hundred, "{}", kind.name);
            count += 1;
        }
    }
    assert_eq!(count, catalogue().count(), "an area is not listed here");
}
