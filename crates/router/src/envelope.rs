//! What one frame between routers carries.
//!
//! The kernel's messages and the configuration share the links. An accepted
//! configuration passes between routers as the record of the log that states
//! it, so a receiver judges it by the same rule as a reader of the log.

use bincode::{Decode, Encode};
use dunlinward_kernel::message::Message;

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Envelope {
    /// Messages of the kernel, in order.
    Kernel(Vec<Message>),
    /// A statement of the accepted configuration.
    Configuration(String),
    /// Asks for the accepted configuration when it is newer than this revision.
    Ask(Option<u64>),
}
