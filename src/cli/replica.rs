//! Commands on the control replicas.

use clap::ArgMatches;
use primrosemast_core::{consensus, id::ReplicaId, membership::MemberState};
use serde_json::json;

use super::{
    CALL_LIMIT, Code, Report, Step, ask, body,
    client::{self, Call, Reply},
    operators,
    output::{row, table},
    site, to_body,
    view::word,
};
use crate::api::{
    ReplicaAction, ReplicaRequest, ReplicaResponse, StatusResponse,
};

pub(super) async fn replica(args: &ArgMatches) -> Step<Report> {
    let (action, args) = args.subcommand().expect("required by clap");
    match action {
        "list" => list(args).await,
        "bootstrap" => bootstrap(args).await,
        _ => remove(args).await,
    }
}

async fn list(args: &ArgMatches) -> Step<Report> {
    let operators = operators(args)?;
    let reply = ask(&operators, &Call::get("/v1/status")).await?;
    let status: StatusResponse = body(&reply)?;
    let Some(control) = find_control(status).await else {
        let message = "no control replica responds";
        return Err(Report::failure(Code::Failed, message));
    };
    Ok(Report::done(replicas_table(&control), json!(control)))
}

/// The state of the group, from the leader if it responds, because only the
/// leader knows how far the others are.
async fn find_control(status: StatusResponse) -> Option<consensus::Status> {
    let mut best: Option<consensus::Status> = status.control;
    for member in &status.members {
        if best.as_ref().is_some_and(|c| c.role == consensus::Role::Leader) {
            break;
        }
        if member.control.is_none() || member.state == MemberState::Dead {
            continue;
        }
        let seen = client::status(member.operator_address, CALL_LIMIT).await;
        let Some(control) = seen.and_then(|s| s.control) else { continue };
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
        let part = if control.leader == Some(replica.id) {
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
            part.into(),
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

async fn bootstrap(args: &ArgMatches) -> Step<Report> {
    let configuration = match args.contains_id("base") {
        true => Some(site(args)?.configuration),
        false => None,
    };
    let operators = operators(args)?;
    // Sent to another instance after a lost answer, it would found a second
    // group.
    let [address] = operators[..] else {
        let message = "bootstrap takes exactly one operator address";
        return Err(Report::failure(Code::Usage, message));
    };
    let request = ReplicaRequest {
        action: ReplicaAction::Bootstrap,
        replica: None,
        configuration,
    };
    let call = Call::post("/v1/replicas", to_body(&request));
    match client::call(address, &call, CALL_LIMIT).await {
        Ok(reply) => finish(&reply),
        Err(e) => {
            let message = format!("no response: {e}\ncheck with replica list");
            Err(Report::failure(Code::NoResponse, message))
        }
    }
}

async fn remove(args: &ArgMatches) -> Step<Report> {
    let text: &String = args.get_one("replica").expect("required by clap");
    let id = u64::from_str_radix(text, 16).map_err(|_| {
        let message =
            format!("found replica \"{text}\", expected 16 hex digits");
        Report::failure(Code::Usage, message)
    })?;
    let operators = operators(args)?;
    let request = ReplicaRequest {
        action: ReplicaAction::Remove,
        replica: Some(ReplicaId(id)),
        configuration: None,
    };
    // Removing a replica twice has the effect of removing it once, so the
    // next instance may be asked after a lost answer.
    let call = Call::post("/v1/replicas", to_body(&request));
    finish(&ask(&operators, &call).await?)
}

fn finish(reply: &Reply) -> Step<Report> {
    // A refusal has the same form as a success, and its message says why.
    let response: ReplicaResponse = match reply.parse() {
        Some(response) => response,
        None => body(reply)?,
    };
    let text = match (&response.message, &response.control) {
        (message, _) if !message.is_empty() => message.clone(),
        (_, Some(control)) => format!("done, role {}", word(control.role)),
        _ => "done".into(),
    };
    let code = if response.done { Code::Done } else { Code::Failed };
    Ok(Report { code, text, json: json!(response) })
}
