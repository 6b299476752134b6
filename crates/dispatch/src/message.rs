//! Messages between routers, each in one datagram.
//!
//! Lost messages are made good by later ones: an unanswered request for a place is repeated, the
//! load of a router at targets is reported in full several times a second, and heartbeats are sent
//! for as long as the router runs.
//!
//! A message may come from a router of another version. Content that decodes but has values that
//! no router can mean is not [plausible](Content::plausible) and is dropped, because sums of such
//! values would overflow.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backoff::Refusal;
use crate::cache::PartTag;
use crate::cell::Cell;
use crate::content::ContentTag;
use crate::continuation::{self, Stream};
use crate::harmful_part;
use crate::health::Outcome;
use crate::leaving;
use crate::membership::Packet;
use crate::prefix::{Prompt, Use};
use crate::quarantine::Finding;
use crate::queue_order::RouteTag;
use crate::reading::Reading;
use crate::share::Standing;
use crate::speed;
use crate::store::Position;
use crate::target::Tag;
use crate::usage::{Load, Peer};

/// Longest plausible time in a message: no request takes an hour.
const MAX_DURATION: Duration = Duration::from_hours(1);

/// Largest plausible number of tokens in a message: what the engines of a large fleet produce in
/// five years, at 1.8 M tokens a second.
pub(crate) const MAX_TOKENS: u64 = 1 << 48;

/// Largest plausible era of the store. The era rises by one each time the store is restored from a
/// copy; with an era that is too large, all answers of the store would count as outdated.
const MAX_ERA: u64 = 1 << 20;

/// Short identity of a customer in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CustomerTag(pub u32);

/// Load at one target in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub tag: Tag,
    /// Load that the sender itself caused there.
    pub load: Load,
}

/// Tokens of one customer in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUse {
    /// The customer.
    pub tag: CustomerTag,
    /// Tokens asked for at the sender within the window.
    pub asked: u64,
    /// Tokens granted by the sender within the window.
    pub granted: u64,
}

/// Versions and ages of the sender's views of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Views {
    /// Version of the configuration in force; 0 if there is none.
    pub configuration: u64,
    /// Reading at which that was the newest version in the store.
    pub configuration_read: Option<Reading>,
    /// Reading of the list of targets, if there is one.
    pub registry_read: Option<Reading>,
    /// Digest of the list of targets.
    pub registry_digest: u64,
    /// Position in the log of the store at which that list ends.
    pub registry_position: Option<Position>,
    /// Digest of the contents whose runs ended targets; `None` until the sender knows those that
    /// the store keeps.
    pub quarantine: Option<u64>,
    /// Digest of the orders to evacuate failure domains.
    pub evacuations: u64,
    /// Newest known era of the store.
    pub era: Option<u64>,
    /// Digest of the targets that have announced that they leave.
    pub leaving: u64,
}

/// Membership gossip, and the versions of the sender's views of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Membership packet.
    pub packet: Packet,
    /// The sender's views.
    pub views: Views,
}

/// A request for a place at a target of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the request at the router that asks. Each of its starts begins at a random number.
    pub number: u64,
    /// Cell in which the place is asked for.
    pub cell: Cell,
    /// Content of the request, unless it was answered recently.
    pub content: Option<ContentTag>,
    /// Prompt, if the request is for a model engine.
    pub prompt: Option<Prompt>,
    /// Customer, if any.
    pub customer: Option<CustomerTag>,
    /// Tokens charged to the customer.
    pub cost: u64,
    /// Expected time to the first event.
    pub objective: Duration,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time for which it will still wait.
    pub max_wait: Duration,
    /// Time for which its client will still wait for the answer.
    pub remaining: Duration,
    /// Whether it is a retry of a refused request.
    pub is_retry: bool,
    /// Whether its tokens were already counted as demand.
    pub demand_counted: bool,
    /// Whether it has failed at a target.
    pub failed: bool,
    /// Targets at which it, or the router that asks, has seen a failure.
    pub avoid: Vec<Tag>,
    /// Tokens of earlier requests of the customer that the sender refused without asking an owner,
    /// to be counted as demand.
    pub withheld: u64,
    /// Time between its client's first attempt and its arrival; zero for a first attempt, and for
    /// a retry if unknown.
    pub since_first_attempt: Duration,
    /// Route that it matches.
    pub route: RouteTag,
}

/// A place at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request at the router that asked.
    pub number: u64,
    /// The target.
    pub tag: Tag,
    /// Prompt tokens that the target has to read.
    pub unread: u64,
    /// Prompt tokens that the target has to read before them, for other requests.
    pub queued: u64,
    /// Whether the target is expected to hold the prefix of the prompt.
    pub hit: bool,
    /// Target from whose cache it fetches the missing part of the prefix.
    pub fetch: Option<Tag>,
    /// Usage of its customer and its limit, if it has one.
    pub standing: Option<Standing>,
}

