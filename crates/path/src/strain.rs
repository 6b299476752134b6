//! Whether this router keeps up with its callers.
//!
//! Callers are spread unevenly over routers, and one large caller may be more than a
//! small machine can carry. A router sees that by its own timers: they fire late
//! while its event loop is behind. One that is behind says that it is not ready and
//! asks its callers to close their connections, so that new ones go to others, and
//! owns no cells until it has caught up. The same holds for one that can't accept
//! connections, as its descriptors are used up.

use std::cell::Cell;
use std::time::Duration;

use crate::node::Node;

/// Weight of the newest lateness in the mean; with ten a second, a mean over half a second.
const NEWEST: f64 = 0.2;

/// Mean lateness at which a router is behind: a tenth of the shortest objective known.
const BEHIND: f64 = 0.015;

/// Mean lateness at which it has caught up.
const CAUGHT_UP: f64 = 0.005;

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
        self.state.borrow_mut().set_overloaded(behind);
    }
}
