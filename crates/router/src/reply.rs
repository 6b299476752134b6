//! The way of an answer from an attempt to its caller.
//!
//! A [`Sink`] is shared by the driver and the attempts of one request. Only the
//! attempt that the driver named last may write to it, and the check and the
//! write happen under one lock; so nothing of an attempt that was given up can
//! reach the caller, however late it comes. The caller's end is a bounded
//! channel: a caller that reads slowly slows its attempt, and one that reads
//! nothing for [`STALL`] counts as gone.
//!
//! An answer is whole when [`Part::End`] was read. A channel that closes before
//! it is a cut answer, and the caller's connection is broken to show it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{Receiver, Sender, channel};

/// Parts that may wait for a caller.
const PARTS: usize = 64;

/// How long a caller may read nothing while an answer waits.
pub const STALL: Duration = Duration::from_secs(20);

/// Pause between two looks at a full channel.
const LOOK: Duration = Duration::from_millis(2);

/// Number that no attempt has.
const NOBODY: u32 = u32::MAX;

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
}

/// One part of an answer.
#[derive(Clone, Debug)]
pub enum Part {
    /// The head; comes first and once.
    Head(Head),
    /// Bytes of the body, to be sent at once.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// Why a part was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// The caller is gone or reads nothing.
    Left,
    /// Another attempt answers now.
    Superseded,
}

#[derive(Debug)]
struct State {
    attempt: u32,
    head: bool,
    sender: Option<Sender<Part>>,
}

/// The writing end of an answer.
#[derive(Debug)]
pub struct Sink {
    state: Mutex<State>,
    stall: Duration,
}

impl Sink {
    /// Both ends of an answer.
    #[must_use]
    pub fn new() -> (Self, Receiver<Part>) {
        let (sender, receiver) = channel(PARTS);
        let state = State {
            attempt: NOBODY,
            head: false,
            sender: Some(sender),
        };
        let state = Mutex::new(state);
        let stall = STALL;
        (Self { state, stall }, receiver)
    }

    /// The same end, for a caller that may read nothing for `stall`.
    #[must_use]
    pub const fn with_stall(mut self, stall: Duration) -> Self {
        self.stall = stall;
        self
    }

    /// From now on only `attempt` may write.
    pub fn select(&self, attempt: u32) {
        self.lock().attempt = attempt;
    }

    /// Writes a part for `attempt`, waiting while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// [`Closed::Left`] or [`Closed::Superseded`].
    pub fn send(&self, attempt: u32, part: Part) -> Result<(), Closed> {
        let deadline = Instant::now() + self.stall;
        let mut part = part;
        loop {
            match self.offer(attempt, part) {
                Ok(()) => return Ok(()),
                Err(Offer::Closed(closed)) => return Err(closed),
                Err(Offer::Full(back)) => part = back,
            }
            if Instant::now() > deadline {
                return Err(Closed::Left);
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Whether the caller was sent a head.
    #[must_use]
    pub fn started(&self) -> bool {
        self.lock().head
    }

    /// Ends the answer from the driver's side: with `parts` when nothing was
    /// sent yet, else by cutting it.
    pub fn finish(&self, parts: Vec<Part>) {
        let mut state = self.lock();
        state.attempt = NOBODY;
        let sender = state.sender.take();
        if state.head {
            return;
        }
        state.head = true;
        if let Some(sender) = sender {
            for part in parts {
                // The channel is empty, so only a caller that left refuses.
                let _ = sender.try_send(part);
            }
        }
    }

    fn offer(&self, attempt: u32, part: Part) -> Result<(), Offer> {
        let mut state = self.lock();
        if state.attempt != attempt {
            return Err(Offer::Closed(Closed::Superseded));
        }
        let Some(sender) = &state.sender else {
            return Err(Offer::Closed(Closed::Superseded));
        };
        match sender.try_send(part) {
            Ok(()) => {
                state.head = true;
                Ok(())
            }
            Err(TrySendError::Full(part)) => Err(Offer::Full(part)),
            Err(TrySendError::Closed(_)) => Err(Offer::Closed(Closed::Left)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Offer {
    Closed(Closed),
    Full(Part),
}
