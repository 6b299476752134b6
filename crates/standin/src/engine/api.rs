//! The JSON that the engine speaks.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use super::model;

/// A completion request, chat or plain.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Request {
    /// The model that is asked for.
    pub model: String,
    /// The prompt of a plain completion.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub prompt: String,
    /// The messages of a chat.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Most tokens to make.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Message {
    /// Who says it.
    pub role: String,
    /// What is said.
    pub content: String,
}

impl Request {
    /// The whole prompt: the plain prompt and the messages, one a line.
    #[must_use]
    pub fn text(&self) -> String {
        let messages = self.messages.iter().map(|message| message.content.as_str());
        let prompt = Some(self.prompt.as_str()).filter(|prompt| !prompt.is_empty());
        prompt
            .into_iter()
            .chain(messages)
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// Tokens that the answer will have: what the marker `[[tokens=N]]` in the
    /// prompt says, or else the default, and never more than `max_tokens`.
    #[must_use]
    pub fn output_tokens(&self, default: u32) -> u32 {
        let wanted = marked_tokens(&self.text()).unwrap_or(default);
        wanted.min(self.max_tokens.unwrap_or(u32::MAX)).max(1)
    }
}

/// The marker in a prompt that sets the length of its answer.
#[must_use]
pub fn marker(tokens: u32) -> String {
    format!("[[tokens={tokens}]]")
}

fn marked_tokens(text: &str) -> Option<u32> {
    let (_, rest) = text.split_once("[[tokens=")?;
    let (number, _) = rest.split_once("]]")?;
    number.trim().parse().ok()
}

/// The tag that every word of a prompt's answer begins with.
#[must_use]
pub fn tag(text: &str) -> String {
    format!("{:016x}", xxh64(text.as_bytes(), 0))
}

/// The word at an index of an answer, so that a caller can tell a whole answer
/// to its own prompt from any other.
#[must_use]
pub fn word(tag: &str, index: u32) -> String {
    format!("{tag}.{index} ")
}

/// What an answer cost, in tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the cache saved.
    pub cached_tokens: u32,
    /// Tokens made.
    pub completion_tokens: u32,
}

impl From<model::Usage> for Usage {
    fn from(usage: model::Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            completion_tokens: usage.completion_tokens,
        }
    }
}

/// One event of a streamed answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Chunk {
    /// The stream's id.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The model that was asked for.
    pub model: String,
    /// One choice.
    pub choices: Vec<Choice>,
    /// The cost, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The only choice of a [`Chunk`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// What is new.
    pub delta: Delta,
    /// Why the answer ended, in the last event.
    pub finish_reason: Option<String>,
}

/// What a [`Chunk`] adds to the answer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Delta {
    /// Text to append.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// An answer that is not streamed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Completion {
    /// The stream's id.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// The model that was asked for.
    pub model: String,
    /// One choice.
    pub choices: Vec<Outcome>,
    /// The cost.
    pub usage: Usage,
}

/// The only choice of a [`Completion`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Outcome {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// Why the answer ended.
    pub finish_reason: String,
}

/// The answer of `GET /load`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Streams that run.
    pub running: usize,
    /// Streams that wait inside the engine.
    pub waiting: usize,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
}

/// The answer of `GET /cache/events`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notices {
    /// Oldest sequence number that is kept.
    pub first: u64,
    /// Sequence number after the newest that can be read.
    pub next: u64,
    /// Events in order; missing numbers are gaps.
    pub events: Vec<Notice>,
}

/// One cache event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Its sequence number.
    pub seq: u64,
    /// What happened.
    pub kind: Change,
    /// The block's key in hexadecimal.
    pub block: String,
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// It came into the cache.
    Stored,
    /// It left the cache.
    Evicted,
}

impl From<model::Page> for Notices {
    fn from(page: model::Page) -> Self {
        let events = page.events.into_iter().map(|notice| Notice {
            seq: notice.seq,
            kind: match notice.change {
                model::Change::Stored => Change::Stored,
                model::Change::Evicted => Change::Evicted,
            },
            block: format!("{:016x}", notice.block),
        });
        Self {
            first: page.first,
            next: page.next,
            events: events.collect(),
        }
    }
}

/// A stream on its way to another engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Blob {
    /// The model that was asked for.
    pub model: String,
    /// The tag of the answer's words.
    pub tag: String,
    /// Keys of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the cache saved.
    pub cached_tokens: u32,
    /// Tokens to make in all.
    pub output_tokens: u32,
    /// Tokens made so far.
    pub generated: u32,
    /// Whether the prompt has been processed.
    pub processed: bool,
}

impl Blob {
    /// Packs what the model exported.
    #[must_use]
    pub fn new(model: String, tag: String, export: &model::Export) -> Self {
        Self {
            model,
            tag,
            blocks: export.prompt.blocks.to_vec(),
            prompt_tokens: export.prompt.tokens,
            cached_tokens: export.cached_tokens,
            output_tokens: export.output_tokens,
            generated: export.generated,
            processed: export.processed,
        }
    }

    /// What the model imports.
    #[must_use]
    pub fn export(&self) -> model::Export {
        model::Export {
            prompt: model::Prompt::new(self.blocks.clone(), self.prompt_tokens),
            output_tokens: self.output_tokens,
            generated: self.generated,
            cached_tokens: self.cached_tokens,
            processed: self.processed,
        }
    }
}

/// The answer of `POST /streams/import`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Imported {
    /// The stream's id here.
    pub id: String,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Load a version of a model or adapter.
    Load,
    /// Unload it.
    Unload,
    /// Take the role that `model` names.
    Role,
}

/// An order to the engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing number of the one who orders.
    pub fence: u64,
    /// What is asked for.
    pub kind: Action,
    /// The model, or the name of the role.
    #[serde(default)]
    pub model: String,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The version, if any.
    #[serde(default)]
    pub version: Option<String>,
}

/// The answer to an order with an old fencing number.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stale {
    /// Always `stale fence`.
    pub reason: String,
    /// The highest number seen.
    pub current: u64,
}

/// Something that an engine has loaded.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Loaded {
    /// The model.
    pub model: String,
    /// The adapter, if any.
    pub adapter: Option<String>,
    /// The version, if any.
    pub version: Option<String>,
}

/// The answer of `GET /orders`: how the engine stands.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// Highest fencing number seen.
    pub current: u64,
    /// The role, empty until one was ordered.
    pub role: String,
    /// What is loaded, in order.
    pub loaded: Vec<Loaded>,
    /// Orders carried out, doubled ones included.
    pub orders: u64,
}

/// Faults on demand; each post replaces all of them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Refuse requests with 429 and the promise that they did not run.
    pub refuse: bool,
    /// Time that iterations take, in percent of their usual time.
    pub slow_percent: u64,
    /// Accept requests and make no progress while set.
    pub wedge: bool,
    /// Answer requests with bytes that are no answer.
    pub garbage: bool,
    /// Break each streaming connection after so many events.
    pub cut_after: Option<u32>,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            refuse: false,
            slow_percent: model::NORMAL_SPEED,
            wedge: false,
            garbage: false,
            cut_after: None,
        }
    }
}
