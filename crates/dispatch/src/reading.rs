//! Ages of views of the platform's store, as passed on between routers.
//!
//! Clocks differ, so routers exchange ages instead of timestamps. The delay of a message isn't
//! included, so an age that is passed on repeatedly falls behind the true one: with messages that
//! wait 30 ms at busy routers, it falls faster than time passes. So each reading is identified by
//! its reader and a number, and is dated once: later reports can make it older, but never younger.
//! Without this, a view that circulated among 295 routers counted as fresh for 7 s although nobody
//! had read it, and requests reached targets that had ended.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::usage::Peer;

/// How long a reading is kept: longer than any view is used without a newer reading.
const RETENTION: Duration = Duration::from_mins(1);

/// A reading of a view, as sent to other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Low half of the identity of the reader's start.
    pub reader: u32,
    /// Sequence number at the reader.
    pub number: u32,
    /// Age in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    number: u32,
    at: Duration,
}

/// The known readings of one view.
#[derive(Clone, Debug)]
pub struct Readings {
    own: u32,
    /// The latest reading of each reader.
    latest: HashMap<u32, Entry>,
    /// Reader and date of the reading that this router's view comes from.
    current: Option<(u32, Entry)>,
}

impl Readings {
    /// No reading yet.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a short name is the low half of a number drawn at random"
    )]
    pub fn new(own: Peer) -> Self {
        Self {
            own: own.0 as u32,
            latest: HashMap::new(),
            current: None,
        }
    }

    /// Records that this router read the view, as of `at`.
    pub fn record(&mut self, at: Duration) {
        let number = self.latest.get(&self.own).map_or(0, |it| it.number);
        let entry = Entry {
            number: number + 1,
            at,
        };
        self.latest.insert(self.own, entry);
        self.current = Some((self.own, entry));
    }

    /// Dates a reading that a peer reported; none if its reader has read again since.
    pub fn receive(&mut self, reading: Reading, now: Duration) -> Option<Duration> {
        let age = Duration::from_millis(reading.age_ms);
        let reported = now.saturating_sub(age);
        let known = self.latest.get(&reading.reader).copied();
        let at = match known {
            Some(known) if known.number > reading.number => return None,
            Some(known) if known.number == reading.number => reported.min(known.at),
            _ => reported,
        };
        let entry = Entry {
            number: reading.number,
            at,
        };
        self.latest.insert(reading.reader, entry);
        self.latest
            .retain(|_, it| now.saturating_sub(it.at) < RETENTION);
        Some(at)
    }

    /// Records that this router's view comes from a reading made `at`.
    pub fn adopt(&mut self, reading: Reading, at: Duration) {
        let entry = Entry {
            number: reading.number,
            at,
        };
        if self.current.is_none_or(|(_, newest)| at > newest.at) {
            self.current = Some((reading.reader, entry));
        }
    }

    /// When this router's view was read.
    #[must_use]
    pub fn at(&self) -> Option<Duration> {
        self.current.map(|(_, it)| it.at)
    }

    /// The reading that is reported to peers.
    #[must_use]
    pub fn report(&self, now: Duration) -> Option<Reading> {
        let (reader, entry) = self.current?;
        let age = now.saturating_sub(entry.at);
        Some(Reading {
            reader,
            number: entry.number,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }
}
