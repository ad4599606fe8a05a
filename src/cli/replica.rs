//! Commands for the control replicas.

use clap::ArgMatches;
use primrosemast_core::{consensus, id::ReplicaId, membership::MemberState};
use serde_json::json;

use super::{
    CALL_TIMEOUT, CommandResult, Exit, Report, call_any,
    client::{self, Call, Reply},
    operator_addresses,
    output::{row, table},
    parse_body, read_site, to_body,
    view::api_name,
};
use crate::api::{
    ReplicaAction, ReplicaRequest, ReplicaResponse, StatusResponse,
};

pub(super) async fn replica(args: &ArgMatches) -> CommandResult<Report> {
    let (action, args) = args.subcommand().expect("required by clap");
    match action {
        "list" => list(args).await,
        "bootstrap" => bootstrap(args).await,
        _ => remove(args).await,
    }
}

async fn list(args: &ArgMatches) -> CommandResult<Report> {
    let operators = operator_addresses(args)?;
    let reply = call_any(&operators, &Call::get("/v1/status")).await?;
    let status: StatusResponse = parse_body(&reply)?;
    let Some(control) = find_control_status(status).await else {
        let message = "no control replica responds";
        return Err(Report::failure(Exit::Failed, message));
    };
    Ok(Report::done(replicas_table(&control), json!(control)))
}

/// Returns the state of the control group. Prefers the state of the leader,
/// because only the leader knows the replication progress of the others.
async fn find_control_status(
    status: StatusResponse,
) -> Option<consensus::Status> {
    let mut best: Option<consensus::Status> = status.control;
    for member in &status.members {
        if best.as_ref().is_some_and(|c| c.role == consensus::Role::Leader) {
            break;
        }
        if member.control.is_none() || member.state == MemberState::Dead {
            continue;
        }
        let status =
            client::status(member.operator_address, CALL_TIMEOUT).await;
        let Some(control) = status.and_then(|s| s.control) else { continue };
        let newer = best.as_ref().is_none_or(|b| {
            (control.role == consensus::Role::Leader, control.term)
                > (false, b.term)
        });
        if newer {
            best = Some(control);
        }
    }
    best.filter(|control| control.group != 0)
}

fn replicas_table(control: &consensus::Status) -> String {
    let mut rows =
        vec![row(["REPLICA", "INSTANCE", "PEER", "PART", "MATCHES"])];
    for (i, replica) in control.members.iter().enumerate() {
        let role = if control.leader == Some(replica.id) {
            "leader"
        } else if replica.voter {
            "voter"
        } else {
            "learner"
        };
        let progress = control.progress.get(i);
        rows.push(vec![
            replica.id.to_string(),
            replica.name.clone(),
            replica.address.to_string(),
            role.into(),
            progress.map_or_else(|| "-".into(), u64::to_string),
        ]);
    }
    format!(
        "group {:016x}, term {}, committed {}\n{}",
        control.group,
        control.term,
        control.commit,
        table(&rows),
    )
}

async fn bootstrap(args: &ArgMatches) -> CommandResult<Report> {
    let configuration = match args.contains_id("base") {
        true => Some(read_site(args)?.configuration),
        false => None,
    };
    let operators = operator_addresses(args)?;
    // If the response were lost and the request went to another instance, it
    // would bootstrap a second group.
    let [address] = operators[..] else {
        let message = "bootstrap takes exactly one operator address";
        return Err(Report::failure(Exit::Usage, message));
    };
    let request = ReplicaRequest {
        action: ReplicaAction::Bootstrap,
        replica: None,
        configuration,
    };
    let call = Call::post("/v1/replicas", to_body(&request));
    match client::call(address, &call, CALL_TIMEOUT).await {
        Ok(reply) => response_report(&reply),
        Err(e) => {
            let message = format!("no response: {e}\ncheck with replica list");
            Err(Report::failure(Exit::NoResponse, message))
        }
    }
}

async fn remove(args: &ArgMatches) -> CommandResult<Report> {
    let text: &String = args.get_one("replica").expect("required by clap");
    let id = u64::from_str_radix(text, 16).map_err(|_| {
        let message =
            format!("found replica \"{text}\", expected 16 hex digits");
        Report::failure(Exit::Usage, message)
    })?;
    let operators = operator_addresses(args)?;
    let request = ReplicaRequest {
        action: ReplicaAction::Remove,
        replica: Some(ReplicaId(id)),
        configuration: None,
    };
    // Removing a replica is idempotent, so the request may go to the next
    // instance after a lost response.
    let call = Call::post("/v1/replicas", to_body(&request));
    response_report(&call_any(&operators, &call).await?)
}

fn response_report(reply: &Reply) -> CommandResult<Report> {
    // A refusal has the same form as a success, with the reason as message.
    let response: ReplicaResponse = match reply.parse() {
        Some(response) => response,
        None => parse_body(reply)?,
    };
    let text = match (&response.message, &response.control) {
        (message, _) if !message.is_empty() => message.clone(),
        (_, Some(control)) => format!("done, role {}", api_name(control.role)),
        _ => "done".into(),
    };
    let code = if response.done { Exit::Done } else { Exit::Failed };
    Ok(Report { code, text, json: json!(response) })
}
