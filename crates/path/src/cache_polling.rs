//! Polling of the prefix caches of the engines in this router's cells.
//!
//! Only the owner of a cell polls its engines, as only it places requests there; a new owner starts
//! with complete listings. A failed query is sent again in the next round; meanwhile the known
//! content ages until it is no longer used (`dunlinward_dispatch::cache`).

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::cache::{Query, Status, Update};
use dunlinward_dispatch::region::Constraint;
use dunlinward_dispatch::target::{Tag, Target};
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::TrySendError;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::task::spawn_local;

use crate::held::Content;
use crate::node::Node;
use crate::pool;

/// Processor time of a query and its answer: system calls, and decoding of some dozen
/// changes.
const QUERY_COST: Duration = Duration::from_micros(400);

/// Largest fraction of its processor that a router spends on queries.
const MAX_PROCESSOR_FRACTION: f64 = 0.04;

/// Longest duration of a round of queries. If it would take longer, no engine is queried. An owner
/// of 60 engines on half a core that queried each every 0.4 s was overloaded 28 times per minute,
/// and the routers that replaced it knew nothing about the caches. Over one day of high load at 85
/// routers, clients got 0.533 of the worth that they asked for, less prices; with a round of 2.4 s
/// they got 0.618, and without queries 0.672.
const MAX_ROUND: Duration = Duration::from_millis(600);

