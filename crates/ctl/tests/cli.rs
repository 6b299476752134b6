//! The command line: flags, output and exit codes, once through the binary against a stand-in.

use std::ffi::OsString;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Command;
use std::thread;

use dunlinward_ctl::exit::Exit;
use dunlinward_standin::log::{Settings, start};

const FILE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/config/chaophraya-tickworks.toml"
);

fn run(args: &[&str]) -> (Exit, String, String) {
    let args = std::iter::once("dunlinctl")
        .chain(args.iter().copied())
        .map(OsString::from);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = dunlinward_ctl::run(args, &mut out, &mut err);
    (
        exit,
        String::from_utf8(out).unwrap(),
        String::from_utf8(err).unwrap(),
    )
}

/// A file of this test's own with `text`.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn help() {
    let (exit, out, err) = run(&["--help"]);
    assert_eq!((exit, err.as_str()), (Exit::Done, ""));
    insta::assert_snapshot!(out);
    let (exit, out, _) = run(&["apply", "--help"]);
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(out);
    let (exit, out, _) = run(&["explain", "request", "--help"]);
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(out);
}

#[test]
fn bad_usage() {
    for args in [
        &[][..],
        &["check"],
        &["check", "/no/such/file.toml"],
        &["apply", FILE],
        &["apply", FILE, "--log", "localhost:9000"],
        &["status", "--log", "127.0.0.1:1", "--router", "router-1:80"],
        &["explain", "request", "r1-1-1"],
        &["explain", "prompt", "r1-1-1", "--router", "127.0.0.1:1"],
        &["drain"],
        &["drain", "--router", "127.0.0.1:1,127.0.0.1:2"],
        &["completions", "tcsh"],
        &["dance"],
    ] {
        let (exit, out, err) = run(args);
        assert_eq!((exit, out.as_str()), (Exit::Usage, ""), "{args:?}");
        assert!(!err.is_empty(), "{args:?}");
    }
}

#[test]
fn check_names_file_and_line() {
    assert_eq!(
        run(&["check", FILE]),
        (Exit::Done, String::new(), String::new())
    );
    let text = std::fs::read_to_string(FILE).unwrap();
    let bad = text
        .replace("share = 20", "share = 0")
        .replace("slots = 64", "slots = 64\nzone = 1");
    let path = file("bad.toml", &bad);
    let (exit, out, err) = run(&["check", path.to_str().unwrap()]);
    assert_eq!((exit, err.as_str()), (Exit::Problems, ""));
    insta::assert_snapshot!(out.replace(path.to_str().unwrap(), "bad.toml"));
}

#[test]
fn completions_name_the_commands() {
    for shell in ["bash", "fish", "zsh"] {
        let (exit, out, _) = run(&["completions", shell]);
        assert_eq!(exit, Exit::Done);
        assert!(
            out.contains("dunlinctl") && out.contains("apply"),
            "{shell}"
        );
    }
}

#[test]
fn the_binary_applies_against_a_log() {
    let server = start(Settings::default()).unwrap();
    let address = server.address().to_string();
    let call = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_dunlinctl"))
            .args(args)
            .env("DUNLINCTL_LOG", &address)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    let line = |text: &str| text.to_owned();
    assert_eq!(
        call(&["diff", FILE]),
        (Some(3), line("nothing is accepted yet\n"))
    );
    assert_eq!(
        call(&["apply", FILE]),
        (Some(0), line("accepted: revision 0\n"))
    );
    assert_eq!(call(&["diff", FILE]), (Some(0), String::new()));
    let text = std::fs::read_to_string(FILE)
        .unwrap()
        .replace("gap_weight = 0.8", "gap_weight = 0.9");
    let path = file("next.toml", &text);
    let changed = "~ fleet: gap_weight: 0.8 -> 0.9\n";
    assert_eq!(
        call(&["diff", path.to_str().unwrap()]),
        (Some(3), line(changed))
    );
    let (code, out) = call(&["apply", path.to_str().unwrap(), "--author", "ann"]);
    assert_eq!((code, out), (Some(0), line("accepted: revision 1\n")));
    assert_eq!(call(&["apply", FILE]).0, Some(4));
    let (code, out) = call(&["status"]);
    let accepted = "accepted: revision 1 of chaophraya-tickworks by ann\n";
    assert_eq!((code, out), (Some(0), line(accepted)));
    assert_eq!(call(&["check", "/no/such/file"]).0, Some(2));
    server.stop();
    assert_eq!(call(&["apply", FILE, "--wait-ms", "1"]).0, Some(6));
}

