//! The stand-ins over HTTP.

mod engine;
mod services;
mod support;
