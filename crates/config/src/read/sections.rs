//! The fields of each section and their ranges.

use std::net::SocketAddr;
use std::sync::Arc;

use super::table::{Reader, parse_name};
use crate::check::Rule;
use crate::file::{
    BODY_BYTES, Class, Customer, DRAIN_MS, Fleet, GAP_WEIGHT, IDEMPOTENCY_WINDOW_S, Kind, Limits,
    Method, QUEUE_PER_CUSTOMER, QUEUE_TIMEOUT_MS, Service, TIMEOUT_MS, Target,
};

const MAX_SHARE: u32 = 10_000;
const MAX_SLOTS: u32 = 4_096;
const MAX_BODY_BYTES: u64 = 1 << 30;
const MAX_QUEUE: u32 = 1_000_000;
const HOUR_MS: u64 = 3_600_000;
const DAY_S: u64 = 86_400;

/// Reads `[fleet]`.
pub fn fleet(reader: &mut Reader) -> Fleet {
    Fleet {
        name: reader.name(),
        region: name(reader, "region"),
        failure_domains: names(reader, "failure_domains", true),
        gap_weight: reader.fraction("gap_weight", 0.0, 1.0, GAP_WEIGHT),
    }
}

/// Reads `[limits]`.
pub fn limits(reader: &mut Reader) -> Limits {
    Limits {
        body_bytes: reader.whole("body_bytes", 1, MAX_BODY_BYTES, Some(BODY_BYTES)),
        queue_per_customer: reader.whole32(
            "queue_per_customer",
            1,
            MAX_QUEUE,
            Some(QUEUE_PER_CUSTOMER),
        ),
        queue_timeout_ms: reader.whole("queue_timeout_ms", 1, HOUR_MS, Some(QUEUE_TIMEOUT_MS)),
        drain_ms: reader.whole("drain_ms", 1, HOUR_MS, Some(DRAIN_MS)),
        idempotency_window_s: reader.whole(
            "idempotency_window_s",
            1,
            DAY_S,
            Some(IDEMPOTENCY_WINDOW_S),
        ),
    }
}

/// Reads a `[[customer]]`.
pub fn customer(reader: &mut Reader) -> Customer {
    Customer {
        name: reader.name(),
        share: reader.whole32("share", 1, MAX_SHARE, None),
        key_sha256: reader
            .list("key_sha256", true, &Rule::Digest, |text| text.parse().ok())
            .unwrap_or_default(),
    }
}

/// Reads a `[[service]]`.
pub fn service(reader: &mut Reader) -> Service {
    let name = reader.name();
    let kind = reader.text("kind", one_of(&["model", "plain"]), parse_kind);
    let class = reader.text("class", one_of(&["quick", "long"]), parse_class);
    let timeout_ms = reader.whole("timeout_ms", 1, HOUR_MS, Some(TIMEOUT_MS));
    let mut service = Service {
        name,
        kind: kind.unwrap_or(Kind::Model),
        class: class.unwrap_or(Class::Long),
        models: Vec::new(),
        repeatable: None,
        repeatable_completions: None,
        timeout_ms,
    };
    match kind {
        Some(Kind::Model) => model_service(reader, &mut service),
        Some(Kind::Plain) => plain_service(reader, &mut service),
        None => {
            // Either kind may have been meant, so the fields of both pass.
            service.models = names(reader, "models", false);
            methods(reader);
            reader.flag("repeatable_completions");
        }
    }
    service
}

fn model_service(reader: &mut Reader, service: &mut Service) {
    service.models = names(reader, "models", true);
    service.repeatable_completions =
        Some(reader.flag("repeatable_completions").unwrap_or_default());
    reader.refuse("repeatable", Rule::OtherKind { kind: "plain" });
}

fn plain_service(reader: &mut Reader, service: &mut Service) {
    service.repeatable = Some(methods(reader).unwrap_or_else(|| Method::REPEATABLE.to_vec()));
    reader.refuse("models", Rule::OtherKind { kind: "model" });
    reader.refuse("repeatable_completions", Rule::OtherKind { kind: "model" });
}

/// Reads a `[[target]]`.
pub fn target(reader: &mut Reader) -> Target {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    Target {
        name: reader.name(),
        services: names(reader, "services", true),
        failure_domain: name(reader, "failure_domain"),
        address: reader
            .text("address", Rule::Address, parse_address)
            .unwrap_or(unset),
        slots: reader.whole32("slots", 1, MAX_SLOTS, None),
        models: names(reader, "models", false),
        leaving: reader.flag("leaving").unwrap_or_default(),
        checks_fence: reader.flag("checks_fence").unwrap_or_default(),
    }
}

fn name(reader: &mut Reader, field: &'static str) -> Arc<str> {
    reader
        .text(field, Rule::Name, parse_name)
        .unwrap_or_else(|| Arc::from(""))
}

fn names(reader: &mut Reader, field: &'static str, required: bool) -> Vec<Arc<str>> {
    reader
        .list(field, required, &Rule::Name, parse_name)
        .unwrap_or_default()
}

fn methods(reader: &mut Reader) -> Option<Vec<Method>> {
    let words: Vec<_> = Method::ALL.into_iter().map(Method::as_str).collect();
    reader.list("repeatable", false, &one_of(&words), parse_method)
}

fn one_of(words: &[&'static str]) -> Rule {
    Rule::OneOf {
        words: words.to_vec(),
    }
}

fn parse_kind(text: &str) -> Option<Kind> {
    match text {
        "model" => Some(Kind::Model),
        "plain" => Some(Kind::Plain),
        _ => None,
    }
}

fn parse_class(text: &str) -> Option<Class> {
    match text {
        "quick" => Some(Class::Quick),
        "long" => Some(Class::Long),
        _ => None,
    }
}

fn parse_method(text: &str) -> Option<Method> {
    Method::ALL
        .into_iter()
        .find(|method| method.as_str() == text)
}

/// An IP number with a port other than 0.
fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse()
        .ok()
        .filter(|address: &SocketAddr| address.port() != 0)
}
