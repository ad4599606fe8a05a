//! Metrics, recorded with OpenTelemetry and exported for Prometheus.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use primrosemast_core::{
    consensus::ReplicaFigures,
    event::LogEvent,
    held::{Gauges, Holder, Listener},
    message::PeerMessage,
    query::{CallerResponse, FailureReason},
};
use prometheus::{Encoder, Registry, TextEncoder};

use super::{
    forward_metrics::ForwardMetrics, replica_metrics::ReplicaMetrics,
};
use crate::storage::StorageState;

/// The instruments of a daemon.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Keeps the exporter alive that is registered with the registry.
    _provider: SdkMeterProvider,
    queries: Counter<u64>,
    latency: Histogram<f64>,
    shards: Counter<u64>,
    target_requests: Counter<u64>,
    target_connections: Counter<u64>,
    peer_messages: Counter<u64>,
    peer_bytes: Counter<u64>,
    events: Counter<u64>,
    version: Gauge<u64>,
    serving: Gauge<u64>,
    in_flight: Gauge<u64>,
    confirmation_age: Gauge<f64>,
    queued_inputs: Gauge<u64>,
    timer_lag: Histogram<f64>,
    held_bytes: Gauge<u64>,
    open_connections: Gauge<u64>,
    refused_bodies: Counter<u64>,
    closed_connections: Counter<u64>,
    forward: ForwardMetrics,
    replica: ReplicaMetrics,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot register with the registry.
    pub(crate) fn new() -> anyhow::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider =
            SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("primrosemast");
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Ok(Metrics {
            queries: counter(
                "primrosemast_queries",
                "Callers' requests by result",
            ),
            latency: meter
                .f64_histogram("primrosemast_query_seconds")
                .with_description("Time from request to response")
                .with_boundaries(vec![
                    0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.067, 0.1,
                    0.2, 0.5, 1.0, 2.0, 5.0,
                ])
                .build(),
            shards: counter(
                "primrosemast_shards",
                "Shards of answered queries by result",
            ),
            target_requests: counter(
                "primrosemast_target_requests",
                "Requests sent to targets",
            ),
            target_connections: counter(
                "primrosemast_target_connections",
                "Connections opened to targets",
            ),
            peer_messages: counter(
                "primrosemast_peer_messages",
                "Messages sent to other instances by class",
            ),
            peer_bytes: counter(
                "primrosemast_peer_bytes",
                "Bytes of messages sent to other instances by class",
            ),
            events: counter("primrosemast_log_events", "Log events by number"),
            version: gauge(
                "primrosemast_configuration_version",
                "Configuration version in force",
            ),
            serving: gauge(
                "primrosemast_serving",
                "1 while the lease allows the instance to serve",
            ),
            in_flight: gauge(
                "primrosemast_queries_in_flight",
                "Callers' requests in progress",
            ),
            confirmation_age: meter
                .f64_gauge("primrosemast_confirmation_age_seconds")
                .with_description(
                    "Age of the last confirmation by a control quorum",
                )
                .build(),
            queued_inputs: gauge(
                "primrosemast_queued_inputs",
                "Inputs that wait for the reducer",
            ),
            timer_lag: meter
                .f64_histogram("primrosemast_timer_lag_seconds")
                .with_description(
                    "Time by which the reducer's timers ran late",
                )
                .with_boundaries(vec![
                    0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0,
                ])
                .build(),
            held_bytes: gauge(
                "primrosemast_held_bytes",
                "Bytes of bodies that are held, by holder",
            ),
            open_connections: gauge(
                "primrosemast_open_connections",
                "Connections that others have opened, by listener",
            ),
            refused_bodies: counter(
                "primrosemast_refused_bodies",
                "Bodies refused or given up for lack of room, by holder",
            ),
            closed_connections: counter(
                "primrosemast_closed_connections",
                "Connections closed for lack of room, by listener",
            ),
            forward: ForwardMetrics::new(&meter),
            replica: ReplicaMetrics::new(&meter),
            registry,
            _provider: provider,
        })
    }

    /// Returns the instruments of the forwarding path.
    pub(crate) fn forward(&self) -> &ForwardMetrics {
        &self.forward
    }

    /// Records the state of the control replica and of its data folder.
    pub(crate) fn record_replica(
        &self,
        figures: &ReplicaFigures,
        state: &StorageState,
    ) {
        self.replica.record(figures, state);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut buf = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut buf).is_err() {
            return String::new();
        }
        String::from_utf8(buf).unwrap_or_default()
    }

    /// Records the response to a caller and the time from request to
    /// response.
    pub(crate) fn record_response(
        &self,
        response: &CallerResponse,
        took: Duration,
    ) {
        self.latency.record(took.as_secs_f64(), &[]);
        match response {
            CallerResponse::Answer(answer) => {
                let coverage = &answer.coverage;
                self.queries.add(1, &[KeyValue::new("result", "answered")]);
                self.shards.add(
                    u64::from(coverage.answered),
                    &[KeyValue::new("result", "answered")],
                );
                self.shards.add(
                    coverage.missing.len() as u64,
                    &[KeyValue::new("result", "missing")],
                );
            }
            CallerResponse::Failure(failure) => {
                let reason = reason_name(failure.reason);
                self.queries.add(1, &[KeyValue::new("result", reason)]);
            }
        }
    }

    /// Records a request that was sent to a target.
    pub(crate) fn record_target_request(&self) {
        self.target_requests.add(1, &[]);
    }

    /// Records the opening of a connection to a target.
    pub(crate) fn record_target_connection(&self) {
        self.target_connections.add(1, &[]);
    }

    /// Records a message that was sent to another instance; `near` says
    /// whether it is in the own zone.
    pub(crate) fn record_peer_message(
        &self,
        message: &PeerMessage,
        near: bool,
        bytes: usize,
    ) {
        let labels = [
            KeyValue::new("class", message.class()),
            KeyValue::new("kind", message.kind()),
            KeyValue::new("zone", if near { "own" } else { "other" }),
        ];
        self.peer_messages.add(1, &labels);
        self.peer_bytes.add(bytes as u64, &labels);
    }

    /// Records a log event.
    pub(crate) fn record_log_event(&self, event: &LogEvent) {
        let code = format!("PM{:04}", event.kind.code);
        self.events.add(1, &[KeyValue::new("code", code)]);
    }

    /// Records the age of the last confirmation and the number of inputs that
    /// wait, both of which grow if the process gets too little processor time.
    pub(crate) fn record_backlog(
        &self,
        confirmation_age: Option<Duration>,
        queued_inputs: usize,
    ) {
        if let Some(age) = confirmation_age {
            self.confirmation_age.record(age.as_secs_f64(), &[]);
        }
        self.queued_inputs.record(queued_inputs as u64, &[]);
    }

    /// Records what is held for others now, and what was refused since
    /// `before`.
    pub(crate) fn record_held(&self, before: &Gauges, now: &Gauges) {
        for (n, holder) in Holder::ALL.into_iter().enumerate() {
            let label = [KeyValue::new("holder", holder.as_str())];
            self.held_bytes.record(now.bytes[n] as u64, &label);
            let refused = now.refused_bodies[n] - before.refused_bodies[n];
            self.refused_bodies.add(refused, &label);
        }
        for (n, listener) in Listener::ALL.into_iter().enumerate() {
            let label = [KeyValue::new("listener", listener.as_str())];
            self.open_connections.record(now.connections[n] as u64, &label);
            let closed =
                now.closed_connections[n] - before.closed_connections[n];
            self.closed_connections.add(closed, &label);
        }
    }

    /// Records by how much a timer of the reducer ran late.
    pub(crate) fn record_timer_lag(&self, lag: Duration) {
        self.timer_lag.record(lag.as_secs_f64(), &[]);
    }

    /// Records the gauges of the query path.
    pub(crate) fn record_state(
        &self,
        version: u64,
        serving: bool,
        in_flight: usize,
    ) {
        self.version.record(version, &[]);
        self.serving.record(u64::from(serving), &[]);
        self.in_flight.record(in_flight as u64, &[]);
    }
}

fn reason_name(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::UnknownRoute => "unknown_route",
        FailureReason::MissingRequestId => "missing_request_id",
        FailureReason::BadRequest => "bad_request",
        FailureReason::BodyTooLarge => "body_too_large",
        FailureReason::NotServing => "not_serving",
        FailureReason::Overloaded => "overloaded",
        FailureReason::NoReplica => "no_replica",
        FailureReason::DuplicateRequestId => "duplicate_request_id",
        FailureReason::NoQuorum => "no_quorum",
        FailureReason::DeadlineExceeded => "deadline_exceeded",
        FailureReason::TargetFailed => "target_failed",
    }
}
