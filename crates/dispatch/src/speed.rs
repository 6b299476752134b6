//! Speeds of targets, measured by the routers that use them.
//!
//! Addresses cells whose targets differ: at a slow engine, prompts take longer than the nominal rate
//! says, and the streams beside them pause beyond their objective. With the measured speeds, first
//! events come in time and streams pause less, because work is placed in proportion to the speed
//! ([`crate::placement`]).
//!
//! - `samples`: the speed of a target relative to the others of its cell.
//! - `pauses`: the bound of queued prefill at a target whose streams pause.
//!
//! The state is rebuilt from reports after a change of owner. Targets without enough samples, and
//! those that are like the others within the error, have [`Rating::MEDIAN`].

mod pauses;
mod samples;

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::pauses::Pauses;
use self::samples::{Medians, Samples, Speed};
use crate::target::Tag;
use crate::usage::Peer;

/// Largest plausible prefill rate of an engine, in tokens per second: some ten times that of the
/// fastest known engines.
pub const MAX_PREFILL_RATE: u64 = 1_000_000;

/// Longest plausible pause between two events of a stream, and time to an answer.
const MAX_TIME: Duration = Duration::from_mins(5);

/// Age up to which a sample is used. Engines whose speed changes for longer are measured anew.
pub const MAX_SAMPLE_AGE: Duration = Duration::from_secs(30);

/// Time since its last report up to which a previous owner hands over the bound of a target. It is
/// sent with each report until then, so that a lost one does not matter.
const MAX_HANDOVER_AGE: Duration = Duration::from_secs(3);

/// Most targets in one report, which bounds the datagram.
pub const MAX_TARGETS: usize = 64;

/// Most samples of one target in one report, which bounds the datagram and the weight of one router.
pub const MAX_SAMPLES: usize = 16;

/// Time that a target took for an amount of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Prompt tokens that an engine prefilled until the first event; 0 for an answer of a plain
    /// target.
    pub tokens: u64,
    /// Time from sending the request to the first event, or to the end of a plain answer.
    pub time: Duration,
}

impl Sample {
    /// Whether a target can have taken this time.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let tokens = u128::from(self.tokens);
        let max_tokens = u128::from(MAX_PREFILL_RATE) * self.time.as_micros() / 1_000_000;
        !self.time.is_zero() && self.time <= MAX_TIME && tokens <= max_tokens
    }

    /// Work per second: tokens of a prefill, or answers.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn rate(&self) -> f64 {
        self.tokens.max(1) as f64 / self.time.as_secs_f64()
    }
}

/// What a router has measured at a target since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The target.
    pub tag: Tag,
    /// Prefills or plain answers.
    pub samples: Vec<Sample>,
    /// Number of streams with at least two events that paused or ended.
    pub streams: u32,
    /// Number of these with a pause beyond their route's objective.
    pub paused_streams: u32,
    /// Longest pause in these streams.
    pub longest_pause: Duration,
}

impl Observation {
    /// Whether all values are in the range that a router can mean.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        self.samples.len() <= MAX_SAMPLES
            && self.samples.iter().all(Sample::is_plausible)
            && self.paused_streams <= self.streams
            && self.longest_pause <= MAX_TIME
    }
}

/// Bound of queued prefill at a target, from the previous owner of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bound {
    /// The target.
    pub tag: Tag,
    /// Factor on the prefill budget in hundredths.
    pub percent: u8,
}

/// Observations of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the report at its router, by which a repeated or outdated one is recognized.
    pub number: u64,
    /// Observations, at most one per target.
    pub observations: Vec<Observation>,
    /// Bounds that the sender learned while it owned the cells; a new owner would need some ten
    /// seconds to learn them.
    pub bounds: Vec<Bound>,
}

impl Report {
    /// Whether all values are in the range that a router can mean.
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        self.observations.len() <= MAX_TARGETS
            && self.observations.iter().all(Observation::is_plausible)
            && self.bounds.len() <= MAX_TARGETS
            && self.bounds.iter().all(|it| (1..=100).contains(&it.percent))
    }
}

/// Speed of a target as used for the choice of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rating {
    /// Speed relative to the median of the cell; exactly 1 if they are alike within the error.
    pub speed: f64,
    /// Factor on the prefill budget, below 1 at a target whose streams pause.
    pub prefill_bound: f64,
}

impl Rating {
    /// The rating of a target that is like the others of its cell, or not measured.
    pub const MEDIAN: Self = Self {
        speed: 1.0,
        prefill_bound: 1.0,
    };

    /// Whether queued prefill is bounded because streams pause.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.prefill_bound < 1.0
    }
}

impl Default for Rating {
    fn default() -> Self {
        Self::MEDIAN
    }
}

