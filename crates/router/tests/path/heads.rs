//! Heads of answers that break off or contradict themselves.
//!
//! A target writes given bytes for the first run of a request and closes or resets the connection.
//! It answers every other run whole.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use dunlinward_router::Router;
use ureq::Agent;

use crate::world::{End, PATIENCE, Reply, World, reply, request};

/// Body of an answer.
const BODY: &str = "the whole body of an answer";

/// Whole answers before each broken one: a tenth of the first runs may be repeated.
const SOUND_PER_CASE: usize = 5;

type Answer = (Vec<u8>, End);

/// A router before such a target.
struct Fleet {
    // Ends with the test.
    _world: World,
    router: Router,
    answers: Arc<Mutex<HashMap<String, Answer>>>,
    runs: Arc<Mutex<HashMap<String, usize>>>,
    count: usize,
}

/// A caller that shows redirects.
fn caller() -> Agent {
    Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into()
}

fn sound() -> Answer {
    (whole("200 OK").into_bytes(), End::Close)
}

/// A whole answer with a length.
fn whole(status: &str) -> String {
    let length = BODY.len();
    format!("HTTP/1.1 {status}\r\nserver: raw\r\ncontent-length: {length}\r\n\r\n{BODY}")
}

impl Fleet {
    fn start() -> Self {
        let answers = Arc::new(Mutex::new(HashMap::<String, Answer>::new()));
        let runs = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
        let (played, ran) = (answers.clone(), runs.clone());
        let world = World::new().with_raw(move |path| {
            let mut runs = ran.lock().unwrap_or_else(PoisonError::into_inner);
            *runs.entry(path.to_owned()).or_default() += 1;
            let answer = played.lock().unwrap().remove(path);
            answer.unwrap_or_else(sound)
        });
        let router = world.router(world.settings("r1"));
        Self {
            _world: world,
            router,
            answers,
            runs,
            count: 0,
        }
    }

    /// Sends a request whose first run gets this answer; what the caller got, and the runs.
    fn play(&mut self, method: &str, answer: Answer) -> (Result<Reply, ureq::Error>, usize) {
        self.count += 1;
        let path = format!("/x/{}", self.count);
        self.answers.lock().unwrap().insert(path.clone(), answer);
        let asked = request(&self.router, method, &format!("/portal{path}"));
        let asked = asked.body(String::new());
        let got = caller().run(asked.unwrap()).map(reply);
        let runs = self.runs.lock().unwrap().get(&path).copied();
        (got, runs.unwrap_or_default())
    }

    /// Plays an answer that is none: a call that may repeat runs again, another one fails.
    fn check_broken(&mut self, bytes: &str, end: End) {
        for _ in 0..SOUND_PER_CASE {
            self.check_whole("GET", (whole("200 OK"), End::Close), 200, BODY);
        }
        let case = format!("{end:?}, {bytes:?}");
        let (got, runs) = self.play("GET", (bytes.into(), end));
        let got = got.unwrap();
        assert_eq!((got.status, runs), (200, 2), "{case}: {}", got.body);
        assert_eq!(got.body, BODY, "{case}");
        for _ in 0..SOUND_PER_CASE {
            self.check_whole("GET", (whole("200 OK"), End::Close), 200, BODY);
        }
        let (got, runs) = self.play("POST", (bytes.into(), end));
        let got = got.unwrap();
        assert_eq!((got.status, runs), (502, 1), "{case}: {}", got.body);
        assert_eq!(got.verdict.as_deref(), Some("may_have_run"), "{case}");
    }

    fn check_whole(&mut self, method: &str, answer: (String, End), status: u16, body: &str) {
        let case = format!("{method} {answer:?}");
        let (got, runs) = self.play(method, (answer.0.into_bytes(), answer.1));
        let got = got.unwrap();
        assert_eq!((got.status, runs), (status, 1), "{case}: {}", got.body);
        assert_eq!(got.body, body, "{case}");
    }
}

/// Plays each part of an answer that lacks its end; the answer itself is whole.
fn check_cuts(text: &str, status: u16, end: End) {
    let mut fleet = Fleet::start();
    // Of chunks the last size marks the end; what follows it may be missing.
    let last = text.find("\r\n0\r\n").map_or(text.len(), |it| it + 5);
    for cut in 0..last {
        fleet.check_broken(&text[..cut], end);
    }
    fleet.check_whole("GET", (text.to_owned(), End::Close), status, BODY);
}

