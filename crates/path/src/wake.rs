//! What a router does once its instance has been suspended.
//!
//! To the others it was silent, and to itself nothing happened. It looks for that before it takes
//! a request or a message, and with each probe, by the time that its [`clock`](crate::clock) counts
//! beside the runtime's. What was true before is then not believed: kept connections are closed, waits
//! end by the true time, and it is not ready until both views are confirmed anew.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;

use crate::node::Node;

/// Shortest suspension that is one: below the time between two probes nobody else sees any.
const LEAST: Duration = Duration::from_millis(100);

/// Longest time after waking for which views may stay unconfirmed until the router is ready all the
/// same: that within which a configuration is to be in force. While the store is away nobody confirms
/// any, and a router that was awake goes on with what it knows as well.
const UNCONFIRMED: Duration = Duration::from_secs(5);

/// What is known of suspensions.
#[derive(Debug)]
pub struct Wake {
    /// Time in suspension that has been noticed.
    noticed: Cell<Duration>,
    /// When the last one was, until the views are confirmed.
    at: Cell<Option<Duration>>,
    /// Time of the last ones that the next probe has to leave out.
    late: Cell<Duration>,
    count: watch::Sender<u64>,
}

impl Default for Wake {
    fn default() -> Self {
        Self {
            noticed: Cell::default(),
            at: Cell::default(),
            late: Cell::default(),
            count: watch::Sender::new(0),
        }
    }
}

impl Wake {
    /// Time of suspensions that was not taken yet: in it no answers could be heard.
    pub(crate) fn take_late(&self) -> Duration {
        self.late.take()
    }
}

impl Node {
    /// Notices a suspension, if there was one.
    pub(crate) fn look_for_wake(&self) {
        let suspended = self.clock.measure_suspended();
        let time = suspended.saturating_sub(self.wake.noticed.get());
        if time < LEAST {
            return;
        }
        self.wake.noticed.set(suspended);
        self.wake.at.set(Some(self.now()));
        self.wake.late.set(self.wake.late.get() + time);
        self.metrics.add("suspensions", "woken", 1);
        let line = self.journal.line("woken").with_ms("suspended_ms", time);
        drop(line.with("open", self.open.get()));
        self.pool.close_all();
        self.wake.count.send_modify(|count| *count += 1);
        self.room_came();
    }

    /// Whether what this router knew before a suspension has been confirmed since, or can't be.
    pub(crate) fn confirmed_since_wake(&self) -> bool {
        let Some(woken) = self.wake.at.get() else {
            return true;
        };
        let state = self.state.borrow();
        let since = |at: Option<Duration>| at.is_some_and(|at| at >= woken);
        let confirmed = since(state.configuration_reads.at()) && since(state.registry.read_at());
        let over = self.now() >= woken + UNCONFIRMED;
        if confirmed || over {
            self.wake.at.set(None);
        }
        confirmed || over
    }

    /// What comes of `future` until a moment; none if that comes first. What is ready by then counts,
    /// though the router may be late to see it.
    pub(crate) async fn until<T>(
        &self,
        moment: Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let mut future = std::pin::pin!(future);
        let mut woken = self.wake.count.subscribe();
        while self.now() < moment {
            tokio::select! {
                biased;
                value = &mut future => return Some(value),
                () = tokio::time::sleep_until(self.instant(moment)) => {}
                // Its sender lives as long as the router.
                _ = woken.changed() => {}
            }
        }
        tokio::task::yield_now().await;
        tokio::select! {
            biased;
            value = &mut future => Some(value),
            () = std::future::ready(()) => None,
        }
    }

    /// Waits until a moment.
    pub(crate) async fn sleep_until(&self, moment: Duration) {
        // There is nothing else to wait for, so nothing comes of it.
        let nothing = self.until(moment, std::future::pending::<()>()).await;
        debug_assert!(nothing.is_none());
    }

    /// Waits for a time, or until the router wakes from a suspension.
    pub async fn pause(&self, time: Duration) {
        let mut woken = self.wake.count.subscribe();
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            // Its sender lives as long as the router.
            _ = woken.changed() => {}
        }
    }
}
