//! What this router counts.
//!
//! Instruments come from a meter of this router's own provider, so routers of
//! one process do not mix. Each refusal reason and each retry reason has its
//! counter, present from the start at zero: a rate over a counter that appears
//! only with its first event misses that event. Units stand in the names.

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use dunlinward_kernel::holder::Counts;
use dunlinward_kernel::kernel::Dropped;
use dunlinward_kernel::verdict::{Failure, Refusal, Verdict};
use dunlinward_wire::Pool;
use dunlinward_wire::counter::Loss;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

use crate::refusal::Reason;
use crate::targets::stream::Stray;

/// Bounds of histograms of callers' waiting times, in seconds.
const WAITS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Bounds of the histogram of kernel steps, in seconds.
const STEPS: [f64; 8] = [1e-6, 1e-5, 5e-5, 1e-4, 5e-4, 1e-3, 1e-2, 1e-1];

/// Metrics that could not be set up or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The exporter was refused.
    #[snafu(display("the exporter of metrics cannot be built: {source}"))]
    Export {
        /// What the library said.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The metrics cannot be written.
    #[snafu(display("the metrics cannot be written: {source}"))]
    Write {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// The instruments of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    edge_refusals: Counter<u64>,
    retries: Counter<u64>,
    attempts: Counter<u64>,
    units: Counter<u64>,
    dropped: Counter<u64>,
    connections: UpDownCounter<i64>,
    queue_wait: Histogram<f64>,
    first_part: Histogram<f64>,
    step: Histogram<f64>,
    undecoded: Counter<u64>,
    events: Counter<u64>,
    kernel: Kernel,
}

/// Counts that the kernel keeps, as last seen.
#[derive(Debug, Default)]
struct Seen {
    moved: Counts,
    dropped: Dropped,
}

/// Instruments of the kernel's own counts.
#[derive(Debug)]
struct Kernel {
    seen: Mutex<Seen>,
    granted: Counter<u64>,
    returned: Counter<u64>,
    unused: Counter<u64>,
    wants: Counter<u64>,
    ignored: Counter<u64>,
}

impl Metrics {
    /// Instruments with every reason at zero.
    ///
    /// # Errors
    ///
    /// [`Error::Export`].
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()
            .context(ExportSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dunlinward");
        let metrics = Self::build(registry, provider, meter);
        metrics.start_at_zero();
        Ok(metrics)
    }

    fn build(registry: Registry, provider: SdkMeterProvider, meter: Meter) -> Self {
        let count = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        let time = |name: &'static str, about: &'static str, bounds: &[f64]| {
            let histogram = meter.f64_histogram(name).with_description(about);
            let histogram = histogram.with_unit("s");
            histogram.with_boundaries(bounds.to_vec()).build()
        };
        Self {
            requests: count("dunlinward_requests", "Requests admitted"),
            refusals: count("dunlinward_refusals", "Requests refused by the kernel"),
            edge_refusals: count("dunlinward_edge_refusals", "Requests refused at the edge"),
            retries: count("dunlinward_retries", "Attempts that were tried again"),
            attempts: count("dunlinward_attempts", "Attempts at targets by their end"),
            units: count("dunlinward_service_units", "Units of service used"),
            dropped: count("dunlinward_dropped_events", "Events of streams left out"),
            connections: meter
                .i64_up_down_counter("dunlinward_connections")
                .with_description("Callers connected")
                .build(),
            queue_wait: time(
                "dunlinward_queue_wait",
                "Time from arrival to the first dispatch",
                &WAITS,
            ),
            first_part: time(
                "dunlinward_first_token",
                "Time from arrival to the first part of an answer",
                &WAITS,
            ),
            step: time("dunlinward_kernel_step", "Time of one kernel step", &STEPS),
            undecoded: count(
                "dunlinward_undecoded_messages",
                "Messages that no one reads",
            ),
            events: count(
                "dunlinward_log_records",
                "Records read from the log by outcome",
            ),
            kernel: Kernel::new(&meter),
            registry,
            provider,
            meter,
        }
    }

    fn start_at_zero(&self) {
        for refusal in Refusal::ALL {
            for verdict in [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran] {
                self.refusals.add(0, &refusal_labels(*refusal, verdict));
            }
        }
        for reason in Reason::ALL {
            self.edge_refusals.add(0, &[label(reason.name())]);
        }
        for failure in Failure::ALL {
            self.retries.add(0, &[label(failure.name())]);
        }
        for reason in Stray::ALL {
            self.dropped.add(0, &[label(reason.name())]);
        }
        self.undecoded.add(0, &[]);
        self.connections.add(0, &[]);
        self.kernel.start_at_zero();
    }

    /// A request was admitted.
    pub fn admitted(&self, customer: &str, service: &str) {
        self.requests.add(1, &place_labels(customer, service));
    }

    /// The kernel refused a request.
    pub fn refused(&self, refusal: Refusal, verdict: Verdict) {
        self.refusals.add(1, &refusal_labels(refusal, verdict));
    }

    /// The edge refused a request.
    pub fn edge_refused(&self, reason: Reason) {
        self.edge_refusals.add(1, &[label(reason.name())]);
    }

    /// A failed attempt is tried again.
    pub fn retried(&self, failure: Failure) {
        self.retries.add(1, &[label(failure.name())]);
    }

    /// An attempt ended: whole, or by a failure.
    pub fn ended(&self, target: &str, failure: Option<Failure>) {
        let end = failure.map_or("whole", Failure::name);
        let labels = [
            KeyValue::new("target", target.to_owned()),
            KeyValue::new("end", end),
        ];
        self.attempts.add(1, &labels);
    }

    /// Units of service were used.
    pub fn used(&self, customer: &str, service: &str, units: u64) {
        self.units.add(units, &place_labels(customer, service));
    }

    /// An event of a stream was left out.
    pub fn dropped(&self, reason: Stray) {
        self.dropped.add(1, &[label(reason.name())]);
    }

    /// Callers connected (1) or left (-1).
    pub fn connected(&self, change: i64) {
        self.connections.add(change, &[]);
    }

    /// A request waited this long for its first dispatch.
    pub fn waited(&self, time: Duration) {
        self.queue_wait.record(time.as_secs_f64(), &[]);
    }

    /// The first part of an answer came this long after its request.
    pub fn first_part(&self, class: &'static str, time: Duration) {
        let labels = [KeyValue::new("class", class)];
        self.first_part.record(time.as_secs_f64(), &labels);
    }

    /// A kernel step took this long.
    pub fn stepped(&self, time: Duration) {
        self.step.record(time.as_secs_f64(), &[]);
    }

    /// What the kernel has counted so far.
    pub fn kernel(&self, moved: Counts, dropped: Dropped) {
        self.kernel.count(moved, dropped);
    }

    /// A message between routers could not be read.
    pub fn undecoded(&self) {
        self.undecoded.add(1, &[]);
    }

    /// A record of the log was read.
    pub fn record(&self, outcome: &'static str) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.events.add(1, &labels);
    }

    /// Counts the bytes of the links from now on.
    pub fn watch(&self, pool: &Arc<Pool>) {
        self.watch_bytes(pool, "in", |pool| pool.counters().network_in());
        self.watch_bytes(pool, "out", |pool| pool.counters().network_out());
        for loss in Loss::ALL {
            let pool = Arc::downgrade(pool);
            self.meter
                .u64_observable_counter("dunlinward_lost_messages")
                .with_description("Messages to other routers that were not sent")
                .with_callback(move |observer| {
                    if let Some(pool) = pool.upgrade() {
                        let lost = pool.counters().drops(*loss);
                        observer.observe(lost, &[label(loss.name())]);
                    }
                })
                .build();
        }
    }

    fn watch_bytes(&self, pool: &Arc<Pool>, way: &'static str, read: fn(&Pool) -> u64) {
        let pool: Weak<Pool> = Arc::downgrade(pool);
        self.meter
            .u64_observable_counter("dunlinward_control")
            .with_unit("By")
            .with_description("Bytes of control traffic, TCP and IP headers included")
            .with_callback(move |observer| {
                if let Some(pool) = pool.upgrade() {
                    observer.observe(read(&pool), &[KeyValue::new("direction", way)]);
                }
            })
            .build();
    }

    /// All metrics as text.
    ///
    /// # Errors
    ///
    /// [`Error::Write`].
    pub fn text(&self) -> Result<String, Error> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .context(WriteSnafu)
    }

    /// Ends the provider.
    pub fn stop(&self) {
        if let Err(err) = self.provider.shutdown() {
            log::debug!("metrics: {err}");
        }
    }
}

