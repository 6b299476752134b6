//! Reads answers whole, within the memory that a router has for all of them.
//!
//! [`dunlinward_dispatch::answer_memory`] decides which answers are given up.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use dunlinward_dispatch::answer_memory::{Answer, Ledger};
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;

use crate::node::Node;

/// Part of the process's memory for the bytes of answers that are being read. A buffer that grows
/// may take twice these bytes, and what it had before for a moment.
const MEMORY_DIVISOR: u64 = 8;

/// Limit of the body of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes that are charged at a time, as a target may send chunks of a few bytes.
const CHARGED_BYTES: usize = 16 * 1024;

/// Answers that are being read.
#[derive(Debug)]
pub(crate) struct Answers {
    ledger: RefCell<Ledger>,
    /// Notified when an answer is given up.
    readers: RefCell<HashMap<Answer, Rc<Notify>>>,
}

impl Answers {
    /// Creates a table of no answers in a process with so many bytes of memory, if that is bounded.
    pub(crate) fn new(memory: Option<u64>) -> Self {
        let limit = memory.map_or(u64::MAX, |it| it / MEMORY_DIVISOR);
        Self {
            ledger: RefCell::new(Ledger::new(limit)),
            readers: RefCell::default(),
        }
    }

    /// Charges bytes to an answer; an error if it has been given up.
    fn charge(&self, answer: Answer, bytes: usize) -> Result<(), Error> {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        let mut ledger = self.ledger.borrow_mut();
        let readers = self.readers.borrow();
        for given_up in ledger.grow(answer, bytes) {
            if let Some(reader) = readers.get(&given_up) {
                reader.notify_one();
            }
        }
        if ledger.holds(answer) {
            Ok(())
        } else {
            Err(Error::GivenUp)
        }
    }
}

/// Why an answer was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// It broke off, or is longer than any answer may be.
    Broken,
    /// It was the longest when the memory for answers was used up.
    GivenUp,
}

/// An answer that is being read, until it is dropped.
struct Reader<'a> {
    answers: &'a Answers,
    answer: Answer,
    given_up: Rc<Notify>,
}

impl<'a> Reader<'a> {
    fn new(answers: &'a Answers) -> Self {
        let answer = answers.ledger.borrow_mut().begin();
        let given_up = Rc::new(Notify::new());
        let mut readers = answers.readers.borrow_mut();
        readers.insert(answer, given_up.clone());
        Self {
            answers,
            answer,
            given_up,
        }
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        self.answers.ledger.borrow_mut().end(self.answer);
        self.answers.readers.borrow_mut().remove(&self.answer);
    }
}

/// Reads a body to its end.
pub(crate) async fn read(node: &Node, body: &mut Incoming) -> Result<Bytes, Error> {
    let reader = Reader::new(&node.answers);
    let mut given_up = pin!(reader.given_up.notified());
    let mut bytes = BytesMut::new();
    let mut charged = 0;
    loop {
        let frame = poll_fn(|context| match Pin::new(&mut *body).poll_frame(context) {
            Poll::Ready(frame) => Poll::Ready(Ok(frame)),
            Poll::Pending => given_up
                .as_mut()
                .poll(context)
                .map(|()| Err(Error::GivenUp)),
        });
        let Some(frame) = frame.await? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|_| Error::Broken)?;
        let data = frame.into_data().unwrap_or_default();
        bytes.extend_from_slice(&data);
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(Error::Broken);
        }
        if bytes.len() > charged {
            let more = (bytes.len() - charged).next_multiple_of(CHARGED_BYTES);
            reader.answers.charge(reader.answer, more)?;
            charged += more;
        }
    }
}