#[test]
fn an_answer_cut_at_any_byte_is_no_answer() {
    check_cuts(&whole("200 OK"), 200, End::Close);
}

#[test]
fn an_answer_reset_at_any_byte_is_no_answer() {
    check_cuts(&whole("200 OK"), 200, End::Reset);
}

#[test]
fn an_answer_in_chunks_cut_at_any_byte_is_no_answer() {
    let chunks = format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    check_cuts(&format!("{head}{chunks}"), 200, End::Close);
}

#[test]
fn an_answer_behind_an_interim_head_cut_at_any_byte_is_no_answer() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    check_cuts(&format!("{interim}{}", whole("200 OK")), 200, End::Close);
}

/// The library can take a redirect without the end of its head for whole.
#[test]
fn a_redirect_cut_at_any_byte_is_no_answer() {
    let moved = whole("302 Found").replace("server: raw", "location: /elsewhere");
    check_cuts(&moved, 302, End::Close);
}

/// A coding that is not known, or not whole, counted as a framing: a cut body was passed on as whole.
#[test]
fn only_whole_chunks_or_a_length_frame_an_answer() {
    let mut fleet = Fleet::start();
    for end in [End::Close, End::Reset] {
        for (version, more) in [
            ("1.1", ""),
            ("1.0", ""),
            ("1.1", "transfer-encoding: chunk\r\n"),
            ("1.1", "transfer-encoding: gzip\r\n"),
            ("1.1", "transfer-encoding: \r\n"),
            ("1.1", "transfer-encoding: chunked, gzip\r\n"),
            ("1.1", "transfer-encoding: chunk\r\ncontent-length: 4\r\n"),
            (
                "1.1",
                "content-length: 4\r\ntransfer-encoding: identity\r\n",
            ),
            ("1.0", "transfer-encoding: chunked\r\n"),
            ("1.0", "transfer-encoding: chunked\r\ncontent-length: 4\r\n"),
            ("1.1", "content-length: 4\r\ncontent-length: 5\r\n"),
            ("1.1", "content-length: +4\r\n"),
            ("1.1", "content-length: \r\n"),
        ] {
            let head = format!("HTTP/{version} 200 OK\r\n{more}\r\n");
            fleet.check_broken(&head, end);
            fleet.check_broken(&(head + BODY), end);
        }
    }
    for more in [
        "transfer-encoding: Chunked\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
    ] {
        let chunks = format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
        let text = format!("HTTP/1.1 200 OK\r\n{more}\r\n{chunks}");
        fleet.check_whole("GET", (text, End::Close), 200, BODY);
    }
    let text = whole("200 OK").replace("HTTP/1.1", "HTTP/1.0");
    fleet.check_whole("GET", (text, End::Close), 200, BODY);
}

#[test]
fn an_answer_whose_body_is_rightly_empty_is_whole() {
    let mut fleet = Fleet::start();
    for more in ["", "content-length: 0\r\n"] {
        for (method, status) in [("HEAD", 200), ("GET", 204), ("GET", 304), ("POST", 204)] {
            let text = format!("HTTP/1.1 {status} Fine\r\n{more}\r\n");
            fleet.check_whole(method, (text, End::Close), status, "");
        }
    }
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\n".to_owned();
    fleet.check_whole("HEAD", (text, End::Close), 200, "");
}

/// A target that changed protocols unasked had its head passed on as an answer.
#[test]
fn a_change_of_protocols_is_no_answer() {
    let mut fleet = Fleet::start();
    for more in [
        "",
        "connection: upgrade\r\nupgrade: x\r\n",
        "content-length: 0\r\n",
    ] {
        for end in [End::Close, End::Reset] {
            fleet.check_broken(&format!("HTTP/1.1 101 Go\r\n{more}\r\n"), end);
        }
    }
}

/// A refusal behind the beginning of a success counted as proof that the request had not run.
#[test]
fn a_success_that_says_not_run_is_no_answer() {
    let mut fleet = Fleet::start();
    for more in ["", "server: raHTTP/1.1 503 Busy\r\n"] {
        let head = format!("HTTP/1.1 200 OK\r\n{more}x-not-run: 1\r\ncontent-length: 0\r\n\r\n");
        fleet.check_broken(&head, End::Close);
    }
}
