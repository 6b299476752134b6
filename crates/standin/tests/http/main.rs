//! The stand-ins over HTTP.

mod engine;
mod load;
mod services;
mod support;
