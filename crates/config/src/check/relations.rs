//! The rules between items: unique names, references that resolve, services that someone serves.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hash;
use std::sync::Arc;

use super::{Problem, Rule, Section, Severity};
use crate::file::{Kind, wire_key};
use crate::read::{Draft, Item};

/// Notes every broken rule between the items of `draft`.
pub fn check(draft: &Draft, problems: &mut Vec<Problem>) {
    names(
        Section::Customer,
        draft.customers.iter().map(Item::named),
        problems,
    );
    names(
        Section::Service,
        draft.services.iter().map(Item::named),
        problems,
    );
    names(
        Section::Target,
        draft.targets.iter().map(Item::named),
        problems,
    );
    failure_domains(draft, problems);
    keys(draft, problems);
    addresses(draft, problems);
    references(draft, problems);
    served(draft, problems);
    wanted(draft, problems);
}

/// A name with the line it stands in.
pub type Named<'a> = (&'a Arc<str>, usize);

fn names<'a>(
    section: Section,
    names: impl Iterator<Item = Named<'a>>,
    problems: &mut Vec<Problem>,
) {
    let mut lines: HashMap<&Arc<str>, usize> = HashMap::new();
    let mut keys: HashMap<u32, Named> = HashMap::new();
    for (name, line) in names.filter(|(name, _)| !name.is_empty()) {
        let rule = match (lines.get(name), keys.get(&wire_key(name))) {
            (Some(&first), _) => Rule::Unique { first },
            (None, Some(&(other, first))) => Rule::WireKey {
                other: Arc::clone(other),
                first,
            },
            (None, None) => {
                lines.insert(name, line);
                keys.insert(wire_key(name), (name, line));
                continue;
            }
        };
        problems.push(error(section, name, line, "name", name, rule));
    }
}

fn failure_domains(draft: &Draft, problems: &mut Vec<Problem>) {
    let fleet = &draft.fleet;
    let domains = &fleet.value.failure_domains;
    let lines = (0..).map(|index| fleet.line("failure_domains", index));
    for (name, line, first) in doubles(domains.iter().cloned().zip(lines)) {
        let rule = Rule::Unique { first };
        problems.push(error(
            Section::Fleet,
            "",
            line,
            "failure_domains",
            &name,
            rule,
        ));
    }
    for target in &draft.targets {
        let name = &target.value.failure_domain;
        if !name.is_empty() && !domains.is_empty() && !domains.contains(name) {
            let line = target.line("failure_domain", 0);
            let rule = Rule::FailureDomain;
            problems.push(error(
                Section::Target,
                &target.value.name,
                line,
                "failure_domain",
                name,
                rule,
            ));
        }
    }
}

fn keys(draft: &Draft, problems: &mut Vec<Problem>) {
    let mut first_lines = HashMap::new();
    for customer in &draft.customers {
        for (key, index) in customer.value.key_sha256.iter().zip(0..) {
            let line = customer.line("key_sha256", index);
            if let Some(first) = first_of(&mut first_lines, *key, line) {
                let rule = Rule::Unique { first };
                let name = &customer.value.name;
                let value = key.to_string();
                problems.push(error(
                    Section::Customer,
                    name,
                    line,
                    "key_sha256",
                    &value,
                    rule,
                ));
            }
        }
    }
}

fn addresses(draft: &Draft, problems: &mut Vec<Problem>) {
    let mut first_lines = HashMap::new();
    for target in draft
        .targets
        .iter()
        .filter(|target| target.value.address.port() != 0)
    {
        let line = target.line("address", 0);
        let address = target.value.address;
        if let Some(first) = first_of(&mut first_lines, address, line) {
            let rule = Rule::Unique { first };
            let name = &target.value.name;
            let value = address.to_string();
            problems.push(error(Section::Target, name, line, "address", &value, rule));
        }
    }
}

fn references(draft: &Draft, problems: &mut Vec<Problem>) {
    for target in &draft.targets {
        let name = &target.value.name;
        let lines = (0..).map(|index| target.line("services", index));
        let services = &target.value.services;
        for (service, line) in services.iter().zip(lines.clone()) {
            if !draft
                .services
                .iter()
                .any(|known| known.value.name == *service)
            {
                let rule = Rule::Service;
                problems.push(error(
                    Section::Target,
                    name,
                    line,
                    "services",
                    service,
                    rule,
                ));
            }
        }
        for (service, line, first) in doubles(services.iter().cloned().zip(lines)) {
            let rule = Rule::Unique { first };
            problems.push(error(
                Section::Target,
                name,
                line,
                "services",
                &service,
                rule,
            ));
        }
    }
}

/// Warns of services that nobody serves and of models that nobody holds.
fn served(draft: &Draft, problems: &mut Vec<Problem>) {
    for service in draft
        .services
        .iter()
        .filter(|service| !service.value.name.is_empty())
    {
        let name = &service.value.name;
        let mut targets = draft
            .targets
            .iter()
            .filter(|target| target.value.serves(name))
            .peekable();
        if targets.peek().is_none() {
            let line = service.line("name", 0);
            problems.push(warning(
                Section::Service,
                name,
                line,
                "name",
                name,
                Rule::Served,
            ));
            continue;
        }
        let held: Vec<_> = targets.flat_map(|target| &target.value.models).collect();
        for (model, index) in service.value.models.iter().zip(0..) {
            if !held.contains(&model) {
                let line = service.line("models", index);
                problems.push(warning(
                    Section::Service,
                    name,
                    line,
                    "models",
                    model,
                    Rule::Held,
                ));
            }
        }
    }
}

/// Warns of models that a target holds for nobody.
fn wanted(draft: &Draft, problems: &mut Vec<Problem>) {
    for target in &draft.targets {
        let services = draft.services.iter().filter(|service| {
            service.value.kind == Kind::Model && target.value.serves(&service.value.name)
        });
        let accepted: Vec<_> = services.flat_map(|service| &service.value.models).collect();
        for (model, index) in target.value.models.iter().zip(0..) {
            if !accepted.contains(&model) {
                let name = &target.value.name;
                let line = target.line("models", index);
                problems.push(warning(
                    Section::Target,
                    name,
                    line,
                    "models",
                    model,
                    Rule::Wanted,
                ));
            }
        }
    }
}

/// Values that came before, each with its line and the line of the first.
fn doubles<T: Eq + Hash + Clone>(
    values: impl Iterator<Item = (T, usize)>,
) -> impl Iterator<Item = (T, usize, usize)> {
    let mut first_lines = HashMap::new();
    values.filter_map(move |(value, line)| {
        first_of(&mut first_lines, value.clone(), line).map(|first| (value, line, first))
    })
}

/// Line of the first equal value, if there was one.
fn first_of<T: Eq + Hash>(lines: &mut HashMap<T, usize>, value: T, line: usize) -> Option<usize> {
    match lines.entry(value) {
        Entry::Occupied(first) => Some(*first.get()),
        Entry::Vacant(slot) => {
            slot.insert(line);
            None
        }
    }
}

fn error(
    section: Section,
    item: &str,
    line: usize,
    field: &str,
    value: &str,
    rule: Rule,
) -> Problem {
    let severity = Severity::Error;
    let (item, field, value) = (Arc::from(item), field.to_owned(), format!("{value:?}"));
    Problem {
        line,
        severity,
        section,
        item,
        field,
        value,
        rule,
    }
}

fn warning(
    section: Section,
    item: &str,
    line: usize,
    field: &str,
    value: &str,
    rule: Rule,
) -> Problem {
    Problem {
        severity: Severity::Warning,
        ..error(section, item, line, field, value, rule)
    }
}
