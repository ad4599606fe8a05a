//! Commands that change the configuration.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use clap::ArgMatches;
use primrosemast_core::{
    config::{Configuration, ZoneShare, ZoneState},
    id::ConfigVersion,
    membership::MemberState,
};
use serde_json::json;
use tokio::time::{Instant, sleep};

use super::{
    CALL_LIMIT, Code, Report, Step, ask, body,
    client::{self, Call},
    operators, site, to_body,
};
use crate::{
    api::{
        ChangeRequest, ChangeResponse, ConfigurationResponse, Outcome,
        StatusResponse,
    },
    settings::{Problem, check_configuration},
};

/// Interval at which `--wait` asks for the versions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Rounds over all instances before the outcome is reported as unknown. A
/// new control leader is elected within 1.5 s, so a few rounds outlast an
/// election.
const ROUNDS: u32 = 4;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

pub(super) async fn apply(args: &ArgMatches) -> Step<Report> {
    let configuration = site(args)?.configuration;
    let operators = operators(args)?;
    let expected_version = match args.get_one::<u64>("expected_version") {
        Some(version) => ConfigVersion(*version),
        None => running_version(&operators).await?,
    };
    submit(args, &operators, expected_version, configuration).await
}

pub(super) async fn zone(args: &ArgMatches) -> Step<Report> {
    let (state, args) = args.subcommand().expect("required by clap");
    let name: &String = args.get_one("name").expect("required by clap");
    let target = if state == "out" { ZoneState::Out } else { ZoneState::In };
    let operators = operators(args)?;
    let ConfigurationResponse { version, mut configuration, .. } =
        running(&operators).await?;
    let zones = &mut configuration.availability_zones;
    let Some(zone) = zones.iter_mut().find(|z| z.name == *name) else {
        let known = zones.iter().map(|z| z.name.as_str());
        return Err(unknown("availability zone", name, known));
    };
    if zone.state == target {
        let text = format!("zone \"{name}\" is already {state}");
        return Ok(Report::done(text, json!({ "version": version })));
    }
    zone.state = target;
    submit(args, &operators, version, configuration).await
}

pub(super) async fn shares(args: &ArgMatches) -> Step<Report> {
    let name: &String = args.get_one("route").expect("required by clap");
    let operators = operators(args)?;
    let ConfigurationResponse { version, mut configuration, .. } =
        running(&operators).await?;
    let routes = &mut configuration.routes;
    let Some(route) = routes.iter_mut().find(|r| r.name == *name) else {
        let known = routes.iter().map(|r| r.name.as_str());
        return Err(unknown("route", name, known));
    };
    let given = args.get_many::<(String, u32)>("shares");
    for (zone, percent) in given.into_iter().flatten().cloned() {
        let shares = &mut route.shares;
        match shares.iter_mut().find(|s| s.availability_zone == zone) {
            Some(share) => share.percent = percent,
            None => {
                shares.push(ZoneShare { availability_zone: zone, percent });
            }
        }
    }
    configuration.sort();
    submit(args, &operators, version, configuration).await
}

fn unknown<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Report {
    let known: Vec<&str> = known.collect();
    let message = format!(
        "found unknown {kind} \"{name}\", expected one of {}",
        known.join(", "),
    );
    Report::failure(Code::Usage, message)
}

/// The configuration in force at the first instance that responds.
pub(super) async fn running(
    operators: &[SocketAddr],
) -> Step<ConfigurationResponse> {
    body(&ask(operators, &Call::get("/v1/configuration")).await?)
}

/// Version in force; 0 at a site that has no configuration yet.
async fn running_version(operators: &[SocketAddr]) -> Step<ConfigVersion> {
    let reply = ask(operators, &Call::get("/v1/configuration")).await?;
    if reply.status == 404 {
        return Ok(ConfigVersion(0));
    }
    Ok(body::<ConfigurationResponse>(&reply)?.version)
}

/// Sends a change and waits for it if asked to.
async fn submit(
    args: &ArgMatches,
    operators: &[SocketAddr],
    expected_version: ConfigVersion,
    configuration: Configuration,
) -> Step<Report> {
    let problems = check_configuration(&configuration);
    if problems.iter().any(Problem::is_error) {
        return Err(Report::problems(&problems));
    }
    let change_id = match args.get_one::<String>("change_id") {
        Some(id) => id.clone(),
        None => uuid::Uuid::new_v4().to_string(),
    };
    // Printed first, so that the change can be sent again under the same id
    // if the tool is interrupted.
    eprintln!("change id {change_id}, expected version {expected_version}");
    let request = ChangeRequest { change_id, expected_version, configuration };
    let version = send(operators, &request).await?;
    if args.get_flag("wait") {
        let seconds: u64 = *args.get_one("timeout").expect("has a default");
        let limit = Duration::from_secs(seconds);
        wait(operators, version, limit, &request.change_id).await?;
    }
    let in_force = if args.get_flag("wait") {
        "in force at every live instance"
    } else {
        "accepted"
    };
    Ok(Report::done(
        format!("version {version} {in_force}"),
        json!({
            "change_id": request.change_id,
            "outcome": Outcome::Accepted,
            "version": version,
            "waited": args.get_flag("wait"),
        }),
    ))
}

