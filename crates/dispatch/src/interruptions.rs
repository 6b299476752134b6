//! Runs of this router that ended without an answer, until the state of their targets is known.

use std::time::Duration;

use crate::cell::Cell;
use crate::content::Digest;
use crate::quarantine::{Finding, OPEN_TIMEOUT, Resolution};
use crate::target::Tag;

/// Times that a finding is sent to the owner of its content, as datagrams may be lost.
const MAX_SENDS: u32 = 3;

/// Limit of recorded runs: eight full batches of 128.
const MAX_RUNS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Run {
    finding: Finding,
    cell: Cell,
    at: Duration,
    sends: u32,
}

/// A finding, and the cell to whose owner it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The cell of the target.
    pub cell: Cell,
    /// The finding.
    pub finding: Finding,
}

impl Run {
    fn report(&self) -> Report {
        Report {
            cell: self.cell,
            finding: self.finding,
        }
    }
}

/// Runs that ended without an answer.
#[derive(Clone, Debug, Default)]
pub struct Interruptions {
    runs: Vec<Run>,
}

impl Interruptions {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a run that broke off or was given up; returns its finding, to be sent now.
    pub fn record(&mut self, content: Digest, target: Tag, cell: Cell, now: Duration) -> Report {
        if self.runs.len() >= MAX_RUNS {
            self.runs.remove(0);
        }
        let finding = Finding {
            content,
            target,
            resolution: Resolution::Open,
        };
        let run = Run {
            finding,
            cell,
            at: now,
            sends: 1,
        };
        self.runs.push(run);
        run.report()
    }

    /// Whether a target has runs that are still open.
    #[must_use]
    pub fn has_open(&self, target: Tag) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|it| it.finding.target == target && it.finding.resolution == Resolution::Open)
    }

    /// Resolves the open runs of a target whose state is known; returns the findings to be sent
    /// now.
    pub fn resolve(&mut self, target: Tag, resolution: Resolution) -> Vec<Report> {
        let open = self.runs.iter_mut();
        let open = open
            .filter(|it| it.finding.target == target && it.finding.resolution == Resolution::Open);
        let resolved = open.map(|it| {
            it.finding.resolution = resolution;
            it.sends = 1;
            it.report()
        });
        resolved.collect()
    }

    /// Findings to be sent once more. Removes those that were sent `MAX_SENDS` times, unless they
    /// are open and within [`OPEN_TIMEOUT`].
    pub fn next_repeats(&mut self, now: Duration) -> Vec<Report> {
        self.runs.retain(|it| {
            let open = it.finding.resolution == Resolution::Open && it.at + OPEN_TIMEOUT > now;
            open || it.sends < MAX_SENDS
        });
        let due = self.runs.iter_mut().filter(|it| it.sends < MAX_SENDS);
        let due = due.map(|it| {
            it.sends += 1;
            it.report()
        });
        due.collect()
    }
}
