//! The log over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use super::{Log, Page, Query};
use crate::error::Error;
use crate::http::Caller;

/// Client of the log at one address.
#[derive(Clone, Debug)]
pub struct Client {
    caller: Caller,
}

#[derive(Deserialize)]
struct Receipt {
    offset: u64,
}

impl Client {
    /// Client of the log at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: Caller::new(address),
        }
    }

    /// The same client with another time for one call; a waiting read takes its wait longer.
    #[must_use]
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self {
            caller: self.caller.with_timeout(timeout),
        }
    }
}

impl Log for Client {
    fn append(&self, stream: &str, data: &str) -> Result<u64, Error> {
        let path = records(stream)?;
        let receipt: Receipt = self.caller.post(&path, data)?;
        Ok(receipt.offset)
    }

    fn read(&self, stream: &str, query: Query) -> Result<Page, Error> {
        let Query { from, max, wait } = query;
        let path = records(stream)?;
        let wait_ms = wait.as_millis();
        self.caller.get(
            &format!("{path}?from={from}&max={max}&wait_ms={wait_ms}"),
            wait,
        )
    }
}

fn records(stream: &str) -> Result<String, Error> {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
    let harmless = !stream.is_empty() && !stream.starts_with('.');
    if harmless && stream.bytes().all(allowed) {
        return Ok(format!("/streams/{stream}/records"));
    }
    Err(Error::Stream {
        name: stream.to_owned(),
    })
}
