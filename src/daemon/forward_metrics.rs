//! Metrics of the forwarding path.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter},
};
use primrosemast_core::{
    forward::{Forwarder, Outcome, Response},
    shares::ShareCounts,
    time::Time,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.06, 0.08, 0.1, 0.12, 0.2, 0.5, 1.0, 2.0,
    5.0,
];

/// Instruments of the forwarding path, labelled by route, result and outcome.
/// If the labels of an instrument exceed the SDK's cardinality limit, the SDK
/// merges the excess series into one.
#[derive(Clone, Debug)]
pub(crate) struct ForwardMetrics {
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    missing_shards: Counter<u64>,
    sent: Counter<u64>,
    attempts: Counter<u64>,
    attempt_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    open_attempts: Gauge<u64>,
    targets: Gauge<u64>,
    list_age: Gauge<f64>,
    share_tokens: Counter<f64>,
    share_refusals: Counter<u64>,
    share_asked: Counter<u64>,
    grantor: Gauge<u64>,
    key_refusals: Counter<u64>,
    rollout_attempts: Gauge<u64>,
    rollout_stage: Gauge<u64>,
}

impl ForwardMetrics {
    pub(super) fn new(meter: &Meter) -> ForwardMetrics {
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let seconds = |name: &'static str, description: &'static str| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build()
        };
        ForwardMetrics {
            requests: counter(
                "primrosemast_forward_requests",
                "Forwarded requests by route, result and verdict",
            ),
            request_seconds: seconds(
                "primrosemast_forward_request_seconds",
                "Time from a forwarded request to its response, by route",
            ),
            missing_shards: counter(
                "primrosemast_forward_missing_shards",
                "Shards that merged responses left out, by route",
            ),
            sent: counter(
                "primrosemast_forward_sent",
                "Requests sent to targets; extra ones are hedges and retries",
            ),
            attempts: counter(
                "primrosemast_forward_attempts",
                "Ended requests to targets by outcome",
            ),
            attempt_seconds: seconds(
                "primrosemast_forward_attempt_seconds",
                "Time from a request to a target to its end, by outcome",
            ),
            in_flight: gauge(
                "primrosemast_forward_in_flight",
                "Forwarded requests and tasks of other instances in progress",
            ),
            open_attempts: gauge(
                "primrosemast_forward_open_attempts",
                "Requests to targets that have not ended",
            ),
            targets: gauge(
                "primrosemast_forward_targets",
                "Targets on the last reading of the platform's list",
            ),
            list_age: meter
                .f64_gauge("primrosemast_forward_list_age_seconds")
                .with_description(
                    "Age of the reading that is in use, or time without one",
                )
                .build(),
            share_tokens: meter
                .f64_counter("primrosemast_share_tokens")
                .with_description(
                    "Tokens of shared limits by what became of them here",
                )
                .build(),
            share_refusals: counter(
                "primrosemast_share_refusals",
                "Requests without a token, by whether grantors were empty",
            ),
            share_asked: counter(
                "primrosemast_share_asked",
                "Messages that asked grantors for tokens",
            ),
            grantor: gauge(
                "primrosemast_share_grantor",
                "Whether this instance grants tokens of shared limits",
            ),
            key_refusals: counter(
                "primrosemast_forward_key_refusals",
                "Requests refused on arrival because of their key, by reason",
            ),
            rollout_attempts: gauge(
                "primrosemast_rollout_attempts",
                "Requests to targets of a service since the order of its \
                 running roll-out, by version",
            ),
            rollout_stage: gauge(
                "primrosemast_rollout_stage",
                "Stage of the last roll-out: 1 canary, 2 trial, 3 full, 4 \
                 completed, 5 rolled back",
            ),
        }
    }

    /// Records the response to a caller and the time from request to
    /// response.
    pub(crate) fn record_response(
        &self,
        route: &str,
        response: &Response,
        took: Duration,
    ) {
        let route = KeyValue::new("route", route.to_owned());
        let (result, verdict) = match response {
            Response::Relay(_) | Response::Merge { missing: 0, .. } => {
                ("answered", "ran")
            }
            Response::Merge { missing, .. } => {
                self.missing_shards
                    .add(*missing as u64, std::slice::from_ref(&route));
                ("in_part", "ran")
            }
            Response::Reject { reason, verdict, .. } => {
                (reason.as_str(), verdict.as_str())
            }
        };
        let labels = [
            route.clone(),
            KeyValue::new("result", result),
            KeyValue::new("verdict", verdict),
        ];
        self.requests.add(1, &labels);
        self.request_seconds.record(took.as_secs_f64(), &[route]);
    }

    /// Records a request that was sent to a target. `extra` is true for hedges
    /// and retries.
    pub(crate) fn record_sent(&self, extra: bool) {
        self.sent.add(1, &[KeyValue::new("extra", extra)]);
    }

    /// Records the outcome of a request to a target that was not cancelled.
    pub(crate) fn record_attempt(&self, outcome: Outcome, took: Duration) {
        let outcome = [KeyValue::new("outcome", outcome.as_str())];
        self.attempts.add(1, &outcome);
        self.attempt_seconds.record(took.as_secs_f64(), &outcome);
    }

    /// Records that a request to a target was cancelled.
    pub(crate) fn record_cancelled(&self) {
        self.attempts.add(1, &[KeyValue::new("outcome", "cancelled")]);
    }

    /// Records a request that was refused on arrival because of its key.
    pub(crate) fn record_key_refusal(&self, reason: &'static str) {
        self.key_refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the gauges of the forwarding path.
    pub(super) fn record_state(&self, now: Time, forwarder: &Forwarder) {
        self.in_flight.record(forwarder.in_flight() as u64, &[]);
        self.open_attempts.record(forwarder.open_attempts() as u64, &[]);
        let targets = forwarder.targets().targets().len();
        self.targets.record(targets as u64, &[]);
        if let Some(age) = forwarder.list_wait(now) {
            self.list_age.record(age.as_secs_f64(), &[]);
        }
        for (service, stage) in forwarder.rollout_stages() {
            let service = KeyValue::new("service", service.to_owned());
            self.rollout_stage.record(stage as u64 + 1, &[service]);
        }
        for (service, attempts, exposed) in forwarder.rollout_exposure() {
            let record = |version, count| {
                let labels = [
                    KeyValue::new("service", service.to_owned()),
                    KeyValue::new("version", version),
                ];
                self.rollout_attempts.record(count, &labels);
            };
            record("new", exposed);
            record("old", attempts.saturating_sub(exposed));
        }
    }

    /// Records what the counts of the shared limits have grown by. There is no
    /// label for the team, because their number is not bounded.
    pub(super) fn record_shares(
        &self,
        old: ShareCounts,
        new: ShareCounts,
        grantor: bool,
    ) {
        let tokens = [
            ("granted", new.granted - old.granted),
            ("spent", (new.spent - old.spent) as f64),
            ("taken_back", (new.taken_back - old.taken_back) as f64),
            ("returned", new.returned - old.returned),
            ("expired", new.expired - old.expired),
        ];
        for (result, count) in tokens.into_iter().filter(|t| t.1 > 0.0) {
            self.share_tokens.add(count, &[KeyValue::new("result", result)]);
        }
        let refusals = [
            ("empty", new.refused_empty - old.refused_empty),
            ("silent", new.refused_silent - old.refused_silent),
        ];
        for (cause, count) in refusals.into_iter().filter(|r| r.1 > 0) {
            self.share_refusals.add(count, &[KeyValue::new("cause", cause)]);
        }
        self.share_asked.add(new.asked - old.asked, &[]);
        self.grantor.record(grantor.into(), &[]);
    }
}
