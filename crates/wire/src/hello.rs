//! The hello: mutual authentication of the two ends of a link.
//!
//! Three messages open a link, each in one frame:
//!
//! 1. dialer to acceptor: [`Hello`] with a fresh nonce and the dialer's identity
//! 2. acceptor to dialer: [`Answer`], its own hello and a tag
//! 3. dialer to acceptor: [`Confirm`], a tag
//!
//! The acceptor's first sealed frame then tells the dialer that it is let in.
//!
//! Each tag is HMAC-SHA256 by the fleet's key over a label for the role and
//! both hellos, hence over both nonces, both instance names and the version.
//! The labels differ, so a tag cannot be reflected to its author, and each end
//! contributes a nonce, so a recorded exchange does not verify again. Tags are
//! compared in constant time. Two further tags over the same transcript are
//! the keys that [`crate::seal`] uses, one for each direction.
//!
//! The steps are typestates: [`Dialer`] and [`Acceptor`] are consumed by the
//! message that they wait for, and only that yields a [`Session`].

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bincode::{Decode, Encode};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::{Snafu, ensure};
use subtle::ConstantTimeEq;

use crate::codec;
use crate::frame;
use crate::seal::{Opener, Sealer};

/// Version of the messages carried by default.
pub const VERSION: u16 = 1;

/// Most bytes of an encoded hello message.
pub const MAX_HELLO: usize = 1024;

/// Fewest bytes of a key.
pub const MIN_KEY: usize = 16;

/// Bytes of a nonce.
pub const NONCE: usize = 16;

/// Bytes of a tag.
pub const TAG: usize = 32;

const ACCEPTOR: &[u8] = b"dunlinward hello acceptor";
const DIALER: &[u8] = b"dunlinward hello dialer";
const FROM_ACCEPTOR: &[u8] = b"dunlinward frames from acceptor";
const FROM_DIALER: &[u8] = b"dunlinward frames from dialer";

/// Number used once, from the caller's random source.
pub type Nonce = [u8; NONCE];

/// Full-length authentication tag.
pub type Tag = [u8; TAG];

/// The fleet's shared secret.
#[derive(Clone)]
pub struct Key {
    bytes: Arc<[u8]>,
}

/// A key that is too short to be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("key of {size} bytes, at least {MIN_KEY} are needed"))]
pub struct Short {
    size: usize,
}

impl Key {
    /// A key of at least [`MIN_KEY`] bytes.
    ///
    /// # Errors
    ///
    /// [`Short`] for fewer bytes.
    pub fn new(bytes: &[u8]) -> Result<Self, Short> {
        let size = bytes.len();
        ensure!(size >= MIN_KEY, ShortSnafu { size });
        Ok(Self {
            bytes: bytes.into(),
        })
    }

    fn tag(&self, label: &[u8], transcript: &[u8]) -> Tag {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.bytes).expect("HMAC takes keys of any length");
        mac.update(label);
        mac.update(transcript);
        mac.finalize().into_bytes().into()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

/// Who stands at one end of a link.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Number that rises with each start of the instance.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Address at which the instance accepts links.
    pub listen: SocketAddr,
}

/// First message of either end.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Version of the messages that the link will carry.
    pub version: u16,
    /// Fresh nonce of the sender.
    pub nonce: Nonce,
    /// Sender of the hello.
    pub identity: Identity,
}

/// The acceptor's hello and proof.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Answer {
    /// Hello of the acceptor.
    pub hello: Hello,
    /// Proof that the acceptor holds the key.
    pub tag: Tag,
}

/// The dialer's proof.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Confirm {
    /// Proof that the dialer holds the key.
    pub tag: Tag,
}

/// Why a hello did not lead to a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
    /// Too many connections are still opening.
    #[snafu(display("too many connections are opening"))]
    Busy,
    /// The connection could not be made.
    #[snafu(display("no connection"))]
    Connect,
    /// The other end closed before the session was open.
    #[snafu(display("closed during the hello"))]
    Closed,
    /// The hello took too long.
    #[snafu(display("hello timed out"))]
    Timeout,
    /// The bytes are no hello.
    #[snafu(display("malformed hello"))]
    Malformed,
    /// The other end speaks another version.
    #[snafu(display("other version"))]
    Version,
    /// The tag was made with another key or over another exchange.
    #[snafu(display("wrong key"))]
    Key,
    /// The hello was seen before.
    #[snafu(display("replayed hello"))]
    Replay,
    /// The other end is another instance than the one dialed.
    #[snafu(display("another instance answers at the address"))]
    Instance,
    /// A later incarnation of the instance is known.
    #[snafu(display("incarnation is older than one seen"))]
    Incarnation,
}

