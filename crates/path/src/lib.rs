//! The data path of a router on one event loop.
//!
//! Callers, targets, peers and the views of the platform share one thread and
//! one [`node::Node`]. What crosses the wire is translated by a
//! [`dialect::Dialect`]; what is decided, is decided in `dunlinward-dispatch`.
//!
//! - [`node`]: the state of a router and the queue of requests that wait.
//! - [`server`]: callers' connections.
//! - [`exchange`]: one request from its head to its answer.
//! - [`pool`], [`attempt`]: connections to targets, one attempt at a target.
//! - [`event`], [`relay`]: streams of events, and how one goes on elsewhere.
//! - [`peer`]: reports between routers, and views taken over from a peer.
//! - [`life`]: signals, drain and end.
//! - [`flags`]: the figures that operators may set.
//! - [`journal`], [`metrics`]: what operators see.

pub mod attempt;
pub mod dialect;
pub mod event;
pub mod exchange;
pub mod flags;
pub mod journal;
pub mod life;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod pool;
pub mod relay;
pub mod reply;
pub mod server;
