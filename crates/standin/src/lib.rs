//! Small stand-ins for the systems around a dunlinward fleet.
//!
//! Each module stands in for one outside system: the model [`engine`], the
//! [`plain`] service, the append-only [`log`], the list of [`instances`] and
//! the store of [`weights`]. Each has a `Settings` type and a `start` function
//! that returns a running [`Server`]; servers share nothing, so a test may run
//! any number of them inside one process. The binary `standin` runs the same
//! servers as separate processes.
//!
//! [`load`] stands in for the customers: it calls a fleet and checks the answers.
//!
//! `demo` and `measure` run a whole fleet, or its kernels, among them.
//!
//! The stand-ins exist to be unpleasant: each has a `POST /admin/faults` that
//! brings about the failures which the real systems are known for. They hold
//! everything in memory and bind only to the address that they are given.

#[cfg(feature = "fleet")]
pub mod demo;
pub mod engine;
mod http;
pub mod instances;
pub mod load;
pub mod log;
#[cfg(feature = "fleet")]
pub mod measure;
pub mod plain;
mod rate;
pub mod weights;

pub use http::Server;
