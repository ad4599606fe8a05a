//! Metrics of the control replica and its data folder.

use opentelemetry::{
    KeyValue,
    metrics::{Gauge, Meter},
};
use primrosemast_core::consensus::ReplicaFigures;

use crate::storage::StorageState;

/// The instruments of the control replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaMetrics {
    /// Indexes of the log, by what they mark.
    index: Gauge<u64>,
    log_bytes: Gauge<u64>,
    uncommitted_proposals: Gauge<u64>,
    uncommitted_bytes: Gauge<u64>,
    stall: Gauge<f64>,
    lag: Gauge<u64>,
    folder_bytes: Gauge<u64>,
    write_wait: Gauge<f64>,
}

impl ReplicaMetrics {
    pub(crate) fn new(meter: &Meter) -> ReplicaMetrics {
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let seconds = |name: &'static str, description: &'static str| {
            meter.f64_gauge(name).with_description(description).build()
        };
        ReplicaMetrics {
            index: gauge(
                "primrosemast_control_index",
                "Last, synced, committed and snapshot index of the log",
            ),
            log_bytes: gauge(
                "primrosemast_control_log_bytes",
                "Bytes of the log's entries in memory",
            ),
            uncommitted_proposals: gauge(
                "primrosemast_control_uncommitted_proposals",
                "Proposals that wait to be committed, at the leader",
            ),
            uncommitted_bytes: gauge(
                "primrosemast_control_uncommitted_bytes",
                "Bytes of these proposals",
            ),
            stall: seconds(
                "primrosemast_control_stall_seconds",
                "Time for which entries have waited without a commit",
            ),
            lag: gauge(
                "primrosemast_control_member_lag",
                "Entries that a member lacks, as the leader knows",
            ),
            folder_bytes: gauge(
                "primrosemast_control_folder_bytes",
                "Bytes of the log in the data folder",
            ),
            write_wait: seconds(
                "primrosemast_control_write_wait_seconds",
                "Time for which a write has waited for the disk",
            ),
        }
    }

    pub(crate) fn record(
        &self,
        figures: &ReplicaFigures,
        state: &StorageState,
    ) {
        for (mark, index) in [
            ("last", figures.last_index),
            ("synced", figures.synced_index),
            ("commit", figures.commit),
            ("snapshot", figures.snapshot_index),
        ] {
            self.index.record(index, &[KeyValue::new("mark", mark)]);
        }
        self.log_bytes.record(figures.log_bytes, &[]);
        self.uncommitted_proposals.record(figures.uncommitted_proposals, &[]);
        self.uncommitted_bytes.record(figures.uncommitted_bytes, &[]);
        self.stall.record(figures.stalled.as_secs_f64(), &[]);
        for (name, lag) in &figures.lags {
            self.lag.record(*lag, &[KeyValue::new("member", name.clone())]);
        }
        self.folder_bytes.record(state.folder_bytes, &[]);
        let wait = state.writing_since.map(|since| since.elapsed());
        self.write_wait.record(wait.unwrap_or_default().as_secs_f64(), &[]);
    }
}
