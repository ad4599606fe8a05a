//! What an instance counts and reports during a roll-out.

use serde::{Deserialize, Serialize};

use super::judge::Tally;
use crate::id::{RouteId, TargetId};

/// Largest number of rows of a report.
pub const MAX_ROWS: usize = 64;

/// Answers of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The route.
    pub route: RouteId,
    /// Target of the new version; `None` for all those of the old one.
    pub target: Option<TargetId>,
    /// Counts since the order.
    pub tally: Tally,
}

/// The totals of one instance since an order. A later report replaces an
/// earlier one, so that reports may be lost, repeated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the service.
    pub service: String,
    /// Number of the order.
    pub number: u64,
    /// Identifies the counts; an instance that restarts begins others.
    pub epoch: u64,
    /// Number of the report; rises within an epoch.
    pub sequence: u64,
    /// Attempts at the service.
    pub attempts: u64,
    /// Attempts at the new version.
    pub exposed: u64,
    /// Open attempts at the old version.
    pub old_open: u64,
    /// Answers by route and target, sorted.
    pub rows: Vec<Row>,
}

/// Counts of the answers of both versions at one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    rows: Vec<Row>,
}

impl Rows {
    /// Counts an answer. Beyond the largest number of rows, those of a new
    /// target or route are not counted.
    pub fn add(
        &mut self,
        route: RouteId,
        target: Option<TargetId>,
        tally: Tally,
    ) {
        let key = (route, target);
        match self.rows.binary_search_by_key(&key, |r| (r.route, r.target)) {
            Ok(i) => self.rows[i].tally.add(tally),
            Err(i) if self.rows.len() < MAX_ROWS => {
                self.rows.insert(i, Row { route, target, tally });
            }
            Err(_) => {}
        }
    }

    /// Returns the rows, sorted by route and target.
    pub fn as_slice(&self) -> &[Row] {
        &self.rows
    }
}
