//! One exchange with one target.
//!
//! The verdict on a failed attempt rests on one fact: whether any byte of the
//! request was handed to the socket. `Line` wraps the library's TCP transport
//! and notes it just before the first write. Each attempt has an agent of its
//! own, without a pool: a reused connection that the target has closed meanwhile
//! would look as if the request had been sent. It also lets one attempt be
//! aborted from another thread without touching the others.
//!
//! Targets are reached by IP number; proxies from the environment are off and
//! redirects are answers like any other.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ureq::Agent;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

/// Longest time to connect to a target.
pub const CONNECT: Duration = Duration::from_secs(2);

/// Bytes of each buffer of an exchange, and of the largest head of an answer.
const BUFFER: usize = 16 << 10;

/// What another thread may know of and do to an exchange.
#[derive(Clone)]
pub struct Exchange {
    agent: Agent,
    sent: Arc<AtomicBool>,
    aborted: Arc<AtomicBool>,
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("sent", &self.sent())
            .field("aborted", &self.aborted())
            .finish_non_exhaustive()
    }
}

impl Exchange {
    /// An exchange that may take `limit` from connecting to the answer's end.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        let sent = Arc::new(AtomicBool::new(false));
        let watch = Watch {
            inner: TcpConnector::default(),
            sent: Arc::clone(&sent),
        };
        Self {
            agent: Agent::with_parts(config(limit), watch, DefaultResolver::default()),
            sent,
            aborted: Arc::new(AtomicBool::new(false)),
        }
    }

    /// The agent for the one request of this exchange.
    #[must_use]
    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Whether any byte of the request may have left.
    #[must_use]
    pub fn sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Breaks the exchange off; a blocked read returns at once.
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::Release);
        self.agent.clone().shutdown();
    }

    /// Whether the exchange was broken off from this side.
    #[must_use]
    pub fn aborted(&self) -> bool {
        self.aborted.load(Ordering::Acquire)
    }
}

/// Where a path of a target is found.
#[must_use]
pub fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

fn config(limit: Duration) -> Config {
    Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .max_response_header_size(BUFFER)
        .allow_non_standard_methods(true)
        .timeout_connect(Some(CONNECT))
        .timeout_global(Some(limit))
        .build()
}

struct Watch {
    inner: TcpConnector,
    sent: Arc<AtomicBool>,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Watch")
    }
}

impl Connector for Watch {
    type Out = Line;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Line>, ureq::Error> {
        let inner = self.inner.connect(details, chained)?;
        Ok(inner.map(|inner| Line {
            inner: inner.boxed(),
            sent: Arc::clone(&self.sent),
        }))
    }
}

/// A TCP connection that notes its first write.
#[derive(Debug)]
struct Line {
    inner: Box<dyn Transport>,
    sent: Arc<AtomicBool>,
}

impl Transport for Line {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.sent.store(true, Ordering::Release);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.inner.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}
