//! Clients for the systems that the platform gives: the append-only [`log`] and the list of [`instances`].
//!
//! Each is a trait with two implementations, a client over HTTP and a fake in memory for tests. A call to the log
//! can take effect while its answer is lost, so every [`Error`] has a [`Verdict`] on whether it may have. Clients
//! talk to IP numbers and take no proxy from the environment.

pub mod error;
mod http;
pub mod instances;
pub mod log;

pub use error::{Error, Verdict};
