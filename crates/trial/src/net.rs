//! The network between instances: delay, loss, doubles and cuts.

use std::collections::BTreeSet;
use std::time::Duration;

use dunlinward_kernel::key::Key;
use dunlinward_kernel::message::Message;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Bytes around a lone message on a link, measured: `link-cost` of dunlinward-wire.
pub const FRAMING: u64 = 75;

/// Its part of acknowledgements, from the same measurement.
pub const ACKNOWLEDGEMENT: u64 = 26;

/// The network.
#[derive(Clone, Debug)]
pub struct Net {
    /// Delay within a failure domain, one way.
    pub near: Duration,
    /// Delay between failure domains, one way.
    pub far: Duration,
    /// Messages lost, in thousandths.
    pub loss: u32,
    /// Messages doubled, in thousandths.
    pub doubles: u32,
    cuts: BTreeSet<(Key, Key)>,
}

impl Net {
    /// A network that loses nothing.
    #[must_use]
    pub const fn new(near: Duration, far: Duration) -> Self {
        Self {
            near,
            far,
            loss: 0,
            doubles: 0,
            cuts: BTreeSet::new(),
        }
    }

    /// Cuts the way from one instance to another, one way only.
    pub fn cut(&mut self, from: Key, to: Key) {
        self.cuts.insert((from, to));
    }

    /// Mends the way from one instance to another.
    pub fn mend(&mut self, from: Key, to: Key) {
        self.cuts.remove(&(from, to));
    }

    /// Whether the way from one instance to another is cut.
    #[must_use]
    pub fn is_cut(&self, from: Key, to: Key) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Copies of a message that arrive, each with its delay.
    pub fn copies(&self, random: &mut Pcg64Mcg, from: Key, to: Key, near: bool) -> Vec<Duration> {
        if self.is_cut(from, to) || random.random_range(0..1_000) < self.loss {
            return Vec::new();
        }
        let delay = if near { self.near } else { self.far };
        if random.random_range(0..1_000) < self.doubles {
            return vec![delay, delay * 3];
        }
        vec![delay]
    }
}

/// Bytes of messages on the wire in one frame, with framing and acknowledgement.
///
/// # Panics
///
/// When a message cannot be encoded, which plain data always can.
#[must_use]
pub fn size(messages: &[Message]) -> u64 {
    let bytes = bincode::encode_to_vec(messages, bincode::config::standard())
        .expect("messages are plain data");
    bytes.len() as u64 + FRAMING + ACKNOWLEDGEMENT
}
