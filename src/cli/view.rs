//! Commands that show the state of the fleet or send a single query.

use std::{net::SocketAddr, path::PathBuf};

use clap::ArgMatches;
use primrosemast_core::membership::MemberState;
use serde_json::{Value, json};

use super::{
    CALL_TIMEOUT, CommandResult, Exit, Report, call_any,
    client::{self, Call, Reply},
    operator_addresses,
    output::{row, table},
    parse_body, request_log,
};
use crate::api::{ExplainResponse, MemberView, StatusResponse, TargetView};

/// Returns the name of an enum value in the API, such as a state.
pub(super) fn api_name(value: impl serde::Serialize) -> String {
    match json!(value) {
        Value::String(text) => text,
        other => other.to_string(),
    }
}

fn or_dash(text: Option<String>) -> String {
    text.unwrap_or_else(|| "-".into())
}

pub(super) async fn status(args: &ArgMatches) -> CommandResult<Report> {
    let operators = operator_addresses(args)?;
    let reply = call_any(&operators, &Call::get("/v1/status")).await?;
    let mut status: StatusResponse = parse_body(&reply)?;
    fetch_versions(&mut status).await;
    let mut text = format!(
        "{} in {}: version {}, {}, {}{}\n\n",
        status.name,
        status.availability_zone,
        status.version,
        if status.serving { "serving" } else { "not serving" },
        if status.ready { "ready" } else { "not ready" },
        if status.draining { ", draining" } else { "" },
    );
    text.push_str(&members_table(&status.members));
    text.push('\n');
    if args.get_flag("targets") {
        text.push_str(&targets_table(&status.targets));
    } else {
        text.push_str(&targets_summary(&status.targets));
    }
    Ok(Report::done(text, json!(status)))
}

/// Fetches the version in force at each member that is not dead.
async fn fetch_versions(status: &mut StatusResponse) {
    let (own_id, version) = (status.instance, status.version);
    let requests = status.members.iter_mut().map(|m| async move {
        if m.id == own_id {
            m.version = Some(version);
        } else if m.state != MemberState::Dead {
            let status =
                client::status(m.operator_address, CALL_TIMEOUT).await;
            m.version = status.map(|s| s.version);
        }
    });
    futures::future::join_all(requests).await;
}

fn members_table(members: &[MemberView]) -> String {
    let mut rows = vec![row([
        "INSTANCE", "STATE", "ZONE", "ROLES", "VERSION", "OPERATOR",
    ])];
    for m in members {
        let roles = match (m.entry, m.control) {
            (true, Some(_)) => "entry,control",
            (true, None) => "entry",
            (false, Some(_)) => "control",
            (false, None) => "-",
        };
        rows.push(vec![
            m.name.clone(),
            api_name(m.state),
            m.availability_zone.clone(),
            roles.into(),
            m.version.map_or_else(|| "?".into(), |v| v.to_string()),
            m.operator_address.to_string(),
        ]);
    }
    table(&rows)
}

fn target_state(target: &TargetView) -> String {
    target
        .report
        .as_ref()
        .map_or_else(|| "unknown".into(), |r| api_name(r.state))
}

fn targets_table(targets: &[TargetView]) -> String {
    let mut rows = vec![row([
        "TARGET", "ZONE", "HOME", "STANDBY", "STATE", "LIMIT", "RUNNING",
        "QUEUED",
    ])];
    for t in targets {
        let count = |pick: fn(&_) -> u32| {
            or_dash(t.report.as_ref().map(pick).map(|n| n.to_string()))
        };
        rows.push(vec![
            t.name.clone(),
            t.availability_zone.clone(),
            or_dash(t.home.clone()),
            or_dash(t.standby.clone()),
            target_state(t),
            count(|r: &primrosemast_core::target::TargetReport| r.limit),
            count(|r| r.running),
            count(|r| r.queued),
        ]);
    }
    table(&rows)
}

