//! One client: it takes calls from its customer's desk, makes them and checks
//! the answers.

use std::io::{BufRead, BufReader};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Deserialize;
use ureq::http::{Method, Request, Response};
use ureq::{Agent, Body};

use super::tally::{Failure, Tally};
use super::work::{Arrivals, Call, Completion, Desk, Kind};
use super::{Stop, prompt};
use crate::engine::api::{self, Chunk, Usage};
use crate::plain;

/// Pause of a client with closed arrivals after a call that failed.
const BACKOFF: Duration = Duration::from_millis(20);

/// How long after it was due a call counts as late.
const LATE: Duration = Duration::from_millis(100);

/// Header by which a caller names a service.
const SERVICE: &str = "x-dunlinward-service";

/// How a router tells why it refused.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Refusal {
    reason: Option<String>,
    error: Detail,
}

/// The same, one level down.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Detail {
    reason: Option<String>,
}

pub(super) struct Client {
    agent: Agent,
    desk: Arc<Desk>,
    tally: Arc<Mutex<Tally>>,
    stop: Arc<Stop>,
}

impl Client {
    pub fn new(
        desk: &Arc<Desk>,
        tally: &Arc<Mutex<Tally>>,
        stop: &Arc<Stop>,
        timeout: Duration,
    ) -> Self {
        let agent = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .build();
        Self {
            agent: agent.into(),
            desk: Arc::clone(desk),
            tally: Arc::clone(tally),
            stop: Arc::clone(stop),
        }
    }

    /// Makes calls until the load ends.
    pub fn run(&self) {
        while let Some(call) = self.desk.call() {
            if self.stop.sleep_until(call.due) {
                return;
            }
            self.begin(&call);
            let result = self.make(&call);
            let failed = result.is_err();
            let time = call.due.elapsed();
            self.tally().end(&call.work.name, result, time);
            if let Arrivals::Closed { pause, .. } = self.desk.customer.arrivals {
                let pause = if failed { pause.max(BACKOFF) } else { pause };
                if self.stop.sleep_until(Instant::now() + pause) {
                    return;
                }
            }
        }
    }

    fn begin(&self, call: &Call) {
        let late = call.due.elapsed() > LATE;
        let mut tally = self.tally();
        tally.started += 1;
        tally.late += u64::from(late);
    }

    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn make(&self, call: &Call) -> Result<(), Failure> {
        match &call.work.kind {
            Kind::Model(completion) => self.complete(call, completion),
            Kind::Lookup => self.plain(call, &Method::GET, Vec::new()),
            Kind::Submission { bytes } => {
                let body = prompt::submission(*bytes, call.seed);
                self.plain(call, &Method::POST, body)
            }
        }
    }

    fn send(&self, call: &Call, method: &Method, body: Vec<u8>) -> Result<Response<Body>, Failure> {
        let customer = &self.desk.customer;
        let id = format!("{}-{}", customer.name, call.number);
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{}", call.router, call.work.path))
            .header("authorization", format!("Bearer {}", customer.key))
            .header("x-request-id", &id)
            .header("content-type", "application/json");
        if matches!(call.work.kind, Kind::Submission { .. }) {
            request = request.header("idempotency-key", &id);
        }
        if let Some(service) = &call.work.service {
            request = request.header(SERVICE, &**service);
        }
        let response = if *method == Method::GET {
            self.agent.run(request.body(()).map_err(unanswered)?)
        } else {
            self.agent.run(request.body(body).map_err(unanswered)?)
        };
        let response = response.map_err(unanswered)?;
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(refused(response))
        }
    }

    fn plain(&self, call: &Call, method: &Method, body: Vec<u8>) -> Result<(), Failure> {
        let digest = plain::digest(&body);
        let mut response = self.send(call, method, body)?;
        let text = response.body_mut().read_to_string().map_err(broken)?;
        match serde_json::from_str::<plain::Receipt>(&text) {
            Ok(receipt) if receipt.digest == digest => Ok(()),
            _ => Err(Failure::Wrong),
        }
    }

    fn complete(&self, call: &Call, completion: &Completion) -> Result<(), Failure> {
        let request = prompt::request(&self.desk.customer.name, completion, call.seed);
        let tag = api::tag(&request.text());
        let body = serde_json::to_vec(&request).expect("a request is plain data");
        let response = self.send(call, &Method::POST, body)?;
        if completion.stream {
            self.read_stream(call, response, &tag)
        } else {
            self.read_whole(response, &tag)
        }
    }

    /// Reads a streamed answer event by event.
    fn read_stream(&self, call: &Call, response: Response<Body>, tag: &str) -> Result<(), Failure> {
        let mut tokens = 0;
        let mut usage = None;
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = line.map_err(broken)?;
            if self.stop.is_abandoned() {
                return Err(Failure::Abandoned);
            }
            let Some(data) = line.strip_prefix("data:").map(str::trim) else {
                continue;
            };
            if data == "[DONE]" {
                return self.settle(usage, tokens);
            }
            let chunk: Chunk = serde_json::from_str(data).map_err(|_| Failure::Wrong)?;
            let choice = chunk.choices.into_iter().next();
            if let Some(content) = choice.and_then(|choice| choice.delta.content) {
                if content != api::word(tag, tokens) {
                    return Err(Failure::Wrong);
                }
                let mut tally = self.tally();
                tally.tokens += 1;
                if tokens == 0 {
                    tally.first_token(&call.work.name, call.due.elapsed());
                }
                tokens += 1;
            }
            usage = chunk.usage.or(usage);
        }
        Err(Failure::Broken)
    }

    /// Reads an answer that comes in one piece.
    fn read_whole(&self, mut response: Response<Body>, tag: &str) -> Result<(), Failure> {
        let text = response.body_mut().read_to_string().map_err(broken)?;
        let answer: api::Completion = serde_json::from_str(&text).map_err(|_| Failure::Wrong)?;
        let tokens = answer.usage.completion_tokens;
        let words: String = (0..tokens).map(|index| api::word(tag, index)).collect();
        if answer.choices.first().map(|choice| &choice.message.content) != Some(&words) {
            return Err(Failure::Wrong);
        }
        self.tally().tokens += u64::from(tokens);
        self.settle(Some(answer.usage), tokens)
    }

    /// Compares the usage with what came and counts the prompt.
    fn settle(&self, usage: Option<Usage>, tokens: u32) -> Result<(), Failure> {
        let usage = usage.filter(|usage| usage.completion_tokens == tokens);
        let usage = usage.ok_or(Failure::Wrong)?;
        let prompt = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        self.tally().tokens += u64::from(prompt);
        Ok(())
    }
}

fn unanswered<E>(_: E) -> Failure {
    Failure::Unanswered
}

fn broken<E>(_: E) -> Failure {
    Failure::Broken
}

fn refused(mut response: Response<Body>) -> Failure {
    let status = response.status().as_u16();
    let text = response.body_mut().read_to_string().unwrap_or_default();
    let refusal: Refusal = serde_json::from_str(&text).unwrap_or_default();
    let reason = refusal.error.reason.or(refusal.reason);
    Failure::Refused(reason.unwrap_or_else(|| format!("status {status}")).into())
}
