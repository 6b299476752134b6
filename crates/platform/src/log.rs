//! The append-only log: streams of records with rising offsets, kept for a limited time.
//!
//! An append whose answer is lost may have taken effect, see [`Error::verdict`]. So whoever appends puts an id into
//! the record and finds out by reading. A read starts at an offset; records that have expired are passed over,
//! which the reader sees from [`Page::first`].

mod client;
pub mod memory;

use std::time::Duration;

use serde::Deserialize;

use crate::error::Error;

pub use client::Client;

/// Default for the most records of one page.
pub const PAGE_RECORDS: u32 = 256;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Record {
    /// Its place in the stream, from 0.
    pub offset: u64,
    /// Its text.
    pub data: String,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// Oldest retained offset.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
}

/// What to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// First offset wanted.
    pub from: u64,
    /// Most records wanted.
    pub max: u32,
    /// How long to wait when nothing is there yet.
    pub wait: Duration,
}

impl Query {
    /// Reads from `from`, without waiting.
    #[must_use]
    pub fn new(from: u64) -> Self {
        Self {
            from,
            max: PAGE_RECORDS,
            wait: Duration::ZERO,
        }
    }

    /// The same with at most `max` records.
    #[must_use]
    pub fn with_max(self, max: u32) -> Self {
        Self { max, ..self }
    }

    /// The same, waiting up to `wait` when nothing is there yet.
    #[must_use]
    pub fn with_wait(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }
}

/// The log service.
pub trait Log: Send + Sync {
    /// Appends `data` to `stream` and gives its offset.
    ///
    /// # Errors
    /// The verdict of the error says whether the record may be in the log all the same.
    fn append(&self, stream: &str, data: &str) -> Result<u64, Error>;

    /// Reads a page of `stream`.
    ///
    /// # Errors
    /// The log can't be reached or doesn't answer in time.
    fn read(&self, stream: &str, query: Query) -> Result<Page, Error>;
}
