//! Structured logs that never block.
//!
//! Each line is a JSON object with a fixed set of leading fields. Lines go to a
//! buffer of fixed size; [`drain`] writes it to standard output without waiting.
//! When a reader stalls and the buffer is full, lines are dropped and counted,
//! and the count is written with the next line that fits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

/// Bytes kept for a reader that is slow.
const BUFFER: usize = 256 * 1024;

/// Longest text taken from outside in one field, in bytes.
const LONGEST: usize = 200;

/// Bytes of one write: what a pipe takes whole.
const WRITE_BYTES: usize = 4_096;

/// How often the buffer is written.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The log of one process.
#[derive(Clone, Debug)]
pub struct Journal {
    buffer: Rc<RefCell<Buffer>>,
    node: Rc<str>,
}

/// One line.
#[derive(Debug)]
pub struct Line {
    journal: Journal,
    fields: Map<String, Value>,
}

impl Journal {
    /// A log whose lines name `node`.
    #[must_use]
    pub fn new(node: &str) -> Self {
        Self {
            buffer: Rc::default(),
            node: node.into(),
        }
    }

    /// Begins a line about an event; it is written when the value is dropped.
    #[must_use]
    pub fn line(&self, event: &str) -> Line {
        let mut fields = Map::new();
        fields.insert("at".into(), stamp().into());
        fields.insert("node".into(), self.node.as_ref().into());
        fields.insert("event".into(), event.into());
        Line {
            journal: self.clone(),
            fields,
        }
    }

    fn push(&self, fields: &Map<String, Value>) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.bytes.len() >= BUFFER {
            buffer.dropped += 1;
            return;
        }
        if buffer.dropped > 0 {
            let note = serde_json::json!({"at": stamp(), "node": self.node.as_ref(),
                "event": "lines_dropped", "count": buffer.dropped});
            buffer.dropped = 0;
            buffer.bytes.extend_from_slice(note.to_string().as_bytes());
            buffer.bytes.push(b'\n');
        }
        if serde_json::to_writer(&mut buffer.bytes, fields).is_ok() {
            buffer.bytes.push(b'\n');
        }
    }

    /// Makes standard output non-blocking.
    ///
    /// # Errors
    ///
    /// If the descriptor doesn't allow it; lines may then block.
    pub fn unblock(&self) -> std::io::Result<()> {
        use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
        let stdout = rustix::stdio::stdout();
        let flags = fcntl_getfl(stdout)?;
        fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
        Ok(())
    }

    /// Writes what the reader takes now.
    pub fn drain(&self) {
        let mut buffer = self.buffer.borrow_mut();
        let mut done = 0;
        while done < buffer.bytes.len() {
            let end = whole_lines(&buffer.bytes, done);
            match rustix::io::write(rustix::stdio::stdout(), &buffer.bytes[done..end]) {
                Ok(0) | Err(rustix::io::Errno::AGAIN) => break,
                Ok(count) => done += count,
                Err(rustix::io::Errno::INTR) => {}
                // Nobody reads any more; keeping the lines would not help.
                Err(_) => done = buffer.bytes.len(),
            }
        }
        buffer.bytes.drain(..done);
    }
}

impl Line {
    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.fields.insert(name.into(), value.into());
        self
    }

    /// Adds a text from outside, cut to a bounded length.
    #[must_use]
    pub fn with_text(self, name: &str, text: &str) -> Self {
        let mut end = text.len().min(LONGEST);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        self.with(name, &text[..end])
    }

    /// Adds a duration in milliseconds.
    #[must_use]
    pub fn with_ms(self, name: &str, time: Duration) -> Self {
        self.with(name, millis(time))
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        self.journal.push(&self.fields);
    }
}

/// Where to end a write that begins at `from`: whole lines only, as far as they fit, so
/// that the system doesn't tear a line that another writer's could come into.
fn whole_lines(bytes: &[u8], from: usize) -> usize {
    let most = bytes.len().min(from + WRITE_BYTES);
    let end = bytes[from..most].iter().rposition(|it| *it == b'\n');
    end.map_or(most, |end| from + end + 1)
}

/// A duration in whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn stamp() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0.0, |it| (it.as_secs_f64() * 1_000.0).round() / 1_000.0)
}
