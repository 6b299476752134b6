//! The decisions of a dunlinward router, free of input and output.
//!
//! A [`kernel::Kernel`] is one router's mind: it is fed [`event::Event`]s, each
//! with the time at which it happened, and answers with [`action::Action`]s for
//! its driver to carry out. It reads no clock, opens no socket, starts no thread
//! and draws no random number of its own, so the same events give the same
//! actions in the router, in a scenario and in a measurement.
//!
//! The modules read like the way of a request:
//!
//! - [`time`], [`id`], [`key`]: moments, dense indices, and names on the wire.
//! - [`table`]: the accepted configuration as dense tables.
//! - [`event`], [`action`], [`message`], [`verdict`]: what goes in and out.
//! - [`membership`], [`rendezvous`]: who is alive and who owns which target.
//! - [`queue`], [`request`]: callers' requests while they are ours.
//! - [`retry`], [`health`]: trying again, and where not to.
//! - [`account`], [`round`]: service received, summed over the fleet.
//! - [`owner`], [`holder`]: handing out and using a target's slots.
//! - [`plugin`]: what may vary, registered by other packages.
//! - [`kernel`]: the step function that binds them.
//! - [`verify`]: invariants, checked apart from the code that keeps them.

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
