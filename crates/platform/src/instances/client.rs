//! The list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::{Instance, List};
use crate::error::Error;
use crate::http::Caller;

/// Client of the list at one address.
#[derive(Clone, Debug)]
pub struct Client {
    caller: Caller,
}

#[derive(Deserialize)]
struct Answer {
    instances: Vec<Instance>,
}

impl Client {
    /// Client of the list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: Caller::new(address),
        }
    }

    /// The same client with another time for one call.
    #[must_use]
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            caller: self.caller.with_timeout(timeout),
        }
    }
}

impl List for Client {
    fn list(&self) -> Result<Vec<Instance>, Error> {
        let answer: Answer = self.caller.get("/instances", Duration::ZERO)?;
        Ok(answer.instances)
    }
}
