//! Measures targets by the requests that this router sends there, and reports the observations to
//! the owners of their cells.
//!
//! Each owner gets each observation once. A router that has become the owner of a cell gets all
//! recent ones, so that it knows the speeds of the targets from the first reports on. A lost report
//! is not repeated: later ones replace it.
//!
//! While this router itself is late, the times that it measures are its own, so they are dropped.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::speed::{self, MAX_SAMPLES, MAX_TARGETS, Report, Sample, Summary};
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::Peer;

use crate::journal::millis;
use crate::lease::Lease;
use crate::node::Node;

/// Mean lateness of this router's timers from which observations are dropped.
const MAX_LATENESS: Duration = Duration::from_millis(15);

/// Age up to which observations are reported to a new owner.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Most observations kept per target, which bounds the memory of a small router.
const MAX_KEPT: usize = 32;

/// Interval at which an owner logs the targets whose speed differs.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Targets named in a log line, those with the lowest speed first.
const MAX_LOGGED: usize = 16;

/// One observation at a target.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A prompt was read, or a plain answer has ended.
    Work(Sample),
    /// A stream has ended, or paused beyond its objective for the first time.
    Stream { paused: bool, longest: Duration },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    number: u64,
    at: Duration,
    event: Event,
}

/// Observations of this router that owners have not received, or a new owner may need.
#[derive(Debug, Default)]
pub struct Collector(RefCell<Inner>);

#[derive(Debug, Default)]
struct Inner {
    entries: HashMap<Tag, VecDeque<Entry>>,
    /// Number of the newest entry.
    last: u64,
    /// Newest entry of each cell that its owners have received.
    sent: HashMap<(Cell, SocketAddr), u64>,
    /// Number of the last report.
    reports: u64,
}

impl Inner {
    fn record(&mut self, tag: Tag, event: Event, now: Duration) {
        self.last += 1;
        let entries = self.entries.entry(tag).or_default();
        if entries.len() >= MAX_KEPT {
            entries.pop_front();
        }
        entries.push_back(Entry {
            number: self.last,
            at: now,
            event,
        });
    }

    fn prune(&mut self, now: Duration) {
        for entries in self.entries.values_mut() {
            entries.retain(|it| now.saturating_sub(it.at) < MAX_AGE);
        }
        self.entries.retain(|_, it| !it.is_empty());
    }

    /// Observations at a target since the entry `after`.
    fn observation(&self, tag: Tag, after: u64) -> Option<speed::Observation> {
        let entries = self.entries.get(&tag)?.iter();
        let mut entries = entries.filter(|it| it.number > after).peekable();
        entries.peek()?;
        let mut observation = speed::Observation {
            tag,
            samples: Vec::new(),
            streams: 0,
            paused_streams: 0,
            longest_pause: Duration::ZERO,
        };
        for entry in entries {
            match entry.event {
                Event::Work(sample) => observation.samples.push(sample),
                Event::Stream { paused, longest } => {
                    observation.streams += 1;
                    observation.paused_streams += u32::from(paused);
                    observation.longest_pause = observation.longest_pause.max(longest);
                }
            }
        }
        let surplus = observation.samples.len().saturating_sub(MAX_SAMPLES);
        observation.samples.drain(..surplus);
        Some(observation)
    }
}

/// Records that a target has read the prompt of a request sent at `sent_at`.
pub(crate) fn record_prefill(node: &Node, lease: &Lease, unread: u64, sent_at: Duration) {
    // A fetch takes time that no prefill rate explains. Part of a long queue may have been read
    // when the place was granted, so a short prompt behind it would show too high a rate.
    if lease.fetch.is_some() || lease.queued > unread / 2 {
        return;
    }
    let sample = Sample {
        tokens: unread + lease.queued,
        time: node.now().saturating_sub(sent_at),
    };
    record_sample(node, lease, sample, "prefill");
}

/// Records that a plain target has answered a request sent at `sent_at`.
pub(crate) fn record_answer(node: &Node, lease: &Lease, sent_at: Duration) {
    let sample = Sample {
        tokens: 0,
        time: node.now().saturating_sub(sent_at),
    };
    record_sample(node, lease, sample, "answer");
}

fn record_sample(node: &Node, lease: &Lease, sample: Sample, kind: &'static str) {
    if sample.is_plausible() {
        record(node, lease.target.tag(), Event::Work(sample), kind);
    } else {
        node.metrics.add("speed_samples", "implausible", 1);
    }
}

/// Records that a stream of a target has ended, or paused beyond its objective for the first time.
pub(crate) fn record_stream(node: &Node, lease: &Lease, paused: bool, longest: Duration) {
    let event = Event::Stream { paused, longest };
    let kind = if paused { "paused_stream" } else { "stream" };
    record(node, lease.target.tag(), event, kind);
}

