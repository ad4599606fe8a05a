//! Commands that show something or send a single query.

use std::{net::SocketAddr, path::PathBuf};

use clap::ArgMatches;
use primrosemast_core::membership::MemberState;
use serde_json::{Value, json};

use super::{
    CALL_LIMIT, Code, Report, Step, ask, body,
    client::{self, Call, Reply},
    operators,
    output::{row, table},
    story,
};
use crate::api::{ExplainResponse, MemberView, StatusResponse, TargetView};

/// The text form of a word of the API, such as a state.
pub(super) fn word(value: impl serde::Serialize) -> String {
    match json!(value) {
        Value::String(text) => text,
        other => other.to_string(),
    }
}

fn dash(text: Option<String>) -> String {
    text.unwrap_or_else(|| "-".into())
}

pub(super) async fn status(args: &ArgMatches) -> Step<Report> {
    let operators = operators(args)?;
    let reply = ask(&operators, &Call::get("/v1/status")).await?;
    let mut status: StatusResponse = body(&reply)?;
    ask_versions(&mut status).await;
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

/// Asks each live member for the version in force there.
async fn ask_versions(status: &mut StatusResponse) {
    let (own, version) = (status.instance, status.version);
    let asked = status.members.iter_mut().map(|m| async move {
        if m.id == own {
            m.version = Some(version);
        } else if m.state != MemberState::Dead {
            let seen = client::status(m.operator_address, CALL_LIMIT).await;
            m.version = seen.map(|s| s.version);
        }
    });
    futures::future::join_all(asked).await;
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
            word(m.state),
            m.availability_zone.clone(),
            roles.into(),
            m.version.map_or_else(|| "?".into(), |v| v.to_string()),
            m.operator_address.to_string(),
        ]);
    }
    table(&rows)
}

fn target_state(target: &TargetView) -> String {
    target.report.as_ref().map_or_else(|| "unknown".into(), |r| word(r.state))
}

fn targets_table(targets: &[TargetView]) -> String {
    let mut rows = vec![row([
        "TARGET", "ZONE", "HOME", "STANDBY", "STATE", "LIMIT", "RUNNING",
        "QUEUED",
    ])];
    for t in targets {
        let count = |pick: fn(&_) -> u32| {
            dash(t.report.as_ref().map(pick).map(|n| n.to_string()))
        };
        rows.push(vec![
            t.name.clone(),
            t.availability_zone.clone(),
            dash(t.home.clone()),
            dash(t.standby.clone()),
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

pub(super) async fn explain(args: &ArgMatches) -> Step<Report> {
    let id: &String = args.get_one("request_id").expect("required by clap");
    if let Some(files) = args.get_many::<PathBuf>("log") {
        return story::explain(id, files.map(PathBuf::as_path));
    }
    let operators = operators(args)?;
    let path = format!("/v1/explain/{}", encode(id));
    let decisions: ExplainResponse =
        body(&find(&operators, &Call::get(path)).await?)?;
    let lines = decisions.as_array().and_then(|items| {
        items.iter().map(Value::as_str).collect::<Option<Vec<_>>>()
    });
    let text = match lines {
        Some(lines) => lines.join("\n"),
        None => format!("{decisions:#}"),
    };
    Ok(Report::done(text, decisions))
}

/// Asks the given instances and then the other members until one knows the
/// answer. Only the instance that served a request can explain it, and behind
/// a load balancer the operator does not know which one that was.
async fn find(operators: &[SocketAddr], call: &Call) -> Step<Reply> {
    let reply = ask(operators, call).await?;
    if reply.is_success() {
        return Ok(reply);
    }
    let status = ask(operators, &Call::get("/v1/status")).await?;
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
        match client::call(address, call, CALL_LIMIT).await {
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

pub(super) async fn query(args: &ArgMatches) -> Step<Report> {
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
    // A query may be one that must not be repeated, so it is sent once.
    let reply = match client::call(caller, &call, CALL_LIMIT).await {
        Ok(reply) => reply,
        Err(e) => {
            let known = if e.may_have_arrived {
                "the query may have run"
            } else {
                "the query was not sent"
            };
            let message = format!("no response, {known}: {e}");
            return Err(Report::failure(Code::NoResponse, message));
        }
    };
    let json: Value = reply.parse().unwrap_or_else(|| {
        Value::String(String::from_utf8_lossy(&reply.body).into_owned())
    });
    let text = format!("{json:#}");
    let code = if reply.is_success() { Code::Done } else { Code::Failed };
    Ok(Report { code, text, json })
}
