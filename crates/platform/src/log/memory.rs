//! A log in memory, for tests: with retention, outages and lost appends.

use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Instant;

use super::{Log, Page, Query, Record};
use crate::error::Error;

/// Status of a log in an outage.
const OUTAGE: u16 = 503;

/// The log.
#[derive(Debug, Default)]
pub struct Memory {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    streams: HashMap<String, Stream>,
    retention: Option<usize>,
    outage: bool,
    lost_answers: usize,
    lost_calls: usize,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<String>,
}

impl Memory {
    /// An empty log that keeps everything.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The same log, keeping the last `records` of each stream.
    #[must_use]
    pub fn with_retention(self, records: usize) -> Self {
        self.lock().retention = Some(records);
        self
    }

    /// Refuses every call from now on, or no longer.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
        self.changed.notify_all();
    }

    /// The next `count` appends take effect, but their answers are lost.
    pub fn lose_answers(&self, count: usize) {
        self.lock().lost_answers = count;
    }

    /// The next `count` appends are lost on their way, which looks the same to the caller.
    pub fn lose_calls(&self, count: usize) {
        self.lock().lost_calls = count;
    }

    /// Drops the records of `stream` below the offset `first`.
    pub fn expire(&self, stream: &str, first: u64) {
        self.lock()
            .streams
            .entry(stream.to_owned())
            .or_default()
            .expire(first);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, first: u64) {
        let first = first.clamp(self.first, self.next());
        let count = usize::try_from(first - self.first).expect("no more than the records held");
        self.records.drain(..count);
        self.first = first;
    }

    fn page(&self, query: Query) -> Page {
        let offsets = self.first..;
        let records = offsets.zip(&self.records);
        let wanted = records.skip_while(|(offset, _)| *offset < query.from);
        let records = wanted
            .take(query.max as usize)
            .map(|(offset, data)| Record {
                offset,
                data: data.clone(),
            })
            .collect();
        Page {
            first: self.first,
            next: self.next(),
            records,
        }
    }
}

impl State {
    fn available(&self) -> Result<(), Error> {
        if self.outage {
            Err(Error::Unavailable { status: OUTAGE })
        } else {
            Ok(())
        }
    }

    fn append(&mut self, stream: &str, data: &str) -> u64 {
        let retention = self.retention;
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push(data.to_owned());
        if let Some(retention) = retention {
            stream.expire(stream.next().saturating_sub(retention as u64));
        }
        offset
    }

    fn page(&self, stream: &str, query: Query) -> Page {
        let empty = Stream::default();
        self.streams.get(stream).unwrap_or(&empty).page(query)
    }
}

impl Log for Memory {
    fn append(&self, stream: &str, data: &str) -> Result<u64, Error> {
        let mut state = self.lock();
        state.available()?;
        if state.lost_calls > 0 {
            state.lost_calls -= 1;
            return Err(Error::Fake);
        }
        let offset = state.append(stream, data);
        self.changed.notify_all();
        if state.lost_answers > 0 {
            state.lost_answers -= 1;
            return Err(Error::Fake);
        }
        Ok(offset)
    }

    fn read(&self, stream: &str, query: Query) -> Result<Page, Error> {
        let deadline = Instant::now() + query.wait;
        let mut state = self.lock();
        loop {
            state.available()?;
            let page = state.page(stream, query);
            let left = deadline.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || left.is_zero() {
                return Ok(page);
            }
            let (woken, _) = self
                .changed
                .wait_timeout(state, left)
                .expect("no holder of the lock panics");
            state = woken;
        }
    }
}
