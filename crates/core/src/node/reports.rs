//! Distribution of target reports to the entry instances.

use std::time::Duration;

use super::{Effect, Internal, Node};
use crate::{
    id::InstanceId, message::PeerMessage, query, target::TargetReport,
    time::Time,
};

/// Time for which reports are collected before they are sent in one message.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// Interval at which all reports are sent again. Messages can be lost, and
/// lost reports are not retransmitted otherwise.
const REPORT_REFRESH: Duration = Duration::from_secs(5);

impl Node {
    pub(super) fn queue_report(&mut self, now: Time, report: TargetReport) {
        match self.reports.binary_search_by_key(&report.target, |r| r.target) {
            Ok(i) => self.reports[i] = report,
            Err(i) => self.reports.insert(i, report),
        }
        self.flush_reports_at.get_or_insert(now + REPORT_DELAY);
    }

    pub(super) fn flush_reports(
        &mut self,
        now: Time,
        out: &mut impl Extend<Effect>,
    ) {
        if self.refresh_reports_at <= now {
            self.refresh_reports_at = now + REPORT_REFRESH;
            let all: Vec<TargetReport> = self.targets.reports().collect();
            self.broadcast_reports(all, out);
        }
        if self.flush_reports_at.is_some_and(|at| at <= now) {
            self.flush_reports_at = None;
            let reports = std::mem::take(&mut self.reports);
            self.broadcast_reports(reports, out);
        }
    }

    pub(super) fn broadcast_reports(
        &mut self,
        reports: Vec<TargetReport>,
        out: &mut impl Extend<Effect>,
    ) {
        if reports.is_empty() {
            return;
        }
        let message = query::Message::Reports(reports);
        self.push(Internal::QueryMessage(self.own_member.id, message.clone()));
        let entries: Vec<InstanceId> = self.other_entries().collect();
        for id in entries {
            self.send(id, PeerMessage::Query(message.clone()), out);
        }
    }
}