impl From<codec::Error> for Refusal {
    fn from(_: codec::Error) -> Self {
        Self::Malformed
    }
}

impl From<frame::Error> for Refusal {
    fn from(error: frame::Error) -> Self {
        match error {
            frame::Error::Version { .. } => Self::Version,
            frame::Error::Oversize { .. } => Self::Malformed,
            frame::Error::Truncated { .. } => Self::Closed,
        }
    }
}

/// An authenticated session.
#[derive(Debug)]
pub struct Session {
    /// The other end.
    pub peer: Identity,
    /// Seals the frames to send.
    pub sealer: Sealer,
    /// Opens the frames received.
    pub opener: Opener,
}

/// A dialer that waits for the answer.
#[derive(Debug)]
pub struct Dialer {
    key: Key,
    hello: Hello,
}

impl Dialer {
    /// A dialer that will send `hello`.
    #[must_use]
    pub fn new(key: Key, hello: Hello) -> Self {
        Self { key, hello }
    }

    /// The hello to send.
    #[must_use]
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Checks the answer; yields the confirmation to send and the session.
    ///
    /// # Errors
    ///
    /// [`Refusal::Version`] or [`Refusal::Key`].
    pub fn finish(self, answer: Answer) -> Result<(Confirm, Session), Refusal> {
        check_version(&self.hello, &answer.hello)?;
        let transcript = transcript(&self.hello, &answer.hello)?;
        check_tag(self.key.tag(ACCEPTOR, &transcript), answer.tag)?;
        let tag = self.key.tag(DIALER, &transcript);
        let session = Session {
            peer: answer.hello.identity,
            sealer: Sealer::new(self.key.tag(FROM_DIALER, &transcript)),
            opener: Opener::new(self.key.tag(FROM_ACCEPTOR, &transcript)),
        };
        Ok((Confirm { tag }, session))
    }
}

/// An acceptor that waits for the confirmation.
#[derive(Debug)]
pub struct Acceptor {
    key: Key,
    dialer: Identity,
    transcript: Vec<u8>,
}

impl Acceptor {
    /// Answers the dialer's hello with `own`; yields the answer to send.
    ///
    /// # Errors
    ///
    /// [`Refusal::Version`] when the versions differ.
    pub fn new(key: Key, own: Hello, dialer: Hello) -> Result<(Answer, Self), Refusal> {
        check_version(&own, &dialer)?;
        let transcript = transcript(&dialer, &own)?;
        let tag = key.tag(ACCEPTOR, &transcript);
        let acceptor = Self {
            key,
            dialer: dialer.identity,
            transcript,
        };
        Ok((Answer { hello: own, tag }, acceptor))
    }

    /// Checks the confirmation; yields the session.
    ///
    /// # Errors
    ///
    /// [`Refusal::Key`] when the tag does not verify.
    pub fn finish(self, confirm: &Confirm) -> Result<Session, Refusal> {
        check_tag(self.key.tag(DIALER, &self.transcript), confirm.tag)?;
        Ok(Session {
            peer: self.dialer,
            sealer: Sealer::new(self.key.tag(FROM_ACCEPTOR, &self.transcript)),
            opener: Opener::new(self.key.tag(FROM_DIALER, &self.transcript)),
        })
    }
}

fn check_version(one: &Hello, other: &Hello) -> Result<(), Refusal> {
    ensure!(one.version == other.version, VersionSnafu);
    Ok(())
}

fn check_tag(expected: Tag, found: Tag) -> Result<(), Refusal> {
    ensure!(bool::from(expected.ct_eq(&found)), KeySnafu);
    Ok(())
}

/// Both hellos in the order dialer, acceptor, with the frame version.
fn transcript(dialer: &Hello, acceptor: &Hello) -> Result<Vec<u8>, Refusal> {
    let mut transcript = vec![frame::VERSION];
    transcript.extend(codec::encode(dialer, MAX_HELLO)?);
    transcript.extend(codec::encode(acceptor, MAX_HELLO)?);
    Ok(transcript)
}
