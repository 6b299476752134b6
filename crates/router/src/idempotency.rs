//! Claims on idempotency keys.
//!
//! A call that must run at most once may carry an idempotency key. Before the
//! call is queued its key is claimed, and a second call with a claimed key is
//! never sent: it gets the answer of the first when that is known and small
//! enough to keep, and a refusal that tells the first one's verdict otherwise.
//! Only a first call that certainly did not run gives its key free.
//!
//! [`Claims`] is the seam: [`Window`] remembers the claims of this router, within
//! bounds of time and number. When the window is full a new claim is refused
//! with "not run" rather than an old one forgotten early. Claims that hold over
//! the whole fleet can take its place without a change to the callers' side.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::reply::Head;

/// Claims kept at most.
pub const CLAIMS: usize = 65_536;

/// Largest answer kept for repetition, in bytes.
pub const ANSWER_LIMIT: usize = 16 << 10;

/// What a key belongs to: the same key of two customers is two keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Scope {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// The key given by the caller.
    pub key: Arc<str>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Bytes,
}

/// What became of a claimed call.
#[derive(Clone, Debug)]
pub enum Fate {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unsure,
    /// It ran, and this is its answer.
    Ran(Answer),
}

/// What a claim found.
#[derive(Debug)]
pub enum Found {
    /// Nobody had the key; it is now claimed.
    New(Ticket),
    /// A call with this key is under way.
    Running,
    /// A call with this key may have run.
    Unsure,
    /// A call with this key ran; the answer, if it was kept.
    Ran(Option<Answer>),
    /// The key was used for a call with another content.
    Mismatch,
    /// No further claim can be kept now.
    Full,
}

/// Where claims are kept.
pub trait Claims: Send + Sync {
    /// Claims a key for a call with this content for the time `keep`.
    fn claim(self: Arc<Self>, scope: Scope, content: u64, keep: Duration) -> Found;

    /// Notes what became of the call that claimed a key; once it ran, that stays.
    fn settle(&self, scope: &Scope, fate: Fate);
}

/// A claimed key; settling it is the end of the claim's call.
pub struct Ticket {
    claims: Arc<dyn Claims>,
    scope: Scope,
}

impl std::fmt::Debug for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ticket").finish_non_exhaustive()
    }
}

impl Ticket {
    /// Notes what became of the call.
    pub fn settle(&self, fate: Fate) {
        self.claims.settle(&self.scope, fate);
    }
}

#[derive(Debug)]
enum State {
    Running,
    Unsure,
    Ran(Option<Answer>),
}

#[derive(Debug)]
struct Claim {
    content: u64,
    until: Instant,
    state: State,
}

#[derive(Debug, Default)]
struct Kept {
    claims: HashMap<Scope, Claim>,
    /// Scopes in the order of their claims, for expiry.
    order: VecDeque<Scope>,
}

/// Claims of this router.
#[derive(Debug)]
pub struct Window {
    kept: Mutex<Kept>,
    limit: usize,
}

impl Window {
    /// A window of at most `limit` claims.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            kept: Mutex::default(),
            limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Kept {
    /// Forgets settled claims that are past their time.
    fn expire(&mut self, now: Instant) {
        for _ in 0..self.order.len() {
            let Some(scope) = self.order.pop_front() else {
                return;
            };
            let Some(claim) = self.claims.get(&scope) else {
                continue;
            };
            let over = claim.until <= now && !matches!(claim.state, State::Running);
            if over {
                self.claims.remove(&scope);
                continue;
            }
            if claim.until > now {
                self.order.push_front(scope);
                return;
            }
            self.order.push_back(scope);
        }
    }
}

impl Claims for Window {
    fn claim(self: Arc<Self>, scope: Scope, content: u64, keep: Duration) -> Found {
        let now = Instant::now();
        let mut kept = self.lock();
        kept.expire(now);
        if let Some(claim) = kept.claims.get(&scope) {
            return found(claim, content);
        }
        if kept.claims.len() >= self.limit {
            return Found::Full;
        }
        let claim = Claim {
            content,
            until: now + keep,
            state: State::Running,
        };
        kept.claims.insert(scope.clone(), claim);
        kept.order.push_back(scope.clone());
        drop(kept);
        Found::New(Ticket {
            claims: self,
            scope,
        })
    }

    fn settle(&self, scope: &Scope, fate: Fate) {
        let mut kept = self.lock();
        let Some(claim) = kept.claims.get_mut(scope) else {
            return;
        };
        if matches!(claim.state, State::Ran(_)) {
            return;
        }
        match fate {
            Fate::NotRun => {
                kept.claims.remove(scope);
                kept.order.retain(|known| known != scope);
            }
            Fate::Unsure => claim.state = State::Unsure,
            Fate::Ran(answer) => {
                let small = answer.body.len() <= ANSWER_LIMIT;
                claim.state = State::Ran(small.then_some(answer));
            }
        }
    }
}

fn found(claim: &Claim, content: u64) -> Found {
    if claim.content != content {
        return Found::Mismatch;
    }
    match &claim.state {
        State::Running => Found::Running,
        State::Unsure => Found::Unsure,
        State::Ran(answer) => Found::Ran(answer.clone()),
    }
}
