//! Messages between routers.
//!
//! Messages are small, encoded by `bincode`, and refer to entities by [`Key`]. The
//! protocol tolerates lost, duplicated and reordered messages: state is sent in full
//! with an increasing stamp, and grants carry a sequence number.

use bincode::{Decode, Encode};

use crate::key::Key;

/// A run of a failure domain's accounts: the counters of one incarnation of its root.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Run {
    /// The root that keeps the counters.
    pub root: Key,
    /// The incarnation of the root.
    pub incarnation: u64,
}

/// One round of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Round {
    /// The run.
    pub run: Run,
    /// The number of the round, from 1.
    pub number: u64,
}

/// Service received by one customer in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Charge {
    /// The customer.
    pub customer: Key,
    /// Units: an increment in [`Aggregate`], a total in [`Broadcast`] and [`Total`].
    pub units: i64,
    /// Routers at which the customer has requests waiting.
    pub waiting: u32,
}

/// Charges of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Ledger {
    /// Key of the pool's first service.
    pub pool: Key,
    /// Charges, by customer key.
    pub charges: Vec<Charge>,
}

/// From a parent: the accounts at the start of a round.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Broadcast {
    /// The round that starts.
    pub round: Round,
    /// The instances from the root to the sender.
    pub path: Vec<Key>,
    /// Instances whose answers were not counted, for each of the last rounds, latest
    /// first.
    pub missed: Vec<Vec<Key>>,
    /// Instances that the root suspects.
    pub suspects: Vec<Key>,
    /// Revision of the accepted configuration at the root.
    pub revision: u64,
    /// Fleet totals of waiting customers, and of the others in rotation.
    pub totals: Vec<Ledger>,
    /// Targets with free slots.
    pub spare: Vec<Key>,
}

/// To a parent: the increments of a subtree in a round.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Aggregate {
    /// The round answered.
    pub round: Round,
    /// Instances of the subtree whose answer is missing.
    pub missed: Vec<Key>,
    /// Increments.
    pub charges: Vec<Ledger>,
    /// Targets with free slots that instances of the subtree own.
    pub spare: Vec<Key>,
}

/// Between roots, and to a root's deputy: the totals of one run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Total {
    /// The last round included in the totals.
    pub round: Round,
    /// The failure domain of the run.
    pub domain: Key,
    /// Revision of the accepted configuration at the root.
    pub revision: u64,
    /// Totals of this run that changed, and the others in rotation.
    pub totals: Vec<Ledger>,
    /// Instances of the failure domain that the root suspects.
    pub suspects: Vec<Key>,
    /// Targets of the failure domain with free slots.
    pub spare: Vec<Key>,
}

/// Waiting requests of one customer for one service or model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Backlog {
    /// The service.
    pub service: Key,
    /// The model, for services that have models.
    pub model: Option<Key>,
    /// The customer.
    pub customer: Key,
    /// Requests waiting.
    pub count: u32,
    /// Estimated cost of one request, in units.
    pub cost: u64,
}

/// To an owner: requests waiting at the sender that the owner may grant slots for,
/// replacing the last report.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Demand {
    /// Increases with every report of this sender.
    pub stamp: u64,
    /// Waiting requests by customer, service and model.
    pub backlogs: Vec<Backlog>,
}

/// Slots granted for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Allocation {
    /// The customer.
    pub customer: Key,
    /// Number of slots.
    pub count: u32,
}

/// From an owner: slots of a target granted to the receiver.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Grant {
    /// The target.
    pub target: Key,
    /// Increases with every grant of this owner.
    pub sequence: u64,
    /// Slots by customer.
    pub allocations: Vec<Allocation>,
}

/// To an owner: the total of slots of a target that the sender holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hold {
    /// The target.
    pub target: Key,
    /// Increases with every report of this sender.
    pub stamp: u64,
    /// Sequence number of the last grant applied from this owner.
    pub sequence: u64,
    /// Slots held.
    pub count: u32,
    /// Whether the sender cannot reach the target now; no slots are granted then.
    pub unusable: bool,
}

/// From an owner: a request to return unused slots and to report those held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Recall {
    /// The target.
    pub target: Key,
    /// Slots to return as soon as they are free, even if requests wait for them.
    pub count: u32,
}

/// A message from one router to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// Start of a round.
    Broadcast(Broadcast),
    /// Answer to a round.
    Aggregate(Aggregate),
    /// Totals of a run.
    Total(Total),
    /// From a root to an instance that it suspects: asks whether it is still alive.
    Probe,
    /// Waiting requests.
    Demand(Demand),
    /// Slots granted.
    Grant(Grant),
    /// Slots held.
    Hold(Hold),
    /// Slots recalled.
    Recall(Recall),
    /// The sender is leaving and no longer counts as live.
    Leaving,
}
