//! Arguments that several measurements take.

use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// Name of the flag that asks for JSON.
pub(super) const JSON: &str = "json";

/// The flag that asks for JSON.
pub(super) fn json() -> Arg {
    flag(JSON, "Prints one JSON object instead of a table")
}

/// A flag.
pub(super) fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// A whole number of at least `least`.
pub(super) fn number(name: &'static str, least: u64, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(least..=u64::from(u32::MAX)))
        .help(help)
}

/// What was given for a number.
pub(super) fn given(matches: &ArgMatches, name: &str) -> Option<u64> {
    matches.get_one::<u64>(name).copied()
}

/// What was given for a number that counts things.
pub(super) fn count(matches: &ArgMatches, name: &str) -> Option<usize> {
    given(matches, name).and_then(|number| usize::try_from(number).ok())
}
