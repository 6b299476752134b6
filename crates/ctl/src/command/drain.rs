//! `dunlinctl drain`: tells one router to take nothing new and to end.

use std::io::Write;
use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command, value_parser};
use snafu::ResultExt;

use super::{millis_of, timeout_arg};
use crate::error::{Error, WriteSnafu};
use crate::exit::Exit;
use crate::operators::{Answer, Client};

/// The command line. The address comes from the command line only, and there is
/// one, so that no list of routers in the environment is drained by mistake.
pub(super) fn command() -> Command {
    let router = Arg::new("router")
        .long("router")
        .value_name("ADDR")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Operators' port of the router");
    Command::new("drain")
        .about("Tells a router to refuse new requests, end the others and stop")
        .args([router, timeout_arg()])
}

/// Runs the command.
pub(super) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<Exit, Error> {
    let address = *matches
        .get_one::<SocketAddr>("router")
        .expect("the router is required");
    let client = Client::new(millis_of(matches, "timeout"));
    match client.post(address, "drain").and_then(Answer::whole) {
        Ok(_) => {
            writeln!(out, "draining: {address}").context(WriteSnafu)?;
            Ok(Exit::Done)
        }
        Err(cause) => {
            writeln!(out, "unavailable: {address}: {cause}").context(WriteSnafu)?;
            Ok(Exit::Unavailable)
        }
    }
}
