//! The dunlinward router.
//!
//! A router terminates callers, keeps their requests while they wait, sends them
//! to targets and talks to the other routers. All decisions are the kernel's;
//! this crate brings it events and carries out its actions. Everything belongs
//! to one [`Router`] value, so a process may run any number of them.
//!
//! - [`settings`], [`flags`], [`logs`]: what the binary is told and what it tells.
//! - `callers`: the callers' port, from HTTP to an arrival.
//! - [`reply`], [`refusal`], [`call`], [`idempotency`]: a request and its answer.
//! - [`targets`], [`worker`]: attempts at targets.
//! - `driver`: the thread that owns the kernel.
//! - `links`, [`envelope`]: the other routers.
//! - `configuration`, [`current`], `instances`: what the platform tells.
//! - `operators`, [`metrics`], [`state`], [`explain`]: what operators see.
//! - [`router`]: how it is all put together and taken apart.

mod callers;
mod configuration;
mod driver;
mod instances;
mod links;
mod operators;
mod stop;

pub mod call;
pub mod clock;
pub mod current;
pub mod envelope;
pub mod explain;
pub mod flags;
pub mod idempotency;
pub mod logs;
pub mod metrics;
pub mod refusal;
pub mod reply;
pub mod router;
pub mod settings;
pub mod state;
pub mod targets;
pub mod worker;

pub use router::{Error, Router, start};
pub use settings::Settings;

// Linking the policies is what makes the kernel find them by name.
use dunlinward_policies as _;
