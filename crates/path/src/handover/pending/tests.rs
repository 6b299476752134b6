use std::time::Duration;

use super::{Debt, Pending, Request, request_length};

const AT: Duration = Duration::from_secs(1);
const PLAIN: &[u8] = b"GET /a/x HTTP/1.1\r\nhost: h\r\n\r\n";
const SIZED: &[u8] = b"POST /a/x HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc";
const CHUNKED: &[u8] =
    b"POST /a/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n";

fn forwarded(parts: &[&[u8]]) -> Pending {
    let mut pending = Pending::default();
    for part in parts {
        pending.record_request(part, usize::MAX, AT);
    }
    pending
}

fn unanswered(bytes: &[u8], at: Duration, sends: u32) -> Debt {
    let bytes = bytes.to_vec().into();
    Debt::Request(Request { bytes, at, sends })
}

fn answered(parts: &[&[u8]]) -> Pending {
    let mut pending = forwarded(parts);
    pending.record_answer(b"HTTP/1.1 200");
    pending.record_end();
    pending
}

#[test]
fn the_end_of_a_request_is_found_by_its_framing() {
    for request in [PLAIN, SIZED, CHUNKED] {
        assert_eq!(request_length(request), Some(request.len()));
        let next = [request, PLAIN].concat();
        assert_eq!(request_length(&next), Some(request.len()));
        for end in 0..request.len() {
            assert_eq!(request_length(&request[..end]), None, "{end}");
        }
    }
    for odd in [
        "POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 18446744073709551615\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: b\r\n\r\n",
    ] {
        assert_eq!(request_length(odd.as_bytes()), None, "{odd}");
    }
}

#[test]
fn a_request_is_owed_until_its_answer_begins() {
    for request in [PLAIN, SIZED, CHUNKED] {
        let (first, rest) = request.split_at(request.len() / 2);
        let mut pending = forwarded(&[first, rest]);
        let owed = Some(unanswered(request, AT, 1));
        assert_eq!(forwarded(&[first, rest]).take_debt(false), owed);
        pending.record_answer(b"HTTP/1.1 200");
        assert_eq!(pending.kept(), 0);
        assert_eq!(pending.take_debt(false), None);
        pending.record_end();
        assert_eq!(pending.take_debt(false), Some(Debt::Nothing));
    }
}

#[test]
fn an_interim_answer_is_not_the_answer() {
    let (head, body) = SIZED.split_at(SIZED.len() - 3);
    let mut pending = forwarded(&[head]);
    pending.record_answer(super::CONTINUE);
    pending.record_request(body, usize::MAX, AT);
    assert_eq!(pending.take_debt(false), Some(unanswered(SIZED, AT, 1)));
}

#[test]
fn a_request_that_follows_an_answer_is_owed_from_its_first_byte() {
    let mut pending = answered(&[SIZED]);
    pending.record_request(&SIZED[..5], usize::MAX, AT * 2);
    pending.record_request(&SIZED[5..], usize::MAX, AT * 3);
    let owed = Some(unanswered(SIZED, AT * 2, 1));
    assert_eq!(pending.take_debt(false), owed);
}

#[test]
fn bytes_of_a_neighbour_that_has_stopped_are_unused() {
    let mut pending = answered(&[PLAIN]);
    pending.record_stop();
    assert_eq!(pending.take_debt(false), Some(Debt::Nothing));
    pending.record_request(PLAIN, usize::MAX, AT);
    assert_eq!(pending.take_debt(false), Some(unanswered(PLAIN, AT, 0)));
}

/// Guards against a request that is served twice, or a part of one that is taken for a request.
#[test]
fn requests_that_are_sent_ahead_of_answers_are_not_told_apart() {
    let two = [SIZED, PLAIN].concat();
    let part = [SIZED, &PLAIN[..4]].concat();
    for ahead in [two, part, SIZED[..SIZED.len() - 1].to_vec()] {
        let mut pending = answered(&[&ahead]);
        assert_eq!(pending.take_debt(false), None);
        pending.record_request(PLAIN, usize::MAX, AT);
        assert_eq!(pending.take_debt(false), None);
    }
}

#[test]
fn a_request_without_room_is_not_kept() {
    let mut pending = Pending::default();
    pending.record_request(SIZED, SIZED.len() - 1, AT);
    assert_eq!((pending.kept(), pending.take_debt(false)), (0, None));
}

#[test]
fn a_request_has_run_only_if_its_send_was_or_may_have_been_stated() {
    let unused = unanswered(PLAIN, AT, 0);
    assert_eq!(forwarded(&[PLAIN]).take_debt(true), Some(unused.clone()));
    for sends in 1..3 {
        let mut pending = forwarded(&[PLAIN]);
        for _ in 0..sends {
            pending.record_send();
        }
        let owed = Some(unanswered(PLAIN, AT, sends));
        assert_eq!(pending.take_debt(true), owed);
    }
    let mut later = forwarded(&[PLAIN]);
    later.record_send();
    later.record_answer(b"HTTP/1.1 200");
    later.record_end();
    later.record_request(PLAIN, usize::MAX, AT);
    assert_eq!(later.take_debt(true), Some(unused));
}
