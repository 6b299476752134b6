//! The configuration of a dunlinward fleet: one whole TOML file.
//!
//! Operators declare the fleet, its customers, services and targets in one file and apply the file as a whole.
//! [`mod@file`] holds the parsed types, [`check`] reports every problem of a text at once with its line, [`diff`]
//! names what differs between two configurations and [`key`] finds the customer of a bearer key.
//!
//! [`revision`] turns the log of applied files into the one accepted configuration. It is a pure fold over the
//! records, so every reader that knows the same prefix of the log holds the same configuration.

pub mod check;
pub mod diff;
pub mod error;
pub mod file;
pub mod key;
mod read;
pub mod revision;

pub use file::Config;
