//! Tests of reading, merging and checking settings files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use primrosemast::settings::{
    InstanceSettings, Problem, Role, SettingsError, SettingsErrorKind, Timing,
    check_configuration, load_instance, load_site, read_site,
};
use primrosemast_core::config::{
    AnswerPolicy, Configuration, Priority, ZoneState,
};
use tempfile::TempDir;

const BASE: &str = r#"{
  // Two zones and a service with a searcher in each.
  "availability_zones": [{ "name": "west" }, { "name": "east" }],
  "services": [
    { "name": "notes", "searchers": [
      { "name": "notes-1", "address": "127.0.1.1:9000",
        "availability_zone": "west", "slots": 2, "connections": 25 },
      { "name": "notes-2", "address": "127.0.1.2:9000",
        "availability_zone": "east", "slots": 2, "connections": 25 },
    ] },
  ],
  "routes": [
    { "name": "lookup", "services": ["notes"], "shards": [0, 1],
      "shares": [
        { "availability_zone": "west", "percent": 50 },
        { "availability_zone": "east", "percent": 50 },
      ],
      "deadline_ms": 200 },
  ],
}
"#;

fn configs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("configs")
}

fn write(folder: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = folder.path().join(name);
    fs::write(&path, text).expect("the folder is writable");
    path
}

fn load(base: &str, overlay: &str) -> Result<Configuration, SettingsError> {
    let folder = TempDir::new().expect("a folder");
    let base = write(&folder, "base.jsonc", base);
    let overlay = write(&folder, "overlay.jsonc", overlay);
    load_site(&base, Some(&overlay))
}

/// Returns the problems of a document, with the temporary folder removed from
/// file names.
fn problems(base: &str, overlay: &str) -> String {
    match load(base, overlay) {
        Ok(_) => "no errors".into(),
        Err(e) => without_folder(&e.to_string()),
    }
}

