//! Decision logic of a dunlinward router, free of input and output.
//!
//! A [`kernel::Kernel`] is the deterministic state machine of one router: it consumes
//! [`event::Event`]s, each with the time at which it happened, and returns
//! [`action::Action`]s for its driver to carry out. It reads no clock, opens no socket,
//! starts no thread and draws no random number of its own, so the same events give the
//! same actions in the router, in a scenario and in a measurement.
//!
//! Modules, from basic types to the step function:
//!
//! - [`time`], [`id`], [`key`]: instants, dense indices, and keys on the wire.
//! - [`table`]: the accepted configuration as dense tables.
//! - [`event`], [`action`], [`message`], [`verdict`]: inputs and outputs.
//! - [`membership`], [`rendezvous`]: live instances and the owner of each target.
//! - [`queue`], [`request`]: requests from arrival to completion.
//! - [`retry`], [`health`]: retries, and targets to avoid.
//! - [`account`], [`round`]: service received, summed over the fleet.
//! - [`owner`], [`holder`]: granting and using a target's slots.
//! - [`plugin`]: replaceable policies, registered by other packages.
//! - [`kernel`]: the step function that combines them.
//! - [`verify`]: invariants, checked independently of the code that maintains them.

pub mod account;
pub mod action;
pub mod event;
pub mod health;
pub mod holder;
pub mod id;
pub mod kernel;
pub mod key;
pub mod membership;
pub mod message;
pub mod owner;
pub mod plugin;
pub mod queue;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod round;
pub mod settings;
pub mod table;
pub mod time;
pub mod verdict;
pub mod verify;
