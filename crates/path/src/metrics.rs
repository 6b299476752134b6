//! Counters of a router, written as text on request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Counters and gauges by name and one label.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<Name, u64>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Name {
    family: &'static str,
    label: String,
}

impl Metrics {
    /// Adds to a counter.
    pub fn add(&self, family: &'static str, label: &str, amount: u64) {
        let name = Name {
            family,
            label: label.into(),
        };
        *self.counters.borrow_mut().entry(name).or_default() += amount;
    }

    /// All counters as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut family = "";
        for (name, value) in self.counters.borrow().iter() {
            if name.family != family {
                family = name.family;
                let _ = writeln!(text, "# TYPE dunlinward_{family} counter");
            }
            let _ = writeln!(text, "dunlinward_{family}{{of=\"{}\"}} {value}", name.label);
        }
        text
    }
}