fn without_folder(text: &str) -> String {
    let lines = text.lines().map(|line| match line.split_once(".jsonc") {
        Some((file, rest)) if file.starts_with('/') => {
            let name = file.rsplit('/').next().expect("a name");
            format!("{name}.jsonc{rest}")
        }
        _ => line.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

// Guards against example files that the current code rejects.
#[test]
fn accepts_the_examples() {
    let mut sites = 0;
    for user in ["abay", "tsenger"] {
        let base = configs().join(user).join("base.jsonc");
        let overlays = fs::read_dir(configs().join(user).join("overlays"))
            .expect("overlays");
        let overlays = overlays.map(|entry| Some(entry.unwrap().path()));
        for overlay in overlays.chain([None]) {
            let site = read_site(&base, overlay.as_deref())
                .unwrap_or_else(|e| panic!("{overlay:?}:\n{e}"));
            assert_eq!(site.warnings, [], "{overlay:?}");
            assert_eq!(check_configuration(&site.configuration), []);
            assert_eq!(site.configuration.availability_zones.len(), 4);
            sites += 1;
        }
    }
    assert_eq!(sites, 8);
    let settings = load_instance(&configs().join("instance.jsonc"));
    let settings = settings.unwrap_or_else(|e| panic!("{e}"));
    assert!(settings.has_role(Role::Control));
}

// Guards against example files that lose a service, or a guarantee that a user
// depends on.
#[test]
fn examples_have_the_sizes_of_the_users() {
    let load = |user: &str| {
        let base = configs().join(user).join("base.jsonc");
        load_site(&base, None).unwrap_or_else(|e| panic!("{e}"))
    };
    let abay = load("abay");
    assert_eq!(abay.searchers().count(), 20 * 2 + 30 * 2 + 7 + 4);
    assert!(!abay.route("tool-checkout").unwrap().repeatable);
    assert!(
        abay.routes.iter().all(|r| r.policy == AnswerPolicy::Coverage),
        "Abay puts coverage first",
    );
    let tsenger = load("tsenger");
    assert_eq!(tsenger.searchers().count(), 20 * 2 + 30 * 2 + 7 + 4 + 4);
    assert!(!tsenger.route("stock-refill").unwrap().repeatable);
    assert!(
        tsenger
            .routes
            .iter()
            .filter(|r| r.repeatable)
            .all(|r| matches!(r.policy, AnswerPolicy::Latency { .. })),
        "Tsenger puts latency first",
    );
}

// Guards against a price change overlay that changes more than the shares and
// the limit of its site.
#[test]
fn price_change_moves_only_shares() {
    let folder = configs().join("abay");
    let base = folder.join("base.jsonc");
    let overlay = folder.join("overlays/gondar-price-change.jsonc");
    let mut before = load_site(&base, None).unwrap();
    let after = load_site(&base, Some(&overlay)).unwrap();
    let shares: Vec<u32> = after
        .route("donor-reports")
        .unwrap()
        .shares
        .iter()
        .map(|s| s.percent)
        .collect();
    assert_eq!(shares, [35, 35, 5, 25]);
    let i = before.routes.iter().position(|r| r.name == "donor-reports");
    before.routes[i.unwrap()].shares =
        after.route("donor-reports").unwrap().shares.clone();
    before.limits.max_in_flight = 2_000;
    assert_eq!(before, after);
}

// Guards against unsorted arrays, in which lookups by name would fail.
#[test]
fn result_is_sorted_and_has_defaults() {
    let cfg = load(BASE, "{}").unwrap();
    let zones: Vec<&str> =
        cfg.availability_zones.iter().map(|z| z.name.as_str()).collect();
    assert_eq!(zones, ["east", "west"]);
    let route = cfg.route("lookup").unwrap();
    assert_eq!(route.priority, Priority::Normal);
    assert!(route.repeatable);
    assert_eq!(route.shares[0].availability_zone, "east");
    assert_eq!(cfg.limits.extra_load_percent, 5);
}

// Guards against integers that the schema accepts and deserialisation rejects.
#[test]
fn integers_may_be_written_as_decimals() {
    for text in ["200.0", "2e2"] {
        let cfg = load(&base_with(&[("200", text)]), "{}").unwrap();
        assert_eq!(cfg.route("lookup").unwrap().deadline_ms, 200);
    }
}

// Guards against an overlay that replaces a whole object or array instead of
// merging into it.
#[test]
fn merges_objects_by_key_and_arrays_by_name() {
    let overlay = r#"{
      "availability_zones": [
        { "name": "west", "state": "out" }, { "name": "north" }],
      "services": [{ "name": "notes", "searchers": [
        { "name": "notes-2", "slots": 4 },
        { "name": "notes-3", "address": "127.0.1.3:9000",
          "availability_zone": "north", "slots": 1, "connections": 9 }] }],
      "routes": [{ "name": "lookup", "shards": [3], "deadline_ms": 90,
        "shares": [{ "availability_zone": "north", "percent": 50 },
                   { "availability_zone": "west", "percent": 0 }] }],
      "limits": { "bundle_size": 2 }
    }"#;
    let cfg = load(BASE, overlay).unwrap_or_else(|e| panic!("{e}"));
    assert!(cfg.zone_is_out("west"));
    assert_eq!(cfg.availability_zones[0].state, ZoneState::In);
    let searchers = &cfg.service("notes").unwrap().searchers;
    assert_eq!(searchers.len(), 3);
    assert_eq!((searchers[1].slots, searchers[1].connections), (4, 25));
    let route = cfg.route("lookup").unwrap();
    assert_eq!(route.shards, Some(vec![3]), "other arrays are replaced");
    assert_eq!(route.services, ["notes"]);
    let shares: Vec<u32> = route.shares.iter().map(|s| s.percent).collect();
    assert_eq!(shares, [50, 50, 0]);
    assert_eq!((cfg.limits.bundle_size, cfg.limits.max_in_flight), (2, 1000));
}

// Guards against a `null` that is kept as a value instead of deleting one.
#[test]
fn null_deletes_keys_and_named_elements() {
    let overlay = r#"{
      "services": { "notes": { "searchers": { "notes-2": null } } },
      "routes": { "lookup": { "shards": null, "shares": {
        "east": null, "west": { "percent": 100 } } } },
      "availability_zones": { "east": null }
    }"#;
    let cfg = load(BASE, overlay).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(cfg.availability_zones.len(), 1);
    assert_eq!(cfg.searchers().count(), 1);
    let route = cfg.route("lookup").unwrap();
    assert_eq!((route.shards.as_ref(), route.shares.len()), (None, 1));
}

// Guards against a misspelt name in an overlay that has no effect and no
// error.
#[test]
fn overlay_cannot_miss_its_mark() {
    let overlay = r#"{
      "services": { "note": null, "notes": { "searchers": [] } },
      "routes": [{ "name": "lookup", "priorty": null }, { "deadline_ms": 5 },
                 { "name": "lookup", "deadline_ms": 7 }]
    }"#;
    insta::assert_snapshot!(problems(BASE, overlay));
}

