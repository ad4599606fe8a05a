//! Tests of the command-line tool against mock servers of the operator API.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::{Arc, Mutex},
    thread,
};

use primrosemast::{
    api::{ChangeRequest, MemberView, StatusResponse},
    settings::load_site,
};
use primrosemast_core::{
    config::Configuration,
    id::{ConfigVersion, InstanceId},
    membership::MemberState,
};
use serde_json::{Value, json};
use tokio::net::TcpSocket;

/// A request as a mock server receives it.
#[derive(Clone, Debug)]
struct Received {
    line: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

/// Response of a mock server; `None` closes the connection without one.
type Response = Option<(u16, Value)>;

/// An HTTP server that records requests and calls a function for responses.
struct MockServer {
    address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl MockServer {
    fn start(
        respond: impl Fn(&Received, SocketAddr) -> Response + Send + 'static,
    ) -> MockServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(request) = read_request(&stream) else { continue };
                log.lock().unwrap().push(request.clone());
                if let Some(response) = respond(&request, address) {
                    write_response(stream, response);
                }
            }
        });
        MockServer { address, received }
    }

    fn requests(&self, line: &str) -> Vec<Received> {
        let received = self.received.lock().unwrap();
        received.iter().filter(|r| r.line.starts_with(line)).cloned().collect()
    }

    fn changes(&self) -> Vec<ChangeRequest> {
        let changes = self.requests("POST /v1/changes");
        let parse = |r: &Received| serde_json::from_slice(&r.body).unwrap();
        changes.iter().map(parse).collect()
    }
}

fn read_request(stream: &TcpStream) -> Option<Received> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received { line: line.trim().into(), headers, body })
}

fn write_response(mut stream: TcpStream, (status, body): (u16, Value)) {
    let body = body.to_string();
    let _ = write!(
        stream,
        "HTTP/1.1 {status} -\r\ncontent-length: {}\r\nconnection: close\r\n\
         \r\n{body}",
        body.len(),
    );
}

fn configs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("configs")
}

fn base() -> String {
    configs().join("abay/base.jsonc").display().to_string()
}

fn configuration() -> Configuration {
    load_site(Path::new(&base()), None).unwrap_or_else(|e| panic!("{e}"))
}

/// Starts a server that responds to reads with version 7, and to changes with
/// the result of `change`, which is called with the number of the change.
fn mock_instance(
    change: impl Fn(usize) -> Response + Send + 'static,
) -> MockServer {
    let sent_count = Mutex::new(0);
    MockServer::start(move |request, own| {
        if request.line.starts_with("GET /v1/configuration") {
            let body = json!({
                "version": 7, "hash": "00", "configuration": configuration(),
            });
            return Some((200, body));
        }
        if request.line.starts_with("GET /v1/status") {
            return Some((200, json!(status("entry-1", own, 8, &[]))));
        }
        let mut sent_count = sent_count.lock().unwrap();
        *sent_count += 1;
        change(*sent_count)
    })
}

fn status(
    name: &str,
    own: SocketAddr,
    version: u64,
    others: &[(&str, SocketAddr, MemberState)],
) -> StatusResponse {
    let own = [(name, own, MemberState::Alive)];
    let members = own.iter().chain(others);
    StatusResponse {
        instance: InstanceId::from_name(name),
        name: name.into(),
        availability_zone: "zone-a".into(),
        version: ConfigVersion(version),
        serving: true,
        ready: true,
        draining: false,
        control: None,
        members: members
            .map(|(name, address, state)| MemberView {
                name: (*name).into(),
                id: InstanceId::from_name(name),
                state: *state,
                availability_zone: "zone-a".into(),
                entry: true,
                control: None,
                address: *address,
                operator_address: *address,
                version: None,
            })
            .collect(),
        targets: Vec::new(),
    }
}

fn accepted() -> Response {
    Some((200, json!({ "outcome": "accepted", "version": 8 })))
}