impl Kernel {
    fn new(meter: &Meter) -> Self {
        let count = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        Self {
            seen: Mutex::default(),
            granted: count("dunlinward_granted_slots", "Slots granted to this router"),
            returned: count("dunlinward_returned_slots", "Slots given back to owners"),
            unused: count(
                "dunlinward_unused_slots",
                "Slots given back that were not used since they were granted",
            ),
            wants: count("dunlinward_wants", "Wants told to owners"),
            ignored: count(
                "dunlinward_ignored_events",
                "Events and messages that the kernel ignored",
            ),
        }
    }

    fn start_at_zero(&self) {
        for counter in [&self.granted, &self.returned, &self.unused, &self.wants] {
            counter.add(0, &[]);
        }
        for (reason, _) in reasons(Dropped::default()) {
            self.ignored.add(0, &[label(reason)]);
        }
    }

    /// Adds what was counted since the last call; most calls find nothing new.
    fn count(&self, moved: Counts, dropped: Dropped) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.moved != moved {
            self.granted.add(moved.granted - seen.moved.granted, &[]);
            self.returned.add(moved.returned - seen.moved.returned, &[]);
            self.unused.add(moved.unused - seen.moved.unused, &[]);
            self.wants.add(moved.demands - seen.moved.demands, &[]);
            seen.moved = moved;
        }
        if seen.dropped != dropped {
            let before = reasons(seen.dropped);
            for ((reason, now), (_, before)) in reasons(dropped).into_iter().zip(before) {
                self.ignored.add(now - before, &[label(reason)]);
            }
            seen.dropped = dropped;
        }
    }
}

/// Why the kernel ignored something, and how often.
fn reasons(dropped: Dropped) -> [(&'static str, u64); 4] {
    [
        ("late_event", dropped.late_events),
        ("stale_message", dropped.stale_messages),
        ("unknown_name", dropped.unknown_names),
        ("void_grant", dropped.void_grants),
    ]
}

fn label(reason: &'static str) -> KeyValue {
    KeyValue::new("reason", reason)
}

fn refusal_labels(refusal: Refusal, verdict: Verdict) -> [KeyValue; 2] {
    [
        label(refusal.name()),
        KeyValue::new("verdict", verdict.name()),
    ]
}

fn place_labels(customer: &str, service: &str) -> [KeyValue; 2] {
    [
        KeyValue::new("customer", customer.to_owned()),
        KeyValue::new("service", service.to_owned()),
    ]
}
