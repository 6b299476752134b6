//! Splitting of event streams, and whether they end within an event.

use std::time::{Duration, Instant};

use bytes::Bytes;
use dunlinward_path::event::Splitter;

/// Bytes of an event that is forwarded in parts.
const LONG: usize = 300 * 1024;

fn within(parts: &[&[u8]]) -> bool {
    let mut splitter = Splitter::new(None);
    for part in parts {
        splitter.push(Bytes::copy_from_slice(part));
    }
    splitter.is_within_event()
}

#[test]
fn events_end_with_an_empty_line_whatever_the_line_ends() {
    for whole in [
        b"id: 1\n\n".as_slice(),
        b"id: 1\r\n\r\n",
        b"id: 1\r\r",
        b"id: 1\n\r\n",
        b"id: 1\r\n\n",
        b": comment\n\nid: 1\n\n\n",
        b"",
    ] {
        assert!(!within(&[whole]), "{whole:?}");
        for end in 0..whole.len() {
            let (first, rest) = whole.split_at(end);
            assert!(!within(&[first, rest]), "{first:?} {rest:?}");
        }
    }
}

#[test]
fn streams_that_end_within_an_event_are_detected() {
    for cut in [
        b"id: 1".as_slice(),
        b"id: 1\n",
        b"id: 1\r\n",
        b"id: 1\n\nid",
        b"id: 1\n\nid: 2\n",
        b": comment",
    ] {
        assert!(within(&[cut]), "{cut:?}");
    }
}

#[test]
fn an_event_that_is_forwarded_in_parts_is_incomplete_until_its_end() {
    let long = vec![b'x'; LONG];
    assert!(within(&[&long]));
    assert!(within(&[&long, b"more"]));
    assert!(!within(&[&long, b"more\n\n"]));
    assert!(!within(&[&long, b"\n\nid: 2\n\n"]));
}

#[test]
fn ids_are_read_whatever_the_line_ends() {
    for events in [
        "id: 7\ndata: x\n\n",
        "id: 7\r\r",
        "id: 7\r\ndata: x\r\n\r\n",
    ] {
        let mut splitter = Splitter::new(None);
        splitter.push(Bytes::from(events));
        assert_eq!(splitter.last_id(), Some(7), "{events:?}");
    }
}

/// Each piece of an event without end was searched together with all before it.
#[test]
fn an_event_in_small_pieces_is_searched_once() {
    let begun = Instant::now();
    let mut splitter = Splitter::new(None);
    for _ in 0..50_000 {
        assert!(splitter.push(Bytes::from_static(b"data")).is_none());
    }
    assert_eq!(splitter.incomplete_bytes(), 200_000);
    let events = splitter.push(Bytes::from_static(b"\n\nid: 1\n\nid"));
    assert_eq!(events.map(|it| it.len()), Some(200_009));
    // An event is to be forwarded within 120 ms.
    assert!(
        begun.elapsed() < Duration::from_millis(120),
        "{:?}",
        begun.elapsed()
    );
}
