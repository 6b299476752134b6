//! Settings from flags and environment variables.
//!
//! Each flag has an environment variable named `DUNLINWARD_` and the flag in
//! capitals. A value that is not allowed ends the binary with exit code 2 and a
//! message that names the flag, the value and what is allowed. The fleet's key
//! comes from a file or from `DUNLINWARD_FLEET_KEY`, never from the command
//! line, where every user of the machine could read it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::error::ErrorKind;
use clap::{Arg, ArgMatches, Command, Error};
use dunlinward_config::revision::STREAM;
use dunlinward_wire::Key;

use crate::logs;
use crate::settings::{Peer, Settings};

/// Environment variable that carries the fleet's key itself.
pub const FLEET_KEY: &str = "DUNLINWARD_FLEET_KEY";

/// Longest name of an instance or a failure domain in bytes.
const NAME_LIMIT: usize = 64;

/// What the binary is told.
#[derive(Clone, Debug)]
pub struct Flags {
    /// Settings of the router.
    pub settings: Settings,
    /// How log lines look.
    pub format: logs::Format,
    /// Which log lines are written.
    pub level: log::LevelFilter,
}

/// The command line of the binary.
#[must_use]
pub fn command() -> Command {
    Command::new("dunlinward")
        .about("Routes callers' requests to targets, fairly between customers")
        .version(env!("CARGO_PKG_VERSION"))
        .args(places())
        .args(platform())
        .args(bounds())
        .args(logging())
}

/// Reads flags and environment; `secret` is the fleet's key when it comes from the environment.
///
/// # Errors
///
/// A message that names the flag, the value and what is allowed.
pub fn parse(
    arguments: impl IntoIterator<Item = std::ffi::OsString>,
    secret: Option<String>,
) -> Result<Flags, Error> {
    let mut command = command();
    let matches = command.try_get_matches_from_mut(arguments)?;
    let key = fleet_key(&mut command, &matches, secret)?;
    Ok(Flags {
        settings: fill(&matches, key),
        format: value(&matches, "log-format"),
        level: value(&matches, "log-level"),
    })
}

fn flag(name: &'static str, env: &'static str, parser: impl Into<ValueParser>) -> Arg {
    Arg::new(name).long(name).env(env).value_parser(parser)
}

fn places() -> [Arg; 5] {
    [
        flag("name", "DUNLINWARD_NAME", name)
            .required(true)
            .help("Name of this instance, unique in the fleet"),
        flag("failure-domain", "DUNLINWARD_FAILURE_DOMAIN", name)
            .required(true)
            .help("Name of the failure domain of this instance"),
        flag("callers", "DUNLINWARD_CALLERS", address)
            .default_value("127.0.0.1:8080")
            .help("Address where callers connect"),
        flag("operators", "DUNLINWARD_OPERATORS", address)
            .default_value("127.0.0.1:8081")
            .help("Address where operators connect"),
        flag("link", "DUNLINWARD_LINK", address)
            .default_value("127.0.0.1:8082")
            .help("Address where other routers connect"),
    ]
}

fn platform() -> [Arg; 6] {
    [
        flag("log", "DUNLINWARD_LOG", address).help("Address of the log service"),
        flag("instances", "DUNLINWARD_INSTANCES", address).help("Address of the instance list"),
        flag("peers", "DUNLINWARD_PEERS", peer)
            .value_delimiter(',')
            .help("Peers known without the instance list, as name=address@failure-domain"),
        flag("stream", "DUNLINWARD_STREAM", stream)
            .default_value(STREAM)
            .help("Stream of the log that carries configurations"),
        flag(
            "log-retention-s",
            "DUNLINWARD_LOG_RETENTION_S",
            range(10, 31_536_000),
        )
        .default_value("3600")
        .help("How long the log keeps records at least, in seconds"),
        flag(
            "fleet-key-file",
            "DUNLINWARD_FLEET_KEY_FILE",
            clap::value_parser!(PathBuf),
        )
        .help("File with the key that routers share; or set DUNLINWARD_FLEET_KEY"),
    ]
}

fn bounds() -> [Arg; 8] {
    [
        flag("drain-ms", "DUNLINWARD_DRAIN_MS", range(1, 3_600_000))
            .default_value("30000")
            .help("Longest graceful shutdown in milliseconds"),
        flag("connections", "DUNLINWARD_CONNECTIONS", range(1, 65_536))
            .default_value("4096")
            .help("Callers' connections open at once"),
        flag(
            "header-timeout-ms",
            "DUNLINWARD_HEADER_TIMEOUT_MS",
            range(10, 600_000),
        )
        .default_value("10000")
        .help("Time for a request's head, and again for its body, in milliseconds"),
        flag("body-limit", "DUNLINWARD_BODY_LIMIT", range(1, 1 << 30))
            .default_value("4194304")
            .help("Largest request body in bytes"),
        flag(
            "body-memory",
            "DUNLINWARD_BODY_MEMORY",
            range(1 << 16, 1 << 40),
        )
        .default_value("268435456")
        .help("Memory for all request bodies together, in bytes"),
        flag("workers", "DUNLINWARD_WORKERS", range(1, 16_384))
            .default_value("1024")
            .help("Attempts that run at once"),
        flag("seed", "DUNLINWARD_SEED", clap::value_parser!(u64))
            .default_value("0")
            .help("Seed for ties and jitter"),
        flag("round-ms", "DUNLINWARD_ROUND_MS", range(50, 60_000))
            .default_value("500")
            .help("Time between two rounds of accounts in milliseconds"),
    ]
}

