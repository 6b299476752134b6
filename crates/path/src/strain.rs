//! Whether this router keeps up with its callers.
//!
//! Callers are spread unevenly over routers, and one large caller may be more than a
//! small machine can carry. A router sees that by its own timers: they fire late
//! while its event loop is behind. One that is behind says that it is not ready and
//! asks its callers to close their connections, so that new ones go to others, and
//! owns no cells until it has caught up. The same holds for one that can't accept
//! connections, as its descriptors are used up.
//!
//! Before that it sheds: it refuses a part of the first tries at once, to be repeated at once.
//! The platform sends a repeat to another router, where it is still in time, and a refusal
//! takes a fraction of the work of an answer. The part grows with the lateness, so that the
//! router settles where it keeps up with the rest and doesn't flap between ready and not.

use std::cell::Cell;
use std::time::Duration;

use crate::node::Node;

/// Weight of the newest lateness in the mean; with ten a second, a mean over half a second.
const NEWEST: f64 = 0.2;

/// Mean lateness at which a router is behind: a tenth of the shortest objective known.
const BEHIND: f64 = 0.015;

/// Mean lateness at which it has caught up.
const CAUGHT_UP: f64 = 0.005;

/// Mean lateness from which on first tries are shed: timers of a router that keeps up fire 1 to 2 ms
/// late.
const SHED_FROM: f64 = 0.004;

/// Mean lateness at which most of them are: below that at which a router is behind.
const SHED_FULL: f64 = 0.012;

/// Part of the first tries that is shed at the most: a router must go on to see what it carries.
const SHED_MOST: f64 = 0.9;

/// First time for which it counts as behind: the platform looks once a second, and must
/// miss it twice. Twice as long each time that it is soon behind again, as the same
/// callers come back.
const FIRST: Duration = Duration::from_millis(2_500);

/// Longest such time.
const LONGEST: Duration = Duration::from_secs(20);

/// A router that is behind again within this time after it caught up is so soon.
const SOON: Duration = Duration::from_secs(8);

/// How late this router's timers fire.
#[derive(Debug, Default)]
pub struct Strain {
    /// Mean lateness in seconds.
    mean: Cell<f64>,
    /// Until when it counts as behind at least, while it does.
    until: Cell<Option<Duration>>,
    /// How long it counted as behind the last time.
    last: Cell<Duration>,
    caught_up: Cell<Duration>,
}

impl Strain {
    /// Whether the router is behind.
    #[must_use]
    pub fn behind(&self) -> bool {
        self.until.get().is_some()
    }

    /// Whether a first try is shed; `draw` is spread over all values.
    #[must_use]
    pub fn sheds(&self, draw: u64) -> bool {
        const STEPS: u64 = 1_000;
        let above = (self.mean.get() - SHED_FROM) / (SHED_FULL - SHED_FROM);
        let part = SHED_MOST * above.clamp(0.0, 1.0);
        #[expect(clippy::cast_precision_loss, reason = "below a thousand")]
        let chance = (draw % STEPS) as f64 / STEPS as f64;
        chance < part
    }

    /// Notes a timer that fired `late`; true if that changes whether it is behind.
    pub fn note(&self, late: Duration, now: Duration) -> bool {
        let mean = self.mean.get();
        let mean = mean + (late.as_secs_f64() - mean) * NEWEST;
        self.mean.set(mean);
        match self.until.get() {
            None if mean >= BEHIND => self.fall_behind(now),
            Some(until) if mean < CAUGHT_UP && now >= until => {
                self.until.set(None);
                self.caught_up.set(now);
            }
            _ => return false,
        }
        true
    }

    /// Notes that a connection could not be accepted; true if that changes whether it is behind.
    pub fn refusing(&self, now: Duration) -> bool {
        let before = self.behind();
        if before {
            let until = self.until.get().unwrap_or_default();
            self.until.set(Some(until.max(now + FIRST)));
        } else {
            self.fall_behind(now);
        }
        !before
    }

    fn fall_behind(&self, now: Duration) {
        let last = self.last.get();
        let soon = now.saturating_sub(self.caught_up.get()) < SOON;
        let time = if soon && !last.is_zero() {
            (last * 2).min(LONGEST)
        } else {
            FIRST
        };
        self.last.set(time);
        self.until.set(Some(now + time));
    }
}

impl Node {
    /// Notes a timer of this router that fired late.
    pub(crate) fn note_lateness(&self, late: Duration) {
        if self.strain.note(late, self.now()) {
            self.tell_strain(late);
        }
    }

    /// Notes that a connection could not be accepted: callers should go elsewhere.
    pub(crate) fn note_refusing(&self) {
        if self.strain.refusing(self.now()) {
            self.tell_strain(Duration::ZERO);
        }
    }

    fn tell_strain(&self, late: Duration) {
        let behind = self.strain.behind();
        let event = if behind { "behind" } else { "caught_up" };
        let line = self.journal.line(event).with_ms("late_ms", late);
        drop(line.with("open", self.open.get()));
        self.metrics.add("strain", event, 1);
        self.state.borrow_mut().set_behind(behind);
    }
}