/// No place is free yet; the request is queued at the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// Number of the request at the router that asked.
    pub number: u64,
    /// Number of requests queued there.
    pub waiting: u32,
    /// Usage of its customer and its limit, if it has one.
    pub standing: Option<Standing>,
    /// Time for which no target of the cell accepts it, if the request times out before; it is not
    /// queued then.
    pub unavailable_for: Option<Duration>,
    /// Time from its refusal, at the end of its wait, after which the request may be sent again, as
    /// scheduled by the owner.
    pub retry_after: Option<Duration>,
}

/// A place that was used is free again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The target.
    pub tag: Tag,
    /// Prompt tokens that the target had not read yet.
    pub unread: u64,
    /// Outcome of the exchange, if known.
    pub outcome: Option<Outcome>,
    /// Number of the request for which the receiver granted the place, if the target has not run
    /// it: the customer is not charged then.
    pub not_run: Option<u64>,
    /// Content of the request, if the place was asked for with it.
    pub content: Option<ContentTag>,
    /// Refusal by the target, if it refused the request.
    pub refusal: Option<Refusal>,
}

/// Load that the sender has at the targets of the receiver's cells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load by target.
    pub loads: Vec<TargetLoad>,
    /// Prefixes recently sent to targets, for a new owner.
    pub uses: Vec<Use>,
    /// Usage of customers that the sender granted as an owner, for all owners.
    pub customers: Vec<CustomerUse>,
    /// Numbers of requests for which the sender uses places that the receiver granted recently.
    pub accepted: Vec<u64>,
    /// Targets that have named a retry delay to the sender, for a new owner.
    pub refusals: Vec<(Tag, Refusal)>,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// A place is asked for.
    Request(Request),
    /// A place is granted.
    Grant(Grant),
    /// A request is queued.
    Wait(Wait),
    /// A request no longer waits; a place granted to it is not used.
    Withdraw(u64),
    /// A target has read a prompt.
    Read {
        /// The target.
        tag: Tag,
        /// Number of prompt tokens read.
        unread: u64,
    },
    /// A place that was used is free again.
    Return(Return),
    /// Load of the sender at targets.
    LoadReport(LoadReport),
    /// The sender's findings on runs that did not end with an answer.
    Findings(Vec<Finding>),
    /// Targets that have announced that they leave.
    Leaving(leaving::Report),
    /// What the sender has measured at targets of the receiver's cells.
    Observations(speed::Report),
    /// Software versions that began streams.
    StreamNotes(continuation::Report),
    /// Which software version began a stream?
    StreamQuery(Stream),
    /// Answer to that question.
    StreamAnswer(continuation::Answer),
    /// Software versions that began streams, to be written to the store.
    StreamRecords(continuation::Report),
    /// Parts of prompts that the sender ran at a target that terminated.
    Termination(harmful_part::Report),
    /// When was a part of prompts last answered?
    PartQuery(PartTag),
    /// Answer to that question, if there was one.
    PartAnswer(harmful_part::Evidence),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender; it has a new identity after each start.
    pub sender: Peer,
    /// Content.
    pub content: Content,
}

impl Content {
    /// Whether all values are in the range that a router can mean.
    #[must_use]
    pub fn plausible(&self) -> bool {
        let in_range = |tokens: u64| tokens <= MAX_TOKENS;
        match self {
            Self::Request(request) => request.plausible(),
            Self::Grant(grant) => in_range(grant.unread) && in_range(grant.queued),
            Self::Read { unread, .. } => in_range(*unread),
            Self::Return(returned) => {
                in_range(returned.unread) && returned.refusal.is_none_or(|it| it.plausible())
            }
            Self::LoadReport(report) => {
                let mut loads = report.loads.iter();
                let mut customers = report.customers.iter();
                loads.all(|it| in_range(it.load.unread))
                    && customers.all(|it| in_range(it.asked) && in_range(it.granted))
                    && report.refusals.iter().all(|(_, it)| it.plausible())
            }
            Self::Heartbeat(heartbeat) => heartbeat.views.era.is_none_or(|it| it <= MAX_ERA),
            Self::Leaving(report) => report.plausible(),
            Self::Wait(wait) => {
                let times = [wait.unavailable_for, wait.retry_after];
                times.iter().flatten().all(|it| *it <= MAX_DURATION)
            }
            Self::Observations(report) => report.is_plausible(),
            Self::StreamNotes(report) | Self::StreamRecords(report) => report.plausible(),
            Self::StreamAnswer(answer) => answer.plausible(),
            Self::Termination(report) => report.plausible(),
            Self::Withdraw(_)
            | Self::Findings(_)
            | Self::StreamQuery(_)
            | Self::PartQuery(_)
            | Self::PartAnswer(_) => true,
        }
    }
}

impl Request {
    fn plausible(&self) -> bool {
        let durations = [
            self.objective,
            self.waited,
            self.max_wait,
            self.since_first_attempt,
            self.remaining,
        ];
        let counts = self.prompt.iter().flat_map(|it| {
            let parts = it.parts.iter().map(|it| it.tokens);
            parts.chain([it.tokens, it.answer_tokens])
        });
        durations.iter().all(|it| *it <= MAX_DURATION)
            && self.cost <= MAX_TOKENS
            && self.withheld <= MAX_TOKENS
            && counts.into_iter().all(|it| it <= MAX_TOKENS)
    }
}
