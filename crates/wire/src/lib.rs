//! Frames and keyed links between dunlinward routers.
//!
//! The crate moves opaque messages between routers and knows nothing of their
//! meaning. It is layered so that each part can be tested without the next:
//!
//! - [`codec`] turns a typed message into bytes and back, within a byte limit.
//! - [`frame`] delimits messages in a byte stream.
//! - [`hello`] authenticates both ends of a link with the fleet's key.
//! - [`seal`] binds each later frame to the authenticated session.
//! - [`batch`] lets messages share a frame.
//! - [`queue`] bounds what waits for a peer.
//! - [`backoff`] spaces connection attempts.
//! - [`counter`] counts bytes, messages and each reason to drop or refuse.
//! - [`link`] carries it all over TCP with HTTP/2.
//!
//! Delivery is at most once and unacknowledged. Messages of one session arrive
//! in order; a message may be lost when a session ends or a queue overflows.
//! The protocols above are therefore built from idempotent, restated messages.

pub mod backoff;
pub mod batch;
pub mod codec;
pub mod counter;
pub mod frame;
pub mod hello;
pub mod link;
pub mod queue;
pub mod seal;

pub use codec::{decode, encode};
pub use frame::{Decoder, Frame};
pub use hello::{Identity, Key};
pub use link::{Event, Pool, Settings};
