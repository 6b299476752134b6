//! `dunlinctl story`: what the logs of several routers say of one request.
//!
//! Beside the lines of the request itself come those by which its routers changed their mind about
//! its targets, and lost or regained a dependency, while the request was under way.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command};
use snafu::ResultExt;

use crate::error::{Error, FileSnafu, WriteSnafu};
use crate::exit::Exit;
use crate::line::Line;

/// Fields that a line of the story begins with.
const LEADING: [&str; 4] = ["at", "node", "event", "id"];

/// Seconds around a request within which other events may explain it.
const AROUND: f64 = 2.0;

/// The command line.
pub(super) fn command() -> Command {
    let id = Arg::new("id")
        .value_name("ID")
        .required(true)
        .help("Identity of the request");
    Command::new("story")
        .about("Tells one request's story from the logs of routers")
        .args([id, super::router_logs_arg()])
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let id = matches.get_one::<String>("id").expect("the id is required");
    let mut text = String::new();
    for path in matches.get_many::<PathBuf>("logs").unwrap_or_default() {
        text.push_str(&read(path).context(FileSnafu { path })?);
        text.push('\n');
    }
    let lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
    let story = tell(id, lines);
    for line in &story {
        writeln!(out, "{line}").context(WriteSnafu)?;
    }
    Ok(if story.is_empty() {
        Exit::NotFound
    } else {
        Exit::Done
    })
}

fn read(path: &Path) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    if path == Path::new("-") {
        std::io::stdin().lock().read_to_end(&mut bytes)?;
    } else {
        bytes = std::fs::read(path)?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn show(line: &Line, begun: f64) -> String {
    let node = line.text("node").unwrap_or("?");
    let event = line.text("event").unwrap_or("?");
    let mut shown = format!("{:+9.3} s  {node}  {event}", line.at - begun);
    for (name, value) in &line.fields {
        if !LEADING.contains(&name.as_str()) && !value.is_null() {
            shown.push_str("  ");
            shown.push_str(name);
            shown.push('=');
            shown.push_str(&value.to_string());
        }
    }
    shown
}

fn tell(id: &str, mut lines: Vec<Line>) -> Vec<String> {
    lines.sort_by(|a, b| a.at.total_cmp(&b.at));
    let own = || lines.iter().filter(|it| it.text("id") == Some(id));
    let Some(first) = own().next() else {
        return Vec::new();
    };
    let begun = first.at;
    let ended = own().next_back().map_or(begun, |it| it.at);
    let nodes: BTreeSet<_> = own().filter_map(|it| it.text("node")).collect();
    let targets: BTreeSet<_> = own().filter_map(|it| it.text("target")).collect();
    let explains = |line: &Line| {
        let near = line.at >= begun - AROUND && line.at <= ended + AROUND;
        let here = line.text("node").is_some_and(|it| nodes.contains(it));
        let about = line.text("target").is_none_or(|it| targets.contains(it));
        near && here && about && !line.fields.contains_key("id")
    };
    let story = lines
        .iter()
        .filter(|it| it.text("id") == Some(id) || explains(it));
    story.map(|it| show(it, begun)).collect()
}
