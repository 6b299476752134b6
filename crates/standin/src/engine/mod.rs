//! The model engine: a pure [`model`] in virtual time and a [`server`] that
//! drives it with real time.

pub mod api;
pub mod model;
mod order;
pub mod server;
mod sink;
mod state;

pub use api::Fault;
pub use server::{Settings, start};
