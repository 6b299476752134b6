//! Typed access to the fields of one table.
//!
//! Each accessor takes its field, notes a problem when the value breaks its rule and gives a stand-in instead.
//! Whatever no accessor took is unknown, which [`Reader::finish`] notes.

use std::collections::HashMap;
use std::sync::Arc;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::check::{Problem, Rule, Section, Severity};

/// Start of each line of a text.
pub struct Lines(Vec<usize>);

impl Lines {
    /// The lines of `text`.
    pub fn new(text: &str) -> Self {
        let starts = text
            .bytes()
            .zip(1..)
            .filter(|(byte, _)| *byte == b'\n')
            .map(|(_, next)| next);
        Self(std::iter::once(0).chain(starts).collect())
    }

    /// Line of the byte at `offset`, from 1.
    pub fn at(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset)
    }
}

/// Reads the fields of one table.
pub struct Reader<'a> {
    section: Section,
    item: Arc<str>,
    table: &'a DeTable<'a>,
    line: usize,
    index: &'a Lines,
    taken: Vec<&'static str>,
    lines: HashMap<(&'static str, usize), usize>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Reader<'a> {
    /// Reader of `table`, which starts in `line`.
    pub fn new(
        section: Section,
        table: &'a DeTable<'a>,
        line: usize,
        index: &'a Lines,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        let item = Arc::from("");
        Self {
            section,
            item,
            table,
            line,
            index,
            taken: Vec::new(),
            lines: HashMap::new(),
            problems,
        }
    }

    /// Reader of a table inside of this one.
    pub fn inner<'b>(
        &'b mut self,
        section: Section,
        table: &'b DeTable<'b>,
        line: usize,
    ) -> Reader<'b> {
        Reader::new(section, table, line, self.index, self.problems)
    }

    /// Line in which the table starts, from 1.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Starts of the lines.
    pub fn index(&self) -> &'a Lines {
        self.index
    }

    /// Line of `value`, from 1.
    pub fn line_of(&self, value: &Spanned<DeValue>) -> usize {
        self.index.at(value.span().start)
    }

    /// Notes an error.
    pub fn problem(&mut self, line: usize, field: &str, value: &str, rule: Rule) {
        self.problems.push(Problem {
            line,
            severity: Severity::Error,
            section: self.section,
            item: Arc::clone(&self.item),
            field: field.to_owned(),
            value: value.to_owned(),
            rule,
        });
    }

    /// The value of `field`.
    pub fn take(
        &mut self,
        field: &'static str,
        required: bool,
    ) -> Option<&'a Spanned<DeValue<'a>>> {
        self.taken.push(field);
        let found = self
            .table
            .iter()
            .find(|(key, _)| key.get_ref() == field)
            .map(|(_, value)| value);
        match found {
            Some(value) => {
                let line = self.line_of(value);
                self.lines.insert((field, 0), line);
            }
            None if required => self.problem(self.line, field, "", Rule::Required),
            None => {}
        }
        found
    }

    /// The name of the item, empty if it is bad; later problems carry it.
    pub fn name(&mut self) -> Arc<str> {
        self.item = self
            .text("name", Rule::Name, parse_name)
            .unwrap_or_else(|| Arc::from(""));
        Arc::clone(&self.item)
    }

    /// The required string `field` as `parse` reads it.
    pub fn text<T>(
        &mut self,
        field: &'static str,
        rule: Rule,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(field, true)?;
        let line = self.line_of(value);
        self.parse(line, field, value.get_ref(), rule, parse)
    }

    /// The strings of the list `field` as `parse` reads them; none when the field is absent.
    pub fn list<T>(
        &mut self,
        field: &'static str,
        required: bool,
        rule: &Rule,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Vec<T>> {
        let value = self.take(field, required)?;
        let line = self.line_of(value);
        let DeValue::Array(array) = value.get_ref() else {
            self.problem(line, field, &shown(value.get_ref()), Rule::List);
            return Some(Vec::new());
        };
        if array.is_empty() {
            self.problem(line, field, "[]", Rule::NotEmpty);
        }
        let mut read = Vec::new();
        for entry in array {
            let line = self.line_of(entry);
            if let Some(one) = self.parse(line, field, entry.get_ref(), rule.clone(), &parse) {
                self.lines.insert((field, read.len()), line);
                read.push(one);
            }
        }
        Some(read)
    }

    /// The whole number `field`, or `default`; required without one.
    pub fn whole(&mut self, field: &'static str, min: u64, max: u64, default: Option<u64>) -> u64 {
        let stand_in = default.unwrap_or(min);
        let Some(value) = self.take(field, default.is_none()) else {
            return stand_in;
        };
        let number = whole(value.get_ref()).filter(|number| (min..=max).contains(number));
        number.unwrap_or_else(|| {
            let line = self.line_of(value);
            self.problem(
                line,
                field,
                &shown(value.get_ref()),
                Rule::Whole { min, max },
            );
            stand_in
        })
    }

    /// As [`Reader::whole`], in 32 bits.
    pub fn whole32(
        &mut self,
        field: &'static str,
        min: u32,
        max: u32,
        default: Option<u32>,
    ) -> u32 {
        let number = self.whole(field, min.into(), max.into(), default.map(u64::from));
        u32::try_from(number).expect("the bounds fit 32 bits")
    }

    /// The number `field`, or `default`.
    pub fn fraction(&mut self, field: &'static str, min: f64, max: f64, default: f64) -> f64 {
        let Some(value) = self.take(field, false) else {
            return default;
        };
        let number = fraction(value.get_ref()).filter(|number| (min..=max).contains(number));
        number.unwrap_or_else(|| {
            let line = self.line_of(value);
            self.problem(
                line,
                field,
                &shown(value.get_ref()),
                Rule::Fraction { min, max },
            );
            default
        })
    }

    /// The flag `field`; none when it is absent.
    pub fn flag(&mut self, field: &'static str) -> Option<bool> {
        let value = self.take(field, false)?;
        if let DeValue::Boolean(flag) = value.get_ref() {
            return Some(*flag);
        }
        let line = self.line_of(value);
        self.problem(line, field, &shown(value.get_ref()), Rule::Boolean);
        None
    }

    /// Takes `field`, which the section must not have here.
    pub fn refuse(&mut self, field: &'static str, rule: Rule) {
        if let Some(value) = self.take(field, false) {
            let line = self.line_of(value);
            self.problem(line, field, &shown(value.get_ref()), rule);
        }
    }

    /// Notes the fields that nothing took; gives the lines of those taken.
    pub fn finish(mut self) -> HashMap<(&'static str, usize), usize> {
        for (key, value) in self.table {
            let field = key.get_ref();
            if !self.taken.iter().any(|taken| taken == field) {
                let known = self.taken.clone();
                let line = self.index.at(key.span().start);
                self.problem(line, field, &shown(value.get_ref()), Rule::Field { known });
            }
        }
        self.lines
    }

    fn parse<T>(
        &mut self,
        line: usize,
        field: &'static str,
        value: &DeValue,
        rule: Rule,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let DeValue::String(text) = value else {
            self.problem(line, field, &shown(value), Rule::Text);
            return None;
        };
        let read = parse(text);
        if read.is_none() {
            self.problem(line, field, &shown(value), rule);
        }
        read
    }
}

/// A name, if `text` is one.
pub fn parse_name(text: &str) -> Option<Arc<str>> {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
    let fits = (1..=crate::check::NAME_BYTES).contains(&text.len());
    (fits && text.bytes().all(allowed)).then(|| Arc::from(text))
}

fn whole(value: &DeValue) -> Option<u64> {
    let DeValue::Integer(number) = value else {
        return None;
    };
    u64::from_str_radix(number.as_str(), number.radix()).ok()
}

fn fraction(value: &DeValue) -> Option<f64> {
    match value {
        DeValue::Float(number) => number.as_str().parse().ok(),
        DeValue::Integer(number) if number.radix() == 10 => number.as_str().parse().ok(),
        _ => None,
    }
}

/// A value as a report shows it.
fn shown(value: &DeValue) -> String {
    match value {
        DeValue::String(text) => format!("{text:?}"),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(time) => time.to_string(),
        DeValue::Array(_) => "[...]".to_owned(),
        DeValue::Table(_) => "{...}".to_owned(),
    }
}
