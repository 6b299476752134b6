//! The platform's list of instances, which lags behind what runs.

mod client;
pub mod memory;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::Error;

pub use client::Client;

/// What an instance is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router of the fleet.
    Router,
    /// A target.
    Target,
}

/// Whether an instance stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Live,
    /// It will end soon.
    Leaving,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: Arc<str>,
    /// What it is for.
    pub role: Role,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: Arc<str>,
    /// Whether it stays.
    pub state: State,
}

/// The list service.
pub trait List: Send + Sync {
    /// The instances as the platform knows them.
    ///
    /// # Errors
    /// The list can't be reached or doesn't answer in time.
    fn list(&self) -> Result<Vec<Instance>, Error>;
}