/// Replaces parts of the base file, each of which must occur exactly once.
fn base_with(replacements: &[(&str, &str)]) -> String {
    let mut text = BASE.to_owned();
    for (from, to) in replacements {
        assert_eq!(text.matches(from).count(), 1, "{from}");
        text = text.replace(from, to);
    }
    text
}

/// One case per line: a title, a text of the base file, and its replacement.
const BROKEN_CASES: &str = r#"
unknown key | "deadline_ms" | "deadline"
unknown key at the root | "services": [\n | "x": 1, "services": [\n
wrong type | 200 | "200"
negative number | 200 | -1
number beyond 32 bits | 200 | 4294967296
fraction | 200 | 0.5
unknown word | { "name": "west" } | { "name": "west", "state": "off" }
unknown policy | "deadline_ms" | "policy": "fast", "deadline_ms"
policy without its number | "deadline_ms" | "policy": { "latency": { "enough": 3 } }, "deadline_ms"
policy out of range | "deadline_ms" | "policy": { "latency": { "enough_percent": 0 } }, "deadline_ms"
sum of shares | { "availability_zone": "east", "percent": 50 } | { "availability_zone": "east", "percent": 40 }
two shares of a zone | { "availability_zone": "east", "percent": 50 } | { "availability_zone": "west", "percent": 50 }
unknown zone of a share | { "availability_zone": "east", "percent": 50 } | { "availability_zone": "est", "percent": 50 }
unknown zone of a searcher | "availability_zone": "east", "slots" | "availability_zone": "est", "slots"
unknown service | ["notes"] | ["note"]
no services | ["notes"] | []
service twice | ["notes"] | ["notes", "notes"]
duplicate zone | { "name": "east" } | { "name": "east" }, { "name": "west" }
duplicate searcher | "notes-2" | "notes-1"
duplicate address | 127.0.1.2:9000 | 127.0.1.1:9000
malformed address | 127.0.1.2:9000 | notes.example:9000
address without a port | 127.0.1.2:9000 | 127.0.1.2:0
name with a space | "lookup" | "look up"
empty name | "lookup" | ""
zero slots | "west", "slots": 2 | "west", "slots": 0
zero connections | "west", "slots": 2, "connections": 25 | "west", "slots": 2, "connections": 0
fewer connections than slots | "west", "slots": 2 | "west", "slots": 26
zero deadline | 200 | 0
shards | [0, 1] | [0, 1, 0]
no shards | [0, 1] | []
limits | "routes" | "limits": { "extra_load_percent": 101, "max_in_flight": 0, "max_body_bytes": 0, "bundle_size": 0 }, "routes"
missing key | "deadline_ms": 200 |
repeated key | "deadline_ms": 200 | "deadline_ms": 200, "deadline_ms": 300
syntax | "deadline_ms": 200 | "deadline_ms" 200
missing comma | "slots": 2, "connections": 25 },\n      {  | "slots": 2 "connections": 25 },\n      {
"#;

// Guards against errors that go unreported, or whose report lacks the
// position, what was found or what was expected.
#[test]
fn broken_documents() {
    let mut report = String::new();
    for case in BROKEN_CASES.lines().filter(|line| !line.is_empty()) {
        let case = case.replace("\\n", "\n");
        let (title, change) = case.split_once(" | ").expect("a title");
        let (from, to) = change.split_once(" |").expect("a replacement");
        let text = problems(&base_with(&[(from, to.trim_start())]), "{}");
        assert_ne!(text, "no errors", "{title}");
        report.push_str(&format!("{title}:\n"));
        text.lines().for_each(|l| report.push_str(&format!("  {l}\n")));
    }
    insta::assert_snapshot!(report);
}

// Guards against reports that stop at the first error or the first kind of
// error, and against errors that name the wrong file.
#[test]
fn reports_all_errors_with_the_file_of_each() {
    let base = base_with(&[
        ("\"deadline_ms\": 200", "\"deadline_ms\": \"soon\", \"prio\": 1"),
        ("127.0.1.2:9000", "127.0.1.1:9000"),
    ]);
    let overlay = r#"{
      "services": { "notes": { "searchers": { "notes-1": { "slots": 0 } } } },
      "routes": [
        { "name": "other", "services": ["books"], "shares": [],
          "deadline_ms": 0 },
        { "name": "lookup", "shares": { "west": { "percent": 60 } } },
      ],
    }"#;
    insta::assert_snapshot!(problems(&base, overlay));
}

// Guards against a daemon that accepts a change which the tool would refuse:
// the checks of a parsed and of an unparsed document must agree.
#[test]
fn daemon_finds_the_same_problems() {
    let mut cfg = load(BASE, "{}").unwrap();
    cfg.services[0].searchers[1].address =
        cfg.services[0].searchers[0].address;
    cfg.services[0].searchers[0].slots = 0;
    cfg.services[0].searchers[1].connections = 1;
    cfg.services[0].searchers[1].availability_zone = "north".into();
    cfg.routes[0].shares[0].percent = 40;
    cfg.routes[0].shards = Some(vec![]);
    cfg.routes[0].deadline_ms = 0;
    cfg.routes[0].policy = AnswerPolicy::Latency { enough_percent: 101 };
    cfg.routes[0].services.push("books".into());
    cfg.availability_zones[0].name = "a b".into();
    cfg.limits.bundle_size = 0;
    let without_position = |p: &Problem| {
        (p.path.clone(), p.found.clone(), p.expected.clone(), p.severity)
    };
    let found = check_configuration(&cfg);
    let document = serde_json::to_string(&cfg).unwrap();
    let error = load(&document, "{}").unwrap_err();
    let mut expected: Vec<_> =
        error.problems().iter().map(without_position).collect();
    expected.sort();
    assert_eq!(
        found.iter().map(without_position).collect::<Vec<_>>(),
        expected
    );
    assert_eq!(found.iter().filter(|p| p.is_error()).count(), 12);
}

// Guards against a check that prevents operators from taking a zone out.
#[test]
fn route_with_all_zones_out_is_a_warning() {
    let folder = TempDir::new().unwrap();
    let base = write(&folder, "base.jsonc", BASE);
    let overlay = r#"{ "availability_zones": {
        "west": { "state": "out" }, "east": { "state": "out" },
        "north": {} } }"#;
    let overlay = write(&folder, "overlay.jsonc", overlay);
    let site = read_site(&base, Some(&overlay)).unwrap();
    let warnings: Vec<String> =
        site.warnings.iter().map(|w| w.to_string()).collect();
    insta::assert_snapshot!(without_folder(&warnings.join("\n")));
}

