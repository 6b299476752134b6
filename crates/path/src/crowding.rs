//! Whether this router has processor time left for more callers.
//!
//! A router that is [behind](crate::strain) is so by its timers, which fire late by the length of one
//! turn of its event loop. A request takes a dozen turns from its connection to its first event, so
//! callers wait for a second long before any timer is 15 ms late: a router of 0.12 of a core that got
//! 300 to 500 requests a second from one caller was never behind for 13 s. The part of its time in
//! which the event loop had something to do tells it at once.
//!
//! A crowded router refuses a part of the streams that come, at once and truly: none of them has run,
//! and their callers come back at another router within some tens of milliseconds, most of them in
//! time. So one large caller ends up spread over its failure domain, and does not move as a whole from
//! one small router to the next.

use std::cell::Cell;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::node::Node;

/// Busy part of a tenth of a second from which more is refused.
const FULL: f64 = 0.95;

/// Busy part below which less is.
const ROOM: f64 = 0.85;

/// What is refused more after a tenth of a second without a pause. From nothing to a half in 0.5 s: what
/// waits by then, at one and a half times what the router can do, takes it 0.25 s.
const STEP_UP: f64 = 0.1;

/// What is refused less after one with some. Slower, as the same load is still there.
const STEP_DOWN: f64 = 0.02;

/// Most that is refused: the rest shows when the load is gone.
const MOST: f64 = 0.9;

/// Time after which a caller that is refused may come to another router.
pub const RETURN: Duration = Duration::from_millis(20);

/// Time for which the event loop had nothing to do, in microseconds.
#[derive(Debug, Default)]
pub struct Idle {
    started: OnceLock<Instant>,
    /// When it went idle, since the start; 0 while it is not.
    since: AtomicU64,
    total: AtomicU64,
}

impl Idle {
    /// Nothing measured yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    #[expect(clippy::cast_possible_truncation, reason = "microseconds of uptime")]
    fn now(&self) -> u64 {
        let started = self.started.get_or_init(Instant::now);
        started.elapsed().as_micros() as u64 + 1
    }

    /// The event loop has nothing to do.
    pub fn begin(&self) {
        self.since.store(self.now(), Ordering::Relaxed);
    }

    /// It has something to do again.
    pub fn end(&self) {
        let since = self.since.swap(0, Ordering::Relaxed);
        if since > 0 {
            let time = self.now().saturating_sub(since);
            self.total.fetch_add(time, Ordering::Relaxed);
        }
    }

    /// How long it had nothing to do so far.
    #[must_use]
    pub fn total(&self) -> Duration {
        Duration::from_micros(self.total.load(Ordering::Relaxed))
    }
}

/// The part of streams that this router refuses, as it has no time for them.
#[derive(Debug, Default)]
pub struct Crowding {
    refused: Cell<f64>,
}

impl Crowding {
    /// The part that is refused, 0 to 1.
    #[must_use]
    pub fn refused(&self) -> f64 {
        self.refused.get()
    }

    /// Notes the busy part of the last tenth of a second; true if that begins or ends the refusals.
    pub fn note(&self, busy: f64) -> bool {
        let before = self.refused.get();
        let step = if busy >= FULL {
            STEP_UP
        } else if busy < ROOM {
            -STEP_DOWN
        } else {
            0.0
        };
        let after = (before + step).clamp(0.0, MOST);
        self.refused.set(after);
        (before > 0.0) != (after > 0.0)
    }

    /// Whether a request is one of those that are refused; `draw` is spread over all values.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a small remainder")]
    pub fn refuses(&self, draw: u64) -> bool {
        const STEPS: u64 = 1_000;
        ((draw % STEPS) as f64) < self.refused.get() * STEPS as f64
    }
}

/// The busy part of a time of which `idle` was spent with nothing to do.
#[must_use]
pub fn busy_part(time: Duration, idle: Duration) -> f64 {
    if time.is_zero() {
        return 0.0;
    }
    1.0 - idle.as_secs_f64() / time.as_secs_f64()
}

/// What was measured at the last look.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Look {
    at: Instant,
    idle: Duration,
}

impl Node {
    /// Notes for how long the event loop had nothing to do since the last look, if that is measured.
    pub(crate) fn look_at_idle(&self) {
        let Some(idle) = self.idle.get() else {
            return;
        };
        let look = Look {
            at: Instant::now(),
            idle: idle.total(),
        };
        let Some(before) = self.idle_looked.replace(Some(look)) else {
            return;
        };
        let idle = look.idle.saturating_sub(before.idle);
        let busy = busy_part(look.at - before.at, idle);
        if self.crowding.note(busy) {
            self.tell_crowding();
        }
    }

    fn tell_crowding(&self) {
        let event = if self.crowding.refused() > 0.0 {
            "crowded"
        } else {
            "uncrowded"
        };
        self.metrics.add("strain", event, 1);
        let line = self.journal.line(event);
        drop(line.with("open", self.open.get()));
    }

    /// Whether this router has no time for one more stream.
    pub(crate) fn crowded(&self) -> bool {
        self.crowding.refuses(self.draw())
    }
}
