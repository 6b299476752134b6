//! The data path of a router on one event loop.
//!
//! Callers, targets, peers and the views of the platform share one thread and
//! one [`node::Node`]. What crosses the wire is translated by a
//! [`dialect::Dialect`]; what is decided, is decided in `dunlinward-dispatch`.
//!
//! - [`node`]: a router; [`settings`], [`state`], [`queue`], [`lease`]: what it is told,
//!   what it knows, requests that wait, places at targets.
//! - [`server`]: callers' connections.
//! - [`exchange`]: one request from its head to its answer; [`request_log`]: its log lines.
//! - [`admission`]: a request against the configuration in force.
//! - [`pool`], [`attempt`]: connections to targets, one attempt at a target.
//! - [`event`], [`relay`]: streams of events, and how one goes on elsewhere.
//! - [`place`], [`pending`], [`owner`]: a place asked of the router that owns a cell, and given there.
//! - [`cut`]: what became of a target under which an answer broke off; [`quarantine`]: what is known of
//!   contents under which targets end.
//! - `leaving`: what targets say of their own leaving, and whom it is told.
//! - [`memories`]: what engines say that they keep of prompts.
//! - [`gossip`], [`view`]: who is alive, and views taken over from a peer.
//! - [`courier`], [`inbox`]: messages between routers.
//! - [`strain`]: whether the router keeps up.
//! - [`targets`]: the list of targets, and what a change of it ends.
//! - [`clock`], [`suspension`]: time, with that of suspensions; what is done after one.
//! - [`life`]: signals, drain and end.
//! - [`flags`]: the figures that operators may set.
//! - [`journal`], [`metrics`]: what operators see.

pub mod admission;
pub mod attempt;
pub mod clock;
pub mod courier;
pub mod cut;
pub mod dialect;
pub mod evacuation;
pub mod event;
pub mod exchange;
pub mod flags;
pub mod gossip;
pub mod inbox;
pub mod journal;
pub mod lease;
mod leaving;
pub mod life;
pub mod memories;
pub mod metrics;
pub mod node;
pub mod owner;
pub mod pending;
pub mod place;
pub mod pool;
pub mod quarantine;
pub mod queue;
pub mod relay;
pub mod reply;
pub mod request_log;
pub mod server;
pub mod settings;
mod spillover;
pub mod state;
pub mod strain;
pub mod suspension;
pub mod targets;
pub mod view;
