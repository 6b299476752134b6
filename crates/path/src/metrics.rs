//! Counters, gauges and histograms of a router.
//!
//! Instruments come from a meter of the router's own provider, so that routers in one process have
//! separate metrics. A family has one label, `of`, whose values are a few fixed words or names of
//! services and routes, which bounds their number.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket boundaries of the histograms in seconds: from one step of an engine to a long deadline.
const BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0,
];

/// Counters, gauges and histograms.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Keeps the instruments working: they stop when their provider is dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
    counters: RefCell<HashMap<&'static str, Counts>>,
    gauges: RefCell<HashMap<&'static str, Gauge<u64>>>,
    histograms: RefCell<HashMap<&'static str, Times>>,
}

/// A counter, and what is to be added to it when the metrics are read. An addition to the
/// instrument itself allocates a label and hashes it.
#[derive(Debug)]
struct Counts {
    instrument: Counter<u64>,
    pending: HashMap<Box<str>, u64>,
}

/// A histogram, and its labels, which are kept as each record needs one.
#[derive(Debug)]
struct Times {
    instrument: Histogram<f64>,
    labels: HashMap<Box<str>, [KeyValue; 1]>,
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Panics
    ///
    /// Never: a new registry accepts any exporter.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .without_target_info()
            .build()
            .expect("a new registry accepts any exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self {
            registry,
            meter: provider.meter("dunlinward"),
            _provider: provider,
            counters: RefCell::default(),
            gauges: RefCell::default(),
            histograms: RefCell::default(),
        }
    }

    /// Adds to a counter; `family` ends with the unit or the items that it counts.
    pub fn add(&self, family: &'static str, label: &str, amount: u64) {
        let mut counters = self.counters.borrow_mut();
        let counts = counters.entry(family).or_insert_with(|| {
            let name = format!("dunlinward_{family}");
            Counts {
                instrument: self.meter.u64_counter(name).build(),
                pending: HashMap::new(),
            }
        });
        if let Some(pending) = counts.pending.get_mut(label) {
            *pending += amount;
        } else {
            counts.pending.insert(label.into(), amount);
        }
    }

    /// Sets a gauge; `family` ends with the unit or the items that it counts.
    pub fn set(&self, family: &'static str, label: &str, value: u64) {
        let mut gauges = self.gauges.borrow_mut();
        let gauge = gauges.entry(family).or_insert_with(|| {
            let name = format!("dunlinward_{family}");
            self.meter.u64_gauge(name).build()
        });
        gauge.record(value, &[KeyValue::new("of", label.to_owned())]);
    }

    /// Records a duration in a histogram; `family` ends with `_seconds`.
    pub fn time(&self, family: &'static str, label: &str, time: Duration) {
        let mut histograms = self.histograms.borrow_mut();
        let times = histograms.entry(family).or_insert_with(|| {
            let name = format!("dunlinward_{family}");
            let histogram = self.meter.f64_histogram(name);
            Times {
                instrument: histogram.with_boundaries(BUCKETS_S.to_vec()).build(),
                labels: HashMap::new(),
            }
        });
        let seconds = time.as_secs_f64();
        if let Some(label) = times.labels.get(label) {
            times.instrument.record(seconds, label);
        } else {
            let value = [KeyValue::new("of", label.to_owned())];
            times.instrument.record(seconds, &value);
            times.labels.insert(label.into(), value);
        }
    }

    /// Adds what is pending to the counters.
    fn flush(&self) {
        for counts in self.counters.borrow_mut().values_mut() {
            let instrument = &counts.instrument;
            for (label, amount) in &mut counts.pending {
                let value = [KeyValue::new("of", label.to_string())];
                instrument.add(std::mem::take(amount), &value);
            }
        }
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        self.flush();
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.unwrap_or_else(|error| format!("# not written: {error}\n"))
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
