//! Asks the engines of this router's cells what they keep of prompts.
//!
//! Only the owner of a cell asks, as it alone places requests there; a new owner asks for all
//! from the first on. A question that brings nothing is asked again in the next round; what is
//! known gets old meanwhile and is not used any more (`dunlinward_dispatch::cache`).

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_dispatch::cache::{Query, Status, Update};
use dunlinward_dispatch::region::Constraint;
use dunlinward_dispatch::target::{Tag, Target};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::task::spawn_local;

use crate::node::Node;
use crate::pool;

/// Processor time of a question and its answer: calls to the system, decoding some dozen changes.
/// An estimate, not measured apart.
const QUESTION_COST: Duration = Duration::from_micros(400);

/// Part of its processor that a router spends on questions at the most.
const PROCESSOR_PART: f64 = 0.04;

/// Longest time for a round of questions. Where it would take longer, none is asked: an owner of 60
/// engines on half a core that asked each every 0.4 s was behind 28 times in a minute, and those
/// that took its place knew nothing. Callers got 0.533 of the worth they asked for, less prices,
/// with a round of 2.4 s 0.618, without questions 0.672 (one day of high load at 85 routers).
const ROUND_MOST: Duration = Duration::from_millis(600);

/// Time for a connection, and for an answer.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Largest answer that is read: some ten thousand parts.
const LARGEST: usize = 1024 * 1024;

