//! When a view was read from the platform's store, as told from router to router.
//!
//! Clocks differ, so routers tell ages; the way of a message is left out, and an age that is told
//! on and on gets younger than the view is: with messages that wait 30 ms at busy routers faster
//! than time passes. So a reading has a name, its reader and a number, and is dated once: what is
//! heard of it again can make it older, never younger. A view that went round 295 routers counted as
//! fresh for 7 s although nobody had read it, and requests reached targets that had ended.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::usage::Peer;

/// How long a reading is remembered: longer than any view is used without a newer reading.
const REMEMBERED: Duration = Duration::from_mins(1);

/// A reading of a view, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// Short name of the start of the router that read it.
    pub reader: u32,
    /// Number of the reading there.
    pub number: u32,
    /// How long ago it was, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Dated {
    number: u32,
    at: Duration,
}

/// The readings of one view that a router knows.
#[derive(Clone, Debug)]
pub struct Readings {
    own: u32,
    /// The last reading of each reader.
    last: HashMap<u32, Dated>,
    /// Reader and date of the reading that the router's view is of.
    newest: Option<(u32, Dated)>,
}

impl Readings {
    /// Nothing read yet.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a short name is the low half of a number drawn at random"
    )]
    pub fn new(own: Peer) -> Self {
        Self {
            own: own.0 as u32,
            last: HashMap::new(),
            newest: None,
        }
    }

    /// This router has read the view, as it was `at`.
    pub fn read(&mut self, at: Duration) {
        let number = self.last.get(&self.own).map_or(0, |it| it.number);
        let dated = Dated {
            number: number + 1,
            at,
        };
        self.last.insert(self.own, dated);
        self.newest = Some((self.own, dated));
    }

    /// When a reading was made that a peer tells of; none if its reader has read again since.
    pub fn hear(&mut self, reading: Reading, now: Duration) -> Option<Duration> {
        let age = Duration::from_millis(reading.age_ms);
        let told = now.saturating_sub(age);
        let known = self.last.get(&reading.reader).copied();
        let at = match known {
            Some(known) if known.number > reading.number => return None,
            Some(known) if known.number == reading.number => told.min(known.at),
            _ => told,
        };
        let dated = Dated {
            number: reading.number,
            at,
        };
        self.last.insert(reading.reader, dated);
        self.last
            .retain(|_, it| now.saturating_sub(it.at) < REMEMBERED);
        Some(at)
    }

    /// The router's view is the one of a reading that was made `at`.
    pub fn adopt(&mut self, reading: Reading, at: Duration) {
        let dated = Dated {
            number: reading.number,
            at,
        };
        if self.newest.is_none_or(|(_, newest)| at > newest.at) {
            self.newest = Some((reading.reader, dated));
        }
    }

    /// When the router's view was read.
    #[must_use]
    pub fn at(&self) -> Option<Duration> {
        self.newest.map(|(_, it)| it.at)
    }

    /// What is told to peers.
    #[must_use]
    pub fn tell(&self, now: Duration) -> Option<Reading> {
        let (reader, dated) = self.newest?;
        let age = now.saturating_sub(dated.at);
        Some(Reading {
            reader,
            number: dated.number,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }
}
