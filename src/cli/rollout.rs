//! Commands for roll-outs.

use std::time::Duration;

use clap::ArgMatches;
use primrosemast_core::rollout::{Rollout, Stage};
use serde_json::json;

use super::{
    CommandResult, Exit, Report, call_any,
    client::{Call, Reply},
    operator_addresses, parse_body, to_body,
};
use crate::api::{ErrorResponse, RolloutRequest, RolloutResponse};

pub(super) async fn rollout(args: &ArgMatches) -> CommandResult<Report> {
    let (action, args) = args.subcommand().expect("required by clap");
    let service: &String = args.get_one("service").expect("required by clap");
    let call = match action {
        "start" => {
            let version: &String =
                args.get_one("version").expect("required by clap");
            let within: &Duration =
                args.get_one("within").expect("required by clap");
            let request = RolloutRequest {
                service: service.clone(),
                version: version.clone(),
                duration_ms: within.as_millis() as u64,
            };
            Call::post("/v1/rollouts", to_body(&request))
        }
        "status" => Call::get(format!("/v1/rollouts/{service}")),
        _ => {
            let path = format!("/v1/rollouts/{service}/abort");
            Call::post(path, bytes::Bytes::new())
        }
    };
    let operators = operator_addresses(args)?;
    // All requests are idempotent, so each may go to the next instance after a
    // lost response.
    report(&call_any(&operators, &call).await?)
}

fn report(reply: &Reply) -> CommandResult<Report> {
    if reply.status == 409 {
        let message = match reply.parse::<ErrorResponse>() {
            Some(error) => error.message,
            None => reply.error_text(),
        };
        return Err(Report::failure(Exit::Conflict, message));
    }
    let RolloutResponse { rollout } = parse_body(reply)?;
    Ok(Report::done(describe(&rollout), json!(rollout)))
}

fn describe(rollout: &Rollout) -> String {
    let Rollout { service, version, stage, number, reason, .. } = rollout;
    let state = match stage {
        Stage::Canary | Stage::Trial | Stage::Full => "running",
        Stage::Completed => "completed",
        Stage::RolledBack => "rolled back",
    };
    format!(
        "{service} to {version}: {state}, stage {}, order {number}, within \
         {} s\nreason: {reason}",
        stage.as_str(),
        rollout.duration_ms as f64 / 1_000.0
    )
}
