//! Invariants of the whole fleet, checked apart from the kernels.
//!
//! The kernels keep these without seeing each other; the check sees them all.
//!
//! - The slots that live routers hold of a target that they reach are at most its
//!   slots, and a target never has runs waiting inside. Within [`SETTLING`] of a change of who is
//!   alive, who owns or what is configured, two owners may each have given the
//!   target out, so that twice the slots is the bound.
//! - Every request is at exactly one router, in one stage, and a sent one is at
//!   exactly one target.
//!
//! Violations are counted, and the first ones told.

use std::time::Duration;

use dunlinward_kernel::id::Target;
use dunlinward_kernel::request::State;
use dunlinward_kernel::time::Instant;

use crate::fleet::Fleet;
use crate::spec::Trial;

/// Time after a change in which a target may be given out twice: the silence that
/// proves a death, the takeover, and a repeated statement of what is held.
pub const SETTLING: Duration = Duration::from_secs(15);

/// Violations told in words.
const TOLD: usize = 5;

/// What is watched, and what was found.
#[derive(Clone, Debug)]
pub struct Watch {
    /// Whether anything is checked.
    pub on: bool,
    /// Times at which more slots were held than may be.
    pub over_held: u64,
    /// Times at which more slots were held than twice the target's.
    pub over_twice: u64,
    /// Times at which runs waited inside a target that may not.
    pub over_admitted: u64,
    /// Requests found in no stage or in several.
    pub misplaced: u64,
    /// The first violations.
    pub told: Vec<String>,
    disturbed: Vec<Instant>,
    versions: Vec<u64>,
    owned: Vec<Vec<usize>>,
}

impl Watch {
    /// Watches nothing yet.
    #[must_use]
    pub fn new(trial: &Trial) -> Self {
        Self {
            on: false,
            over_held: 0,
            over_twice: 0,
            over_admitted: 0,
            misplaced: 0,
            told: Vec::new(),
            disturbed: vec![Instant::ZERO; trial.targets],
            versions: vec![0; trial.routers],
            owned: vec![Vec::new(); trial.routers],
        }
    }

    /// All violations.
    #[must_use]
    pub const fn violations(&self) -> u64 {
        self.over_held + self.over_twice + self.over_admitted + self.misplaced
    }

    /// Notes a change that any target may feel.
    pub fn disturb(&mut self, now: Instant) {
        self.disturbed.fill(now);
    }

    /// Makes room for one more target.
    pub(crate) fn grow(&mut self, now: Instant) {
        self.disturbed.push(now);
    }

    fn tell(&mut self, now: Instant, text: &str) {
        if self.told.len() < TOLD {
            let seconds = now.since(Instant::ZERO).as_secs_f64();
            self.told.push(format!("{seconds:.3}s {text}"));
        }
    }

    fn settling(&self, now: Instant, target: usize) -> bool {
        now.since(self.disturbed[target]) < SETTLING
    }
}

impl Fleet {
    /// Checks what a step of a router may have broken.
    pub(crate) fn watch_step(&mut self, at: usize) {
        if !self.inject.watch.on {
            return;
        }
        self.note_changes(at);
        for target in 0..self.trial.targets {
            self.watch_target(target);
        }
    }

    fn note_changes(&mut self, at: usize) {
        let kernel = &self.nodes[at].kernel;
        let version = kernel.view().version;
        let owned: Vec<usize> = kernel.owner().targets().map(Target::row).collect();
        let watch = &mut self.inject.watch;
        if watch.versions[at] != version || watch.owned[at] != owned {
            watch.versions[at] = version;
            watch.owned[at] = owned;
            watch.disturb(self.now);
        }
    }

    fn watch_target(&mut self, target: usize) {
        let slots = self.engines[target].slots;
        let held: usize = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(at, node)| node.up && !self.inject.is_paused(*at))
            .filter(|(_, node)| self.reaches(node.domain, target))
            .flat_map(|(_, node)| node.kernel.holder().all())
            .filter(|(other, _)| other.row() == target)
            .map(|(_, holding)| holding.held as usize)
            .sum();
        let inside = self.engines[target].waiting();
        if held <= slots && inside == 0 {
            return;
        }
        let now = self.now;
        let watch = &mut self.inject.watch;
        if held > slots * 2 {
            watch.over_twice += 1;
            watch.tell(
                now,
                &format!("target-{target}: {held} of {slots} slots held"),
            );
        }
        if watch.settling(now, target) {
            return;
        }
        if held > slots {
            watch.over_held += 1;
            watch.tell(
                now,
                &format!("target-{target}: {held} of {slots} slots held"),
            );
        }
        if inside > 0 {
            watch.over_admitted += 1;
            watch.tell(now, &format!("target-{target}: {inside} runs wait inside"));
        }
    }

    /// Checks that every request is in exactly one stage at exactly one router.
    pub(crate) fn watch_states(&mut self) {
        if !self.inject.watch.on {
            return;
        }
        let mut wrong = Vec::new();
        let mut found = 0;
        for (at, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.up) {
            for (request, life) in node.kernel.requests() {
                found += 1;
                let here = self.calls.get(&request).is_some_and(|call| call.node == at);
                let runs = match life {
                    State::Sent(sent) => self.runs.contains_key(&(request, sent.attempts)),
                    State::Waiting(_) | State::Backoff(_) => true,
                };
                let late = self.inject.is_paused(at);
                if !here || !(runs || late) {
                    wrong.push(format!("request {} at router-{at} is astray", request.0));
                }
            }
        }
        if found != self.calls.len() && !self.any_paused() {
            wrong.push(format!("{} calls, {found} at routers", self.calls.len()));
        }
        let now = self.now;
        let watch = &mut self.inject.watch;
        watch.misplaced += wrong.len() as u64;
        for text in wrong {
            watch.tell(now, &text);
        }
    }

    fn any_paused(&self) -> bool {
        (0..self.trial.routers).any(|at| self.inject.is_paused(at))
    }
}
