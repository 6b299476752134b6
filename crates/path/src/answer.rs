//! Reads answers whole, charged to the account of what a router holds.
//!
//! An answer that is not a stream is kept until it is whole, so that its request can be sent again
//! if it breaks off, and then until its caller has received it.

use std::rc::Rc;

use dunlinward_dispatch::memory::{Holder, Kind};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::held::{Buffer, GivenUp};
use crate::node::Node;

/// Limit of the body of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why an answer was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// It broke off, or is longer than any answer may be.
    Broken,
    /// It gave way when the memory was used up.
    GivenUp,
}

impl From<GivenUp> for Error {
    fn from(_: GivenUp) -> Self {
        Self::GivenUp
    }
}

/// Reads a body to its end.
pub(crate) async fn read(
    node: &Node,
    holder: Holder,
    body: &mut Incoming,
) -> Result<Rc<Buffer>, Error> {
    let buffer = Buffer::new(&node.held, holder, Kind::Answer, node.now());
    let copied = tokio::select! {
        copied = copy(node, body, &buffer) => copied,
        () = buffer.given_up() => Err(Error::GivenUp),
    };
    copied.map(|()| buffer)
}

async fn copy(node: &Node, body: &mut Incoming, buffer: &Buffer) -> Result<(), Error> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::Broken)?;
        let data = frame.into_data().unwrap_or_default();
        buffer.push(&data, body.size_hint().exact(), node.now())?;
        if buffer.len() > MAX_ANSWER_BYTES {
            return Err(Error::Broken);
        }
    }
    buffer.complete();
    Ok(())
}
