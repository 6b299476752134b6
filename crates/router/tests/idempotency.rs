//! Claims on idempotency keys within one router.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dunlinward_router::idempotency::{
    ANSWER_LIMIT, Answer, Claims, Fate, Found, Scope, Ticket, Window,
};
use dunlinward_router::reply::Head;
use hyper::{HeaderMap, StatusCode};

const KEEP: Duration = Duration::from_mins(10);

fn scope(customer: &str, key: &str) -> Scope {
    Scope {
        customer: customer.into(),
        service: "portal".into(),
        key: key.into(),
    }
}

fn answer(bytes: usize) -> Answer {
    Answer {
        head: Head {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
        },
        body: Bytes::from(vec![b'x'; bytes]),
    }
}

fn claim(window: &Arc<Window>, customer: &str, key: &str, content: u64) -> Found {
    Arc::clone(window).claim(scope(customer, key), content, KEEP)
}

fn claimed(window: &Arc<Window>, key: &str) -> Ticket {
    match claim(window, "alpha", key, 1) {
        Found::New(ticket) => ticket,
        found => panic!("{found:?}"),
    }
}

#[test]
fn the_fate_of_the_first_decides_for_the_second() {
    let window = Arc::new(Window::new(16));
    let ticket = claimed(&window, "a");
    assert!(matches!(claim(&window, "alpha", "a", 1), Found::Running));
    assert!(matches!(claim(&window, "alpha", "a", 2), Found::Mismatch));
    assert!(matches!(claim(&window, "beta", "a", 2), Found::New(_)));
    ticket.settle(Fate::Unsure);
    assert!(matches!(claim(&window, "alpha", "a", 1), Found::Unsure));
    ticket.settle(Fate::Ran(answer(3)));
    assert!(matches!(
        claim(&window, "alpha", "a", 1),
        Found::Ran(Some(_))
    ));
}

#[test]
fn what_ran_stays_so() {
    let window = Arc::new(Window::new(16));
    let ticket = claimed(&window, "a");
    ticket.settle(Fate::Ran(answer(ANSWER_LIMIT + 1)));
    ticket.settle(Fate::Unsure);
    ticket.settle(Fate::NotRun);
    assert!(matches!(claim(&window, "alpha", "a", 1), Found::Ran(None)));
}

#[test]
fn what_did_not_run_may_be_claimed_again() {
    let window = Arc::new(Window::new(16));
    claimed(&window, "a").settle(Fate::NotRun);
    claimed(&window, "a");
    assert!(matches!(claim(&window, "alpha", "a", 1), Found::Running));
}

/// A full window refuses new keys and forgets none early.
#[test]
fn a_full_window_refuses() {
    let window = Arc::new(Window::new(2));
    let first = claimed(&window, "a");
    claimed(&window, "b");
    assert!(matches!(claim(&window, "alpha", "c", 1), Found::Full));
    assert!(matches!(claim(&window, "alpha", "a", 1), Found::Running));
    first.settle(Fate::NotRun);
    claimed(&window, "c");
}

/// A claim past its time is forgotten, unless its call still runs.
#[test]
fn a_settled_claim_expires() {
    let window = Arc::new(Window::new(2));
    let now = |key: &str| Arc::clone(&window).claim(scope("alpha", key), 1, Duration::ZERO);
    let Found::New(settled) = now("a") else {
        panic!("a new key");
    };
    settled.settle(Fate::Unsure);
    assert!(matches!(now("b"), Found::New(_)));
    assert!(matches!(now("b"), Found::Running));
    assert!(matches!(now("a"), Found::New(_)));
}
