//! How attempts tell the driver of themselves.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use dunlinward_kernel::id;

use super::{End, Input};
use crate::call::Call;
use crate::explain::ring::Subject;
use crate::targets::{Attempt, Report};

/// Runs an attempt on a worker's thread.
pub(super) fn run(attempt: Attempt, mut reporter: Reporter) {
    let report = attempt.run(|units| reporter.progress(units));
    reporter.report = report;
}

/// Tells the driver of an attempt. Its end is told when the reporter is dropped,
/// so that even an attempt that panics ends.
pub(super) struct Reporter {
    /// The request.
    pub call: Arc<Call>,
    /// The attempt.
    pub number: u32,
    /// The request as records name it.
    pub subject: Subject,
    /// The target.
    pub place: id::Target,
    /// Name of the target.
    pub target: Arc<str>,
    /// The driver's inbox.
    pub inbox: Sender<Input>,
    /// How the attempt ended, as far as is known.
    pub report: Report,
}

impl Reporter {
    fn progress(&self, units: u64) {
        // A driver that is gone has ended the request already.
        let _ = self.inbox.send(Input::Progressed {
            request: self.call.request,
            attempt: self.number,
            units,
        });
    }
}

impl Drop for Reporter {
    fn drop(&mut self) {
        let end = End {
            call: Arc::clone(&self.call),
            attempt: self.number,
            subject: self.subject,
            place: self.place,
            target: Arc::clone(&self.target),
            report: std::mem::replace(&mut self.report, Report::unknown()),
        };
        let _ = self.inbox.send(Input::Ended(Box::new(end)));
    }
}
