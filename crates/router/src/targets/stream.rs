//! The events of a streamed answer, checked one by one.
//!
//! A stream's events carry the index `id:` and, in their data, the id of the
//! stream. The first event fixes the stream; an event of another stream, or one
//! with an index seen before, is late, doubled or crossed and is dropped and
//! counted. A missing index breaks the answer, as the caller would get a text
//! with a hole. The answer is whole only with `[DONE]` at its end.
//!
//! Units are the prompt's tokens that were not cached and the tokens generated,
//! as the engine states at the end; until then each event with content counts one.

use std::io::{BufRead, Read};

use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;

/// Largest event in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// What an engine says about the cost of a completion.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Of these, the ones found in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

impl Usage {
    /// Units of service.
    #[must_use]
    pub const fn units(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.cached_tokens) + self.completion_tokens
    }
}

/// Why an event is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stray {
    /// Its index was seen before.
    Doubled,
    /// It belongs to another stream.
    Crossed,
}

impl Stray {
    /// Every reason, in a fixed order.
    pub const ALL: &'static [Self] = &[Self::Doubled, Self::Crossed];

    /// The name used in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Doubled => "doubled",
            Self::Crossed => "crossed",
        }
    }
}

/// What to do after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass it on.
    Pass,
    /// Pass it on; the answer is whole.
    End,
    /// Leave it out.
    Drop(Stray),
    /// The answer is broken.
    Broken,
}

/// One event as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its bytes with the empty line that ends it.
    pub raw: Bytes,
    /// Its index, if it has one.
    pub index: Option<u64>,
    /// Its data, without the field's name.
    pub data: String,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    usage: Option<Usage>,
}

/// The check on one stream.
#[derive(Debug, Default)]
pub struct Check {
    stream: Option<String>,
    next: u64,
    generated: u64,
    usage: Option<Usage>,
}

impl Check {
    /// A check that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Judges the next event.
    pub fn step(&mut self, event: &Event) -> Step {
        if event.data.is_empty() {
            return Step::Pass;
        }
        if event.data == "[DONE]" {
            return Step::End;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Step::Broken;
        };
        if self.crosses(chunk.id.as_deref()) {
            return Step::Drop(Stray::Crossed);
        }
        match event.index {
            Some(index) if index < self.next => return Step::Drop(Stray::Doubled),
            Some(index) if index > self.next => return Step::Broken,
            Some(_) => self.next += 1,
            None => {}
        }
        if self.stream.is_none() {
            self.stream = chunk.id;
        }
        self.generated += 1;
        self.usage = chunk.usage.or(self.usage);
        Step::Pass
    }

    /// The id of the stream, once known.
    #[must_use]
    pub fn stream(&self) -> Option<&str> {
        self.stream.as_deref()
    }

    /// Units of service used so far.
    #[must_use]
    pub fn units(&self) -> u64 {
        self.usage.map_or(self.generated, |usage| usage.units())
    }

    fn crosses(&self, id: Option<&str>) -> bool {
        match (self.stream.as_deref(), id) {
            (Some(known), Some(id)) => known != id,
            _ => false,
        }
    }
}

/// Reads one event; `None` at the end of the stream. An event that the end cuts
/// short is an error, as is one beyond `EVENT_LIMIT`.
///
/// # Errors
///
/// What the reader says, or `UnexpectedEof`, or `InvalidData`.
pub fn read(reader: &mut impl BufRead) -> std::io::Result<Option<Event>> {
    let mut raw = BytesMut::new();
    let mut event = Event::default();
    loop {
        let mut line = Vec::new();
        let room = EVENT_LIMIT - raw.len();
        let size = reader
            .by_ref()
            .take(room as u64)
            .read_until(b'\n', &mut line)?;
        if size == 0 && raw.is_empty() {
            return Ok(None);
        }
        if line.last() != Some(&b'\n') {
            let kind = if size == room {
                std::io::ErrorKind::InvalidData
            } else {
                std::io::ErrorKind::UnexpectedEof
            };
            return Err(kind.into());
        }
        raw.put_slice(&line);
        let text = String::from_utf8_lossy(&line);
        let text = text.trim_end_matches(['\r', '\n']);
        if text.is_empty() {
            event.raw = raw.freeze();
            return Ok(Some(event));
        }
        field(&mut event, text);
    }
}

fn field(event: &mut Event, line: &str) {
    let (name, value) = line.split_once(':').unwrap_or((line, ""));
    let value = value.strip_prefix(' ').unwrap_or(value);
    match name {
        "id" => event.index = value.parse().ok(),
        "data" => {
            if !event.data.is_empty() {
                event.data.push('\n');
            }
            event.data.push_str(value);
        }
        _ => {}
    }
}
