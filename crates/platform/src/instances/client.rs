//! The list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

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
    instances: Vec<Value>,
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
        let count = answer.instances.len();
        let decode = |it| serde_json::from_value(it).ok();
        let instances: Vec<_> = answer.instances.into_iter().filter_map(decode).collect();
        if instances.len() < count {
            let unreadable = count - instances.len();
            ::log::warn!("instances of the list that can't be read were passed over: {unreadable}");
        }
        Ok(instances)
    }
}
