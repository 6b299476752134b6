//! What routers tell each other, several times a second, in one datagram.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::prefix::Use;
use crate::target::Tag;
use crate::usage::{Load, Peer};

/// Short name of a customer in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CustomerTag(pub u32);

/// A target's load in a report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub tag: Tag,
    /// The sender's own work there.
    pub load: Load,
}

/// A customer's tokens in a report.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CustomerUse {
    /// The customer.
    pub tag: CustomerTag,
    /// Tokens asked for at the sender within the window.
    pub asked: u64,
    /// Tokens granted by the sender within the window.
    pub granted: u64,
}

/// A report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Who sends.
    pub sender: Peer,
    /// Where the sender's datagrams are received.
    pub address: SocketAddr,
    /// The sender's failure domain.
    pub domain: Arc<str>,
    /// Grows with each report of this sender.
    pub number: u64,
    /// Version of the configuration in force at the sender; 0 for none.
    pub configuration: u64,
    /// Age of the sender's list of targets in milliseconds, if it has one.
    pub registry_age_ms: Option<u64>,
    /// Sum of the sender's list of targets.
    pub registry_digest: u64,
    /// Whether the sender is about to end.
    pub leaving: bool,
    /// Its work.
    pub loads: Vec<TargetLoad>,
    /// Its customers.
    pub customers: Vec<CustomerUse>,
    /// Prefixes that the sender sent to targets lately; each is told more than once.
    pub uses: Vec<Use>,
    /// Other routers that the sender knows, now and then.
    pub peers: Vec<SocketAddr>,
}
