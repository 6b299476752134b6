//! What a stream says, and the connection that it says it to.
//!
//! Event `i` of an answer of `n` tokens is token `i`; event `n` ends it and
//! tells the cost. A sink remembers only which event its connection needs next.

use std::cmp::Ordering;

use hyper::StatusCode;
use hyper::body::Bytes;
use tokio::sync::{mpsc, oneshot};

use super::api::{Choice, Chunk, Completion, Delta, Message, Outcome, Usage, word};
use crate::http::{Answer, Part, Whole};

/// The event that a client knows the end of a stream by.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Everything that a stream has said so far.
pub(super) struct Feed {
    id: String,
    model: String,
    tag: String,
    tokens: u32,
    usage: Option<Usage>,
}

impl Feed {
    pub fn new(id: String, model: String, tag: String) -> Self {
        Self {
            id,
            model,
            tag,
            tokens: 0,
            usage: None,
        }
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    pub fn model(&self) -> &str {
        &self.model
    }

    pub fn tag(&self) -> &str {
        &self.tag
    }

    /// The token with this index was made.
    pub fn made(&mut self, index: u32) {
        self.tokens = index + 1;
    }

    /// The answer is complete.
    pub fn finished(&mut self, usage: Usage) {
        self.usage = Some(usage);
    }

    /// The event at an index, when it has been made.
    fn event(&self, index: u32) -> Option<Bytes> {
        let (content, usage) = match index.cmp(&self.tokens) {
            Ordering::Less => (Some(word(&self.tag, index)), None),
            Ordering::Equal => (None, Some(self.usage?)),
            Ordering::Greater => return None,
        };
        let chunk = Chunk {
            id: self.id.clone(),
            object: "chat.completion.chunk".into(),
            model: self.model.clone(),
            choices: vec![Choice {
                index: 0,
                delta: Delta { content },
                finish_reason: usage.map(|_| "stop".into()),
            }],
            usage,
        };
        let data = serde_json::to_string(&chunk).expect("a chunk is plain data");
        Some(Bytes::from(format!("id: {index}\ndata: {data}\n\n")))
    }

    /// Whether the last event comes before an index.
    fn ends_before(&self, index: u32) -> bool {
        self.usage.is_some() && index > self.tokens
    }

    fn completion(&self, usage: Usage) -> Completion {
        let content = (0..self.tokens)
            .map(|index| word(&self.tag, index))
            .collect();
        Completion {
            id: self.id.clone(),
            object: "chat.completion".into(),
            model: self.model.clone(),
            choices: vec![Outcome {
                index: 0,
                message: Message {
                    role: "assistant".into(),
                    content,
                },
                finish_reason: "stop".into(),
            }],
            usage,
        }
    }
}

/// A connection that waits for events.
pub(super) enum Sink {
    /// It gets each event when it is made.
    Stream {
        parts: mpsc::UnboundedSender<Part>,
        next: u32,
        sent: u32,
    },
    /// It gets the whole answer at its end.
    Whole(oneshot::Sender<Whole>),
}

impl Sink {
    /// A streaming connection from an event index on, and its answer.
    pub fn stream(id: &str, from: u32) -> (Self, Answer) {
        let (parts, receiver) = mpsc::unbounded_channel();
        let headers = vec![
            ("content-type", "text/event-stream".to_owned()),
            ("cache-control", "no-cache".to_owned()),
            ("x-stream-id", id.to_owned()),
        ];
        let sink = Self::Stream {
            parts,
            next: from,
            sent: 0,
        };
        (sink, Answer::Stream(headers, receiver))
    }

    /// A connection that waits for the whole answer, and that answer.
    pub fn whole() -> (Self, Answer) {
        let (sender, receiver) = oneshot::channel();
        (Self::Whole(sender), Answer::Later(receiver))
    }

    /// Whether the other side has gone.
    pub fn is_closed(&self) -> bool {
        match self {
            Self::Stream { parts, .. } => parts.is_closed(),
            Self::Whole(sender) => sender.is_closed(),
        }
    }

    /// Breaks the connection.
    pub fn cut(self) {
        if let Self::Stream { parts, .. } = self {
            let _ = parts.send(Part::Cut);
        }
    }

    /// Sends what the connection lacks; `None` when it needs nothing more.
    pub fn flow(self, feed: &Feed, cut_after: Option<u32>) -> Option<Self> {
        match self {
            Self::Stream { parts, next, sent } => flow(parts, next, sent, feed, cut_after),
            Self::Whole(sender) => match feed.usage {
                Some(usage) => {
                    let completion = feed.completion(usage);
                    let whole = Whole::json(StatusCode::OK, &completion);
                    let _ = sender.send(whole.with_header("x-stream-id", feed.id()));
                    None
                }
                None => Some(Self::Whole(sender)),
            },
        }
    }
}

fn flow(
    parts: mpsc::UnboundedSender<Part>,
    mut next: u32,
    mut sent: u32,
    feed: &Feed,
    cut_after: Option<u32>,
) -> Option<Sink> {
    while let Some(event) = feed.event(next) {
        if cut_after.is_some_and(|limit| sent >= limit) {
            let _ = parts.send(Part::Cut);
            return None;
        }
        // A caller that has left is noticed by `is_closed`.
        let _ = parts.send(Part::Data(event));
        next += 1;
        sent += 1;
    }
    if feed.ends_before(next) {
        let _ = parts.send(Part::Data(Bytes::from_static(DONE)));
        return None;
    }
    Some(Sink::Stream { parts, next, sent })
}
