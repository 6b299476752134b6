//! What routers tell each other, each message in one datagram.
//!
//! A lost message is made good by a later one: an unanswered request for a place is
//! repeated, what a router has at targets is told whole several times a second, and
//! greetings go on for as long as the router runs.
//!
//! A message may be of a router of another version. What decodes and can't be meant is not
//! [plausible](Content::plausible) and is dropped: sums of it would overflow.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backoff::Refusal;
use crate::cell::Cell;
use crate::content::ContentTag;
use crate::health::Outcome;
use crate::leaving;
use crate::membership::Packet;
use crate::prefix::{Prompt, Use};
use crate::quarantine::Finding;
use crate::reading::Reading;
use crate::share::Standing;
use crate::store::Position;
use crate::target::Tag;
use crate::usage::{Load, Peer};

/// Longest time in a message that is meant: no request lasts an hour.
const LONGEST: Duration = Duration::from_hours(1);

/// Most tokens in a message that are meant, 2^48: what all engines of a large fleet (1.8 M a second)
/// produce in five years.
const TOKENS_MOST: u64 = 1 << 48;

/// Largest era of the store that is meant: it rises by one with each copy that the store comes back
/// from. A larger one would make all of its answers seem late.
const ERA_MOST: u64 = 1 << 20;

/// Short name of a customer in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CustomerTag(pub u32);

/// A target's load in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub tag: Tag,
    /// The sender's own work there.
    pub load: Load,
}

/// A customer's tokens in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUse {
    /// The customer.
    pub tag: CustomerTag,
    /// Tokens asked for at the sender within the window.
    pub asked: u64,
    /// Tokens granted by the sender within the window.
    pub granted: u64,
}

/// How old the sender's views of the platform are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Views {
    /// Version of the configuration in force; 0 for none.
    pub configuration: u64,
    /// The reading by which that was the store's newest.
    pub configuration_read: Option<Reading>,
    /// The reading of the list of targets, if there is one.
    pub registry_read: Option<Reading>,
    /// Sum of the list of targets.
    pub registry_digest: u64,
    /// Where the store's log goes on behind that list.
    pub registry_position: Option<Position>,
    /// Sum of the contents under which targets ended; none if the sender doesn't know yet which
    /// the store keeps.
    pub quarantine: Option<u64>,
    /// Sum of the orders to evacuate failure domains.
    pub evacuations: u64,
    /// The newest era of the store, if anything was heard of it.
    pub era: Option<u64>,
    /// Sum of the targets that have said that they leave.
    pub leaving: u64,
}

/// Who is alive, and what the sender knows of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Who is alive.
    pub packet: Packet,
    /// The sender's views.
    pub views: Views,
}

/// A request for a place at a target of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the request at the router that asks.
    pub number: u64,
    /// The cell.
    pub cell: Cell,
    /// What it asks, unless that was answered lately.
    pub content: Option<ContentTag>,
    /// Its prompt, if it is for a model engine.
    pub prompt: Option<Prompt>,
    /// Its customer.
    pub customer: Option<CustomerTag>,
    /// Tokens for which its customer is charged.
    pub cost: u64,
    /// Time to the first event that users expect.
    pub objective: Duration,
    /// How long it has waited since it arrived.
    pub waited: Duration,
    /// How long it will wait from now on.
    pub patience: Duration,
    /// Whether its caller was refused before.
    pub returning: bool,
    /// Whether the tokens it asks for have been counted before.
    pub counted: bool,
    /// Whether a target has failed it.
    pub failed: bool,
    /// Targets that have failed it or the router that asks.
    pub avoid: Vec<Tag>,
}

/// A place at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the request at the router that asked.
    pub number: u64,
    /// The target.
    pub tag: Tag,
    /// Tokens that the target has to read.
    pub unread: u64,
    /// Whether its prefix is taken to be there.
    pub hit: bool,
    /// The target from whose memory it fetches what it lacks of the prefix.
    pub fetch: Option<Tag>,
    /// How its customer stands.
    pub standing: Option<Standing>,
}

