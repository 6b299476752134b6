//! What both clients share: one agent, and statuses and failures turned into errors.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use snafu::ResultExt;
use ureq::http::Response;
use ureq::{Agent, Body, Timeout};

use crate::error::{AnswerSnafu, Error};

/// Default time for one call, without the time that a read may wait for records.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer that is read, in bytes.
const ANSWER_BYTES: u64 = 64 << 20;

/// An agent for one system.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    address: SocketAddr,
    timeout: Duration,
}

impl Caller {
    /// Caller of the system at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .build();
        Self {
            agent: config.into(),
            address,
            timeout: TIMEOUT,
        }
    }

    /// The same caller with another time for one call.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Gets `path`, which may hold the answer back for `wait`.
    pub fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T, Error> {
        let request = self
            .agent
            .get(self.url(path))
            .config()
            .timeout_connect(Some(self.timeout))
            .timeout_global(Some(self.timeout + wait))
            .build();
        answer(request.call())
    }

    /// Posts `body` to `path`.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, Error> {
        let request = self
            .agent
            .post(self.url(path))
            .config()
            .timeout_connect(Some(self.timeout))
            .timeout_global(Some(self.timeout))
            .build();
        answer(request.send(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn answer<T: DeserializeOwned>(result: Result<Response<Body>, ureq::Error>) -> Result<T, Error> {
    let mut response = result.map_err(failure)?;
    match response.status().as_u16() {
        200..=299 => {}
        status @ (429 | 503) => return Err(Error::Unavailable { status }),
        status @ 400..=499 => return Err(Error::Refused { status }),
        status => return Err(Error::Failed { status }),
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(ANSWER_BYTES)
        .read_to_vec();
    serde_json::from_slice(&body.map_err(|source| Error::Lost { source })?).context(AnswerSnafu)
}

/// Only what fails before the first byte is sent is surely not done.
fn failure(source: ureq::Error) -> Error {
    let unsent = match &source {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(Timeout::Resolve | Timeout::Connect) => true,
        ureq::Error::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::HostUnreachable
        ),
        _ => false,
    };
    if unsent {
        Error::Connect { source }
    } else {
        Error::Lost { source }
    }
}
