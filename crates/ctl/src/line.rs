//! Lines of routers' logs.
//!
//! Lines are JSON objects. What precedes the first brace, as log collectors add it, is ignored.

use serde_json::{Map, Value};

/// A line of a log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time of day, in seconds.
    pub at: f64,
    /// All fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; none if it is no object with a time.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at = fields.get("at")?.as_f64()?;
        Some(Self { at, fields })
    }

    /// A field that holds text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field that holds a count.
    #[must_use]
    pub fn count(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// A field that holds a time in milliseconds, in seconds.
    #[must_use]
    pub fn seconds(&self, name: &str) -> Option<f64> {
        Some(self.fields.get(name)?.as_f64()? / 1_000.0)
    }

    /// Counts by name in a field.
    pub fn counts(&self, name: &str) -> impl Iterator<Item = (&str, u64)> {
        let object = self.fields.get(name).and_then(Value::as_object);
        let entries = object.into_iter().flatten();
        entries.filter_map(|(name, value)| Some((name.as_str(), value.as_u64()?)))
    }
}
