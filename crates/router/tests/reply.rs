//! The writing end of an answer, with a caller that reads slowly or not at all.

use std::time::Duration;

use dunlinward_router::reply::{Closed, Part, Sink};

/// Parts written until the sink gives up, or `most`.
fn written(sink: &Sink, most: usize) -> (usize, Option<Closed>) {
    for count in 0..most {
        if let Err(closed) = sink.send(1, Part::Data(b"part".to_vec().into())) {
            return (count, Some(closed));
        }
    }
    (most, None)
}

#[test]
fn a_caller_that_reads_nothing_counts_as_gone() {
    let (sink, receiver) = Sink::new();
    let sink = sink.with_stall(Duration::from_millis(50));
    sink.select(1);
    let (count, closed) = written(&sink, 1_000);
    assert!(count > 0 && count < 1_000, "{count} parts fitted");
    assert!(matches!(closed, Some(Closed::Left)), "{closed:?}");
    drop(receiver);
}

#[test]
fn a_caller_that_reads_slowly_gets_every_part() {
    let (sink, mut receiver) = Sink::new();
    sink.select(1);
    let reader = std::thread::spawn(move || {
        let mut parts = 0;
        while receiver.blocking_recv().is_some() {
            parts += 1;
            std::thread::sleep(Duration::from_millis(1));
        }
        parts
    });
    let (count, closed) = written(&sink, 200);
    assert!(closed.is_none(), "{closed:?}");
    drop(sink);
    assert_eq!(reader.join().unwrap(), count);
}
