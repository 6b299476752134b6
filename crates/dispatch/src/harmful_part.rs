//! Identification of prompt parts that terminate the targets which begin to answer them.
//!
//! Requests with such a part may differ in all else, so the records of whole contents never add up.
//! The part is in a run that had just begun at each target that terminates, and no run with it is
//! ever answered. So one router, the collector, counts for each part the targets that terminated
//! under a run with it that had no answer yet, or had begun to answer within [`FRESH`]. An answer
//! after the first of these clears the part. Each router reports the parts of its runs at a target
//! that terminated, with the age of its own last answer to each of them, so that parts in demand are
//! cleared by the same message that charges them. Before a part is found to be harmful, all routers
//! are asked for their last answers to it.
//!
//! A part is harmful if its terminations reach a limit, exceed those of each other part, and are two
//! fifths of all that are unexplained since its first one. The limit is higher for a part that was
//! answered at some time before. A part that was never answered is also found if an answered one has
//! a few more: targets that terminate for other reasons too give a part of most prompts more
//! terminations than the harmful one. Parts that always occur together are harmful together, one
//! termination later. Terminations that a harmful part explains are not counted against any other.
//! Nor are those of many targets at once counted.
//! Reports of one termination arrive within some milliseconds of each other, so the counts are
//! evaluated [`SETTLE`] after the last report and not in between.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cache::PartTag;
use crate::prefix::Prompt;
use crate::target::Tag;

/// Terminations at which a part that was never answered is harmful. Targets that crash by
/// themselves rarely hit a part four times without an answer in between.
const ENDS: usize = 4;

/// Terminations at which a part that was answered at some time before is harmful.
const ANSWERED_ENDS: usize = 7;

/// Further termination at which parts with equal counts are harmful together.
const TIED_ENDS: usize = 1;

/// Fraction of the unexplained terminations that a harmful part must have. Of two such parts each has
/// about half.
const COVERAGE: (usize, usize) = (2, 5);

/// Fraction that a part which was never answered must have of the unexplained terminations since its
/// first one, and of those of an answered part, to be found although that part has more.
const UNANSWERED_COVERAGE: (usize, usize) = (3, 4);

/// Time since its first data for which a run counts as one that has just begun.
pub const FRESH: Duration = Duration::from_secs(1);

/// Targets that terminate within [`BURST_WINDOW`] for a common reason, such as the loss of their
/// failure domain, and not under one part.
const BURST: usize = 5;

/// Time within which the terminations of a burst are reported.
const BURST_WINDOW: Duration = Duration::from_millis(100);

/// Time after a report until the counts are evaluated, and after a query until its answers are: some
/// round trips between regions.
pub const SETTLE: Duration = Duration::from_millis(50);

/// Time for which the answers to a query are recent enough to find a part harmful.
const QUERY_VALIDITY: Duration = Duration::from_millis(150);

/// Retention of terminations and open runs: longer than targets take to start again.
const RETENTION: Duration = Duration::from_mins(1);

/// Limit of the parts in a report, which keeps it within a datagram.
pub const MAX_REPORTED: usize = 128;

/// Limit of the parts and the runs that are recorded, whatever callers send.
const MAX_RECORDED: usize = 4_096;

/// A part of a run at a target that terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The part.
    pub part: PartTag,
    /// Age of the reporting router's last answer to it, if it knows one.
    pub answered: Option<Duration>,
}

/// What a router ran at a target that terminated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The target.
    pub target: Tag,
    /// Parts of its runs that had just begun; [`MAX_REPORTED`] at most.
    pub parts: Vec<Evidence>,
}

impl Report {
    /// Whether a router can have sent it.
    #[must_use]
    pub fn plausible(&self) -> bool {
        self.parts.len() <= MAX_REPORTED
    }
}

impl Evidence {
    /// Whether the router knows an answer to the part.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answered.is_some()
    }
}

/// Result of an evaluation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Parts that are harmful.
    pub harms: Vec<Harm>,
    /// Part for whose last answers all routers are to be asked. The counts are to be evaluated
    /// again [`SETTLE`] later.
    pub query: Option<PartTag>,
}