/// A router's operators' port that answers `count` requests with a status of `revision`.
fn router(count: usize, revision: u64, draining: bool) -> SocketAddr {
    let body = format!(
        "{{\"instance\":\"r1\",\"failure_domain\":\"bkk-lat\",\"revision\":{revision},\
         \"draining\":{draining},\"requests\":7,\"incarnation\":3}}"
    );
    port(count, body)
}

/// A router's operators' port that answers `count` requests for its status with `body`.
fn port(count: usize, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for _ in 0..count {
            let (mut stream, _) = listener.accept().unwrap();
            let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
            assert_eq!(lines.next().unwrap().unwrap(), "GET /status HTTP/1.1");
            while !lines.next().unwrap().unwrap().is_empty() {}
            let length = body.len();
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
            )
            .unwrap();
        }
    });
    address
}

/// The lines with their words one space apart, whatever the widths of the columns.
fn words(text: &str) -> String {
    let lines = text
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "));
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn status_shows_each_router() {
    let server = start(Settings::default()).unwrap();
    let log = server.address().to_string();
    assert_eq!(run(&["apply", FILE, "--log", &log]).0, Exit::Done);
    let good = router(2, 0, false).to_string();
    let behind = router(1, 9, true).to_string();
    let gone = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let hide = |text: String, address: &str| text.replace(address, "127.0.0.1:1");
    let (exit, out, _) = run(&["status", "--log", &log, "--router", &good]);
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(words(&hide(out, &good)));
    let (exit, out, _) = run(&["status", "--log", &log, "--router", &behind, "--json"]);
    assert_eq!(exit, Exit::Differs);
    insta::assert_snapshot!(hide(out, &behind));
    let (exit, out, _) = run(&[
        "status", "--log", &log, "--router", &good, "--router", &gone,
    ]);
    assert_eq!(exit, Exit::Unavailable);
    assert!(
        out.contains("serving") && out.contains("unavailable: "),
        "{out}"
    );
    server.stop();
}

/// The status of a router that suspects `suspect` and owns or not.
fn seen(instance: &str, suspect: &str, owner: &str, held: u32) -> String {
    let sees = |name: &str| {
        let suspected = name == suspect;
        format!(
            "{{\"name\":\"{name}\",\"live\":{},\"suspected\":{suspected},\"leaving\":false}}",
            !suspected
        )
    };
    format!(
        "{{\"instance\":\"{instance}\",\"failure_domain\":\"bkk-lat\",\"revision\":0,\
         \"draining\":false,\"requests\":{held},\"instances\":[{},{},{}],\
         \"customers\":[{{\"name\":\"alpha\",\"pool\":\"portal\",\"share\":3,\
         \"service_units\":{},\"queued\":{held}}}],\
         \"targets\":[{{\"name\":\"portal-0\",\"failure_domain\":\"bkk-lat\",\
         \"owner\":{owner},\"slots\":8,\"held\":{held},\"busy\":1,\"leaving\":false}}]}}",
        sees("r1"),
        sees("r2"),
        sees("r3"),
        40 + held,
    )
}

/// Shares, service, slots, owners and suspicions over two routers that disagree.
#[test]
fn status_shows_what_the_routers_see() {
    let server = start(Settings::default()).unwrap();
    let log = server.address().to_string();
    assert_eq!(run(&["apply", FILE, "--log", &log]).0, Exit::Done);
    let first = port(1, seen("r1", "r3", "\"r2\"", 2)).to_string();
    let second = port(1, seen("r2", "nobody", "\"r3\"", 5)).to_string();
    let (exit, out, _) = run(&[
        "status", "--log", &log, "--router", &first, "--router", &second,
    ]);
    assert_eq!(exit, Exit::Done);
    let out = out.replace(&first, "127.0.0.1:1");
    insta::assert_snapshot!(words(&out.replace(&second, "127.0.0.1:2")));
    server.stop();
}
