//! What reaches the driver.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use dunlinward_kernel::event::Event;
use dunlinward_kernel::id;

use super::Entry;
use crate::call::Call;
use crate::explain::ring::Subject;
use crate::explain::{Answer, Question};
use crate::state::Snapshot;
use crate::targets::Report;

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct End {
    /// The request.
    pub call: Arc<Call>,
    /// The attempt.
    pub attempt: u32,
    /// The request as records name it.
    pub subject: Subject,
    /// The target.
    pub place: id::Target,
    /// Name of the target.
    pub target: Arc<str>,
    /// How it ended.
    pub report: Report,
}

/// One item of the driver's inbox.
#[derive(Debug)]
pub(crate) enum Input {
    /// A caller's request.
    Call(Box<Entry>),
    /// An attempt has used units of service.
    Progressed {
        /// The request.
        request: id::Request,
        /// The attempt.
        attempt: u32,
        /// Units so far.
        units: u64,
    },
    /// An attempt ended.
    Ended(Box<End>),
    /// Anything that the kernel is told as it is.
    Event(Event),
    /// Somebody asks for the state of the kernel.
    Inspect(Sender<Snapshot>),
    /// Somebody asks about a request, a customer or a target.
    Explain(Question, Sender<Answer>),
    /// The router stops.
    Stop,
}
