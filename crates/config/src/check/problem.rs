//! One problem of a file and the report of all of them.

use std::fmt;
use std::sync::Arc;

/// Part of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Section {
    /// The file itself.
    File,
    /// `[fleet]`
    Fleet,
    /// `[limits]`
    Limits,
    /// `[[customer]]`
    Customer,
    /// `[[service]]`
    Service,
    /// `[[target]]`
    Target,
}

impl Section {
    /// The section as the file writes it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::File => "file",
            Self::Fleet => "fleet",
            Self::Limits => "limits",
            Self::Customer => "customer",
            Self::Service => "service",
            Self::Target => "target",
        }
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Whether a problem forbids applying the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// The file can't be applied.
    Error,
    /// The file can be applied, but is likely not what was meant.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// The rule that a value breaks; its text says what is allowed.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// The text must be TOML.
    Syntax {
        /// What the parser said.
        message: String,
    },
    /// Only known fields are allowed.
    Field {
        /// The fields of the section.
        known: Vec<&'static str>,
    },
    /// The field is required.
    Required,
    /// A string.
    Text,
    /// `true` or `false`.
    Boolean,
    /// A list of strings.
    List,
    /// A list with an entry.
    NotEmpty,
    /// A table, or a list of tables.
    Table,
    /// A whole number in a range.
    Whole {
        /// Smallest allowed.
        min: u64,
        /// Largest allowed.
        max: u64,
    },
    /// A number in a range.
    Fraction {
        /// Smallest allowed.
        min: f64,
        /// Largest allowed.
        max: f64,
    },
    /// A name.
    Name,
    /// A digest of a bearer key.
    Digest,
    /// An IP number and a port.
    Address,
    /// One of a few words.
    OneOf {
        /// The words.
        words: Vec<&'static str>,
    },
    /// A value that nothing else has.
    Unique {
        /// Line of the first one, from 1.
        first: usize,
    },
    /// A name whose wire key no other name of its kind has.
    WireKey {
        /// The other name.
        other: Arc<str>,
        /// Line of the other name, from 1.
        first: usize,
    },
    /// A failure domain of the fleet.
    FailureDomain,
    /// The name of a service.
    Service,
    /// A field for services of the other kind only.
    OtherKind {
        /// The kind that has the field.
        kind: &'static str,
    },
    /// A service that a target serves.
    Served,
    /// A model that a target of the service holds.
    Held,
    /// A model that a service of the target accepts.
    Wanted,
}

/// Longest name, in bytes.
pub const NAME_BYTES: usize = 64;

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { message } => write!(f, "valid TOML: {message}"),
            Self::Field { known } => write!(f, "known fields: {}", known.join(", ")),
            Self::Required => f.write_str("the field is required"),
            Self::Text => f.write_str("a string"),
            Self::Boolean => f.write_str("true or false"),
            Self::List => f.write_str("a list of strings"),
            Self::NotEmpty => f.write_str("at least one entry"),
            Self::Table => f.write_str("a table, written as in the example"),
            Self::Whole { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Fraction { min, max } => write!(f, "a number from {min:.1} to {max:.1}"),
            Self::Name => write!(
                f,
                "1 to {NAME_BYTES} characters of a-z, 0-9, dot and hyphen"
            ),
            Self::Digest => f.write_str("a SHA-256 digest of 64 lower-case hexadecimal digits"),
            Self::Address => f.write_str("an IP number and a port, such as 10.0.0.7:9001"),
            Self::OneOf { words } => write!(f, "one of {}", words.join(", ")),
            Self::Unique { first } => write!(f, "a value of its own; line {first} has the same"),
            Self::WireKey { other, first } => {
                write!(
                    f,
                    "a name whose wire key differs from that of {other:?} in line {first}"
                )
            }
            Self::FailureDomain => f.write_str("a name in failure_domains of [fleet]"),
            Self::Service => f.write_str("the name of a [[service]]"),
            Self::OtherKind { kind } => write!(f, "only in a service of kind {kind}"),
            Self::Served => f.write_str("a service that at least one target serves"),
            Self::Held => f.write_str("a model that at least one target of the service holds"),
            Self::Wanted => f.write_str("a model that a service of the target accepts"),
        }
    }
}

/// One problem: where it is, what stands there and what is allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Line in the file, from 1.
    pub line: usize,
    /// Whether it forbids applying the file.
    pub severity: Severity,
    /// Part of the file.
    pub section: Section,
    /// Name of the customer, service or target; empty elsewhere.
    pub item: Arc<str>,
    /// Field in the section; empty when the problem is the whole of it.
    pub field: String,
    /// What stands there, as in the file; empty when nothing does.
    pub value: String,
    /// The rule that it breaks.
    pub rule: Rule,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.severity, self.section)?;
        if !self.item.is_empty() {
            write!(f, " {:?}", self.item)?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        if !self.value.is_empty() {
            write!(f, " = {}", self.value)?;
        }
        write!(f, ": allowed: {}", self.rule)
    }
}

/// Every problem of a file, in the order of the lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    problems: Vec<Problem>,
}

impl Report {
    /// A report of `problems` in any order.
    #[must_use]
    pub fn new(mut problems: Vec<Problem>) -> Self {
        problems.sort_by_key(|problem| problem.line);
        Self { problems }
    }

    /// The problems, in the order of the lines.
    #[must_use]
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Whether a problem forbids applying the file.
    #[must_use]
    pub fn has_errors(&self) -> bool {
        self.problems
            .iter()
            .any(|problem| problem.severity == Severity::Error)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.problems
            .iter()
            .try_for_each(|problem| writeln!(f, "line {}: {problem}", problem.line))
    }
}

impl std::error::Error for Report {}