// Guards against a missing file that is reported as an invalid document.
#[test]
fn missing_file() {
    let path = Path::new("no/such/base.jsonc");
    let error = load_site(path, Some(Path::new("no/such/overlay.jsonc")));
    let error = error.unwrap_err();
    assert_eq!(error.kind(), SettingsErrorKind::Unreadable);
    assert_eq!(error.problems().len(), 2, "both files are named");
}

// Guards against defaults that fail the checks of the settings.
#[test]
fn instance_defaults_hold() {
    let folder = TempDir::new().unwrap();
    let text = r#"{ "name": "a", "availability_zone": "west" }"#;
    let path = write(&folder, "instance.jsonc", text);
    let settings = load_instance(&path).unwrap_or_else(|e| panic!("{e}"));
    let expected = InstanceSettings {
        name: "a".into(),
        availability_zone: "west".into(),
        ..InstanceSettings::default()
    };
    assert_eq!(settings, expected);
    assert!(Timing::default().lease_ms < Timing::default().suspicion_ms);
}

// Guards against an instance that starts with contradictory or unusable
// settings.
#[test]
fn broken_instance_settings() {
    let folder = TempDir::new().unwrap();
    let text = r#"{
      "name": "",
      "roles": ["control", "control", "proxy"],
      "listen": { "operator": "0.0.0.0:7400", "peer": "127.0.0.1:7400",
                  "caller": "127.0.0.1:7400", "metrics": "127.0.0.1:1" },
      "peers": ["entry-2:7402", "127.0.0.2:0"],
      "control_group_size": 4,
      "platform_list": "https://list.example",
      "timing": { "lease_ms": 3000, "probe_interval_ms": 0, "x_ms": 1 },
    }"#;
    let path = write(&folder, "instance.jsonc", text);
    let error = load_instance(&path).unwrap_err();
    insta::assert_snapshot!(without_folder(&error.to_string()));
}

