//! The operator's command line for a dunlinward fleet.
//!
//! Each command is one file of [`command`]: it declares its flags, and its core takes the systems it talks to as
//! traits, so that tests give it fakes. Commands write their result to standard output and failures to standard
//! error, and every end has its own [`exit::Exit`] for scripts.

pub mod clock;
pub mod command;
pub mod error;
pub mod exit;
pub mod follower;
pub mod line;
pub mod operators;
pub mod shares;
mod table;

use std::ffi::OsString;
use std::io::Write;

use clap::error::ErrorKind;

use crate::exit::Exit;

/// Runs the command line `args`, of which the first is the name of the program.
pub fn run(
    args: impl IntoIterator<Item = OsString>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let matches = match command::cli().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return usage(&error, out, err),
    };
    command::run(&matches, out).unwrap_or_else(|error| {
        // Nothing is left to tell the operator with if this fails too.
        let _ = writeln!(err, "dunlinctl: {error}");
        error.exit()
    })
}

fn usage(error: &clap::Error, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let asked = matches!(
        error.kind(),
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion
    );
    // As above, a failure to write has no other place to go.
    let _ = if asked {
        write!(out, "{error}")
    } else {
        write!(err, "{error}")
    };
    if asked { Exit::Done } else { Exit::Usage }
}