fn record(node: &Node, tag: Tag, event: Event, kind: &'static str) {
    if !node.settings.load_policy.learn_speeds {
        return;
    }
    if node.overload.mean_lateness() > MAX_LATENESS {
        node.metrics.add("speed_samples", "late", 1);
        return;
    }
    node.metrics.add("speed_samples", kind, 1);
    let now = node.now();
    node.observations.0.borrow_mut().record(tag, event, now);
}

/// Sends new observations to the owners of their targets' cells; those at targets of this router's
/// own cells are recorded directly.
pub(crate) fn report(node: &Rc<Node>) {
    if !node.settings.load_policy.learn_speeds {
        return;
    }
    let now = node.now();
    for (owner, report) in due_reports(node, now) {
        if owner == node.settings.link {
            receive(node, node.peer, &report);
        } else {
            node.send(owner, Content::Observations(report));
        }
    }
    node.state.borrow_mut().refresh_speeds(now);
}

fn due_reports(node: &Node, now: Duration) -> HashMap<SocketAddr, Report> {
    let state = node.state.borrow();
    let mut inner = node.observations.0.borrow_mut();
    inner.prune(now);
    let mut reports: HashMap<SocketAddr, Report> = HashMap::new();
    let mut sent: HashMap<(Cell, SocketAddr), u64> = HashMap::new();
    for (cell, targets) in state.registry.all_cells() {
        let owner = state.members.owner(cell, now);
        let after = inner.sent.get(&(cell, owner)).copied().unwrap_or(0);
        sent.insert((cell, owner), inner.last);
        let tags = targets.iter().map(|it| it.tag());
        let observations = tags.filter_map(|tag| inner.observation(tag, after));
        let observations: Vec<_> = observations.collect();
        if observations.is_empty() {
            continue;
        }
        let number = inner.reports + 1;
        let report = reports.entry(owner).or_insert_with(|| Report {
            number,
            observations: Vec::new(),
        });
        report.observations.extend(observations);
        report.observations.truncate(MAX_TARGETS);
    }
    inner.reports += 1;
    // A previous owner that owns the cell again needs what came since it lost the cell.
    inner.sent.extend(sent);
    let oldest = inner.oldest();
    inner.sent.retain(|_, number| *number >= oldest);
    reports
}

impl Inner {
    /// Number before the oldest kept entry.
    fn oldest(&self) -> u64 {
        let numbers = self.entries.values().filter_map(|it| it.front());
        let oldest = numbers.map(|it| it.number).min();
        oldest.map_or(self.last, |it| it - 1)
    }
}

/// Records the report of a router about targets of this router's cells.
pub(crate) fn receive(node: &Node, peer: Peer, report: &Report) {
    if !node.settings.load_policy.learn_speeds {
        return;
    }
    let now = node.now();
    let new = node.state.borrow_mut().speeds.record(peer, report, now);
    let label = if new { "recorded" } else { "repeated" };
    node.metrics.add("speed_reports", label, 1);
}

/// Logs the targets of this router's cells whose speed differs from the median, if it is time.
pub(crate) fn log_speeds(node: &Node, logged_at: &mut Duration) {
    let now = node.now();
    if now.saturating_sub(*logged_at) < LOG_INTERVAL {
        return;
    }
    *logged_at = now;
    let mut differing = node.state.borrow().speeds.differing(now);
    if differing.is_empty() {
        return;
    }
    differing.sort_by(|a, b| a.rating.speed.total_cmp(&b.rating.speed));
    let bounded = differing.iter().filter(|it| it.rating.is_bounded()).count();
    let slow = differing.iter().filter(|it| it.rating.speed < 1.0).count();
    let fast = differing.iter().filter(|it| it.rating.speed > 1.0).count();
    for (label, count) in [("slow", slow), ("fast", fast), ("bounded", bounded)] {
        node.metrics.add("rated_targets", label, count as u64);
    }
    let line = node.journal.line("target_speeds");
    let line = line.with("slow", slow).with("fast", fast);
    let line = line.with("bounded", bounded);
    let named = differing.iter().take(MAX_LOGGED);
    let named: Vec<_> = named.map(|it| describe(node, it)).collect();
    drop(line.with("targets", named));
}

fn describe(node: &Node, summary: &Summary) -> serde_json::Value {
    let state = node.state.borrow();
    let target = state.registry.get(summary.tag);
    let round = |value: f64| (value * 100.0).round() / 100.0;
    serde_json::json!({
        "target": target.map(|it| it.id.as_ref()),
        "speed": round(summary.rating.speed),
        "prefill_bound": round(summary.rating.prefill_bound),
        "rate": summary.rate.map(f64::round),
        "samples": summary.samples,
        "streams": summary.streams,
        "paused_streams": summary.paused_streams,
        "age_ms": millis(summary.age),
    })
}