// Guards against a bound on withdrawn keys that instances in touch with the
// control group could not keep without refusing requests.
#[test]
fn the_bound_on_withdrawn_keys_covers_two_leases() {
    let folder = TempDir::new().unwrap();
    let load = |bound: u64| {
        let text = format!(
            r#"{{ "name": "a", "availability_zone": "west",
            "forwarding": {{ "key_withdrawal_ms": {bound} }} }}"#
        );
        load_instance(&write(&folder, "instance.jsonc", &text))
    };
    let lease = Timing::default().lease_ms;
    let settings = load(2 * lease).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(settings.forwarding.key_withdrawal_ms, Some(2 * lease));
    for bound in [0, 2 * lease - 1] {
        let error = load(bound).unwrap_err().to_string();
        assert!(error.contains("key_withdrawal_ms"), "{error}");
        assert!(error.contains("at least twice lease_ms"), "{error}");
    }
}

// Guards against a key in an error message, which operators' tools keep, if it
// is written where its digest belongs.
#[test]
fn a_key_in_place_of_its_digest_is_not_shown() {
    for keys in [r#"["secret"]"#, r#""secret""#, r#"[{"secret": 1}]"#] {
        let overlay = format!(
            r#"{{ "forwarding": {{ "revision": 2, "teams": [
            {{ "name": "red", "keys": {keys}, "priority": null,
            "limit": null }} ] }} }}"#
        );
        let text = problems(BASE, &overlay);
        assert!(text.contains("keys"), "{text}");
        assert!(!text.contains("secret"), "{text}");
    }
}

// Guards against resources with which a process could serve nobody, or that
// leave nothing to the process itself.
#[test]
fn broken_resources_are_refused() {
    let folder = TempDir::new().unwrap();
    let text = r#"{ "name": "a", "availability_zone": "west",
      "resources": { "memory_mb": 8, "descriptors": 63,
                     "held_percent": 0, "connection_percent": 91 } }"#;
    let path = write(&folder, "instance.jsonc", text);
    let error = load_instance(&path).unwrap_err().to_string();
    for part in ["at least 64", "32 to ", "1 to 80", "1 to 90"] {
        assert!(error.contains(part), "{part}: {error}");
    }
    let text = r#"{ "name": "a", "availability_zone": "west",
      "resources": { "memory_mb": 112, "descriptors": 2670 } }"#;
    let path = write(&folder, "instance.jsonc", text);
    let settings = load_instance(&path).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(settings.resources.memory_mb, Some(112));
    assert_eq!(settings.resources.held_percent, 40);
}

