//! Orders to an engine, fenced or not.
//!
//! An engine that checks refuses an order whose fencing number is below the
//! highest it has seen. One that does not check carries out whatever comes,
//! which is the case that a lease has to be waited out for. Orders set what
//! they name, so a doubled one changes nothing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hyper::StatusCode;

use super::api::{Action, Loaded, Order, Stale, Standing};
use crate::http::{Answer, Request, Whole};

#[derive(Default)]
struct State {
    current: u64,
    role: String,
    loaded: BTreeSet<Loaded>,
    orders: u64,
}

/// What an engine was ordered to be.
pub(super) struct Ledger {
    check_fence: bool,
    weights: Option<SocketAddr>,
    agent: ureq::Agent,
    state: Mutex<State>,
}

impl Ledger {
    pub fn new(check_fence: bool, weights: Option<SocketAddr>) -> Self {
        Self {
            check_fence,
            weights,
            agent: ureq::Agent::config_builder().proxy(None).build().into(),
            state: Mutex::default(),
        }
    }

    /// Carries out an order.
    pub fn order(&self, request: &Request) -> Answer {
        let order: Order = match request.json() {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        if let Some(answer) = self.refuse_stale(&order) {
            return answer;
        }
        if order.kind == Action::Load && !self.fetch(&order) {
            return Answer::reason(StatusCode::SERVICE_UNAVAILABLE, "weights");
        }
        let mut state = self.lock();
        state.orders += 1;
        let loaded = Loaded {
            model: order.model.clone(),
            adapter: order.adapter,
            version: order.version,
        };
        match order.kind {
            Action::Load => {
                state.loaded.insert(loaded);
            }
            Action::Unload => {
                state.loaded.remove(&loaded);
            }
            Action::Role => state.role = order.model,
        }
        drop(state);
        self.standing()
    }

    /// How the engine stands.
    pub fn standing(&self) -> Answer {
        let state = self.lock();
        Answer::ok(&Standing {
            current: state.current,
            role: state.role.clone(),
            loaded: state.loaded.iter().cloned().collect(),
            orders: state.orders,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes the fencing number and refuses an old one.
    fn refuse_stale(&self, order: &Order) -> Option<Answer> {
        let mut state = self.lock();
        let current = state.current;
        state.current = current.max(order.fence);
        if !self.check_fence || order.fence >= current {
            return None;
        }
        let refusal = Stale {
            reason: "stale fence".into(),
            current,
        };
        Some(Answer::Whole(Whole::json(StatusCode::CONFLICT, &refusal)))
    }

    /// Fetches weights; true when there is nothing to fetch or it worked.
    fn fetch(&self, order: &Order) -> bool {
        let Some(store) = self.weights else {
            return true;
        };
        let version = order.version.as_deref().unwrap_or("latest");
        let url = format!("http://{store}/weights/{}/{version}", order.model);
        self.agent.get(&url).call().is_ok()
    }
}