/// Timeout of opening a connection, and of an answer.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer that is read: about ten thousand parts.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Why a query failed.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Open { source: pool::Error },
    #[snafu(display("no requests may be sent to it: {reason}"))]
    Barred { reason: &'static str },
    #[snafu(display("no answer within {} ms", TIMEOUT.as_millis()))]
    Timeout,
    #[snafu(display("{source}"))]
    Http { source: hyper::Error },
    #[snafu(display("{source}"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[snafu(display("unexpected status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("malformed answer: {reason}"))]
    Malformed { reason: &'static str },
}

/// State of the last query to each engine.
#[derive(Default)]
struct Polls {
    progress: RefCell<HashMap<Tag, Progress>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// No answer has arrived yet.
    Running,
    /// The last query was answered.
    Answered,
    /// The last query failed.
    Failed,
}

/// Polls engines for as long as the router runs.
pub async fn run(node: Rc<Node>) {
    let interval = node.settings.cache_poll_interval;
    if interval.is_zero() {
        return;
    }
    let polls = Rc::new(Polls::default());
    loop {
        let engines = node.owned_engines();
        polls.retain(&engines);
        let Some(query_interval) =
            query_interval(interval, engines.len(), node.settings.millicores)
        else {
            tokio::time::sleep(interval).await;
            continue;
        };
        for engine in engines {
            if let Some(last) = polls.start(engine.tag()) {
                spawn_local(poll(node.clone(), polls.clone(), engine, last));
            }
            tokio::time::sleep(query_interval).await;
        }
    }
}

/// Interval between two queries: the engines of a round are polled evenly over `interval`, or over
/// a longer time on a small processor. `None` if no engine should be queried.
#[must_use]
pub fn query_interval(interval: Duration, engines: usize, millicores: u32) -> Option<Duration> {
    let engines = u32::try_from(engines).ok().filter(|it| *it > 0)?;
    let processor = f64::from(millicores.max(1)) / 1_000.0;
    let min_interval = QUERY_COST.div_f64(MAX_PROCESSOR_FRACTION * processor);
    let query_interval = (interval / engines).max(min_interval);
    (query_interval * engines <= interval.max(MAX_ROUND)).then_some(query_interval)
}

impl Polls {
    /// Removes engines that are not in `engines`, except those that have not answered yet.
    fn retain(&self, engines: &[Arc<Target>]) {
        let retained = |tag| engines.iter().any(|it| it.tag() == tag);
        let mut progress = self.progress.borrow_mut();
        progress.retain(|tag, it| *it == Progress::Running || retained(*tag));
    }

    /// Starts a query to an engine; returns how the last one ended, or `None` if it has not ended
    /// yet.
    fn start(&self, tag: Tag) -> Option<Progress> {
        let last = self.progress.borrow_mut().insert(tag, Progress::Running);
        match last {
            Some(Progress::Running) => None,
            Some(last) => Some(last),
            None => Some(Progress::Answered),
        }
    }
}

async fn poll(node: Rc<Node>, polls: Rc<Polls>, engine: Arc<Target>, last: Progress) {
    let tag = engine.tag();
    let query = node.state.borrow().caches.next_query(tag, node.now());
    let answer = send_query(&node, &engine, query).await;
    let outcome = match &answer {
        Ok(_) => Progress::Answered,
        Err(_) => Progress::Failed,
    };
    match answer {
        Ok(update) => node.apply_cache_update(&engine, query, update),
        Err(error) => {
            node.metrics.add("memory_questions", "failed", 1);
            if last != Progress::Failed {
                let line = node.journal.line("memory_unknown");
                let line = line.with("target", engine.id.as_ref());
                drop(line.with("error", error.to_string()));
            }
        }
    }
    polls.progress.borrow_mut().insert(tag, outcome);
}

async fn send_query(node: &Rc<Node>, engine: &Target, query: Query) -> Result<Update, Error> {
    let tag = engine.tag();
    let retained = node.pool.take(tag, node.now());
    let mut connection = if let Some(connection) = retained {
        connection
    } else {
        node.metrics.add("connections", "memory", 1);
        let opened = node.pool.open(engine.address, TIMEOUT).await;
        opened.context(OpenSnafu)?
    };
    let bar = node
        .state
        .borrow()
        .exclusion(engine, Constraint::ANY, node.now());
    if let Some(bar) = bar {
        return BarredSnafu { reason: bar.name() }.fail();
    }
    let mut request = Request::new(Content::empty());
    *request.uri_mut() = node.dialect.cache_path(query);
    if let Ok(host) = HeaderValue::from_str(&engine.address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    let exchange = async {
        let response = connection.send(request).await;
        let response = response.map_err(TrySendError::into_error);
        let (head, body) = response.context(HttpSnafu)?.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.context(BodySnafu)?.to_bytes();
        Ok((head, body))
    };
    let answer = tokio::time::timeout(TIMEOUT, exchange).await;
    let (head, body) = answer.ok().context(TimeoutSnafu)??;
    node.pool
        .put(tag, connection, pool::keep_alive(&head.headers), node.now());
    if head.status != StatusCode::OK {
        return StatusSnafu {
            status: head.status,
        }
        .fail();
    }
    let update = node.dialect.cache_update(query, &body);
    update.map_err(|error| Error::Malformed {
        reason: error.reason,
    })
}

impl Node {
    /// Engines in the cells that this router owns.
    fn owned_engines(&self) -> Vec<Arc<Target>> {
        let state = self.state.borrow();
        let Some(table) = &state.table else {
            return Vec::new();
        };
        let now = self.now();
        let cells = state.registry.all_cells();
        let own = cells.filter(|(cell, _)| state.members.owner(*cell, now) == self.settings.link);
        let own = own.flat_map(|(_, targets)| targets);
        let own = own.filter(|it| state.exclusion(it, Constraint::ANY, now).is_none());
        let engines = own.filter(|target| {
            let service = table.service(&target.service);
            service.is_some_and(|it| it.engine.is_some())
        });
        engines.cloned().collect()
    }

    fn apply_cache_update(&self, engine: &Target, query: Query, update: Update) {
        let (tag, now) = (engine.tag(), self.now());
        if !self.is_same_incarnation(engine, update.born) {
            return;
        }
        let status = self
            .state
            .borrow_mut()
            .caches
            .apply(tag, query, update, now);
        let label = match status {
            Status::Current => "current",
            Status::Gap => "gap",
            Status::Restarted => "restarted",
        };
        self.metrics.add("memory_questions", label, 1);
        if status != Status::Current {
            let line = self.journal.line("memory_doubtful");
            let line = line.with("target", engine.id.as_ref());
            drop(line.with("finding", label));
        }
    }

    /// Whether an answer comes from the incarnation of the engine that was queried. If it comes
    /// from a later one, the known incarnation has ended.
    fn is_same_incarnation(&self, engine: &Target, reported: Option<u64>) -> bool {
        let (Some(known), Some(reported)) = (engine.born, reported) else {
            return true;
        };
        match reported.cmp(&known) {
            Ordering::Equal => true,
            Ordering::Less => {
                self.metrics.add("memory_questions", "earlier_start", 1);
                false
            }
            Ordering::Greater => {
                self.metrics.add("memory_questions", "later_start", 1);
                self.supersede_target(engine, reported);
                false
            }
        }
    }
}
