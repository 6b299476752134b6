//! The life of one session, from its hello to its close.
//!
//! The acceptor's first frame is an empty batch, the welcome. It tells the dialer
//! that the session stands, so that a dialer which is refused at the last step
//! reports nothing and backs off.
//!
//! The connection, the hello and the session are futures of one task. The
//! connection future is polled beside the others, since HTTP/2 makes no
//! progress without it. When it ends first, what it had already received is
//! still read.

use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::batch::Batch;
use crate::counter::{Close, Counter, Loss};
use crate::frame::{self, Frame, MAX_PAYLOAD};
use crate::hello::{Refusal, Session};
use crate::link::channel::{Reader, Stop, Writer};
use crate::link::peer::{Peer, Place};
use crate::link::shared::Shared;
use crate::seal::{Opener, Sealer};

/// Most bytes of messages written together, to fit one DATA frame.
const TOGETHER: usize = 15 << 10;

/// Time to read what a closed connection had received.
const DRAIN: Duration = Duration::from_secs(1);

/// Which end opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// This end.
    Dialed,
    /// The other end.
    Accepted,
}

/// An authenticated session with its two bodies.
pub(super) struct Opened {
    pub(super) session: Session,
    pub(super) reader: Reader,
    pub(super) writer: Writer,
}

/// Runs the hello and then the session until it closes.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    origin: Origin,
    deadline: Instant,
    connection: impl Future<Output = ()>,
    hello: impl Future<Output = Result<Opened, Refusal>>,
) -> Result<(), Refusal> {
    let mut connection = pin!(connection);
    let opened = tokio::select! {
        opened = timeout_at(deadline, hello) => opened.unwrap_or(Err(Refusal::Timeout))?,
        () = &mut connection => return Err(Refusal::Closed),
    };
    let (peer, place) = shared.attach(origin, &opened.session.peer)?;
    let close = {
        let mut run = pin!(run(shared, origin, &peer, &place, opened));
        tokio::select! {
            close = &mut run => close,
            () = &mut connection => timeout(DRAIN, run).await.unwrap_or(Close::Ended),
        }
    };
    shared.counter.closed(close);
    shared.detach(&peer, place.id);
    Ok(())
}

async fn run(shared: &Shared, origin: Origin, peer: &Peer, place: &Place, opened: Opened) -> Close {
    let activity = Activity::new();
    let Session { sealer, opener, .. } = opened.session;
    let reader = opened.reader.with_limit(MAX_PAYLOAD);
    let context = Context {
        shared,
        origin,
        peer,
        id: place.id,
        activity: &activity,
    };
    tokio::select! {
        close = context.read(reader, opener) => close,
        close = context.write(opened.writer, sealer) => close,
        () = activity.idle(shared.limits.idle) => Close::Idle,
        () = place.close.notified() => Close::Superseded,
    }
}

/// What the two directions of a session need.
struct Context<'a> {
    shared: &'a Shared,
    origin: Origin,
    peer: &'a Peer,
    id: u64,
    activity: &'a Activity,
}

impl Context<'_> {
    async fn read(&self, mut reader: Reader, mut opener: Opener) -> Close {
        loop {
            let sealed = match reader.next().await {
                Ok(sealed) => sealed,
                Err(Stop::Ended) => return Close::Ended,
                Err(Stop::Frame(frame::Error::Truncated { .. })) => return Close::Truncated,
                Err(Stop::Frame(_)) => return Close::Frame,
            };
            let Ok(payload) = opener.open(sealed) else {
                return Close::Seal;
            };
            let Ok(batch) = Batch::decode(&payload) else {
                return Close::Frame;
            };
            self.activity.touch();
            if !self.deliver(batch) {
                return Close::Superseded;
            }
        }
    }

    /// Reports a batch; false when the session no longer stands.
    fn deliver(&self, batch: Batch) -> bool {
        let report = |event| {
            self.shared.counter.received();
            self.shared.report(event);
        };
        self.peer.deliver(self.id, batch, report)
    }

    async fn write(&self, mut writer: Writer, mut sealer: Sealer) -> Close {
        let counter = &self.shared.counter;
        if self.origin == Origin::Accepted {
            let welcome = pack(&mut sealer, &Batch::default());
            if let Err(close) = self.flush(&mut writer, welcome).await {
                return close;
            }
        }
        loop {
            let batch = self.peer.batch(self.id, TOGETHER, counter).await;
            let pending = Pending::new(counter, batch.messages.len());
            let bytes = pack(&mut sealer, &batch);
            if let Err(close) = self.flush(&mut writer, bytes).await {
                return close;
            }
            pending.sent();
            self.activity.touch();
        }
    }

    async fn flush(&self, writer: &mut Writer, bytes: Bytes) -> Result<(), Close> {
        match timeout(self.shared.limits.dead, writer.write(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Close::Ended),
            Err(_) => Err(Close::Stall),
        }
    }
}

/// The sealed frame of a batch.
fn pack(sealer: &mut Sealer, batch: &Batch) -> Bytes {
    let mut out = BytesMut::new();
    let encoded = batch.encode().expect("the pool refuses longer messages");
    let payload = sealer.seal(&encoded);
    Frame::new(payload)
        .expect("a batch leaves room for its seal")
        .write(&mut out);
    out.freeze()
}

/// Messages taken from the queue; counted as lost unless sent.
struct Pending<'a> {
    counter: &'a Counter,
    messages: usize,
}

impl<'a> Pending<'a> {
    fn new(counter: &'a Counter, messages: usize) -> Self {
        Self { counter, messages }
    }

    fn sent(mut self) {
        self.counter.sent(self.messages);
        self.messages = 0;
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.counter.dropped(Loss::Lost, self.messages);
    }
}

/// When a session last carried a message.
struct Activity {
    last: Mutex<Instant>,
}

impl Activity {
    fn new() -> Self {
        let last = Mutex::new(Instant::now());
        Self { last }
    }

    fn touch(&self) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn last(&self) -> Instant {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends when nothing passed for `time`.
    async fn idle(&self, time: Duration) {
        loop {
            let end = self.last() + time;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }
}
