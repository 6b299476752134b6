//! The whole path: callers, a router, stand-ins, the platform.

mod answers;
mod failures;
mod fleet;
mod idle;
mod world;