fn targets_summary(targets: &[TargetView]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for target in targets {
        *counts.entry(target_state(target)).or_insert(0) += 1;
    }
    let parts: Vec<String> =
        counts.iter().map(|(state, n)| format!("{n} {state}")).collect();
    let states = if parts.is_empty() {
        String::new()
    } else {
        format!(" ({})", parts.join(", "))
    };
    format!("{} targets{states}\n", targets.len())
}

pub(super) async fn explain(args: &ArgMatches) -> CommandResult<Report> {
    let id: &String = args.get_one("request_id").expect("required by clap");
    if let Some(files) = args.get_many::<PathBuf>("log") {
        return request_log::explain(id, files.map(PathBuf::as_path));
    }
    let operators = operator_addresses(args)?;
    let path = format!("/v1/explain/{}", encode(id));
    let decisions: ExplainResponse =
        parse_body(&call_until_success(&operators, &Call::get(path)).await?)?;
    let lines = decisions.as_array().and_then(|items| {
        items.iter().map(Value::as_str).collect::<Option<Vec<_>>>()
    });
    let text = match lines {
        Some(lines) => lines.join("\n"),
        None => format!("{decisions:#}"),
    };
    Ok(Report::done(text, decisions))
}

/// Sends a request to the given instances and then to the other members until
/// one succeeds. Only the instance that served a request can explain it, and
/// behind a load balancer the operator does not know which one that was.
async fn call_until_success(
    operators: &[SocketAddr],
    call: &Call,
) -> CommandResult<Reply> {
    let reply = call_any(operators, call).await?;
    if reply.is_success() {
        return Ok(reply);
    }
    let status = call_any(operators, &Call::get("/v1/status")).await?;
    let status: Option<StatusResponse> = status.parse();
    let members = status
        .iter()
        .flat_map(|s| &s.members)
        .filter(|m| m.state != MemberState::Dead)
        .map(|m| m.operator_address);
    let mut addresses = operators.to_vec();
    addresses.extend(members);
    addresses.sort_unstable();
    addresses.dedup();
    for address in addresses {
        match client::call(address, call, CALL_TIMEOUT).await {
            Ok(reply) if reply.is_success() => return Ok(reply),
            _ => {}
        }
    }
    Ok(reply)
}

/// Percent-encodes a path segment.
fn encode(segment: &str) -> String {
    let mut out = String::new();
    for byte in segment.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(byte.into());
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

pub(super) async fn query(args: &ArgMatches) -> CommandResult<Report> {
    let route: &String = args.get_one("route").expect("required by clap");
    let caller: SocketAddr =
        *args.get_one("caller").expect("required by clap");
    let text = |id: &str| args.get_one::<String>(id).cloned();
    let content = text("body").unwrap_or_default();
    let path = format!("/v1/routes/{}/query", encode(route));
    let mut call = Call::post(path, content.into());
    let deadline = args.get_one::<u32>("deadline").map(u32::to_string);
    for (header, value) in [
        ("x-request-id", text("id")),
        ("x-key", text("key")),
        ("x-deadline-ms", deadline),
    ] {
        call.headers.extend(value.map(|value| (header, value)));
    }
    // Sent only once, because the query may be one that must not be repeated.
    let reply = match client::call(caller, &call, CALL_TIMEOUT).await {
        Ok(reply) => reply,
        Err(e) => {
            let effect = if e.may_have_arrived {
                "the query may have run"
            } else {
                "the query was not sent"
            };
            let message = format!("no response, {effect}: {e}");
            return Err(Report::failure(Exit::NoResponse, message));
        }
    };
    let json: Value = reply.parse().unwrap_or_else(|| {
        Value::String(String::from_utf8_lossy(&reply.body).into_owned())
    });
    let text = format!("{json:#}");
    let code = if reply.is_success() { Exit::Done } else { Exit::Failed };
    Ok(Report { code, text, json })
}
