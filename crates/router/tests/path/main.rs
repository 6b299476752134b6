//! The whole path: callers, a router, stand-ins, the platform.

mod answers;
mod explain;
mod failures;
mod fleet;
mod heads;
mod idle;
mod metrics;
mod stops;
mod world;