// Guards against a data folder that has no room for a configuration.
#[test]
fn the_capacity_of_the_data_folder_is_checked() {
    let folder = TempDir::new().unwrap();
    let load = |disk_mb: &str| {
        let text = format!(
            r#"{{ "name": "a", "availability_zone": "west",
               "resources": {{ "disk_mb": {disk_mb} }} }}"#
        );
        load_instance(&write(&folder, "instance.jsonc", &text))
    };
    for wrong in ["7", "0", "1073741825"] {
        let error = load(wrong).unwrap_err().to_string();
        assert!(error.contains("8 to 1073741824"), "{error}");
    }
    let settings = load("64").unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(settings.resources.folder_bytes(), Some(64_000_000));
}

// Guards against bounds of roll-outs that allow everything or nothing.
#[test]
fn bounds_of_rollouts_are_checked() {
    for (setting, valid) in [
        ("\"rollout_share\": 0.25, \"rollout_slack\": 0", true),
        ("\"rollout_share\": 1.5", false),
        ("\"rollout_share\": -0.1", false),
        ("\"rollout_slack\": -1", false),
        ("\"rollouts\": \"yes\"", false),
    ] {
        let folder = TempDir::new().unwrap();
        let text = format!(
            r#"{{ "name": "entry-1", "availability_zone": "zone-a",
                 "roles": ["entry"],
                 "listen": {{ "caller": "127.0.0.1:7400",
                              "operator": "127.0.0.1:7401",
                              "peer": "127.0.0.1:7402" }},
                 "forwarding": {{ {setting} }} }}"#
        );
        let path = write(&folder, "instance.jsonc", &text);
        let result = load_instance(&path);
        assert_eq!(result.is_ok(), valid, "{setting}: {result:?}");
        if let Err(e) = result {
            assert!(e.to_string().contains("forwarding"), "{e}");
        }
    }
}

// Guards against a forwarding table that passes the check although instances
// would not put it into force.
#[test]
fn a_broken_forwarding_table_is_a_problem() {
    let overlay = r#"{ "forwarding": { "revision": 2, "routes": [
        { "name": "one", "host": "h.example", "path_prefix": "/one/",
          "repeatable": true, "timeout_ms": 100, "objective_ms": 50,
          "priority": 1, "max_attempts": 1,
          "destination": { "service": "nowhere" } } ] } }"#;
    let text = problems(BASE, overlay);
    assert!(text.contains("unknown service"), "{text}");
    assert!(text.contains("forwarding"), "{text}");
}

// Guards against settings of team limits that count nothing or lower the
// limits.
#[test]
fn broken_settings_of_team_limits_are_refused() {
    let folder = TempDir::new().unwrap();
    let load = |forwarding: &str| {
        let text = format!(
            r#"{{ "name": "a", "availability_zone": "west",
               "forwarding": {forwarding} }}"#
        );
        load_instance(&write(&folder, "instance.jsonc", &text))
    };
    let settings = load(r#"{ "team_window_ms": 7000 }"#).expect("valid");
    assert_eq!(settings.forwarding.team_window_ms, 7_000);
    assert!(settings.forwarding.team_limits);
    for (key, value) in
        [("window_ms", "0"), ("overage", "-0.1"), ("slack", "-1")]
    {
        let error = load(&format!(r#"{{ "team_{key}": {value} }}"#));
        let text = error.expect_err("refused").to_string();
        assert!(text.contains(&format!("forwarding.team_{key}")), "{text}");
        assert!(text.contains("at least"), "{text}");
    }
}