/// A part that was found to be harmful, and the targets that terminated under it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Harm {
    /// The part.
    pub part: PartTag,
    /// The targets.
    pub ends: BTreeSet<Tag>,
}

/// A router's own runs that broke off, and its answers to parts.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    open: Vec<(Tag, Vec<PartTag>, Duration)>,
    /// Half of the answered parts; replaces `older` when full.
    newer: HashMap<PartTag, Duration>,
    older: HashMap<PartTag, Duration>,
}

impl Runs {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer to a prompt.
    pub fn record_answer(&mut self, prompt: &Prompt, now: Duration) {
        for part in prompt.shared() {
            if self.newer.len() >= MAX_RECORDED / 2 && !self.newer.contains_key(&part.id) {
                self.older = std::mem::take(&mut self.newer);
            }
            self.newer.insert(part.id, now);
        }
    }

    /// Records that a run of a prompt which had just begun at a target has broken off.
    pub fn record_interrupted(&mut self, target: Tag, prompt: &Prompt, now: Duration) {
        self.open.retain(|(.., at)| *at + RETENTION > now);
        if self.open.len() < MAX_RECORDED {
            let parts = prompt.shared().iter().map(|it| it.id).collect();
            self.open.push((target, parts, now));
        }
    }

    /// Removes the runs at a target whose state is known; returns reports of them if it has
    /// terminated.
    pub fn resolve(&mut self, target: Tag, terminated: bool, now: Duration) -> Vec<Report> {
        let resolved = self.open.extract_if(.., |(tag, ..)| *tag == target);
        let parts: BTreeSet<_> = resolved.flat_map(|(_, parts, _)| parts).collect();
        if !terminated {
            return Vec::new();
        }
        let evidence: Vec<_> = parts.into_iter().map(|it| self.evidence(it, now)).collect();
        let reports = evidence.chunks(MAX_REPORTED).map(|it| Report {
            target,
            parts: it.to_vec(),
        });
        reports.collect()
    }

