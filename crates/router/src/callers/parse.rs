//! From an HTTP request to what the kernel is asked.
//!
//! Two kinds of paths: the two completion paths of model engines, where the
//! service is found by the model that the body names (or by a header), and
//! `/{service}/...` for plain services, where the rest of the path is passed on.
//! Nothing here waits or queues, so a bad request holds no slot.

use std::time::Duration;

use bytes::Bytes;
use dunlinward_config::file::{Class, Kind, Service};
use dunlinward_kernel::event;
use hyper::header::{AUTHORIZATION, HeaderName};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method};
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh64::xxh64;

use crate::call::Shape;
use crate::current::Current;
use crate::refusal::Reason;

/// Header that names the service of a completion.
const SERVICE: HeaderName = HeaderName::from_static("x-dunlinward-service");
/// Header that names the latency class.
const CLASS: HeaderName = HeaderName::from_static("x-dunlinward-class");
/// Header with the time after which the caller gives up, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-dunlinward-deadline-ms");
/// Header with the idempotency key.
const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");

const CHAT: &str = "/v1/chat/completions";
const TEXT: &str = "/v1/completions";

/// Longest idempotency key in bytes.
const KEY_LIMIT: usize = 256;
/// Longest deadline that makes sense.
const DEADLINE_LIMIT: u64 = 86_400_000;
/// Bytes of a prompt that make one block of its prefix.
const BLOCK: usize = 256;
/// Blocks of a prefix that are looked at.
const BLOCKS: usize = 64;
/// Bytes of a prompt that make about one token.
const TOKEN: u64 = 4;
/// Tokens expected of a completion that sets no bound.
const TOKENS: u64 = 256;

/// What a request asks for.
#[derive(Debug)]
pub(super) struct Wish<'a> {
    /// The service.
    pub service: &'a Service,
    /// The model, for model services.
    pub model: Option<String>,
    /// Path and query at the target.
    pub path: String,
    /// How the target is spoken to.
    pub shape: Shape,
    /// A hint at the cost.
    pub hint: Option<u64>,
    /// Hashes of the prompt's prefix.
    pub prefix: Vec<u32>,
}

/// The optional headers of a request.
#[derive(Debug)]
pub(super) struct Extra {
    /// The latency class asked for.
    pub class: Option<event::Class>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The idempotency key.
    pub key: Option<String>,
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Option<Vec<Value>>,
    #[serde(default)]
    prompt: Option<Value>,
}

/// The bearer key of a request.
pub(super) fn bearer(headers: &HeaderMap) -> Result<&str, Reason> {
    let value = headers.get(AUTHORIZATION).ok_or(Reason::KeyWrong)?;
    let text = value.to_str().map_err(|_| Reason::KeyWrong)?;
    let (scheme, key) = text.split_once(' ').ok_or(Reason::KeyWrong)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(Reason::KeyWrong);
    }
    Ok(key.trim())
}

/// The optional headers, each checked.
pub(super) fn extra(headers: &HeaderMap) -> Result<Extra, Reason> {
    let class = match text(headers, &CLASS)? {
        None => None,
        Some("quick") => Some(event::Class::Quick),
        Some("long") => Some(event::Class::Long),
        Some(_) => return Err(Reason::HeaderMalformed),
    };
    let deadline = text(headers, &DEADLINE)?.map(millis).transpose()?;
    let key = text(headers, &IDEMPOTENCY)?.map(str::to_owned);
    let allowed = |key: &String| !key.is_empty() && key.len() <= KEY_LIMIT;
    if key.as_ref().is_some_and(|key| !allowed(key)) {
        return Err(Reason::HeaderMalformed);
    }
    Ok(Extra {
        class,
        deadline,
        key,
    })
}

/// What the request asks for.
pub(super) fn wish<'a>(
    current: &'a Current,
    parts: &Parts,
    extra: &Extra,
    body: &Bytes,
) -> Result<Wish<'a>, Reason> {
    match parts.uri.path() {
        CHAT | TEXT => completion(current, parts, extra.class, body),
        _ => plain(current, parts),
    }
}

