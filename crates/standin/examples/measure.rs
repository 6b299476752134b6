//! Measures a fleet and prints the figures, as JSON or as a table.

use std::io;
use std::process::ExitCode;

use dunlinward_standin::measure;

fn main() -> ExitCode {
    let matches = measure::command().get_matches();
    match measure::run(&matches, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("measure: {err}");
            ExitCode::FAILURE
        }
    }
}
