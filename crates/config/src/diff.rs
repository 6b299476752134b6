//! What differs between two configurations.
//!
//! Items are matched by name, so their order in the file means nothing. A renamed item shows as one removed and
//! one added.

use std::fmt;
use std::sync::Arc;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::check::Section;
use crate::file::{Config, Named};

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Part of the file.
    pub section: Section,
    /// Name of the customer, service or target; empty elsewhere.
    pub item: Arc<str>,
    /// What became of it.
    pub edit: Edit,
}

/// What became of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Only the later configuration has it.
    Added,
    /// Only the earlier configuration has it.
    Removed,
    /// Both have it, with another value in one field.
    Set {
        /// The field.
        field: String,
        /// Earlier value; none when it was not set.
        from: Option<Value>,
        /// Later value; none when it is not set.
        to: Option<Value>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.edit {
            Edit::Added => '+',
            Edit::Removed => '-',
            Edit::Set { .. } => '~',
        };
        write!(f, "{sign} {}", self.section)?;
        if !self.item.is_empty() {
            write!(f, " {}", self.item)?;
        }
        if let Edit::Set { field, from, to } = &self.edit {
            write!(
                f,
                ": {field}: {} -> {}",
                shown(from.as_ref()),
                shown(to.as_ref())
            )?;
        }
        Ok(())
    }
}

fn shown(value: Option<&Value>) -> String {
    value.map_or_else(|| "unset".to_owned(), Value::to_string)
}

/// The changes that lead from `earlier` to `later`, by section and name.
#[must_use]
pub fn changes(earlier: &Config, later: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    let unnamed = Arc::from("");
    fields(
        Section::Fleet,
        &unnamed,
        &earlier.fleet,
        &later.fleet,
        &mut changes,
    );
    fields(
        Section::Limits,
        &unnamed,
        &earlier.limits,
        &later.limits,
        &mut changes,
    );
    items(
        Section::Customer,
        &earlier.customers,
        &later.customers,
        &mut changes,
    );
    items(
        Section::Service,
        &earlier.services,
        &later.services,
        &mut changes,
    );
    items(
        Section::Target,
        &earlier.targets,
        &later.targets,
        &mut changes,
    );
    changes
}

fn items<T: Named + Serialize>(
    section: Section,
    earlier: &[T],
    later: &[T],
    changes: &mut Vec<Change>,
) {
    let start = changes.len();
    for item in earlier {
        match find(later, item.name()) {
            Some(other) => fields(section, item.name(), item, other, changes),
            None => changes.push(whole(section, item.name(), Edit::Removed)),
        }
    }
    for item in later {
        if find(earlier, item.name()).is_none() {
            changes.push(whole(section, item.name(), Edit::Added));
        }
    }
    changes[start..].sort_by(|a, b| a.item.cmp(&b.item));
}

fn find<'a, T: Named>(items: &'a [T], name: &Arc<str>) -> Option<&'a T> {
    items.iter().find(|item| item.name() == name)
}

fn whole(section: Section, item: &Arc<str>, edit: Edit) -> Change {
    Change {
        section,
        item: Arc::clone(item),
        edit,
    }
}

fn fields<T: Serialize>(
    section: Section,
    item: &Arc<str>,
    earlier: &T,
    later: &T,
    changes: &mut Vec<Change>,
) {
    let mut earlier = object(earlier);
    for (field, to) in object(later) {
        let from = earlier.remove(&field);
        if from.as_ref() != Some(&to) {
            let edit = Edit::Set {
                field,
                from,
                to: Some(to),
            };
            changes.push(whole(section, item, edit));
        }
    }
    for (field, from) in earlier {
        let edit = Edit::Set {
            field,
            from: Some(from),
            to: None,
        };
        changes.push(whole(section, item, edit));
    }
}

fn object<T: Serialize>(item: &T) -> Map<String, Value> {
    match serde_json::to_value(item) {
        Ok(Value::Object(fields)) => fields,
        other => unreachable!("an item of the configuration is an object, not {other:?}"),
    }
}
