//! Seals: frames bound to their session and position.
//!
//! The payload of each frame of a session is followed by the first eight bytes of an
//! HMAC-SHA256 by the session's key for that direction, over the frame's
//! sequence number and its payload. The sequence number is not sent: the
//! stream is ordered, so both ends count. A frame injected, repeated, dropped
//! or moved from another session or direction fails, and the link is closed.
//! One guess succeeds with probability 2^-64 and a wrong one ends the session,
//! so eight bytes are enough.

use bytes::{BufMut, Bytes, BytesMut};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};
use subtle::ConstantTimeEq;

use crate::hello::Tag;

/// Bytes that a seal adds to a message.
pub const SEAL: usize = 8;

/// A message whose seal does not verify.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("frame is not of this session"))]
pub struct Broken;

/// Seals the messages of one direction.
#[derive(Debug)]
pub struct Sealer {
    state: State,
}

impl Sealer {
    /// A sealer that starts at sequence number zero.
    #[must_use]
    pub fn new(key: Tag) -> Self {
        let state = State::new(key);
        Self { state }
    }

    /// The message followed by its seal.
    pub fn seal(&mut self, message: &[u8]) -> Bytes {
        let seal = self.state.advance(message);
        let mut sealed = BytesMut::with_capacity(message.len() + SEAL);
        sealed.put_slice(message);
        sealed.put_slice(&seal);
        sealed.freeze()
    }
}

/// Opens the messages of one direction.
#[derive(Debug)]
pub struct Opener {
    state: State,
}

impl Opener {
    /// An opener that starts at sequence number zero.
    #[must_use]
    pub fn new(key: Tag) -> Self {
        let state = State::new(key);
        Self { state }
    }

    /// The message without its seal.
    ///
    /// # Errors
    ///
    /// [`Broken`] when the seal does not verify.
    pub fn open(&mut self, mut sealed: Bytes) -> Result<Bytes, Broken> {
        ensure!(sealed.len() >= SEAL, BrokenSnafu);
        let found = sealed.split_off(sealed.len() - SEAL);
        let expected = self.state.advance(&sealed);
        ensure!(bool::from(expected.ct_eq(&found)), BrokenSnafu);
        Ok(sealed)
    }
}

/// Keyed hash and sequence number of one direction.
#[derive(Debug)]
struct State {
    mac: Hmac<Sha256>,
    next: u64,
}

impl State {
    fn new(key: Tag) -> Self {
        let mac = Hmac::new_from_slice(&key).expect("HMAC takes keys of any length");
        Self { mac, next: 0 }
    }

    fn advance(&mut self, message: &[u8]) -> [u8; SEAL] {
        let mut mac = self.mac.clone();
        mac.update(&self.next.to_be_bytes());
        mac.update(message);
        self.next += 1;
        let tag: Tag = mac.finalize().into_bytes().into();
        let mut seal = [0; SEAL];
        seal.copy_from_slice(&tag[..SEAL]);
        seal
    }
}
