//! Measures targets by the requests that this router sends there, and reports the observations to
//! the owners of their cells.
//!
//! Each owner gets each observation once. A router that has become the owner of a cell gets all
//! recent ones, so that it knows the speeds of the targets from the first reports on. A lost report
//! is not repeated: later ones replace it.
//!
//! While this router itself is late, the times that it measures are its own, so they are dropped.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dunlinward_dispatch::cell::Cell;
use dunlinward_dispatch::message::Content;
use dunlinward_dispatch::speed::{self, Bound, MAX_SAMPLES, MAX_TARGETS, Report, Sample, Summary};
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
pub enum Event {
    /// A prompt was read, or a plain answer has ended.
    Work(Sample),
    /// A stream has ended, or paused beyond its objective for the first time.
    Stream {
        /// Whether it paused beyond its objective.
        paused: bool,
        /// Its longest pause.
        longest: Duration,
    },
}

impl Event {
    /// Label in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Work(Sample { tokens: 0, .. }) => "answer",
            Self::Work(_) => "prefill",
            Self::Stream { paused: true, .. } => "paused_stream",
            Self::Stream { paused: false, .. } => "stream",
        }
    }
}

/// Time for which this router has waited for the events of a stream. It excludes the time for which a
/// slow client keeps events from being read, so it measures the target alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pauses {
    events: u64,
    /// Time of waiting since the last event.
    waited: Duration,
    longest: Duration,
    /// Whether the stream was counted as paused.
    counted: bool,
}

impl Pauses {
    /// Records a time of waiting for the target.
    pub fn record_wait(&mut self, time: Duration) {
        self.waited += time;
    }

    /// Records an event; true if the pause before it is the first beyond the objective.
    pub fn record_event(&mut self, objective: Duration) -> bool {
        let waited = std::mem::take(&mut self.waited);
        self.events += 1;
        if self.events < 2 {
            return false;
        }
        self.longest = self.longest.max(waited);
        waited > objective && !std::mem::replace(&mut self.counted, true)
    }

    /// Whether the stream counts as one without a pause at its end.
    #[must_use]
    pub fn ends_clean(&self) -> bool {
        self.events >= 2 && !self.counted
    }

    /// Longest pause between two events.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.longest
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    number: u64,
    at: Duration,
    event: Event,
}

/// A cell, and the owner that gets the observations at its targets.
#[derive(Clone, Debug)]
pub struct Recipient {
    /// The cell.
    pub cell: Cell,
    /// Its owner.
    pub owner: SocketAddr,
    /// Its targets.
    pub tags: Vec<Tag>,
    /// Bounds that this router has learned as the previous owner.
    pub bounds: Vec<Bound>,
}

/// Observations of this router that owners have not received, or that a new owner may need.
#[derive(Debug, Default)]
pub struct Collector {
    entries: HashMap<Tag, VecDeque<Entry>>,
    /// Number of the newest entry.
    last: u64,
    /// Newest entry that each owner of a cell has received.
    sent: HashMap<(Cell, SocketAddr), u64>,
    /// Number of the last report.
    reports: u64,
}

impl Collector {
    /// Records an observation at a target; false if it is dropped because the timers of this router
    /// are too late in the mean.
    pub fn record(&mut self, tag: Tag, event: Event, lateness: Duration, now: Duration) -> bool {
        if lateness > MAX_LATENESS {
            return false;
        }
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
        true
    }

    /// Reports of the observations that owners have not received.
    pub fn due(
        &mut self,
        cells: impl Iterator<Item = Recipient>,
        now: Duration,
    ) -> HashMap<SocketAddr, Report> {
        self.prune(now);
        self.reports += 1;
        let mut reports: HashMap<SocketAddr, Report> = HashMap::new();
        for recipient in cells {
            let Recipient {
                cell,
                owner,
                tags,
                bounds,
            } = recipient;
            let after = self.sent.insert((cell, owner), self.last).unwrap_or(0);
            let observations = tags.iter().filter_map(|tag| self.observation(*tag, after));
            let observations: Vec<_> = observations.collect();
            if observations.is_empty() && bounds.is_empty() {
                continue;
            }
            let number = self.reports;
            let report = reports.entry(owner).or_insert_with(|| Report {
                number,
                observations: Vec::new(),
                bounds: Vec::new(),
            });
            report.observations.extend(observations);
            report.observations.truncate(MAX_TARGETS);
            report.bounds.extend(bounds);
            report.bounds.truncate(MAX_TARGETS);
        }
        reports
    }

    fn prune(&mut self, now: Duration) {
        for entries in self.entries.values_mut() {
            entries.retain(|it| now.saturating_sub(it.at) < MAX_AGE);
        }
        self.entries.retain(|_, it| !it.is_empty());
        let numbers = self.entries.values().filter_map(VecDeque::front);
        // An owner that has received nothing of what is kept is treated as a new one.
        let oldest = numbers.map(|it| it.number).min().unwrap_or(self.last);
        self.sent.retain(|_, number| *number >= oldest);
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
    record_sample(node, lease, sample);
}

/// Records that a plain target has answered a request sent at `sent_at`.
pub(crate) fn record_answer(node: &Node, lease: &Lease, sent_at: Duration) {
    let sample = Sample {
        tokens: 0,
        time: node.now().saturating_sub(sent_at),
    };
    record_sample(node, lease, sample);
}

fn record_sample(node: &Node, lease: &Lease, sample: Sample) {
    if sample.is_plausible() {
        record(node, lease.target.tag(), Event::Work(sample));
    } else {
        node.metrics.add("speed_samples", "implausible", 1);
    }
}

/// Records that a stream of a target has ended, or paused beyond its objective for the first time.
pub(crate) fn record_stream(node: &Node, lease: &Lease, paused: bool, longest: Duration) {
    let event = Event::Stream { paused, longest };
    record(node, lease.target.tag(), event);
}

fn record(node: &Node, tag: Tag, event: Event) {
    if !node.settings.load_policy.learn_speeds {
        return;
    }
    let lateness = node.overload.mean_lateness();
    let now = node.now();
    let recorded = node
        .observations
        .borrow_mut()
        .record(tag, event, lateness, now);
    let label = if recorded { event.name() } else { "late" };
    node.metrics.add("speed_samples", label, 1);
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
    let cells = state.registry.all_cells().map(|(cell, targets)| {
        let owner = state.members.owner(cell, now);
        let tags: Vec<_> = targets.iter().map(|it| it.tag()).collect();
        let bounds = if owner == node.settings.link {
            Vec::new()
        } else {
            state.speeds.handover(&tags, now)
        };
        Recipient {
            cell,
            owner,
            tags,
            bounds,
        }
    });
    node.observations.borrow_mut().due(cells, now)
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