/// Returns an address that refuses connections.
fn refusing_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = socket.local_addr().unwrap();
    // Stays bound until the process ends, so that no other test listens there.
    std::mem::forget(socket);
    address
}

fn run_tool(args: &[&str], operators: &[SocketAddr]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosemast"));
    command.args(args).env_remove("PRIMROSEMAST_OPERATOR");
    for operator in operators {
        command.arg("--operator").arg(operator.to_string());
    }
    command.output().expect("the tool starts")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("an exit code")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("UTF-8")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("UTF-8")
}

fn json_of(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|e| panic!("{e}: {}", stdout(output)))
}

// Guards against options and exit codes that change unnoticed.
#[test]
fn help() {
    let commands: &[&[&str]] = &[
        &[],
        &["check"],
        &["render"],
        &["diff"],
        &["apply"],
        &["zone"],
        &["zone", "out"],
        &["shares"],
        &["status"],
        &["explain"],
        &["query"],
        &["rollout"],
        &["rollout", "start"],
        &["rollout", "status"],
        &["rollout", "abort"],
        &["replica"],
        &["replica", "bootstrap"],
        &["replica", "remove"],
    ];
    let mut text = String::new();
    for command in commands {
        let output = run_tool(&[command, &["--help"][..]].concat(), &[]);
        assert_eq!(exit_code(&output), 0, "{command:?}");
        text.push_str(&format!("$ primrosemast {}\n", command.join(" ")));
        text.push_str(&stdout(&output));
        text.push('\n');
    }
    insta::assert_snapshot!(text);
}

// Guards against incorrect usage or settings with the exit code of a success
// or of a failed request.
#[test]
fn usage_and_settings_errors_exit_with_2() {
    let missing = configs().join("none.jsonc").display().to_string();
    let instance = configs().join("instance.jsonc").display().to_string();
    let cases: &[&[&str]] = &[
        &[],
        &["apply"],
        &["check"],
        &["check", &missing],
        &["check", &instance],
        &["render", &missing],
        &["apply", &missing],
        &["status"],
        &["zone", "away", "zone-a"],
        &["shares", "tool-search", "zone-a"],
        &["replica", "remove", "x", "--operator", "127.0.0.1:1"],
    ];
    for case in cases {
        let output = run_tool(case, &[]);
        assert_eq!(exit_code(&output), 2, "{case:?}: {}", stderr(&output));
        assert_eq!(stdout(&output), "", "{case:?}");
    }
    let output = run_tool(&["check", &missing, "--json"], &[]);
    let json = json_of(&output);
    assert_eq!(json["exit_code"], 2);
    assert_eq!(json["problems"][0]["expected"], "a readable file");
}

// Guards against reports on files that lack part of their content.
#[test]
fn check_render_and_diff() {
    let overlay = configs().join("abay/overlays/gondar-price-change.jsonc");
    let overlay = overlay.display().to_string();
    let instance = configs().join("instance.jsonc").display().to_string();
    let output = run_tool(
        &["check", &base(), "--overlay", &overlay, "--instance", &instance],
        &[],
    );
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    insta::assert_snapshot!("check", stdout(&output));

    let output = run_tool(&["render", &base()], &[]);
    let rendered: Configuration =
        serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(rendered, configuration());

    let other = configs().join("abay/overlays/gondar.jsonc");
    let other = other.display().to_string();
    let output = run_tool(
        &["diff", &base(), "--overlay", &overlay, "--against-overlay", &other],
        &[],
    );
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    insta::assert_snapshot!("diff", stdout(&output));

    let running = accepting_instance();
    let output = run_tool(
        &["diff", &base(), "--running", "--json"],
        &[refusing_address(), running.address],
    );
    assert_eq!(json_of(&output), json!({ "differences": [] }));
}

fn accepting_instance() -> MockServer {
    mock_instance(|_| accepted())
}

