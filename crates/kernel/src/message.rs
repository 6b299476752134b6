//! What routers say to each other.
//!
//! Small, plain data, encoded by `bincode`. Entities travel as [`Key`]s. Every
//! message is safe to lose, to double and to overtake: state is stated whole
//! with a rising stamp, and grants carry a sequence number.

use bincode::{Decode, Encode};

use crate::key::Key;

/// One run of the accounts of a failure domain: its root's counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Run {
    /// The root that counts.
    pub root: Key,
    /// Its incarnation.
    pub incarnation: u64,
}

/// One round of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Round {
    /// The run.
    pub run: Run,
    /// Its number, from 1.
    pub number: u64,
}

/// Service of one customer in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Charge {
    /// The customer.
    pub customer: Key,
    /// Units: an amount to add, or a total, as the message says.
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

/// From a parent: the state of the accounts at the start of a round.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Down {
    /// The round that starts.
    pub round: Round,
    /// The instances from the root to the sender.
    pub path: Vec<Key>,
    /// Instances whose answers did not count, for each of the last rounds, the latest
    /// first.
    pub missed: Vec<Vec<Key>>,
    /// Instances that the root suspects.
    pub suspects: Vec<Key>,
    /// The accepted configuration's revision at the root.
    pub revision: u64,
    /// Fleet totals: those of waiting customers, others in rotation.
    pub totals: Vec<Ledger>,
    /// Targets with free slots.
    pub spare: Vec<Key>,
}

/// To a parent: what a subtree has to add in a round.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Up {
    /// The round that is answered.
    pub round: Round,
    /// Instances below whose answer did not come.
    pub missed: Vec<Key>,
    /// Amounts to add.
    pub charges: Vec<Ledger>,
    /// Targets of owners below with free slots.
    pub spare: Vec<Key>,
}

/// Between roots, and to a root's deputy: totals counted by one run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Total {
    /// The round after which the totals stood so.
    pub round: Round,
    /// The failure domain of the run.
    pub domain: Key,
    /// The accepted configuration's revision at the root.
    pub revision: u64,
    /// Totals of this run that changed, others in rotation.
    pub totals: Vec<Ledger>,
    /// Instances of its failure domain that the root suspects.
    pub suspects: Vec<Key>,
    /// Targets of its failure domain with free slots.
    pub spare: Vec<Key>,
}

/// Waiting requests of one customer that an entry could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Ask {
    /// The service.
    pub service: Key,
    /// The model, for model services.
    pub model: Option<Key>,
    /// The customer.
    pub customer: Key,
    /// Requests waiting.
    pub count: u32,
    /// Estimated cost of one, in units.
    pub cost: u64,
}

/// To an owner: all that an entry has waiting, replacing what it said before.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Want {
    /// Rises with every want of this entry to this owner.
    pub stamp: u64,
    /// What waits.
    pub asks: Vec<Ask>,
}

/// Slots for one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Part {
    /// For whose requests.
    pub customer: Key,
    /// How many.
    pub count: u32,
}

/// From an owner: slots of a target.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Grant {
    /// The target.
    pub target: Key,
    /// Rises with every grant of this owner.
    pub sequence: u64,
    /// The slots.
    pub parts: Vec<Part>,
}

/// To an owner: how many slots of a target an entry holds in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hold {
    /// The target.
    pub target: Key,
    /// Rises with every statement of this entry about this target.
    pub stamp: u64,
    /// The last grant taken from this owner.
    pub sequence: u64,
    /// Slots held.
    pub count: u32,
    /// Whether the entry cannot reach the target now, and wants no slot of it.
    pub unusable: bool,
}

/// From an owner: others wait, so give back what is unused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Recall {
    /// The target.
    pub target: Key,
    /// Slots to give back as soon as they are free, even if work waits for them.
    pub count: u32,
}

/// Anything one router says to another.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Message {
    /// The start of a round.
    Down(Down),
    /// The answer to a round.
    Up(Up),
    /// Totals of a run.
    Total(Total),
    /// The sender is root and had given the receiver up.
    Probe,
    /// What waits.
    Want(Want),
    /// Slots given.
    Grant(Grant),
    /// Slots held.
    Hold(Hold),
    /// Slots asked back.
    Recall(Recall),
    /// The sender is leaving and takes no duties any more.
    Leaving,
}
