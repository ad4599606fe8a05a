/*!
Identification of the team of a caller by its key.

The key is hashed when a request arrives, before its body is read, and removed
from the headers. Neither the key nor its digest is logged, counted or sent to
another instance.

A key that is not in the table may have been added by a configuration that has
not arrived yet. Its request waits until a control quorum has confirmed, after
the request arrived, that this instance has the newest configuration.
*/

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue};
use primrosemast_core::{
    forward::{
        Reason,
        table::{CompiledRoute, CompiledTable, KeyDigest},
    },
    id::TeamId,
};

use super::protocol::{TeamHeaders, end_to_end_headers};
use crate::daemon::Handle;

/// Longest time for which the request of an unknown key waits for a
/// confirmation. A relayed confirmation in a large fleet is up to a second
/// old, and the next one follows within half a second.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which a waiting request reads the published state.
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A request whose route is known and whose caller may use it.
pub(super) struct Admission {
    /// The table in which the route was found.
    pub(super) table: Arc<CompiledTable>,
    /// The route.
    pub(super) route: Arc<CompiledRoute>,
    /// The caller's key and its team; `None` if the route needs no key.
    pub(super) caller: Option<(KeyDigest, TeamId)>,
}

/// Why a request is not admitted.
pub(super) enum Refusal {
    /// No route has its host and path.
    NoRoute,
    /// Its key is not accepted, for this reason.
    Key(Reason),
}

/// Why a request has no team.
enum KeyProblem {
    /// There is not exactly one key.
    Missing,
    /// The key belongs to no team of the table.
    Unknown(KeyDigest),
}

/// Finds the route of a request, and its team if the route needs a key.
pub(super) async fn admit(
    handle: &Handle,
    names: &TeamHeaders,
    headers: &HeaderMap,
    host: &str,
    path: &str,
) -> Result<Admission, Refusal> {
    let arrived = Instant::now();
    loop {
        let table = handle.table();
        let route = table.find(host, path).ok_or(Refusal::NoRoute)?;
        let route = Arc::clone(route);
        let caller = match identify(&table, &route, names, headers) {
            Ok(caller) => caller,
            Err(KeyProblem::Missing) => {
                handle.record_key_refusal("missing");
                return Err(Refusal::Key(Reason::UnknownKey));
            }
            Err(KeyProblem::Unknown(key)) => {
                let added = wait_for_key(handle, &key, arrived).await;
                added.map_err(Refusal::Key)?;
                continue;
            }
        };
        return Ok(Admission { table, route, caller });
    }
}

/// Removes the key from the headers of a request, and sets the name of the
/// caller's team, whatever the caller has sent. Headers that `Connection`
/// names are removed first, so that the name of the team cannot be among them.
pub(super) fn replace_team_headers(
    headers: &mut HeaderMap,
    names: &TeamHeaders,
    admission: &Admission,
) {
    if admission.table.teams.is_empty() && !names.reserved {
        return;
    }
    *headers = end_to_end_headers(headers);
    headers.remove(&names.key);
    headers.remove(&names.team);
    let Some((_, id)) = admission.caller else { return };
    let Some(team) = admission.table.team(id) else { return };
    match HeaderValue::from_str(&team.team.name) {
        Ok(name) => {
            headers.insert(names.team.clone(), name);
        }
        // The checks of the table exclude such names.
        Err(e) => log::error!("invalid name of team {id}: {e}"),
    }
}

/// Returns the key of a request and its team, if the route needs a key.
fn identify(
    table: &CompiledTable,
    route: &CompiledRoute,
    names: &TeamHeaders,
    headers: &HeaderMap,
) -> Result<Option<(KeyDigest, TeamId)>, KeyProblem> {
    if !table.needs_key(route) {
        return Ok(None);
    }
    let mut values = headers.get_all(&names.key).iter();
    let (Some(key), None) = (values.next(), values.next()) else {
        return Err(KeyProblem::Missing);
    };
    if key.is_empty() {
        return Err(KeyProblem::Missing);
    }
    let key = KeyDigest::of(key);
    match table.team_of_key(&key) {
        Some(team) => Ok(Some((key, team))),
        None => Err(KeyProblem::Unknown(key)),
    }
}

/// Waits until a table with the key arrives; fails once it is known that the
/// newest table does not have it, or if this instance cannot tell.
async fn wait_for_key(
    handle: &Handle,
    key: &KeyDigest,
    arrived: Instant,
) -> Result<(), Reason> {
    let refuse = |label: &'static str, reason| {
        handle.record_key_refusal(label);
        Err(reason)
    };
    let Some(_wait) = handle.wait_for_key() else {
        return refuse("overload", Reason::Overload);
    };
    loop {
        let (confirmed, table) = handle.confirmed_table();
        if table.team_of_key(key).is_some() || table.teams.is_empty() {
            return Ok(());
        }
        if !handle.serving() {
            return refuse("not_serving", Reason::NotServing);
        }
        if confirmed.is_some_and(|at| at >= arrived) {
            return refuse("unknown", Reason::UnknownKey);
        }
        if arrived.elapsed() >= CONFIRMATION_TIMEOUT {
            return refuse("not_confirmed", Reason::KeyNotConfirmed);
        }
        tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
    }
}