fn logging() -> [Arg; 2] {
    [
        flag("log-format", "DUNLINWARD_LOG_FORMAT", format)
            .default_value("json")
            .help("How log lines look: json or text"),
        flag("log-level", "DUNLINWARD_LOG_LEVEL", level)
            .default_value("info")
            .help("Which log lines are written: error, warn, info, debug or trace"),
    ]
}

fn range(least: u64, most: u64) -> ValueParser {
    clap::value_parser!(u64).range(least..=most).into()
}

fn fill(matches: &ArgMatches, key: Key) -> Settings {
    let name: Arc<str> = value(matches, "name");
    let domain: Arc<str> = value(matches, "failure-domain");
    let mut settings = Settings::new(name, domain, key);
    settings.callers = value(matches, "callers");
    settings.operators = value(matches, "operators");
    settings.link = value(matches, "link");
    settings.log = matches.get_one("log").copied();
    settings.instances = matches.get_one("instances").copied();
    settings.peers = matches
        .get_many::<Peer>("peers")
        .map(|peers| peers.cloned().collect())
        .unwrap_or_default();
    settings.stream = value(matches, "stream");
    settings.retention = Duration::from_secs(value(matches, "log-retention-s"));
    settings.drain = millis(matches, "drain-ms");
    settings.connections = size(matches, "connections");
    settings.header_timeout = millis(matches, "header-timeout-ms");
    settings.body_limit = size(matches, "body-limit");
    settings.body_memory = size(matches, "body-memory");
    settings.workers = size(matches, "workers");
    settings.seed = value(matches, "seed");
    settings.round = millis(matches, "round-ms");
    settings
}

fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("the flag is required or has a default")
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(value(matches, name))
}

fn size(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(value::<u64>(matches, name)).expect("ranges of sizes fit every machine")
}

fn name(text: &str) -> Result<Arc<str>, String> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if text.is_empty() || text.len() > NAME_LIMIT || !text.chars().all(allowed) {
        return Err(format!(
            "allowed are 1 to {NAME_LIMIT} letters, digits, '-', '_' and '.'"
        ));
    }
    Ok(Arc::from(text))
}

/// A stream of the log; its service takes fewer characters than names have.
fn stream(text: &str) -> Result<Arc<str>, String> {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
    if text.is_empty() || text.starts_with('.') || !text.bytes().all(allowed) {
        return Err("allowed are a-z, 0-9, '-' and '.', which may not come first".to_owned());
    }
    Ok(Arc::from(text))
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| "allowed is an IP number and a port, such as 127.0.0.1:8080".to_owned())
}

fn peer(text: &str) -> Result<Peer, String> {
    let allowed = "allowed is name=address@failure-domain, such as r1=127.0.0.1:7001@hall-a";
    let (head, rest) = text.split_once('=').ok_or(allowed)?;
    let (place, domain) = rest.split_once('@').ok_or(allowed)?;
    Ok(Peer {
        name: name(head)?,
        address: address(place)?,
        domain: name(domain)?,
    })
}

fn format(text: &str) -> Result<logs::Format, String> {
    match text {
        "json" => Ok(logs::Format::Json),
        "text" => Ok(logs::Format::Text),
        _ => Err("allowed are json and text".to_owned()),
    }
}

fn level(text: &str) -> Result<log::LevelFilter, String> {
    text.parse()
        .map_err(|_| "allowed are off, error, warn, info, debug and trace".to_owned())
}

/// The key from the file or the environment; its text is never repeated in an error.
fn fleet_key(
    command: &mut Command,
    matches: &ArgMatches,
    secret: Option<String>,
) -> Result<Key, Error> {
    let text = match matches.get_one::<PathBuf>("fleet-key-file") {
        Some(path) => std::fs::read_to_string(path).map_err(|err| {
            let shown = path.display();
            let message = format!(
                "invalid value '{shown}' for '--fleet-key-file': {err}; allowed is a readable file"
            );
            command.error(ErrorKind::ValueValidation, message)
        })?,
        None => secret.ok_or_else(|| {
            let message = format!("either '--fleet-key-file' or {FLEET_KEY} is required");
            command.error(ErrorKind::MissingRequiredArgument, message)
        })?,
    };
    Key::new(text.trim().as_bytes()).map_err(|short| {
        let message = format!("invalid fleet key in '--fleet-key-file' or {FLEET_KEY}: {short}");
        command.error(ErrorKind::ValueValidation, message)
    })
}
