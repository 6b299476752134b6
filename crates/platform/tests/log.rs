//! The log: one contract for the client and the fake, then what only the client meets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use dunlinward_platform::log::memory::Memory;
use dunlinward_platform::log::{Client, Log, Page, Query, Record};
use dunlinward_platform::{Error, Verdict};
use dunlinward_standin::log::{Settings, start};

const LONG: Duration = Duration::from_secs(20);

fn record(offset: u64, data: &str) -> Record {
    Record {
        offset,
        data: data.into(),
    }
}

/// What a log that keeps three records must do.
fn contract(log: &dyn Log) {
    let empty = Page {
        first: 0,
        next: 0,
        records: vec![],
    };
    assert_eq!(log.read("config", Query::new(0)).unwrap(), empty);
    for (offset, data) in (0..).zip(["a", "b", "\"ø\"\n", "d", "e"]) {
        assert_eq!(log.append("config", data).unwrap(), offset);
    }
    let kept = vec![record(2, "\"ø\"\n"), record(3, "d"), record(4, "e")];
    let page = log.read("config", Query::new(0)).unwrap();
    assert_eq!(
        page,
        Page {
            first: 2,
            next: 5,
            records: kept
        }
    );
    let page = log.read("config", Query::new(3).with_max(1)).unwrap();
    assert_eq!(
        page,
        Page {
            first: 2,
            next: 5,
            records: vec![record(3, "d")]
        }
    );
    let page = log.read("config", Query::new(9)).unwrap();
    assert_eq!(
        page,
        Page {
            first: 2,
            next: 5,
            records: vec![]
        }
    );
    assert_eq!(log.append("other", "x").unwrap(), 0);
}

/// A waiting read is answered by an append from elsewhere.
fn wakes(log: &dyn Log) {
    thread::scope(|scope| {
        let waiting = scope.spawn(|| log.read("wakes", Query::new(0).with_wait(LONG)));
        log.append("wakes", "a").unwrap();
        assert_eq!(waiting.join().unwrap().unwrap().records, [record(0, "a")]);
    });
}

/// In an outage nothing is done, and the caller is told so.
fn refuses(log: &dyn Log, set_outage: impl Fn(bool)) {
    let next = log.read("config", Query::new(0)).unwrap().next;
    set_outage(true);
    let error = log.append("config", "no").unwrap_err();
    assert!(
        matches!(error, Error::Unavailable { status: 503 }),
        "{error}"
    );
    assert_eq!(error.verdict(), Verdict::NotDone);
    assert!(log.read("config", Query::new(0)).is_err());
    set_outage(false);
    assert_eq!(log.read("config", Query::new(0)).unwrap().next, next);
}

/// An append with a lost answer is in the log, and the caller is told that it may be.
fn loses(log: &dyn Log, lose: impl Fn()) {
    lose();
    let error = log.append("config", "lost").unwrap_err();
    assert_eq!(error.verdict(), Verdict::MayHaveBeenDone);
    let next = log.append("config", "next").unwrap();
    let page = log.read("config", Query::new(next - 1)).unwrap();
    assert_eq!(
        page.records,
        [record(next - 1, "lost"), record(next, "next")]
    );
}

fn fault(address: SocketAddr, body: &str) {
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let length = body.len();
    write!(
        stream,
        "POST /admin/faults HTTP/1.1\r\nhost: log\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn the_fake_keeps_the_contract() {
    let log = Memory::new().with_retention(3);
    contract(&log);
    wakes(&log);
    refuses(&log, |outage| log.set_outage(outage));
    loses(&log, || log.lose_answers(1));
}

#[test]
fn the_client_keeps_the_contract() {
    let server = start(Settings {
        max_records: 3,
        ..Settings::default()
    })
    .unwrap();
    let log = Client::new(server.address()).with_timeout(LONG);
    contract(&log);
    wakes(&log);
    refuses(&log, |outage| {
        fault(server.address(), &format!("{{\"outage\":{outage}}}"));
    });
    loses(&log, || fault(server.address(), "{\"lose_answers\":1}"));
    server.stop();
}

#[test]
fn a_lost_call_leaves_no_record() {
    let log = Memory::new();
    log.lose_calls(1);
    assert_eq!(
        log.append("config", "a").unwrap_err().verdict(),
        Verdict::MayHaveBeenDone
    );
    assert_eq!(log.read("config", Query::new(0)).unwrap().next, 0);
}

#[test]
fn appends_over_the_rate_are_not_done() {
    let server = start(Settings {
        appends_per_second: 1,
        ..Settings::default()
    })
    .unwrap();
    let log = Client::new(server.address()).with_timeout(LONG);
    let refused = (0..50)
        .find_map(|_| log.append("config", "a").err())
        .expect("50 in no second");
    assert!(
        matches!(refused, Error::Unavailable { status: 429 }),
        "{refused}"
    );
    assert_eq!(refused.verdict(), Verdict::NotDone);
    server.stop();
}

#[test]
fn a_refused_connection_is_not_done() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = Client::new(address).append("config", "a").unwrap_err();
    assert!(matches!(error, Error::Connect { .. }), "{error}");
    assert_eq!(error.verdict(), Verdict::NotDone);
}

#[test]
fn a_silent_log_may_have_done_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let log = Client::new(address).with_timeout(Duration::from_millis(50));
    let error = log.append("config", "a").unwrap_err();
    assert!(matches!(error, Error::Lost { .. }), "{error}");
    assert_eq!(error.verdict(), Verdict::MayHaveBeenDone);
}

/// A server that gives `answer` to its first request.
fn canned(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\na") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

#[test]
fn verdicts_of_other_answers() {
    let cases = [
        (
            "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n",
            Verdict::NotDone,
        ),
        (
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
            Verdict::MayHaveBeenDone,
        ),
        (
            "HTTP/1.1 307 Moved\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n",
            Verdict::MayHaveBeenDone,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            Verdict::MayHaveBeenDone,
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"off",
            Verdict::MayHaveBeenDone,
        ),
        ("", Verdict::MayHaveBeenDone),
    ];
    for (answer, verdict) in cases {
        let log = Client::new(canned(answer)).with_timeout(LONG);
        let error = log.append("config", "a").unwrap_err();
        assert_eq!(error.verdict(), verdict, "{answer:?}: {error}");
    }
}

#[test]
fn a_stream_is_a_plain_name() {
    let log = Client::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    for name in ["", "a/b", "..", "a?b", "A"] {
        let error = log.read(name, Query::new(0)).unwrap_err();
        assert!(matches!(error, Error::Stream { .. }), "{name}: {error}");
    }
}
