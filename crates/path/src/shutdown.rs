//! Signal handling and graceful shutdown.
//!
//! On SIGTERM a router reports that it is not ready and goes on serving: clients keep their
//! connections, but each answer asks them to close. Once the platform has had time for two
//! readiness checks, idle connections are closed. The process exits when no connections are left,
//! or shortly before the platform would kill it. Requests that have no answer by then are given up
//! before, so that their callers learn whether they may have run.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::node::Node;

/// Time after which the platform sends no more clients: two readiness checks, one second apart.
const UNREADY_DELAY: Duration = Duration::from_millis(2_600);

/// How long before the platform's kill the process exits.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// How long before the platform's kill requests begin to be refused.
const REFUSAL_MARGIN: Duration = Duration::from_millis(1_800);

/// How long before the exit requests without an answer are given up: the answers that say so must be
/// written, also by a router that has a tenth of a processor in slices of 100 ms.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(300);

/// Interval between checks for the end of the drain.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Checks between the time of the last answers and the exit, also on a router whose event loop is
/// late: until then it has written them.
const LAST_ANSWERS_CHECKS: u32 = 2;

/// Whether the router will exit too soon to accept a new request.
#[must_use]
pub fn refuses_requests(node: &Node, streams: bool) -> bool {
    let Some(leaving_since) = node.leaving_since() else {
        return false;
    };
    let refuse_after = if streams {
        UNREADY_DELAY
    } else {
        node.settings.grace.saturating_sub(REFUSAL_MARGIN)
    };
    node.now() >= leaving_since + refuse_after
}

/// Output of `work`, or none if the exit is so near that it can't be waited for.
pub(crate) async fn before_exit<T>(node: &Rc<Node>, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    tokio::select! {
        biased;
        output = work.as_mut() => return Some(output),
        () = begun(node) => {}
    }
    node.timeout_at(last_answers_at(node), work).await
}

/// Returns once requests without an answer are given up because of the exit.
pub(crate) async fn last_answers(node: &Rc<Node>) {
    begun(node).await;
    node.sleep_until(last_answers_at(node)).await;
}

/// Returns once the shutdown has begun.
async fn begun(node: &Node) {
    let mut leaving = node.watch_leaving();
    // The sender lives as long as the node.
    drop(leaving.wait_for(Option::is_some).await);
}

/// When a router that is shutting down gives up requests without an answer.
fn last_answers_at(node: &Node) -> Duration {
    exit_at(node).saturating_sub(LAST_ANSWERS_MARGIN)
}

/// When a router that is shutting down exits, at the latest.
fn exit_at(node: &Node) -> Duration {
    let leaving_since = node.leaving_since().unwrap_or_default();
    leaving_since + node.settings.grace.saturating_sub(KILL_MARGIN)
}

/// Returns once idle connections should be closed.
pub async fn idle_close(node: &Rc<Node>) {
    begun(node).await;
    let leaving_since = node.leaving_since().unwrap_or_default();
    node.sleep_until(leaving_since + UNREADY_DELAY).await;
}

/// Waits for SIGTERM or SIGINT, then until the router may exit.
///
/// # Errors
///
/// If signal handlers cannot be installed.
pub async fn run(node: &Rc<Node>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => {
                drop(node.journal.line("reloaded").with("changed", false));
            }
        }
    }
    drain(node).await;
    Ok(())
}

/// Begins the shutdown and waits until the router may exit.
pub async fn drain(node: &Rc<Node>) {
    drop(node.journal.line("stopping").with("open", node.open.get()));
    node.leave();
    let leaving_since = node.leaving_since().unwrap_or_default();
    node.sleep_until(leaving_since + UNREADY_DELAY).await;
    let (exit_at, last_answers_at) = (exit_at(node), last_answers_at(node));
    let mut checks = 0;
    while node.open.get() > 0 && (node.now() < exit_at || checks < LAST_ANSWERS_CHECKS) {
        let due = node.now() >= last_answers_at;
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        checks += u32::from(due);
    }
    let line = node.journal.line("stopped").with("cut", node.open.get());
    let line = line.with("forwarded", node.handovers.open());
    drop(line.with("running", node.held_places()));
    node.stop();
}
