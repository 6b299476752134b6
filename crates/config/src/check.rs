//! Every problem of a configuration text, found in one pass.
//!
//! An operator who mends a file wants all of its problems at once. So the text is read by a tolerant parser into a
//! tree with positions, each section reads its fields from the tree and notes what is wrong, and a stand-in takes
//! the place of each bad field to let the reading go on. The rules between items run last and pass over stand-ins,
//! so that one mistake gives one problem. The configuration is handed out only when there was no error.
//!
//! The rules decide which applied file is accepted, see [`crate::revision`], so every router must judge alike:
//! a change to them that refuses or admits another text needs a new record version.

mod problem;
mod relations;

use crate::file::Config;
use crate::read;

pub use problem::{NAME_BYTES, Problem, Report, Rule, Section, Severity};

/// What the checks found, and the configuration if it may be applied.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The configuration; none when the report has errors.
    pub config: Option<Config>,
    /// Every problem, in the order of the lines.
    pub report: Report,
}

/// Reads and checks a whole file.
#[must_use]
pub fn run(text: &str) -> Checked {
    let mut problems = Vec::new();
    let draft = read::config(text, &mut problems);
    let broken = problems
        .iter()
        .any(|problem| matches!(problem.rule, Rule::Syntax { .. }));
    if !broken {
        relations::check(&draft, &mut problems);
    }
    let report = Report::new(problems);
    let config = (!report.has_errors()).then(|| draft.into_config());
    Checked { config, report }
}
