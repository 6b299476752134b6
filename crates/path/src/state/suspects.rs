//! Placement of suspected contents, and of contents that were not answered yet.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::placement::Candidate;
use dunlinward_dispatch::quarantine::Status;
use dunlinward_dispatch::target::Target;

use super::{PlaceRequest, State};

impl State {
    /// Whether the content of a request is held or quarantined, so that it must not be sent now.
    pub(crate) fn is_blocked(&self, request: &PlaceRequest, now: Duration) -> bool {
        let status = request
            .content
            .map(|it| self.quarantine.status_by_tag(it, now));
        matches!(status, Some(Status::Held | Status::Quarantined(_)))
    }

    /// Restricts the targets for a suspected content. If it already runs on one of them, only that
    /// one remains. Otherwise those remain that run no other suspect, so that a termination has
    /// only one possible cause, and that run the fewest requests, as all of these would fail with
    /// the target.
    pub(super) fn isolate_suspect<'a>(
        &self,
        request: &PlaceRequest,
        mut targets: Vec<&'a Arc<Target>>,
        now: Duration,
    ) -> Vec<&'a Arc<Target>> {
        let Some(content) = request.content else {
            return targets;
        };
        let is_suspect = |it| self.quarantine.status_by_tag(it, now) != Status::Free;
        if !is_suspect(content) {
            return targets;
        }
        let runs_at = self.in_flight.target(content);
        if let Some(target) = targets.iter().find(|it| Some(it.tag()) == runs_at) {
            return vec![target];
        }
        targets.retain(|it| !self.in_flight.contents_on(it.tag()).any(is_suspect));
        let running = |it: &Arc<Target>| self.usage.total(it.tag()).running;
        let min_running = targets.iter().map(|it| running(it)).min();
        targets.retain(|it| Some(running(it)) == min_running);
        targets
    }

    /// Candidate that already runs the content of a request, which was not answered yet. Runs of
    /// the same content on one target let it terminate only one target at a time, however many
    /// requests for it arrive.
    pub(super) fn in_flight_candidate(
        &self,
        request: &PlaceRequest,
        candidates: &[Candidate],
    ) -> Option<Candidate> {
        let runs_at = self.in_flight.target(request.content?)?;
        let mut candidates = candidates.iter();
        let candidate = candidates.find(|it| it.target.tag() == runs_at);
        candidate.cloned()
    }
}
