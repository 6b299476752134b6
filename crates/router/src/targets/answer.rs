//! Answers as they are read: plain, completion and stream.

use std::io::{BufReader, Read};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dunlinward_kernel::verdict::Failure;
use serde::Deserialize;
use ureq::Body;
use ureq::http::Response;

use super::stream::{self, Check, Step, Usage};
use super::{ANSWER_LIMIT, Attempt, CALL_UNITS, Progress, Stop, head};
use crate::idempotency::{Answer, Fate};
use crate::reply::Part;

/// Units after which progress is told at the latest.
const TELL_UNITS: u64 = 32;

/// Time after which progress is told at the latest.
const TELL_TIME: Duration = Duration::from_millis(250);

#[derive(Debug, Deserialize)]
struct Whole {
    #[serde(default)]
    usage: Usage,
}

impl Attempt {
    /// A plain service's answer, whatever its status.
    pub(super) fn plain(
        &self,
        response: Response<Body>,
        progress: &mut Progress,
    ) -> Result<(), Stop> {
        progress.units = CALL_UNITS;
        let answer = self.read(response)?;
        self.deliver(answer, progress)
    }

    /// A model engine's answer that comes at once.
    pub(super) fn completion(
        &self,
        response: Response<Body>,
        progress: &mut Progress,
    ) -> Result<(), Stop> {
        let success = response.status().is_success();
        let answer = self.read(response)?;
        let whole = serde_json::from_slice::<Whole>(&answer.body);
        let (true, Ok(whole)) = (success, whole) else {
            return Err(Stop::Failed(Failure::AnswerBroken));
        };
        progress.units = whole.usage.units();
        self.deliver(answer, progress)
    }

    /// A model engine's stream, passed on event by event.
    pub(super) fn stream(
        &self,
        response: Response<Body>,
        progress: &mut Progress,
        tell: &mut dyn FnMut(u64),
    ) -> Result<(), Stop> {
        if !response.status().is_success() {
            return Err(Stop::Failed(Failure::AnswerBroken));
        }
        let mut head = Some(head::answer(&response, &self.call));
        let mut reader = BufReader::new(response.into_body().into_reader());
        let mut check = Check::new();
        let mut told = Told::new();
        loop {
            let event = stream::read(&mut reader).map_err(|err| self.broken(err))?;
            let Some(event) = event else {
                return Err(Stop::Failed(Failure::AnswerBroken));
            };
            let step = check.step(&event);
            progress.units = check.units();
            match step {
                Step::Drop(reason) => {
                    self.metrics.dropped(reason);
                    continue;
                }
                Step::Broken => return Err(Stop::Failed(Failure::AnswerBroken)),
                Step::Pass | Step::End => {}
            }
            if let Some(head) = head.take() {
                self.send(Part::Head(head))?;
            }
            progress.delivered = true;
            self.send(Part::Data(event.raw))?;
            if step == Step::End {
                return self.send(Part::End);
            }
            told.tell(progress.units, tell);
        }
    }

    fn read(&self, response: Response<Body>) -> Result<Answer, Stop> {
        if !head::is_framed(&response, &self.call) {
            return Err(Stop::Failed(Failure::AnswerBroken));
        }
        let head = head::answer(&response, &self.call);
        let mut body = Vec::new();
        let mut reader = response.into_body().into_reader().take(ANSWER_LIMIT + 1);
        reader
            .read_to_end(&mut body)
            .map_err(|err| self.broken(err))?;
        if body.len() as u64 > ANSWER_LIMIT {
            return Err(Stop::Failed(Failure::AnswerBroken));
        }
        let body = Bytes::from(body);
        Ok(Answer { head, body })
    }

    /// Passes a whole answer on. Its claim is settled first, so that a caller
    /// who has the answer and asks again finds it there.
    fn deliver(&self, answer: Answer, progress: &mut Progress) -> Result<(), Stop> {
        if let Some(ticket) = &self.call.ticket {
            ticket.settle(Fate::Ran(answer.clone()));
        }
        self.send(Part::Head(answer.head))?;
        progress.delivered = true;
        self.send(Part::Data(answer.body))?;
        self.send(Part::End)
    }

    fn send(&self, part: Part) -> Result<(), Stop> {
        self.call.sink.send(self.number, part).map_err(Stop::Closed)
    }

    fn broken(&self, err: std::io::Error) -> Stop {
        let invalid = err.kind() == std::io::ErrorKind::InvalidData;
        if invalid {
            return Stop::Failed(Failure::AnswerBroken);
        }
        Stop::Failed(self.failure(&ureq::Error::from(err)))
    }
}

/// When progress was told last.
struct Told {
    units: u64,
    at: Instant,
}

impl Told {
    fn new() -> Self {
        Self {
            units: 0,
            at: Instant::now(),
        }
    }

    fn tell(&mut self, units: u64, tell: &mut dyn FnMut(u64)) {
        let many = units >= self.units + TELL_UNITS;
        let late = units > self.units && self.at.elapsed() >= TELL_TIME;
        if many || late {
            tell(units);
            self.units = units;
            self.at = Instant::now();
        }
    }
}
