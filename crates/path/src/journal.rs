//! Structured logs that never block.
//!
//! Each line is a JSON object with a fixed set of leading fields. Lines are appended to a buffer of
//! limited size, which [`Journal::drain`] writes to standard output without blocking. If the reader
//! stalls and the buffer is full, lines are dropped and counted, and the count is logged with the
//! next line that fits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Limit from which lines are dropped for a slow reader.
const MAX_BUFFER_BYTES: usize = 256 * 1024;

/// Limit of a field's text that comes from outside.
const MAX_TEXT_BYTES: usize = 200;

/// Limit of one write: a pipe writes this many bytes atomically.
const MAX_WRITE_BYTES: usize = 4_096;

/// Interval between writes of the buffer.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    /// Memory of the last line, reused by the next one.
    spare: Vec<u8>,
}

/// Log of one router.
#[derive(Clone, Debug)]
pub struct Journal {
    buffer: Rc<RefCell<Buffer>>,
    node: Rc<str>,
}

/// A line, written to the buffer when it is dropped.
#[derive(Debug)]
pub struct Line {
    journal: Journal,
    bytes: Vec<u8>,
}

impl Journal {
    /// Creates a log whose lines have `node` as their `node` field.
    #[must_use]
    pub fn new(node: &str) -> Self {
        Self {
            buffer: Rc::default(),
            node: node.into(),
        }
    }

    /// Starts a line about an event; it is written when the value is dropped.
    #[must_use]
    pub fn line(&self, event: &str) -> Line {
        let mut bytes = std::mem::take(&mut self.buffer.borrow_mut().spare);
        bytes.clear();
        bytes.push(b'{');
        let line = Line {
            journal: self.clone(),
            bytes,
        };
        line.with("at", timestamp())
            .with("node", self.node.as_ref())
            .with("event", event)
    }

    /// Appends a line without its end.
    fn push(&self, line: &[u8]) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.bytes.len() >= MAX_BUFFER_BYTES {
            buffer.dropped += 1;
            return;
        }
        if buffer.dropped > 0 {
            let notice = serde_json::json!({"at": timestamp(), "node": self.node.as_ref(),
                "event": "lines_dropped", "count": buffer.dropped});
            buffer.dropped = 0;
            buffer
                .bytes
                .extend_from_slice(notice.to_string().as_bytes());
            buffer.bytes.push(b'\n');
        }
        buffer.bytes.extend_from_slice(line);
        buffer.bytes.extend_from_slice(b"}\n");
    }

    /// Makes standard output non-blocking.
    ///
    /// # Errors
    ///
    /// If the descriptor doesn't allow it; writing lines may then block.
    pub fn set_nonblocking(&self) -> std::io::Result<()> {
        use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
        let stdout = rustix::stdio::stdout();
        let flags = fcntl_getfl(stdout)?;
        fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
        Ok(())
    }

    /// Writes as much as the reader accepts without blocking.
    pub fn drain(&self) {
        let mut buffer = self.buffer.borrow_mut();
        let mut written = 0;
        while written < buffer.bytes.len() {
            let end = end_of_lines(&buffer.bytes, written);
            match rustix::io::write(rustix::stdio::stdout(), &buffer.bytes[written..end]) {
                Ok(0) | Err(rustix::io::Errno::AGAIN) => break,
                Ok(count) => written += count,
                Err(rustix::io::Errno::INTR) => {}
                // There is no reader any more; keeping the lines would not help.
                Err(_) => written = buffer.bytes.len(),
            }
        }
        buffer.bytes.drain(..written);
    }
}

impl Line {
    /// Adds a field; each name may be used once. The field is written at once and not collected
    /// with the others: building a map of the fields took most of the time of a line.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Serialize) -> Self {
        if self.bytes.len() > 1 {
            self.bytes.push(b',');
        }
        self.write(&name);
        self.bytes.push(b':');
        self.write(&value);
        self
    }

    fn write(&mut self, value: &impl Serialize) {
        let begin = self.bytes.len();
        if serde_json::to_writer(&mut self.bytes, value).is_err() {
            self.bytes.truncate(begin);
            self.bytes.extend_from_slice(b"null");
        }
    }

    /// Adds a text from outside, truncated to a bounded length.
    #[must_use]
    pub fn with_text(self, name: &str, text: &str) -> Self {
        let mut end = text.len().min(MAX_TEXT_BYTES);
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
        self.journal.push(&self.bytes);
        self.journal.buffer.borrow_mut().spare = std::mem::take(&mut self.bytes);
    }
}

/// End of a write that starts at `from`: after the last complete line that fits, so that no line is
/// split and mixed with another writer's.
fn end_of_lines(bytes: &[u8], from: usize) -> usize {
    let limit = bytes.len().min(from + MAX_WRITE_BYTES);
    let end = bytes[from..limit].iter().rposition(|it| *it == b'\n');
    end.map_or(limit, |end| from + end + 1)
}

/// A duration in whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn timestamp() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0.0, |it| (it.as_secs_f64() * 1_000.0).round() / 1_000.0)
}
