//! Reads a text into a draft of the configuration, noting each problem on the way.

mod sections;
mod table;

use std::collections::HashMap;
use std::sync::Arc;

use toml::de::{DeTable, DeValue, Error};

use crate::check::{Problem, Rule, Section, Severity};
use crate::file::{Config, Customer, Fleet, Limits, Named, Service, Target};
use table::{Lines, Reader};

/// An item with the lines of its fields.
#[derive(Debug)]
pub struct Item<T> {
    /// The item, with stand-ins for its bad fields.
    pub value: T,
    /// Line of the item, from 1.
    line: usize,
    /// Line of each field, and of each entry of a list.
    lines: HashMap<(&'static str, usize), usize>,
}

impl<T> Item<T> {
    /// Line of the entry `index` of `field`, or of the item itself.
    pub fn line(&self, field: &'static str, index: usize) -> usize {
        self.lines
            .get(&(field, index))
            .copied()
            .unwrap_or(self.line)
    }
}

impl<T: Named> Item<T> {
    /// The name with its line.
    pub fn named(&self) -> (&Arc<str>, usize) {
        (self.value.name(), self.line("name", 0))
    }
}

/// A configuration that may have bad fields.
#[derive(Debug)]
pub struct Draft {
    /// What holds for the whole fleet.
    pub fleet: Item<Fleet>,
    /// Bounds on sizes, queues and times.
    pub limits: Item<Limits>,
    /// Customers, in the order of the file.
    pub customers: Vec<Item<Customer>>,
    /// Services, in the order of the file.
    pub services: Vec<Item<Service>>,
    /// Targets, in the order of the file.
    pub targets: Vec<Item<Target>>,
}

impl Draft {
    /// The configuration without the lines.
    pub fn into_config(self) -> Config {
        Config {
            fleet: self.fleet.value,
            limits: self.limits.value,
            customers: values(self.customers),
            services: values(self.services),
            targets: values(self.targets),
        }
    }
}

fn values<T>(items: Vec<Item<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}

/// Reads `text`, noting each problem.
pub fn config(text: &str, problems: &mut Vec<Problem>) -> Draft {
    let lines = Lines::new(text);
    let (root, errors) = DeTable::parse_recoverable(text);
    note_syntax(&errors, &lines, problems);
    // What the parser made of a broken text would only give problems that the operator didn't write.
    let mut unheard = Vec::new();
    let heard = if errors.is_empty() {
        problems
    } else {
        &mut unheard
    };
    let mut file = Reader::new(Section::File, root.get_ref(), 1, &lines, heard);
    let fleet = one(&mut file, Section::Fleet, true, sections::fleet);
    let limits = one(&mut file, Section::Limits, false, sections::limits);
    let customers = many(&mut file, Section::Customer, true, sections::customer);
    let services = many(&mut file, Section::Service, true, sections::service);
    let targets = many(&mut file, Section::Target, false, sections::target);
    file.finish();
    Draft {
        fleet,
        limits,
        customers,
        services,
        targets,
    }
}

/// Notes the first error of each line; those that follow it are its consequences.
fn note_syntax(errors: &[Error], lines: &Lines, problems: &mut Vec<Problem>) {
    let line = |error: &Error| lines.at(error.span().map_or(0, |span| span.start));
    let mut errors: Vec<_> = errors
        .iter()
        .map(|error| (line(error), error.message()))
        .collect();
    errors.sort_by_key(|(line, _)| *line);
    errors.dedup_by_key(|(line, _)| *line);
    problems.extend(
        errors
            .into_iter()
            .map(|(line, message)| syntax(line, message)),
    );
}

fn syntax(line: usize, message: &str) -> Problem {
    Problem {
        line,
        severity: Severity::Error,
        section: Section::File,
        item: Arc::from(""),
        field: String::new(),
        value: String::new(),
        rule: Rule::Syntax {
            message: message.replace('\n', ", "),
        },
    }
}

/// Reads the one table of `section`; a missing one is read as empty.
fn one<T>(
    file: &mut Reader,
    section: Section,
    required: bool,
    read: impl FnOnce(&mut Reader) -> T,
) -> Item<T> {
    let empty = DeTable::new();
    let line = file.line();
    let found = file.take(section.as_str(), required);
    let (table, line) = match found.map(|value| (value.get_ref(), file.line_of(value))) {
        Some((DeValue::Table(table), line)) => (table, line),
        Some((_, line)) => {
            file.problem(line, section.as_str(), "", Rule::Table);
            return bare(&empty, file, section, line, read);
        }
        None => return bare(&empty, file, section, line, read),
    };
    let mut reader = file.inner(section, table, line);
    let value = read(&mut reader);
    let lines = reader.finish();
    Item { value, line, lines }
}

/// Reads the stand-in for a section that is missing or no table, without more problems.
fn bare<T>(
    empty: &DeTable,
    file: &Reader,
    section: Section,
    line: usize,
    read: impl FnOnce(&mut Reader) -> T,
) -> Item<T> {
    let mut unheard = Vec::new();
    let mut reader = Reader::new(section, empty, line, file.index(), &mut unheard);
    let value = read(&mut reader);
    Item {
        value,
        line,
        lines: HashMap::new(),
    }
}

/// Reads the list of tables of `section`.
fn many<T>(
    file: &mut Reader,
    section: Section,
    required: bool,
    read: impl Fn(&mut Reader) -> T,
) -> Vec<Item<T>> {
    let Some(found) = file.take(section.as_str(), required) else {
        return Vec::new();
    };
    let DeValue::Array(array) = found.get_ref() else {
        let line = file.line_of(found);
        file.problem(line, section.as_str(), "", Rule::Table);
        return Vec::new();
    };
    if required && array.is_empty() {
        let line = file.line_of(found);
        file.problem(line, section.as_str(), "[]", Rule::NotEmpty);
    }
    let mut items = Vec::new();
    for entry in array {
        let line = file.line_of(entry);
        let DeValue::Table(table) = entry.get_ref() else {
            file.problem(line, section.as_str(), "", Rule::Table);
            continue;
        };
        let mut reader = file.inner(section, table, line);
        let value = read(&mut reader);
        let lines = reader.finish();
        items.push(Item { value, line, lines });
    }
    items
}
