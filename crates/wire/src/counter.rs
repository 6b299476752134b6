//! Counters of a pool.
//!
//! [`Counter`] is shared by the threads of a pool; [`Snapshot`] is a copy to
//! read. Bytes are counted at the socket and so include HTTP/2 frames. Headers
//! of TCP and IP are estimated: a write of `n` bytes takes `n /`
//! [`SEGMENT_PAYLOAD`] segments rounded up, each with [`SEGMENT_HEADER`] bytes.
//! Acknowledgements that travel alone are not counted, nor is the handshake of
//! TCP. The former add at most one bare header for each segment received.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::hello::Refusal;

/// Bytes of data in a full segment on Ethernet.
pub const SEGMENT_PAYLOAD: u64 = 1448;

/// Bytes of IPv4 and TCP headers of a segment with the timestamp option.
pub const SEGMENT_HEADER: u64 = 52;

/// Why a message was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// A newer message needed its place in the queue.
    Full,
    /// It waited too long.
    Stale,
    /// No such peer is known.
    Unknown,
    /// It is larger than a frame can carry.
    Oversize,
    /// The link closed while it was being written.
    Lost,
}

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Close {
    /// Nothing passed for the idle time.
    Idle,
    /// The other end closed or the connection broke.
    Ended,
    /// Bytes that are no frames arrived.
    Frame,
    /// The stream ended within a frame.
    Truncated,
    /// A frame was not of the session.
    Seal,
    /// The other end took no bytes for too long.
    Stall,
    /// A newer session or incarnation took its place.
    Superseded,
}

macro_rules! reasons {
    ($type:ty, $($variant:ident => $name:literal),+ $(,)?) => {
        impl $type {
            /// Each reason, in the order of its counters.
            pub const ALL: &[Self] = &[$(Self::$variant),+];

            /// Name of the reason as a metric label.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name),+
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

reasons! {
    Loss,
    Full => "full",
    Stale => "stale",
    Unknown => "unknown",
    Oversize => "oversize",
    Lost => "lost",
}

reasons! {
    Close,
    Idle => "idle",
    Ended => "ended",
    Frame => "frame",
    Truncated => "truncated",
    Seal => "seal",
    Stall => "stall",
    Superseded => "superseded",
}

reasons! {
    Refusal,
    Busy => "busy",
    Connect => "connect",
    Closed => "closed",
    Timeout => "timeout",
    Malformed => "malformed",
    Version => "version",
    Key => "key",
    Replay => "replay",
    Instance => "instance",
    Incarnation => "incarnation",
}

const DROPS: usize = Loss::ALL.len();
const CLOSES: usize = Close::ALL.len();
const REFUSALS: usize = Refusal::ALL.len();

/// Counters that threads share.
#[derive(Debug, Default)]
pub struct Counter {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    segments_in: AtomicU64,
    segments_out: AtomicU64,
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    connects: AtomicU64,
    reconnects: AtomicU64,
    accepts: AtomicU64,
    drops: [AtomicU64; DROPS],
    closes: [AtomicU64; CLOSES],
    refusals: [AtomicU64; REFUSALS],
}

impl Counter {
    /// A copy of the counters; not one instant across all of them.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            bytes_in: read(&self.bytes_in),
            bytes_out: read(&self.bytes_out),
            segments_in: read(&self.segments_in),
            segments_out: read(&self.segments_out),
            messages_in: read(&self.messages_in),
            messages_out: read(&self.messages_out),
            connects: read(&self.connects),
            reconnects: read(&self.reconnects),
            accepts: read(&self.accepts),
            drops: std::array::from_fn(|i| read(&self.drops[i])),
            closes: std::array::from_fn(|i| read(&self.closes[i])),
            refusals: std::array::from_fn(|i| read(&self.refusals[i])),
        }
    }

    pub(crate) fn read_bytes(&self, bytes: usize) {
        add(&self.bytes_in, bytes as u64);
        add(&self.segments_in, segments(bytes));
    }

    pub(crate) fn wrote_bytes(&self, bytes: usize) {
        add(&self.bytes_out, bytes as u64);
        add(&self.segments_out, segments(bytes));
    }

    pub(crate) fn received(&self) {
        add(&self.messages_in, 1);
    }

    pub(crate) fn sent(&self, messages: usize) {
        add(&self.messages_out, messages as u64);
    }

    pub(crate) fn connected(&self, again: bool) {
        add(&self.connects, 1);
        add(&self.reconnects, u64::from(again));
    }

    pub(crate) fn accepted(&self) {
        add(&self.accepts, 1);
    }

    pub(crate) fn dropped(&self, reason: Loss, messages: usize) {
        add(&self.drops[reason.index()], messages as u64);
    }

    pub(crate) fn closed(&self, reason: Close) {
        add(&self.closes[reason.index()], 1);
    }

    pub(crate) fn refused(&self, reason: Refusal) {
        add(&self.refusals[reason.index()], 1);
    }
}

/// Counters at some moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Bytes read from sockets, HTTP/2 included.
    pub bytes_in: u64,
    /// Bytes written to sockets, HTTP/2 included.
    pub bytes_out: u64,
    /// Estimated segments received.
    pub segments_in: u64,
    /// Estimated segments sent.
    pub segments_out: u64,
    /// Messages delivered to the inbox.
    pub messages_in: u64,
    /// Messages handed to a connection.
    pub messages_out: u64,
    /// Sessions opened by dialing.
    pub connects: u64,
    /// Of those, the ones to a peer that had a session before.
    pub reconnects: u64,
    /// Sessions opened by accepting.
    pub accepts: u64,
    drops: [u64; DROPS],
    closes: [u64; CLOSES],
    refusals: [u64; REFUSALS],
}

impl Snapshot {
    /// Messages dropped for `reason`.
    #[must_use]
    pub fn drops(&self, reason: Loss) -> u64 {
        self.drops[reason.index()]
    }

    /// Sessions ended for `reason`.
    #[must_use]
    pub fn closes(&self, reason: Close) -> u64 {
        self.closes[reason.index()]
    }

    /// Hellos refused for `reason`.
    #[must_use]
    pub fn refusals(&self, reason: Refusal) -> u64 {
        self.refusals[reason.index()]
    }

    /// Estimated bytes received, headers of TCP and IP included.
    #[must_use]
    pub fn network_in(&self) -> u64 {
        self.bytes_in + SEGMENT_HEADER * self.segments_in
    }

    /// Estimated bytes sent, headers of TCP and IP included.
    #[must_use]
    pub fn network_out(&self) -> u64 {
        self.bytes_out + SEGMENT_HEADER * self.segments_out
    }

    /// Most bytes that acknowledgements add in both directions.
    #[must_use]
    pub fn acknowledgements(&self) -> u64 {
        SEGMENT_HEADER * (self.segments_in + self.segments_out)
    }
}

fn segments(bytes: usize) -> u64 {
    (bytes as u64).div_ceil(SEGMENT_PAYLOAD)
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}
