//! Views of the daemon's state for operators.

use primrosemast_core::{
    config::Configuration,
    id::{InstanceId, ZoneId},
    node::Node,
};

use super::handle::{ViewReply, ViewRequest};
use crate::api::{
    ChangeResponse, ConfigurationResponse, MemberView, Outcome,
    StatusResponse, TargetView,
};

/// Names of this instance and of its availability zone. The node's state holds
/// the zone only as a hash of its name.
#[derive(Debug)]
pub(super) struct LocalNames {
    /// Name of this instance.
    pub(super) instance: String,
    /// Name of its availability zone.
    pub(super) zone: String,
}

/// Returns the requested view of the state.
pub(super) fn view(
    node: &Node,
    names: &LocalNames,
    request: &ViewRequest,
) -> ViewReply {
    match request {
        ViewRequest::Status => encode(&status(node, names)),
        ViewRequest::Configuration => match node.configuration() {
            Some((version, configuration)) => encode(&ConfigurationResponse {
                version,
                hash: format!("{:016x}", node.configuration_hash()),
                configuration: Configuration::clone(configuration),
            }),
            None => ViewReply::NotFound("no configuration is in force".into()),
        },
        ViewRequest::Explain(request_id) => match node.explain(request_id) {
            Some(explanation) => encode(&explanation),
            None => ViewReply::NotFound(format!(
                "this instance did not serve request `{request_id}`, or too \
                 many others since"
            )),
        },
        ViewRequest::Change(change_id) => match node.change_outcome(change_id)
        {
            Some(outcome) => encode(&change_response(outcome)),
            None => ViewReply::NotFound(format!(
                "no outcome of change `{change_id}` is known here"
            )),
        },
    }
}

fn change_response(
    outcome: primrosemast_core::control::ChangeOutcome,
) -> ChangeResponse {
    use primrosemast_core::control::ChangeOutcome;
    let (outcome, version) = match outcome {
        ChangeOutcome::Accepted(version) => (Outcome::Accepted, version),
        ChangeOutcome::Conflict(version) => (Outcome::Conflict, version),
    };
    ChangeResponse { outcome, version: Some(version), message: String::new() }
}

fn encode(value: &impl serde::Serialize) -> ViewReply {
    match serde_json::to_value(value) {
        Ok(value) => ViewReply::Found(value),
        Err(e) => ViewReply::NotFound(e.to_string()),
    }
}

fn status(node: &Node, names: &LocalNames) -> StatusResponse {
    let version = node.configuration().map_or_else(Default::default, |c| c.0);
    let own_id = InstanceId::from_name(&names.instance);
    let mut members: Vec<MemberView> = node
        .members()
        .iter()
        .map(|m| MemberView {
            name: m.name.clone(),
            id: m.id,
            state: m.state,
            availability_zone: zone_name(node, names, m.zone),
            entry: m.entry,
            control: m.replica,
            address: m.address,
            operator_address: m.operator_address,
            version: (m.id == own_id).then_some(version),
        })
        .collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    StatusResponse {
        instance: own_id,
        name: names.instance.clone(),
        availability_zone: names.zone.clone(),
        version,
        serving: node.serving(),
        ready: node.ready(),
        draining: node.draining(),
        control: node.control_status(),
        members,
        targets: targets(node),
    }
}

fn targets(node: &Node) -> Vec<TargetView> {
    let Some((_, configuration)) = node.configuration() else {
        return Vec::new();
    };
    let homes = node.target_homes();
    let name = |id: Option<InstanceId>| {
        let id = id?;
        let member = node.members().iter().find(|m| m.id == id)?;
        Some(member.name.clone())
    };
    let mut targets: Vec<TargetView> = configuration
        .searchers()
        .map(|(_, searcher)| {
            let id = searcher.id();
            let home = homes
                .binary_search_by_key(&id, |h| h.0)
                .map_or_else(|_| Default::default(), |i| homes[i].1);
            TargetView {
                name: searcher.name.clone(),
                availability_zone: searcher.availability_zone.clone(),
                home: name(home.home),
                standby: name(home.standby),
                report: node.target_report(id),
            }
        })
        .collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets
}

fn zone_name(node: &Node, names: &LocalNames, zone: ZoneId) -> String {
    if zone == ZoneId::from_name(&names.zone) {
        return names.zone.clone();
    }
    let known = node.configuration().and_then(|(_, configuration)| {
        configuration
            .availability_zones
            .iter()
            .find(|z| ZoneId::from_name(&z.name) == zone)
            .map(|z| z.name.clone())
    });
    known.unwrap_or_else(|| zone.to_string())
}
