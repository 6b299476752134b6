//! Many dunlinward kernels under virtual time.
//!
//! A [`fleet::Fleet`] steps real kernels with small fakes at their interfaces: a
//! [`net::Net`] that delays, loses, doubles and cuts messages, an
//! [`engine::Engine`] with slots, and a [`load::Load`] of customers. Nothing here
//! decides anything that a router would; a test bench from elsewhere can take its
//! place by feeding the same events and carrying out the same actions.
//!
//! - [`scenario`]: a small language for what happens and what must hold.
//! - [`spec`]: the size and shape of a trial.
//! - [`fleet`]: the driver.
//! - [`meter`]: what was received, and the figures made of it.
//! - [`report`]: the figures as one JSON object.
//! - [`faults`]: random faults, interleaved, on many small fleets.
//! - [`oracle`]: the naive version, one queue that knows everything.
//! - [`inject`]: faults of routers, targets, links, lists and callers.
//! - [`members`]: routers of the shared data path that learn which of them are alive.
//! - [`verify`]: invariants of the whole fleet, checked apart from the kernels.

#![allow(
    clippy::cast_precision_loss,
    reason = "figures of runs stay far below 2^52"
)]

pub mod engine;
pub mod faults;
pub mod fleet;
pub mod inject;
pub mod load;
pub mod members;
pub mod meter;
pub mod net;
pub mod oracle;
pub mod report;
pub mod scenario;
pub mod spec;
pub mod verify;