/// A rating with what it rests on, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// The target.
    pub tag: Tag,
    /// Its rating.
    pub rating: Rating,
    /// Estimated rate in tokens or answers per second, if there are enough samples.
    pub rate: Option<f64>,
    /// Number of samples of all sizes.
    pub samples: usize,
    /// Age of the newest sample.
    pub age: Duration,
    /// Streams that the share of paused streams rests on.
    pub streams: u32,
    /// Number of these that paused.
    pub paused_streams: u32,
}

/// What is known of one target.
#[derive(Clone, Debug, Default)]
struct Entry {
    samples: Samples,
    pauses: Pauses,
    updated_at: Duration,
    speed: Option<Speed>,
    rating: Rating,
}

/// Measured speeds of the targets of the cells that a router owns.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    entries: HashMap<Tag, Entry>,
    /// Number of the last report of each router, and when it came.
    reports: HashMap<Peer, (u64, Duration)>,
}

impl Speeds {
    /// Creates a table without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a router's report; false if it is repeated, or older than one that has arrived.
    pub fn record(&mut self, peer: Peer, report: &Report, now: Duration) -> bool {
        let last = self.reports.get(&peer);
        if last.is_some_and(|(number, _)| report.number <= *number) {
            return false;
        }
        self.reports.insert(peer, (report.number, now));
        for observation in &report.observations {
            let entry = self.entries.entry(observation.tag).or_default();
            entry.updated_at = now;
            entry.samples.record(&observation.samples, now);
            let (streams, paused) = (observation.streams, observation.paused_streams);
            entry.pauses.record(streams, paused, now);
        }
        for bound in &report.bounds {
            let entry = self.entries.entry(bound.tag).or_default();
            if entry.pauses.adopt(f64::from(bound.percent) / 100.0, now) {
                entry.updated_at = now;
            }
        }
        true
    }

    /// Bounds of some targets, for a new owner of their cell.
    #[must_use]
    pub fn handover(&self, tags: &[Tag], now: Duration) -> Vec<Bound> {
        let is_recent = |it: &Entry| now.saturating_sub(it.updated_at) < MAX_HANDOVER_AGE;
        let bounds = tags.iter().filter_map(|tag| {
            let entry = self.entries.get(tag).filter(|it| is_recent(it))?;
            let bound = entry.rating.is_bounded().then_some(entry.rating)?;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "between 0 and 1"
            )]
            let percent = (bound.prefill_bound * 100.0).ceil() as u8;
            Some(Bound { tag: *tag, percent })
        });
        bounds.collect()
    }

    /// Rating of a target.
    #[must_use]
    pub fn rating(&self, tag: Tag) -> Rating {
        self.entries
            .get(&tag)
            .map_or(Rating::MEDIAN, |it| it.rating)
    }

    /// Removes the measurements of a target that has ended.
    pub fn forget(&mut self, tag: Tag) {
        self.entries.remove(&tag);
    }

    /// Drops measurements that are out of date, and rates the targets of each cell.
    pub fn refresh(&mut self, cells: impl IntoIterator<Item = Vec<Tag>>, now: Duration) {
        let is_recent = |at: Duration| now.saturating_sub(at) < MAX_SAMPLE_AGE;
        self.reports.retain(|_, (_, at)| is_recent(*at));
        self.entries.retain(|_, it| is_recent(it.updated_at));
        for entry in self.entries.values_mut() {
            entry.samples.prune(now);
            entry.pauses.prune(now);
        }
        for tags in cells {
            self.rate_cell(&tags, now);
        }
    }

    fn rate_cell(&mut self, tags: &[Tag], now: Duration) {
        let known = tags.iter().filter_map(|tag| self.entries.get(tag));
        let medians = Medians::new(known.clone().map(|it| &it.samples));
        let share = pauses::median_share(known.map(|it| &it.pauses));
        for tag in tags {
            let Some(entry) = self.entries.get_mut(tag) else {
                continue;
            };
            entry.speed = entry.samples.speed(&medians);
            entry.pauses.adjust(share, now);
            entry.rating = Rating {
                speed: entry.speed.map_or(1.0, |it| it.relative),
                prefill_bound: entry.pauses.bound(),
            };
        }
    }

    /// Targets whose rating differs from the median.
    #[must_use]
    pub fn differing(&self, now: Duration) -> Vec<Summary> {
        let differing = self
            .entries
            .iter()
            .filter(|(_, it)| it.rating != Rating::MEDIAN);
        let summaries = differing.map(|(tag, it)| Summary {
            tag: *tag,
            rating: it.rating,
            rate: it.speed.map(|it| it.rate),
            samples: it.samples.len(),
            age: now.saturating_sub(it.updated_at),
            streams: it.pauses.counts().0,
            paused_streams: it.pauses.counts().1,
        });
        let mut summaries: Vec<_> = summaries.collect();
        summaries.sort_by_key(|it| it.tag);
        summaries
    }
}