// Guards against a change that is sent with the wrong version or document, or
// more than once.
#[test]
fn apply_sends_the_document_once() {
    let server = accepting_instance();
    let output =
        run_tool(&["apply", &base(), "--change-id", "c1"], &[server.address]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output), "version 8 accepted\n");
    assert_eq!(stderr(&output), "change id c1, expected version 7\n");
    let expected = ChangeRequest {
        change_id: "c1".into(),
        expected_version: ConfigVersion(7),
        configuration: configuration(),
    };
    assert_eq!(server.changes(), [expected]);
}

// Guards against a conflict that is retried or reported as success.
#[test]
fn conflict_exits_with_3_and_is_not_retried() {
    let commands: &[&[&str]] = &[
        &["apply", &base()],
        &["zone", "out", "zone-c"],
        &["shares", "donor-reports", "zone-a=30", "zone-b=20"],
    ];
    for command in commands {
        let server = mock_instance(|_| {
            let body = json!({ "outcome": "conflict", "version": 9 });
            Some((409, body))
        });
        let output = run_tool(command, &[server.address]);
        assert_eq!(exit_code(&output), 3, "{command:?}: {}", stderr(&output));
        assert!(stderr(&output).contains("found version 9"), "{command:?}");
        assert_eq!(server.changes().len(), 1, "{command:?}");
        assert_eq!(server.changes()[0].expected_version, ConfigVersion(7));
    }
}

// Guards against a lost response after which the change is applied twice.
#[test]
fn lost_answer_is_resent_under_the_same_id_elsewhere() {
    let disconnecting = mock_instance(|_| None);
    let other = accepting_instance();
    let output = run_tool(
        &["apply", &base(), "--json"],
        &[disconnecting.address, other.address],
    );
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let (first, second) = (disconnecting.changes(), other.changes());
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_eq!(first, second);
    let json = json_of(&output);
    assert_eq!(json["change_id"], first[0].change_id.as_str());
    assert_eq!(json["version"], 8);
}

// Guards against an unknown outcome that is reported as a failure, so that
// the operator does not send the same id again.
#[test]
fn lost_answers_everywhere_exit_with_5() {
    let disconnecting = mock_instance(|_| None);
    let output = run_tool(
        &["apply", &base(), "--change-id", "c5", "--expected-version", "3"],
        &[disconnecting.address],
    );
    assert_eq!(exit_code(&output), 5, "{}", stderr(&output));
    let text = stderr(&output);
    let resend_args = "--change-id c5 --expected-version 3";
    assert!(text.contains(resend_args), "{text}");
    let changes = disconnecting.changes();
    assert!(changes.len() > 1, "sent again");
    assert!(changes.iter().all(|c| c.change_id == "c5"));
}

