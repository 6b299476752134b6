//! The client of a router's operators' port.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use ureq::http::Response;
use ureq::{Agent, Body};

/// A router that gave no answer, or none that can be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call failed.
    #[snafu(display("{source}"))]
    Call {
        /// What the client said.
        source: ureq::Error,
    },
    /// The answer isn't what was asked for.
    #[snafu(display("{source}"))]
    Json {
        /// What the JSON library said.
        source: serde_json::Error,
    },
    /// The router refused.
    #[snafu(display("the router answered with status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
}

/// An answer of a router.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The answer, if its status is a success.
    ///
    /// # Errors
    /// [`Error::Status`].
    pub fn whole(self) -> Result<Self, Error> {
        let status = self.status;
        ensure!((200..300).contains(&status), StatusSnafu { status });
        Ok(self)
    }

    /// The body, read as JSON.
    ///
    /// # Errors
    /// [`Error::Json`].
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).context(JsonSnafu)
    }
}

/// Calls operators' ports.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
}

impl Client {
    /// A client that waits at most `timeout` for an answer.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let config = Agent::config_builder().proxy(None).max_redirects(0);
        let config = config.http_status_as_error(false);
        Self {
            agent: config.timeout_global(Some(timeout)).build().into(),
        }
    }

    /// Asks for `path` at the router `address`.
    ///
    /// # Errors
    /// [`Error::Call`].
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<Answer, Error> {
        let called = self.agent.get(format!("http://{address}/{path}")).call();
        answer(called)
    }

    /// Tells the router `address` to do what `path` names.
    ///
    /// # Errors
    /// [`Error::Call`].
    pub fn post(&self, address: SocketAddr, path: &str) -> Result<Answer, Error> {
        let called = self.agent.post(format!("http://{address}/{path}"));
        answer(called.send_empty())
    }
}

fn answer(called: Result<Response<Body>, ureq::Error>) -> Result<Answer, Error> {
    let mut response = called.context(CallSnafu)?;
    let body = response.body_mut().read_to_vec().context(CallSnafu)?;
    Ok(Answer {
        status: response.status().as_u16(),
        body,
    })
}