    /// The age of this router's last answer to a part.
    #[must_use]
    pub fn evidence(&self, part: PartTag, now: Duration) -> Evidence {
        let answered = self.newer.get(&part).or_else(|| self.older.get(&part));
        Evidence {
            part,
            answered: answered.map(|it| now.saturating_sub(*it)),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Case {
    ends: BTreeSet<Tag>,
    /// When the first of these was reported.
    since: Duration,
    /// When the last one was reported.
    changed: Duration,
    /// When it was last answered, as far as it was reported.
    answered: Option<Duration>,
    /// When all routers were asked for their answers.
    asked: Option<Duration>,
}

impl Case {
    /// Records a router's last answer, which clears the case if it came after the first termination.
    fn record_answer(&mut self, evidence: &Evidence, now: Duration) {
        let Some(age) = evidence.answered else {
            return;
        };
        let at = now.saturating_sub(age);
        if at > self.since {
            self.ends.clear();
            self.asked = None;
        }
        self.answered = self.answered.max(Some(at));
    }

    fn limit(&self) -> usize {
        if self.answered.is_some() {
            ANSWERED_ENDS
        } else {
            ENDS
        }
    }
}

/// The collector's counts.
#[derive(Clone, Debug, Default)]
pub struct Cases {
    parts: HashMap<PartTag, Case>,
    /// Unexplained terminations, and when they were first reported.
    ends: HashMap<Tag, Duration>,
    /// Terminations that a harmful part explains, and when it was found.
    explained: HashMap<Tag, Duration>,
}

impl Cases {
    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report.
    pub fn record(&mut self, report: &Report, now: Duration) {
        self.prune(now);
        if self.explained.contains_key(&report.target) {
            return;
        }
        self.ends.entry(report.target).or_insert(now);
        for evidence in &report.parts {
            if self.parts.len() >= MAX_RECORDED && !self.parts.contains_key(&evidence.part) {
                continue;
            }
            let case = self.parts.entry(evidence.part).or_default();
            case.record_answer(evidence, now);
            if case.ends.is_empty() {
                case.since = now;
            }
            case.ends.insert(report.target);
            case.changed = now;
        }
    }

    /// Records a router's answer to a query.
    pub fn record_answer(&mut self, evidence: Evidence, now: Duration) {
        if let Some(case) = self.parts.get_mut(&evidence.part) {
            case.record_answer(&evidence, now);
        }
    }

    /// Evaluates what was reported so far. Each harmful part is returned once.
    pub fn evaluate(&mut self, now: Duration) -> Verdict {
        self.prune(now);
        let burst = self.burst();
        self.explain(&burst, now);
        let mut verdict = Verdict::default();
        while let Some((part, missing)) = self.suspect() {
            let Some(case) = self.parts.get_mut(&part) else {
                break;
            };
            if missing > 0 {
                break;
            }
            let asked = case.asked.filter(|at| *at + QUERY_VALIDITY > now);
            let asked = asked.unwrap_or_else(|| {
                verdict.query = Some(part);
                now
            });
            case.asked = Some(asked);
            if asked + SETTLE > now {
                break;
            }
            let ends = std::mem::take(&mut case.ends);
            self.parts.remove(&part);
            self.explain(&ends, now);
            verdict.harms.push(Harm { part, ends });
        }
        verdict
    }

    /// Targets that terminated in bursts.
    fn burst(&self) -> BTreeSet<Tag> {
        let mut ends: Vec<_> = self.ends.iter().map(|(tag, at)| (*at, *tag)).collect();
        ends.sort_unstable();
        let bursts = ends.windows(BURST);
        let bursts = bursts.filter(|it| it[BURST - 1].0 <= it[0].0 + BURST_WINDOW);
        bursts.flatten().map(|it| it.1).collect()
    }

    /// Counts terminations against no other part.
    fn explain(&mut self, ends: &BTreeSet<Tag>, now: Duration) {
        for case in self.parts.values_mut() {
            case.ends.retain(|it| !ends.contains(it));
        }
        self.ends.retain(|it, _| !ends.contains(it));
        self.explained.extend(ends.iter().map(|it| (*it, now)));
    }

    /// The part that is most likely harmful, and how many more terminations it needs: one that was
    /// never answered and has nearly as many as each other part, or the one that has most.
    fn suspect(&self) -> Option<(PartTag, usize)> {
        let most = self.parts.values().map(|it| it.ends.len()).max()?;
        let (numerator, denominator) = UNANSWERED_COVERAGE;
        let unanswered = self.parts.iter().filter(|(_, it)| {
            it.answered.is_none() && it.ends.len() * denominator >= most * numerator
        });
        let unanswered = self.leader(unanswered, UNANSWERED_COVERAGE);
        let unanswered = unanswered.filter(|(_, missing)| *missing == 0);
        unanswered.or_else(|| self.leader(self.parts.iter(), COVERAGE))
    }

    /// The part with the most terminations of these, if it has `coverage` of all, and how many more
    /// it needs to be harmful. Of those with equal counts, one that was never answered.
    fn leader<'a>(
        &self,
        parts: impl Iterator<Item = (&'a PartTag, &'a Case)> + Clone,
        coverage: (usize, usize),
    ) -> Option<(PartTag, usize)> {
        let count = parts.clone().map(|(_, it)| it.ends.len()).max()?;
        let tied = parts.filter(|(_, it)| it.ends.len() == count);
        let rank = |(part, case): &(&PartTag, &Case)| (case.answered.is_some(), **part);
        let (part, case) = tied.clone().min_by_key(rank)?;
        let equals = tied.filter(|(_, it)| it.answered.is_some() == case.answered.is_some());
        let limit = if equals.count() == 1 {
            case.limit()
        } else {
            case.limit() + TIED_ENDS
        };
        let covered = self.covers(case, coverage);
        covered.then_some((*part, limit.saturating_sub(count)))
    }

    /// Whether a part has enough of the unexplained terminations since its first one.
    fn covers(&self, case: &Case, coverage: (usize, usize)) -> bool {
        let all = self.ends.values().filter(|at| **at >= case.since).count();
        let (numerator, denominator) = coverage;
        case.ends.len() * denominator >= all * numerator
    }

    fn prune(&mut self, now: Duration) {
        self.ends.retain(|_, at| *at + RETENTION > now);
        self.parts.retain(|_, it| it.changed + RETENTION > now);
        self.explained.retain(|_, at| *at + RETENTION > now);
    }
}
