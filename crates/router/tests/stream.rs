//! The check on the events of a streamed answer.

use std::fmt::Write as _;
use std::io::{Cursor, ErrorKind};

use dunlinward_router::targets::stream::{Check, Step, Usage, read};

/// What the check says to each event of a text, and the units at its end.
fn steps(text: &str) -> String {
    let mut reader = Cursor::new(text);
    let mut check = Check::new();
    let mut shown = String::new();
    while let Some(event) = read(&mut reader).unwrap() {
        let step = check.step(&event);
        let units = check.units();
        writeln!(shown, "{:?} {step:?}, {units} units", event.index).unwrap();
        if matches!(step, Step::End | Step::Broken) {
            break;
        }
    }
    shown
}

fn event(index: u64, stream: &str) -> String {
    format!("id: {index}\ndata: {{\"id\":\"{stream}\",\"choices\":[]}}\n\n")
}

#[test]
fn a_whole_stream_passes() {
    let last = "id: 2\ndata: {\"id\":\"a\",\"usage\":{\"prompt_tokens\":100,\
                \"cached_tokens\":64,\"completion_tokens\":2}}\n\n";
    let text = event(0, "a") + &event(1, "a") + last + "data: [DONE]\n\n";
    insta::assert_snapshot!(steps(&text));
}

#[test]
fn late_doubled_and_crossed_events_are_left_out() {
    let text = event(0, "a")
        + &event(0, "a")
        + &event(1, "b")
        + &event(1, "a")
        + &event(0, "a")
        + ": a comment\n\n"
        + &event(2, "a")
        + "data: [DONE]\n\n";
    insta::assert_snapshot!(steps(&text));
}

#[test]
fn a_gap_or_no_json_breaks_the_answer() {
    assert!(steps(&(event(0, "a") + &event(2, "a"))).ends_with("Some(2) Broken, 1 units\n"));
    assert!(steps("data: {\n\n").ends_with("None Broken, 0 units\n"));
}

#[test]
fn an_event_cut_short_is_an_error() {
    for text in ["id: 0\ndata: {}\n", "id: 0\nda", "data: [DONE]"] {
        let err = read(&mut Cursor::new(text)).unwrap_err();
        assert_eq!(err.kind(), ErrorKind::UnexpectedEof, "{text}");
    }
    assert!(read(&mut Cursor::new("")).unwrap().is_none());
}

#[test]
fn an_endless_line_is_an_error() {
    let text = "x".repeat(2 << 20);
    let err = read(&mut Cursor::new(text)).unwrap_err();
    assert_eq!(err.kind(), ErrorKind::InvalidData);
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let event = read(&mut Cursor::new("id: 7\r\ndata: a\r\ndata: b\r\n\r\n"))
        .unwrap()
        .unwrap();
    assert_eq!(event.index, Some(7));
    assert_eq!(event.data, "a\nb");
    assert_eq!(event.raw, "id: 7\r\ndata: a\r\ndata: b\r\n\r\n");
}

#[test]
fn more_cached_than_prompted_costs_nothing_below_zero() {
    let usage = Usage {
        prompt_tokens: 3,
        cached_tokens: 5,
        completion_tokens: 4,
    };
    assert_eq!(usage.units(), 4);
}
