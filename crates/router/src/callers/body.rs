//! The body of an answer, as the connection reads it.
//!
//! A [`Guard`] travels with the answer from its first byte to its last. When the
//! connection drops it early, the caller has left, and the driver is told.

use std::io;
use std::pin::Pin;
use std::sync::mpsc::Sender;
use std::task::{Context, Poll};

use bytes::Bytes;
use dunlinward_kernel::event::Event;
use dunlinward_kernel::id;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::Receiver;

use crate::driver::Input;
use crate::reply::Part;

/// Tells the driver when its caller leaves early.
#[derive(Debug)]
pub(crate) struct Guard {
    request: id::Request,
    driver: Sender<Input>,
    over: bool,
}

impl Guard {
    /// A guard of a request that the driver knows.
    pub fn new(request: id::Request, driver: Sender<Input>) -> Self {
        Self {
            request,
            driver,
            over: false,
        }
    }

    /// The answer is over: nobody leaves any more.
    pub fn over(&mut self) {
        self.over = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.over {
            // A driver that is gone has ended the request already.
            let _ = self
                .driver
                .send(Input::Event(Event::CallerLeft(self.request)));
        }
    }
}

/// The body of an answer.
pub(crate) enum Payload {
    /// All of it.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Parts(Receiver<Part>, Guard),
}

impl Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Parts(parts, guard) => parts.poll_recv(cx).map(|part| frame(part, guard)),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            Self::Parts(..) => SizeHint::default(),
        }
    }
}

fn frame(part: Option<Part>, guard: &mut Guard) -> Option<Result<Frame<Bytes>, io::Error>> {
    match part {
        Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
        Some(Part::End) => {
            guard.over();
            None
        }
        Some(Part::Head(_)) | None => {
            guard.over();
            Some(Err(io::Error::other("the answer was cut short")))
        }
    }
}