/// Why a question brought nothing.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("{source}"))]
    Open { source: pool::Error },
    #[snafu(display("it must get nothing: {reason}"))]
    Barred { reason: &'static str },
    #[snafu(display("no answer within {} ms", TIMEOUT.as_millis()))]
    Silent,
    #[snafu(display("{source}"))]
    Http { source: hyper::Error },
    #[snafu(display("{source}"))]
    Body {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    #[snafu(display("status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("malformed: {reason}"))]
    Malformed { reason: &'static str },
}

/// Engines that are being asked, and whether the last question to each brought nothing.
#[derive(Default)]
struct Asked {
    pending: RefCell<HashMap<Tag, Pending>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    /// An answer is waited for.
    Asking,
    /// The last question was answered.
    Answered,
    /// It was not.
    Failed,
}

/// Asks for as long as the router runs.
pub async fn watch(node: Rc<Node>) {
    let interval = node.settings.memory_interval;
    if interval.is_zero() {
        return;
    }
    let asked = Rc::new(Asked::default());
    loop {
        let engines = node.own_engines();
        asked.keep(&engines);
        let Some(pause) = pause(interval, engines.len(), node.settings.millicores) else {
            tokio::time::sleep(interval).await;
            continue;
        };
        for engine in engines {
            if let Some(before) = asked.begin(engine.tag()) {
                spawn_local(ask(node.clone(), asked.clone(), engine, before));
            }
            tokio::time::sleep(pause).await;
        }
    }
}

/// Time between two questions: the engines of a round are asked evenly over `interval`, or over a
/// longer time if the processor is small. None if nothing should be asked.
#[must_use]
pub fn pause(interval: Duration, engines: usize, millicores: u32) -> Option<Duration> {
    let engines = u32::try_from(engines).ok().filter(|it| *it > 0)?;
    let processor = f64::from(millicores.max(1)) / 1_000.0;
    let least = QUESTION_COST.div_f64(PROCESSOR_PART * processor);
    let pause = (interval / engines).max(least);
    (pause * engines <= interval.max(ROUND_MOST)).then_some(pause)
}

impl Asked {
    /// Forgets all but these engines, and those whose answer is waited for.
    fn keep(&self, engines: &[Arc<Target>]) {
        let kept = |tag| engines.iter().any(|it| it.tag() == tag);
        let mut pending = self.pending.borrow_mut();
        pending.retain(|tag, it| *it == Pending::Asking || kept(*tag));
    }

    /// Begins to ask an engine; says how the last question ended, or nothing if its answer is
    /// still waited for.
    fn begin(&self, tag: Tag) -> Option<Pending> {
        let before = self.pending.borrow_mut().insert(tag, Pending::Asking);
        match before {
            Some(Pending::Asking) => None,
            Some(before) => Some(before),
            None => Some(Pending::Answered),
        }
    }
}

async fn ask(node: Rc<Node>, asked: Rc<Asked>, engine: Arc<Target>, before: Pending) {
    let tag = engine.tag();
    let question = node.state.borrow().caches.next_query(tag, node.now());
    let answer = exchange(&node, &engine, question).await;
    let after = match &answer {
        Ok(_) => Pending::Answered,
        Err(_) => Pending::Failed,
    };
    match answer {
        Ok(news) => node.take_news(&engine, question, news),
        Err(error) => {
            node.metrics.add("memory_questions", "failed", 1);
            if before != Pending::Failed {
                let line = node.journal.line("memory_unknown");
                let line = line.with("target", engine.id.as_ref());
                drop(line.with("error", error.to_string()));
            }
        }
    }
    asked.pending.borrow_mut().insert(tag, after);
}

async fn exchange(node: &Rc<Node>, engine: &Target, question: Query) -> Result<Update, Error> {
    let tag = engine.tag();
    let kept = node.pool.take(tag, node.now());
    let mut connection = if let Some(connection) = kept {
        connection
    } else {
        node.metrics.add("connections", "memory", 1);
        let opened = pool::open(engine.address, TIMEOUT).await;
        opened.context(OpenSnafu)?
    };
    let barred = node
        .state
        .borrow()
        .exclusion(engine, Constraint::ANY, node.now());
    if let Some(bar) = barred {
        return BarredSnafu { reason: bar.name() }.fail();
    }
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = node.dialect.cache_path(question);
    if let Ok(host) = HeaderValue::from_str(&engine.address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    let answering = async {
        let response = connection.sender.send_request(request).await;
        let (head, body) = response.context(HttpSnafu)?.into_parts();
        let body = Limited::new(body, LARGEST).collect().await;
        let body = body.context(BodySnafu)?.to_bytes();
        Ok((head, body))
    };
    let answer = tokio::time::timeout(TIMEOUT, answering).await;
    let (head, body) = answer.ok().context(SilentSnafu)??;
    node.pool
        .put(tag, connection, pool::keep(&head.headers), node.now());
    if head.status != StatusCode::OK {
        return StatusSnafu {
            status: head.status,
        }
        .fail();
    }
    let news = node.dialect.cache_news(question, &body);
    news.map_err(|error| Error::Malformed {
        reason: error.reason,
    })
}

impl Node {
    /// The engines of the cells that this router owns.
    fn own_engines(&self) -> Vec<Arc<Target>> {
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

    fn take_news(&self, engine: &Target, question: Query, news: Update) {
        let (tag, now) = (engine.tag(), self.now());
        if !self.same_start(engine, news.born) {
            return;
        }
        let finding = self
            .state
            .borrow_mut()
            .caches
            .apply(tag, question, news, now);
        let label = match finding {
            Status::Current => "current",
            Status::Gap => "gap",
            Status::Restarted => "restarted",
        };
        self.metrics.add("memory_questions", label, 1);
        if finding != Status::Current {
            let line = self.journal.line("memory_doubtful");
            let line = line.with("target", engine.id.as_ref());
            drop(line.with("finding", label));
        }
    }

    /// Whether what an engine says is of the start that it was asked for. A later one ends that.
    fn same_start(&self, engine: &Target, says: Option<u64>) -> bool {
        let (Some(known), Some(says)) = (engine.born, says) else {
            return true;
        };
        match says.cmp(&known) {
            Ordering::Equal => true,
            Ordering::Less => {
                self.metrics.add("memory_questions", "earlier_start", 1);
                false
            }
            Ordering::Greater => {
                self.metrics.add("memory_questions", "later_start", 1);
                self.superseded(engine, says);
                false
            }
        }
    }
}