/// Sends a change until it has an outcome; returns the accepted version.
///
/// After a lost answer the same id goes to other instances, which give the
/// first outcome if the change has one.
async fn send(
    operators: &[SocketAddr],
    request: &ChangeRequest,
) -> Step<ConfigVersion> {
    let call = Call::post("/v1/changes", to_body(request));
    let mut addresses = operators.to_vec();
    let mut may_have_arrived = false;
    let mut reasons = Vec::new();
    for round in 0..ROUNDS {
        if round > 0 {
            sleep(ROUND_PAUSE).await;
            extend_with_members(&mut addresses).await;
        }
        reasons.clear();
        for address in &addresses {
            let reply = match client::call(*address, &call, CALL_LIMIT).await {
                Ok(reply) => reply,
                Err(e) => {
                    may_have_arrived |= e.may_have_arrived;
                    reasons.push(e.to_string());
                    continue;
                }
            };
            let Some(response) = reply.parse::<ChangeResponse>() else {
                let reason = reply.error_text();
                if (400..500).contains(&reply.status) {
                    return Err(Report::failure(Code::Failed, reason));
                }
                reasons.push(format!("{address}: {reason}"));
                may_have_arrived = true;
                continue;
            };
            if let Some(end) = judge(request, &response) {
                return end;
            }
            may_have_arrived |= response.outcome == Outcome::Unknown;
            reasons.push(format!("{address}: {}", response.message));
        }
    }
    let reasons = reasons.join("\n");
    let ChangeRequest { change_id, expected_version, .. } = request;
    let (code, message) = if may_have_arrived {
        let message = format!(
            "the outcome of the change is unknown:\n{reasons}\nsend it again \
             with --change-id {change_id} --expected-version \
             {expected_version}"
        );
        (Code::NoResponse, message)
    } else {
        (Code::Failed, format!("the change was not accepted:\n{reasons}"))
    };
    let json = json!({
        "change_id": change_id,
        "expected_version": expected_version,
        "message": message,
    });
    Err(Report { code, text: message, json })
}

/// The end of a change, unless it may still be accepted elsewhere.
fn judge(
    request: &ChangeRequest,
    response: &ChangeResponse,
) -> Option<Step<ConfigVersion>> {
    let message = &response.message;
    let (code, text) = match (response.outcome, response.version) {
        (Outcome::Accepted, Some(version)) => return Some(Ok(version)),
        (Outcome::Accepted, None) => {
            (Code::Failed, "accepted without a version".to_owned())
        }
        (Outcome::Conflict, version) => {
            let current = version
                .map_or_else(String::new, |v| format!(", found version {v}"));
            let text = format!(
                "conflict: expected version {}{current}; nothing was \
                 changed. {message}",
                request.expected_version,
            );
            (Code::Conflict, text)
        }
        (Outcome::Refused, _) => (Code::Usage, format!("refused: {message}")),
        (Outcome::NoQuorum | Outcome::Unknown, _) => return None,
    };
    let json = json!({
        "change_id": request.change_id,
        "outcome": response.outcome,
        "expected_version": request.expected_version,
        "version": response.version,
        "message": text,
    });
    Some(Err(Report { code, text, json }))
}

/// Adds the operator addresses of the live members.
async fn extend_with_members(addresses: &mut Vec<SocketAddr>) {
    for address in addresses.clone() {
        let Some(status) = client::status(address, CALL_LIMIT).await else {
            continue;
        };
        for member in status.members {
            if member.state != MemberState::Dead
                && !addresses.contains(&member.operator_address)
            {
                addresses.push(member.operator_address);
            }
        }
        return;
    }
}

/// Waits until a version is in force at every member that is not dead.
async fn wait(
    operators: &[SocketAddr],
    version: ConfigVersion,
    limit: Duration,
    change_id: &str,
) -> Step<()> {
    let end = Instant::now() + limit;
    loop {
        // A silent member must not extend the wait much beyond its limit.
        let left = end.saturating_duration_since(Instant::now());
        let call_limit = CALL_LIMIT.min(left).max(POLL_INTERVAL);
        let lacking = lacking(operators, version, call_limit).await;
        if lacking.as_ref().is_some_and(BTreeSet::is_empty) {
            return Ok(());
        }
        if Instant::now() + POLL_INTERVAL > end {
            let names = match &lacking {
                Some(names) => {
                    let names: Vec<_> =
                        names.iter().map(String::as_str).collect();
                    format!("not in force at {}", names.join(", "))
                }
                None => "no instance responds".into(),
            };
            let text = format!(
                "version {version} is accepted, but after {} s {names}",
                limit.as_secs(),
            );
            let json = json!({
                "change_id": change_id,
                "version": version,
                "lacking": lacking,
                "message": text,
            });
            return Err(Report { code: Code::NotInForce, text, json });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Names of the members that lack a version; `None` if no one responds.
async fn lacking(
    operators: &[SocketAddr],
    version: ConfigVersion,
    limit: Duration,
) -> Option<BTreeSet<String>> {
    let status = first_status(operators, limit).await?;
    let mut lacking = BTreeSet::new();
    if status.version < version {
        lacking.insert(status.name.clone());
    }
    let asked: Vec<_> = status
        .members
        .iter()
        .filter(|m| m.state != MemberState::Dead && m.id != status.instance)
        .map(|m| async move {
            let seen = client::status(m.operator_address, limit).await;
            (m, seen.is_some_and(|s| s.version >= version))
        })
        .collect();
    for (member, has) in futures::future::join_all(asked).await {
        if !has {
            lacking.insert(member.name.clone());
        }
    }
    Some(lacking)
}

async fn first_status(
    operators: &[SocketAddr],
    limit: Duration,
) -> Option<StatusResponse> {
    for address in operators {
        let status = client::status(*address, limit).await;
        if status.is_some() {
            return status;
        }
    }
    None
}