// Guards against treating an outcome that one instance does not know as final.
#[test]
fn unknown_and_no_quorum_are_sent_again() {
    let server = mock_instance(|sent| match sent {
        1 => Some((504, json!({ "outcome": "unknown" }))),
        2 => Some((503, json!({ "outcome": "no_quorum" }))),
        _ => accepted(),
    });
    let output = run_tool(&["apply", &base()], &[server.address]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(server.changes().len(), 3);
}

// Guards against a change without a quorum that is reported as an unknown
// outcome although nothing was proposed.
#[test]
fn no_quorum_exits_with_1() {
    let server = mock_instance(|_| {
        let body = json!({ "outcome": "no_quorum", "message": "no leader" });
        Some((503, body))
    });
    let output = run_tool(&["apply", &base()], &[server.address]);
    assert_eq!(exit_code(&output), 1, "{}", stderr(&output));
    assert!(stderr(&output).contains("no leader"));
}

// Guards against a refusal by the daemon's checks that is sent again.
#[test]
fn refused_change_exits_with_2() {
    let server = mock_instance(|_| {
        let body = json!({ "outcome": "refused", "message": "bad shares" });
        Some((422, body))
    });
    let output = run_tool(&["apply", &base()], &[server.address]);
    assert_eq!(exit_code(&output), 2, "{}", stderr(&output));
    assert_eq!(server.changes().len(), 1);
}

/// Starts an instance that accepts changes and lists two other members: one
/// that has the new version after `lagging_requests` requests, and a dead one.
fn mock_fleet(lagging_requests: usize) -> (MockServer, MockServer) {
    let request_count = Mutex::new(0);
    let lagging = MockServer::start(move |_, own| {
        let mut request_count = request_count.lock().unwrap();
        *request_count += 1;
        let version = if *request_count > lagging_requests { 8 } else { 7 };
        Some((200, json!(status("entry-2", own, version, &[]))))
    });
    let (address, dead) = (lagging.address, refusing_address());
    let first = MockServer::start(move |request, own| {
        if request.line.starts_with("POST") {
            return accepted();
        }
        let others = [
            ("entry-2", address, MemberState::Suspect),
            ("entry-3", dead, MemberState::Dead),
        ];
        Some((200, json!(status("entry-1", own, 8, &others))))
    });
    (first, lagging)
}

// Guards against `--wait` that ends before a slow member has the version, or
// that waits for a dead one.
#[test]
fn wait_ends_when_every_live_member_has_the_version() {
    let (first, lagging) = mock_fleet(2);
    let output = run_tool(
        &["apply", &base(), "--expected-version", "7", "--wait"],
        &[first.address],
    );
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert_eq!(stdout(&output), "version 8 in force at every live instance\n");
    assert_eq!(lagging.requests("GET /v1/status").len(), 3);
}

// Guards against a wait that succeeds, or does not name the member, when a
// member does not have the version.
#[test]
fn wait_exits_with_4_and_names_who_lacks_the_version() {
    let (first, _lagging) = mock_fleet(usize::MAX);
    let output = run_tool(
        &[
            "apply",
            &base(),
            "--expected-version",
            "7",
            "--wait",
            "--timeout",
            "1",
            "--json",
        ],
        &[first.address],
    );
    assert_eq!(exit_code(&output), 4, "{}", stderr(&output));
    assert_eq!(json_of(&output)["lacking"], json!(["entry-2"]));
}

// Guards against a command that edits more than it is given, or sends an
// invalid document.
#[test]
fn zone_and_shares_edit_the_running_configuration() {
    let server = accepting_instance();
    let output = run_tool(&["zone", "out", "zone-c"], &[server.address]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let mut expected = configuration();
    expected.availability_zones[2].state =
        primrosemast_core::config::ZoneState::Out;
    assert_eq!(server.changes()[0].configuration, expected);

    let shares = ["shares", "donor-reports", "zone-a=45", "zone-c=5%"];
    let output = run_tool(&shares, &[server.address]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let sent = &server.changes()[1].configuration;
    let route = sent.route("donor-reports").unwrap();
    let percents: Vec<u32> = route.shares.iter().map(|s| s.percent).collect();
    assert_eq!(percents, [45, 25, 5, 25]);

    let wrong: &[(&[&str], &str)] = &[
        (&["zone", "out", "zone-x"], "unknown availability zone"),
        (&["shares", "nothing", "zone-a=1"], "unknown route"),
        (&["shares", "donor-reports", "zone-a=45"], "add up to 120"),
        (&["shares", "donor-reports", "zone-x=0"], "unknown availability"),
    ];
    for (command, message) in wrong {
        let output = run_tool(command, &[server.address]);
        assert_eq!(exit_code(&output), 2, "{command:?}");
        assert!(stderr(&output).contains(message), "{}", stderr(&output));
    }
    let output = run_tool(&["zone", "in", "zone-c"], &[server.address]);
    assert_eq!(stdout(&output), "zone \"zone-c\" is already in\n");
    assert_eq!(server.changes().len(), 2, "nothing else was sent");
}

// Guards against a tool that fails because one instance is unavailable, and
// against addresses in the environment that are ignored.
#[test]
fn next_operator_is_tried() {
    let (first, _lagging) = mock_fleet(0);
    let starting = MockServer::start(|_, _| {
        let message = "no configuration yet";
        Some((503, json!({ "reason": "not_serving", "message": message })))
    });
    let addresses = format!(
        "{}, {},{}",
        refusing_address(),
        starting.address,
        first.address
    );
    let output = Command::new(env!("CARGO_BIN_EXE_primrosemast"))
        .arg("status")
        .env("PRIMROSEMAST_OPERATOR", addresses)
        .output()
        .unwrap();
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let output =
        run_tool(&["status"], &[starting.address, refusing_address()]);
    assert_eq!(exit_code(&output), 1);
    assert!(stderr(&output).contains("no configuration yet"));
    let output =
        run_tool(&["status"], &[refusing_address(), refusing_address()]);
    assert_eq!(exit_code(&output), 5, "{}", stderr(&output));
}

// Guards against a status that does not show which instance lacks a version.
#[test]
fn status_shows_the_version_of_each_member() {
    let (first, lagging) = mock_fleet(usize::MAX);
    let output = run_tool(&["status"], &[first.address]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let text = stdout(&output);
    let shown: Vec<Vec<&str>> = text
        .lines()
        .filter(|l| l.starts_with("entry-") && !l.contains(" in "))
        .map(|l| l.split_whitespace().take(5).collect())
        .collect();
    assert_eq!(
        shown,
        [
            ["entry-1", "alive", "zone-a", "entry", "8"],
            ["entry-2", "suspect", "zone-a", "entry", "7"],
            ["entry-3", "dead", "zone-a", "entry", "?"],
        ],
        "{text}",
    );
    let output = run_tool(&["status", "--json"], &[first.address]);
    assert_eq!(json_of(&output)["members"][1]["version"], 7);
    drop(lagging);
}

// Guards against a query that is sent twice, loses its headers, or fails with
// the exit code of a success.
#[test]
fn query_is_sent_once_with_its_headers() {
    let caller = MockServer::start(|request, _| {
        match request.line.contains("stock-refill") {
            true => None,
            false if request.line.contains("crew") => {
                Some((200, json!({ "results": [] })))
            }
            false => Some((404, json!({ "verdict": "not_run" }))),
        }
    });
    let address = caller.address.to_string();
    let query = |route: &str| {
        let args = [
            "query",
            route,
            "--caller",
            &address,
            "--request-id",
            "r1",
            "--key",
            "k",
            "--deadline-ms",
            "90",
            "--body",
            "{\"q\":1}",
        ];
        run_tool(&args, &[])
    };
    let output = query("crew-roster");
    assert_eq!(
        (exit_code(&output), json_of(&output)),
        (0, json!({"results": []}))
    );
    let request = &caller.requests("POST /v1/routes/crew-roster/query")[0];
    let header = |name: &str| request.headers.get(name).map(String::as_str);
    assert_eq!(header("x-request-id"), Some("r1"));
    assert_eq!(header("x-key"), Some("k"));
    assert_eq!(header("x-deadline-ms"), Some("90"));
    assert_eq!(request.body, b"{\"q\":1}");
    assert_eq!(exit_code(&query("none")), 1);
    let output = query("stock-refill");
    assert_eq!(exit_code(&output), 5);
    assert!(stderr(&output).contains("may have run"));
    let sent = caller.requests("POST /v1/routes/stock-refill/query");
    assert_eq!(sent.len(), 1);
}

// Guards against a second control group after a lost response, and against the
// removal of a replica other than the given one.
#[test]
fn replica_commands() {
    let disconnecting = MockServer::start(|_, _| None);
    let other = MockServer::start(|_, _| {
        Some((200, json!({ "done": true, "message": "removed" })))
    });
    let both = [disconnecting.address, other.address];
    let output = run_tool(&["replica", "bootstrap", &base()], &both);
    assert_eq!(exit_code(&output), 2, "{}", stderr(&output));
    let output = run_tool(&["replica", "bootstrap", &base()], &both[..1]);
    assert_eq!(exit_code(&output), 5, "{}", stderr(&output));
    assert_eq!(disconnecting.requests("POST /v1/replicas").len(), 1);
    let body: Value = serde_json::from_slice(
        &disconnecting.requests("POST /v1/replicas")[0].body,
    )
    .unwrap();
    assert_eq!(body["action"], "bootstrap");
    assert_eq!(body["configuration"], json!(configuration()));

    let output = run_tool(&["replica", "remove", "00000000000000ff"], &both);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let sent = &other.requests("POST /v1/replicas")[0].body;
    let body: Value = serde_json::from_slice(sent).unwrap();
    assert_eq!(body["replica"], 255);
}

// Guards against a group that is shown without its leader or the progress of
// its replicas.
#[test]
fn replica_list_and_explain() {
    let server = MockServer::start(|request, own| {
        if request.line.starts_with("GET /v1/explain/order%2F17 ") {
            return Some((200, json!(["planned", "answered"])));
        }
        let mut body = json!(status("entry-1", own, 8, &[]));
        let replica = |id: u64, name: &str, voter: bool| {
            json!({ "id": id, "instance": id, "name": name,
                    "address": "127.0.0.1:7402", "voter": voter })
        };
        body["control"] = json!({
            "group": 1, "role": "leader", "term": 3, "leader": 10,
            "last_index": 9, "commit": 9, "progress": [9, 4, 0],
            "members": [replica(10, "entry-1", true),
                replica(11, "entry-2", true), replica(12, "entry-3", false)],
        });
        Some((200, body))
    });
    let output = run_tool(&["replica", "list"], &[server.address]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    insta::assert_snapshot!("replica_list", stdout(&output));
    let output = run_tool(&["explain", "order/17"], &[server.address]);
    assert_eq!(stdout(&output), "planned\nanswered\n");
}

// Guards against an explanation that needs a running instance, or that lists
// lines in the order of the files instead of the order of time.
#[test]
fn explain_reads_the_logs_of_several_instances() {
    let folder = tempfile::TempDir::new().expect("a folder");
    let write = |name: &str, lines: &[Value]| {
        let path = folder.path().join(name);
        let lines: Vec<String> =
            lines.iter().map(|line| format!("front-a-1 {line}\n")).collect();
        std::fs::write(&path, lines.concat()).expect("a file");
        path.display().to_string()
    };
    let line = |time: &str, code: &str, event: &str, request: &str| {
        json!({ "time": time, "level": "info", "code": code, "event": event,
                "request": request, "took_ms": 17 })
    };
    let root = write(
        "root.log",
        &[
            line("10:00:00.300000Z", "PM0703", "request_failed", "r1"),
            line("10:00:00.100000Z", "PM0706", "delegated", "r1"),
            line("10:00:00.100000Z", "PM0704", "request_refused", "r2"),
        ],
    );
    let delegate = write(
        "delegate.log",
        &[line("10:00:00.200000Z", "PM0705", "attempt_sent", "r1")],
    );
    std::fs::write(folder.path().join("torn"), "{\"time\":\"1").expect("it");
    let truncated = folder.path().join("torn").display().to_string();
    let logs = ["--log", &root, "--log", &delegate, "--log", &truncated];
    let output = run_tool(&[&["explain", "r1"], &logs[..]].concat(), &[]);
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let text =
        stdout(&output).replace(&folder.path().display().to_string(), "");
    insta::assert_snapshot!("explain_logs", text);
    let output = run_tool(&["explain", "r3", "--log", &root], &[]);
    assert_eq!(exit_code(&output), 1);
    assert!(stderr(&output).contains("no line"), "{}", stderr(&output));
}
