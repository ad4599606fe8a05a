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
    CALL_TIMEOUT, CommandResult, Exit, Report, call_any,
    client::{self, Call},
    operator_addresses, parse_body, read_site, to_body,
};
use crate::{
    api::{
        ChangeRequest, ChangeResponse, ConfigurationResponse, Outcome,
        StatusResponse,
    },
    settings::{Problem, check_configuration},
};

/// Interval at which `--wait` polls the versions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Number of times that a change is sent to all instances before its outcome
/// is reported as unknown. A new control leader is elected within 1.5 s, so
/// these rounds outlast an election.
const MAX_ROUNDS: u32 = 4;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

pub(super) async fn apply(args: &ArgMatches) -> CommandResult<Report> {
    let configuration = read_site(args)?.configuration;
    let operators = operator_addresses(args)?;
    let expected_version = match args.get_one::<u64>("expected_version") {
        Some(version) => ConfigVersion(*version),
        None => running_version(&operators).await?,
    };
    submit(args, &operators, expected_version, configuration).await
}

pub(super) async fn zone(args: &ArgMatches) -> CommandResult<Report> {
    let (state, args) = args.subcommand().expect("required by clap");
    let name: &String = args.get_one("name").expect("required by clap");
    let new_state =
        if state == "out" { ZoneState::Out } else { ZoneState::In };
    let operators = operator_addresses(args)?;
    let ConfigurationResponse { version, mut configuration, .. } =
        running_configuration(&operators).await?;
    let zones = &mut configuration.availability_zones;
    let Some(zone) = zones.iter_mut().find(|z| z.name == *name) else {
        let known = zones.iter().map(|z| z.name.as_str());
        return Err(unknown_name("availability zone", name, known));
    };
    if zone.state == new_state {
        let text = format!("zone \"{name}\" is already {state}");
        return Ok(Report::done(text, json!({ "version": version })));
    }
    zone.state = new_state;
    submit(args, &operators, version, configuration).await
}

