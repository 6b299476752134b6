//! The binary: its flags, its exit codes and its end by a signal.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Output, Stdio};

use rustix::process::{Pid, Signal, kill_process};

const KEY: &str = "a key for tests only";

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dunlinward"));
    command
        .env_clear()
        .env("DUNLINWARD_FLEET_KEY", KEY)
        .args(arguments);
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().unwrap()
}

const PLACES: [&str; 4] = ["--name", "r1", "--failure-domain", "hall-a"];

#[test]
fn a_bad_value_is_named_with_what_is_allowed() {
    let cases: [&[&str]; 9] = [
        &["--callers", "localhost:80"],
        &["--name", "r 1"],
        &["--connections", "0"],
        &["--header-timeout-ms", "1"],
        &["--peers", "r2=127.0.0.1:1"],
        &["--log-format", "xml"],
        &["--log-level", "loud"],
        &["--stream", "Config"],
        &["--fleet-key-file", "/nowhere/key"],
    ];
    let mut shown = String::new();
    for case in cases {
        let mut arguments = PLACES.to_vec();
        arguments.retain(|place| !case.contains(place));
        if case[0] == "--name" {
            arguments = vec!["--failure-domain", "hall-a"];
        }
        arguments.extend(case);
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{case:?}");
        let text = String::from_utf8(output.stderr).unwrap();
        shown.push_str(text.lines().next().unwrap());
        shown.push('\n');
    }
    insta::assert_snapshot!(shown);
}

#[test]
fn the_fleet_key_is_required_and_never_repeated() {
    let mut short = command(&PLACES);
    short.env("DUNLINWARD_FLEET_KEY", "short-secret");
    let output = short.output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("--fleet-key-file"), "{text}");
    assert!(!text.contains("short-secret"), "{text}");
    let mut missing = command(&PLACES);
    missing.env_remove("DUNLINWARD_FLEET_KEY");
    let output = missing.output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn help_names_every_flag_and_variable() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap());
}

fn started(format: &str) -> (Child, BufReader<impl Read>, String) {
    let mut child = command(&PLACES)
        .args(["--callers", "127.0.0.1:0", "--operators", "127.0.0.1:0"])
        .args(["--link", "127.0.0.1:0", "--log-format", format])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    (child, lines, line)
}

#[test]
fn a_signal_ends_it_with_success() {
    for signal in [Signal::TERM, Signal::INT] {
        let (mut child, mut lines, _) = started("json");
        kill_process(Pid::from_child(&child), signal).unwrap();
        assert_eq!(child.wait().unwrap().code(), Some(0));
        let mut rest = String::new();
        lines.read_to_string(&mut rest).unwrap();
        let last: serde_json::Value = serde_json::from_str(rest.lines().last().unwrap()).unwrap();
        assert_eq!(last["message"], "drained");
        assert_eq!(last["level"], "INFO");
    }
}

#[test]
fn an_operators_drain_ends_it_with_success() {
    let (mut child, _lines, line) = started("text");
    let operators: SocketAddr = line
        .split("operators ")
        .nth(1)
        .and_then(|rest| rest.split(',').next())
        .and_then(|address| address.parse().ok())
        .unwrap_or_else(|| panic!("no address in {line}"));
    let mut socket = TcpStream::connect(operators).unwrap();
    socket
        .write_all(b"POST /drain HTTP/1.1\r\nhost: r1\r\ncontent-length: 0\r\n\r\n")
        .unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