/// The latency class of requests that name none.
pub(super) fn class(service: &Service) -> event::Class {
    match service.class {
        Class::Quick => event::Class::Quick,
        Class::Long => event::Class::Long,
    }
}

fn completion<'a>(
    current: &'a Current,
    parts: &Parts,
    wanted: Option<event::Class>,
    body: &Bytes,
) -> Result<Wish<'a>, Reason> {
    if parts.method != Method::POST {
        return Err(Reason::PathUnknown);
    }
    let asked: Completion = serde_json::from_slice(body).map_err(|_| Reason::BodyMalformed)?;
    let prompt = match (&asked.messages, &asked.prompt) {
        (Some(messages), None) if parts.uri.path() == CHAT => Value::Array(messages.clone()),
        (None, Some(prompt)) if parts.uri.path() == TEXT => prompt.clone(),
        _ => return Err(Reason::BodyMalformed),
    };
    let prompt = prompt.to_string();
    let service = model_service(current, &parts.headers, &asked.model, wanted)?;
    let hint = prompt.len() as u64 / TOKEN + asked.max_tokens.unwrap_or(TOKENS);
    Ok(Wish {
        service,
        path: parts.uri.path().to_owned(),
        shape: if asked.stream {
            Shape::Stream
        } else {
            Shape::Completion
        },
        hint: Some(hint),
        prefix: prefix(&asked.model, prompt.as_bytes()),
        model: Some(asked.model),
    })
}

/// The service of a model: the named one, else the first of the class asked for,
/// else the first.
fn model_service<'a>(
    current: &'a Current,
    headers: &HeaderMap,
    model: &str,
    wanted: Option<event::Class>,
) -> Result<&'a Service, Reason> {
    let named = text(headers, &SERVICE)?;
    let has = |service: &&Service| {
        service.kind == Kind::Model && service.models.iter().any(|known| &**known == model)
    };
    let services = || current.config.services.iter().filter(has);
    let found = match named {
        Some(name) => services().find(|service| &*service.name == name),
        None => services()
            .find(|service| Some(class(service)) == wanted)
            .or_else(|| services().next()),
    };
    found.ok_or(Reason::ServiceUnknown)
}

fn plain<'a>(current: &'a Current, parts: &Parts) -> Result<Wish<'a>, Reason> {
    let rest = parts.uri.path().strip_prefix('/').unwrap_or_default();
    let (name, below) = rest.split_once('/').unwrap_or((rest, ""));
    let service = current.config.service(name).ok_or(Reason::ServiceUnknown)?;
    if service.kind != Kind::Plain {
        return Err(Reason::PathUnknown);
    }
    let path = match parts.uri.query() {
        Some(query) => format!("/{below}?{query}"),
        None => format!("/{below}"),
    };
    Ok(Wish {
        service,
        model: None,
        path,
        shape: Shape::Plain,
        hint: None,
        prefix: Vec::new(),
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Reason> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_| Reason::HeaderMalformed))
        .transpose()
}

fn millis(text: &str) -> Result<Duration, Reason> {
    let millis: u64 = text.parse().map_err(|_| Reason::HeaderMalformed)?;
    if millis == 0 || millis > DEADLINE_LIMIT {
        return Err(Reason::HeaderMalformed);
    }
    Ok(Duration::from_millis(millis))
}

/// Chained hashes of the blocks that are whole, longest prefix last.
fn prefix(model: &str, prompt: &[u8]) -> Vec<u32> {
    let mut chain = xxh64(model.as_bytes(), 0);
    prompt
        .chunks_exact(BLOCK)
        .take(BLOCKS)
        .map(|block| {
            chain = xxh64(block, chain);
            let [a, b, c, d, ..] = chain.to_le_bytes();
            u32::from_le_bytes([a, b, c, d])
        })
        .collect()
}
