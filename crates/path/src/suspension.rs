//! Detection of suspensions of the instance.
//!
//! To other routers a suspended router is silent; the router itself notices nothing. It therefore
//! checks for a suspension before it handles a request or a message, and with each probe, by the
//! suspended time that its [`clock`](crate::clock) counts. Earlier knowledge is then not trusted:
//! pooled connections are closed, waits end by the true time, and the router is not ready until
//! both views are confirmed again.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;

use crate::node::Node;

/// Shortest suspension that counts: no other router notices one below the probe interval.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Time after a suspension from which the router is ready although its views are unconfirmed: that
/// within which a configuration must be in force. While the store is unavailable nothing can
/// confirm views, and a router that was not suspended goes on with what it knows as well.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Suspensions that were detected.
#[derive(Debug)]
pub struct Monitor {
    /// Total suspended time that has been detected.
    detected: Cell<Duration>,
    /// End of the last suspension, until the views are confirmed.
    resumed_at: Cell<Option<Duration>>,
    /// Suspended time that the next probe has to leave out.
    unprobed: Cell<Duration>,
    resumptions: watch::Sender<u64>,
}

impl Default for Monitor {
    fn default() -> Self {
        Self {
            detected: Cell::default(),
            resumed_at: Cell::default(),
            unprobed: Cell::default(),
            resumptions: watch::Sender::new(0),
        }
    }
}

impl Monitor {
    /// Suspended time since the last call, in which no answers could be received.
    pub(crate) fn take_suspended(&self) -> Duration {
        self.unprobed.take()
    }
}

impl Node {
    /// Detects a suspension since the last call.
    pub(crate) fn detect_suspension(&self) {
        let suspended = self.clock.measure_suspended();
        let time = suspended.saturating_sub(self.suspensions.detected.get());
        if time < MIN_SUSPENSION {
            return;
        }
        self.suspensions.detected.set(suspended);
        self.suspensions.resumed_at.set(Some(self.now()));
        self.suspensions
            .unprobed
            .set(self.suspensions.unprobed.get() + time);
        self.metrics.add("suspensions", "woken", 1);
        let line = self.journal.line("woken").with_ms("suspended_ms", time);
        drop(line.with("open", self.open.get()));
        self.pool.close_all();
        self.suspensions
            .resumptions
            .send_modify(|count| *count += 1);
        self.notify_capacity();
    }

    /// Whether the views have been confirmed since the last suspension, or can't be.
    pub(crate) fn views_confirmed(&self) -> bool {
        let Some(resumed) = self.suspensions.resumed_at.get() else {
            return true;
        };
        let state = self.state.borrow();
        let since = |at: Option<Duration>| at.is_some_and(|at| at >= resumed);
        let confirmed = since(state.configuration_reads.at()) && since(state.registry.read_at());
        let expired = self.now() >= resumed + CONFIRMATION_TIMEOUT;
        if confirmed || expired {
            self.suspensions.resumed_at.set(None);
        }
        confirmed || expired
    }

    /// Output of `future`, or none if `moment` comes first. Output that is ready by then counts
    /// even if this task runs late.
    pub(crate) async fn timeout_at<T>(
        &self,
        moment: Duration,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let mut future = std::pin::pin!(future);
        let mut resumed = self.suspensions.resumptions.subscribe();
        while self.now() < moment {
            tokio::select! {
                biased;
                value = &mut future => return Some(value),
                () = tokio::time::sleep_until(self.instant(moment)) => {}
                // Its sender lives as long as the router.
                _ = resumed.changed() => {}
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
        // The future never completes, so this waits for the moment only.
        let nothing = self.timeout_at(moment, std::future::pending::<()>()).await;
        debug_assert!(nothing.is_none());
    }

    /// Waits for a time, or until the router resumes from a suspension.
    pub async fn pause(&self, time: Duration) {
        let mut resumed = self.suspensions.resumptions.subscribe();
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            // Its sender lives as long as the router.
            _ = resumed.changed() => {}
        }
    }
}