/// There is no place yet; the request waits at the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
    /// Number of the request at the router that asked.
    pub number: u64,
    /// Requests that wait there.
    pub waiting: u32,
    /// How its customer stands.
    pub standing: Option<Standing>,
    /// How long no target of the cell will take it, if it is given up before that; it does not wait
    /// then.
    pub closed_for: Option<Duration>,
}

/// A place that was used is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The target.
    pub tag: Tag,
    /// Prompt tokens that the target had yet to read.
    pub unread: u64,
    /// How the exchange went, if anything is known of it.
    pub outcome: Option<Outcome>,
    /// Number of the request under which the receiver gave the place, if the target has not run
    /// it: then its customer is not charged.
    pub not_run: Option<u64>,
    /// What it asked, if the place was asked for with it.
    pub content: Option<ContentTag>,
    /// The target's refusal, if it turned the request away.
    pub refusal: Option<Refusal>,
}

/// What the sender has at the targets of the receiver's cells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Its work.
    pub loads: Vec<TargetLoad>,
    /// Prefixes that it sent to targets lately, for an owner that is new.
    pub uses: Vec<Use>,
    /// Customers' tokens that the sender granted as an owner, for all owners.
    pub customers: Vec<CustomerUse>,
    /// Numbers of the requests for which the sender uses places that the receiver gave it lately.
    pub accepted: Vec<u64>,
    /// Targets that have named a time to the sender, for an owner that is new.
    pub refusals: Vec<(Tag, Refusal)>,
}

/// A message's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The sender is alive.
    Greeting(Greeting),
    /// A place is asked for.
    Ask(Ask),
    /// A place is given.
    Grant(Grant),
    /// A request waits.
    Wait(Wait),
    /// A request no longer waits, and a place that it was given is not used.
    Withdraw(u64),
    /// A prompt has been read at a target.
    Read {
        /// The target.
        tag: Tag,
        /// Tokens that it has read.
        unread: u64,
    },
    /// A place that was used is free.
    Return(Return),
    /// What the sender has at targets.
    Work(Work),
    /// What the sender has found of runs that did not end with an answer.
    Findings(Vec<Finding>),
    /// Targets that have said that they leave.
    Leaving(leaving::Report),
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identity of the sender's start.
    pub sender: Peer,
    /// What it says.
    pub content: Content,
}

impl Content {
    /// Whether a router can mean this.
    #[must_use]
    pub fn plausible(&self) -> bool {
        let few = |tokens: u64| tokens <= TOKENS_MOST;
        match self {
            Self::Ask(ask) => ask.plausible(),
            Self::Grant(grant) => few(grant.unread),
            Self::Read { unread, .. } => few(*unread),
            Self::Return(returned) => {
                few(returned.unread) && returned.refusal.is_none_or(|it| it.plausible())
            }
            Self::Work(work) => {
                let mut loads = work.loads.iter();
                let mut customers = work.customers.iter();
                loads.all(|it| few(it.load.unread))
                    && customers.all(|it| few(it.asked) && few(it.granted))
                    && work.refusals.iter().all(|(_, it)| it.plausible())
            }
            Self::Greeting(greeting) => greeting.views.era.is_none_or(|it| it <= ERA_MOST),
            Self::Leaving(report) => report.plausible(),
            Self::Wait(wait) => wait.closed_for.is_none_or(|it| it <= LONGEST),
            Self::Withdraw(_) | Self::Findings(_) => true,
        }
    }
}

impl Ask {
    fn plausible(&self) -> bool {
        let short = [self.objective, self.waited, self.patience];
        let counts = self.prompt.iter().flat_map(|it| {
            let parts = it.parts.iter().map(|it| it.tokens);
            parts.chain([it.tokens, it.answer_tokens])
        });
        short.iter().all(|it| *it <= LONGEST)
            && self.cost <= TOKENS_MOST
            && counts.into_iter().all(|it| it <= TOKENS_MOST)
    }
}