pub(super) async fn shares(args: &ArgMatches) -> CommandResult<Report> {
    let name: &String = args.get_one("route").expect("required by clap");
    let operators = operator_addresses(args)?;
    let ConfigurationResponse { version, mut configuration, .. } =
        running_configuration(&operators).await?;
    let routes = &mut configuration.routes;
    let Some(route) = routes.iter_mut().find(|r| r.name == *name) else {
        let known = routes.iter().map(|r| r.name.as_str());
        return Err(unknown_name("route", name, known));
    };
    let changes = args.get_many::<(String, u32)>("shares");
    for (zone, percent) in changes.into_iter().flatten().cloned() {
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

fn unknown_name<'a>(
    kind: &str,
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Report {
    let known: Vec<&str> = known.collect();
    let message = format!(
        "found unknown {kind} \"{name}\", expected one of {}",
        known.join(", "),
    );
    Report::failure(Exit::Usage, message)
}

/// Returns the configuration in force at the first instance that responds.
pub(super) async fn running_configuration(
    operators: &[SocketAddr],
) -> CommandResult<ConfigurationResponse> {
    parse_body(&call_any(operators, &Call::get("/v1/configuration")).await?)
}

/// Returns the version in force; 0 if the site has no configuration yet.
async fn running_version(
    operators: &[SocketAddr],
) -> CommandResult<ConfigVersion> {
    let reply = call_any(operators, &Call::get("/v1/configuration")).await?;
    if reply.status == 404 {
        return Ok(ConfigVersion(0));
    }
    Ok(parse_body::<ConfigurationResponse>(&reply)?.version)
}

/// Sends a change and, with `--wait`, waits until it is in force.
async fn submit(
    args: &ArgMatches,
    operators: &[SocketAddr],
    expected_version: ConfigVersion,
    configuration: Configuration,
) -> CommandResult<Report> {
    let problems = check_configuration(&configuration);
    if problems.iter().any(Problem::is_error) {
        return Err(Report::problems(&problems));
    }
    let change_id = match args.get_one::<String>("change_id") {
        Some(id) => id.clone(),
        None => uuid::Uuid::new_v4().to_string(),
    };
    // Printed before sending, so that the operator can resend the change
    // under the same id if the tool is interrupted.
    eprintln!("change id {change_id}, expected version {expected_version}");
    let request = ChangeRequest { change_id, expected_version, configuration };
    let version = send(operators, &request).await?;
    if args.get_flag("wait") {
        let seconds: u64 = *args.get_one("timeout").expect("has a default");
        let limit = Duration::from_secs(seconds);
        wait_until_in_force(operators, version, limit, &request.change_id)
            .await?;
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

/// Sends a change until its outcome is known; returns the accepted version.
///
/// If a response is lost, the change is sent under the same id to the next
/// instance, which returns the first outcome if there is one already.
async fn send(
    operators: &[SocketAddr],
    request: &ChangeRequest,
) -> CommandResult<ConfigVersion> {
    let call = Call::post("/v1/changes", to_body(request));
    let mut addresses = operators.to_vec();
    let mut may_have_arrived = false;
    let mut reasons = Vec::new();
    for round in 0..MAX_ROUNDS {
        if round > 0 {
            sleep(ROUND_PAUSE).await;
            extend_with_members(&mut addresses).await;
        }
        reasons.clear();
        for address in &addresses {
            let reply = match client::call(*address, &call, CALL_TIMEOUT).await
            {
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
                    return Err(Report::failure(Exit::Failed, reason));
                }
                reasons.push(format!("{address}: {reason}"));
                may_have_arrived = true;
                continue;
            };
            if let Some(result) = final_result(request, &response) {
                return result;
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
        (Exit::NoResponse, message)
    } else {
        (Exit::Failed, format!("the change was not accepted:\n{reasons}"))
    };
    let json = json!({
        "change_id": change_id,
        "expected_version": expected_version,
        "message": message,
    });
    Err(Report { code, text: message, json })
}

/// Returns the result of a change, or `None` if it may still be accepted at
/// another attempt.
fn final_result(
    request: &ChangeRequest,
    response: &ChangeResponse,
) -> Option<CommandResult<ConfigVersion>> {
    let message = &response.message;
    let (code, text) = match (response.outcome, response.version) {
        (Outcome::Accepted, Some(version)) => return Some(Ok(version)),
        (Outcome::Accepted, None) => {
            (Exit::Failed, "accepted without a version".to_owned())
        }
        (Outcome::Conflict, version) => {
            let current = version
                .map_or_else(String::new, |v| format!(", found version {v}"));
            let text = format!(
                "conflict: expected version {}{current}; nothing was \
                 changed. {message}",
                request.expected_version,
            );
            (Exit::Conflict, text)
        }
        (Outcome::Refused, _) => (Exit::Usage, format!("refused: {message}")),
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

/// Adds the operator addresses of all members that are not dead.
async fn extend_with_members(addresses: &mut Vec<SocketAddr>) {
    for address in addresses.clone() {
        let Some(status) = client::status(address, CALL_TIMEOUT).await else {
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
async fn wait_until_in_force(
    operators: &[SocketAddr],
    version: ConfigVersion,
    limit: Duration,
    change_id: &str,
) -> CommandResult<()> {
    let deadline = Instant::now() + limit;
    loop {
        // A member that does not respond must not extend the wait much
        // beyond its limit.
        let remaining = deadline.saturating_duration_since(Instant::now());
        let call_limit = CALL_TIMEOUT.min(remaining).max(POLL_INTERVAL);
        let lacking = members_without(operators, version, call_limit).await;
        if lacking.as_ref().is_some_and(BTreeSet::is_empty) {
            return Ok(());
        }
        if Instant::now() + POLL_INTERVAL > deadline {
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
            return Err(Report { code: Exit::NotInForce, text, json });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the names of the members that do not have a version yet; `None`
/// if no instance responds.
async fn members_without(
    operators: &[SocketAddr],
    version: ConfigVersion,
    limit: Duration,
) -> Option<BTreeSet<String>> {
    let status = first_status(operators, limit).await?;
    let mut lacking = BTreeSet::new();
    if status.version < version {
        lacking.insert(status.name.clone());
    }
    let checks: Vec<_> = status
        .members
        .iter()
        .filter(|m| m.state != MemberState::Dead && m.id != status.instance)
        .map(|m| async move {
            let status = client::status(m.operator_address, limit).await;
            (m, status.is_some_and(|s| s.version >= version))
        })
        .collect();
    for (member, has_version) in futures::future::join_all(checks).await {
        if !has_version {
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
