//! Where contents may run under which targets have ended, or that were not answered yet.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::placement::Candidate;
use dunlinward_dispatch::quarantine::Status;
use dunlinward_dispatch::target::Target;

use super::{State, Wish};

impl State {
    /// Whether a request must not be sent now for what its content may have done.
    pub(crate) fn held(&self, wish: &Wish, now: Duration) -> bool {
        let standing = wish
            .content
            .map(|it| self.quarantine.status_by_tag(it, now));
        matches!(standing, Some(Status::Held | Status::Quarantined(_)))
    }

    /// Of these targets those at which a suspected content may run: the one where it runs already; else
    /// one without another suspect, so that an end there has one cause, and with the fewest runs that
    /// would end with it.
    pub(super) fn apart<'a>(
        &self,
        wish: &Wish,
        mut targets: Vec<&'a Arc<Target>>,
        now: Duration,
    ) -> Vec<&'a Arc<Target>> {
        let Some(content) = wish.content else {
            return targets;
        };
        let suspect = |it| self.quarantine.status_by_tag(it, now) != Status::Free;
        if !suspect(content) {
            return targets;
        }
        let runs_at = self.copies.target(content);
        if let Some(target) = targets.iter().find(|it| Some(it.tag()) == runs_at) {
            return vec![target];
        }
        targets.retain(|it| !self.copies.contents_on(it.tag()).any(suspect));
        let running = |it: &Arc<Target>| self.usage.total(it.tag()).running;
        let least = targets.iter().map(|it| running(it)).min();
        targets.retain(|it| Some(running(it)) == least);
        targets
    }

    /// The target where a content already runs that was not answered yet: what ends its targets then
    /// ends one at a time, however often it is asked.
    pub(super) fn together(&self, wish: &Wish, candidates: &[Candidate]) -> Option<Candidate> {
        let runs_at = self.copies.target(wish.content?)?;
        let mut candidates = candidates.iter();
        let there = candidates.find(|it| it.target.tag() == runs_at);
        there.cloned()
    }
}
