//! `dunlinctl shares`: demand and service of customers, from the logs of routers.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use snafu::ResultExt;

use crate::error::{Error, FileSnafu, WriteSnafu};
use crate::exit::Exit;
use crate::line::Line;
use crate::shares::{Ledger, Row};
use crate::table;

const HEAD: [&str; 11] = [
    "CUSTOMER", "ASKED", "SERVED", "REFUSED", "WAITED s", "FROM s", "ASKED", "SERVED", "OF DUE",
    "BEST", "SERVED",
];

/// The command line.
pub(super) fn command() -> Command {
    let period = Arg::new("period")
        .long("period-s")
        .value_name("SECONDS")
        .default_value("6")
        .value_parser(value_parser!(i64).range(1..=3_600))
        .help("Length of the periods in which customers are compared");
    let most = Arg::new("most")
        .long("most")
        .value_name("COUNT")
        .default_value("20")
        .value_parser(value_parser!(u32).range(1..))
        .help("Most customers to show");
    Command::new("shares")
        .about("Compares what customers asked for and got, from the logs of routers")
        .long_about(
            "Compares what customers asked for and got, from the logs of routers.\n\n\
             Prints tokens asked and served, refused attempts, and seconds in which the customer \
             waited: in which an attempt was refused or past its objective. Behind these: the \
             period in which the customer waited in each second and got least of what it was due, \
             the lesser of its demand and of the service of the best served customer, second by \
             second, less three of its largest requests. Seconds count from the first line.",
        )
        .args([super::router_logs_arg(), period, most])
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let mut ledger = Ledger::new();
    for path in matches.get_many::<PathBuf>("logs").unwrap_or_default() {
        read(path, &mut ledger).context(FileSnafu { path })?;
    }
    let period = *matches.get_one("period").expect("the period has a default");
    let most: u32 = *matches.get_one("most").expect("the count has a default");
    let rows = ledger.rows(period);
    let rows = rows
        .iter()
        .take(usize::try_from(most).unwrap_or(usize::MAX));
    let rows: Vec<_> = rows.map(cells).collect();
    if rows.is_empty() {
        return Ok(Exit::NotFound);
    }
    table::print(HEAD, &rows, out).context(WriteSnafu)?;
    Ok(Exit::Done)
}

fn read(path: &Path, ledger: &mut Ledger) -> std::io::Result<()> {
    let mut reader: Box<dyn BufRead> = if path == Path::new("-") {
        Box::new(std::io::stdin().lock())
    } else {
        Box::new(BufReader::new(File::open(path)?))
    };
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        if let Some(line) = Line::parse(&String::from_utf8_lossy(&bytes)) {
            ledger.record(&line);
        }
        bytes.clear();
    }
    Ok(())
}

fn cells(row: &Row) -> [String; 11] {
    let total = &row.total;
    let worst = row.worst.as_ref();
    [
        row.customer.to_string(),
        total.asked.to_string(),
        total.served.to_string(),
        total.refused.to_string(),
        total.waited.to_string(),
        table::cell(worst.map(|it| it.from)),
        table::cell(worst.map(|it| it.asked)),
        table::cell(worst.map(|it| it.served)),
        table::cell(worst.map(|it| format!("{:.2}", it.ratio()))),
        table::cell(worst.map(|it| &it.best)),
        table::cell(worst.map(|it| it.best_served)),
    ]
}
