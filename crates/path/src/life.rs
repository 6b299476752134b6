//! Signals, drain and end.
//!
//! At SIGTERM a router says that it is not ready and goes on serving: callers
//! keep their connections, each answer asks them to close. Once the platform has
//! had time to look twice, idle connections are closed. The process ends when
//! nothing is left to answer, or shortly before the platform would kill it.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::node::Node;

/// Time that the platform needs to stop sending callers here: two looks, a second apart.
const NOTICE: Duration = Duration::from_millis(2_600);

/// How much sooner than the platform's kill the process ends.
const MARGIN: Duration = Duration::from_millis(300);

/// How long before the platform's kill the last request is taken.
const LAST_REQUEST: Duration = Duration::from_millis(1_800);

/// How often the end of a drain is looked for.
const LOOK: Duration = Duration::from_millis(50);

/// Whether the router ends too soon for a new request.
#[must_use]
pub fn ending(node: &Node, streams: bool) -> bool {
    let Some(since) = node.leaving_since() else {
        return false;
    };
    let refuse = if streams {
        NOTICE
    } else {
        node.settings.grace.saturating_sub(LAST_REQUEST)
    };
    node.now() >= since + refuse
}

/// Returns when kept connections should be closed.
pub async fn closing(node: &Rc<Node>) {
    let mut leaving = node.watch_leaving();
    // The sender lives as long as the node.
    drop(leaving.wait_for(Option::is_some).await);
    let since = node.leaving_since().unwrap_or_default();
    node.sleep_until(since + NOTICE).await;
}

/// Waits for SIGTERM or SIGINT, then until the router may end.
///
/// # Errors
///
/// If signals can't be received.
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
    drop(node.journal.line("stopping").with("open", node.open.get()));
    node.leave();
    let since = node.leaving_since().unwrap_or_default();
    let last = since + node.settings.grace.saturating_sub(MARGIN);
    node.sleep_until(since + NOTICE).await;
    while node.now() < last && node.open.get() > 0 {
        tokio::time::sleep(LOOK).await;
    }
    drop(node.journal.line("stopped").with("cut", node.open.get()));
    Ok(())
}
