//! Speeds of targets, measured by the routers that use them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::target::Tag;

/// Largest plausible prefill rate of an engine, in tokens per second: some ten times that of the
/// fastest known engines.
const MAX_PREFILL_RATE: u64 = 1_000_000;

/// Longest plausible pause between two events of a stream.
const MAX_PAUSE: Duration = Duration::from_mins(5);

/// What a router has measured at a target since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The target.
    pub tag: Tag,
    /// Number of measured prefills.
    pub prefills: u32,
    /// Upper quartile of their rates, in tokens per second.
    pub prefill_rate: u64,
    /// Number of streams that ended after at least two events.
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
        self.prefill_rate <= MAX_PREFILL_RATE
            && self.paused_streams <= self.streams
            && self.longest_pause <= MAX_PAUSE
    }
}
