//! What a full ring keeps, and what it costs.

use super::*;

fn record(number: u64, row: usize) -> Record {
    Record {
        at: Instant::from_micros(number),
        subject: Subject {
            request: id::Request(number),
            customer: id::Customer::new(row),
            arrived: Instant::ZERO,
        },
        deed: Deed::Queued,
    }
}

#[test]
fn a_full_ring_keeps_the_latest() {
    let mut ring = Ring::new(4);
    for number in 0..10 {
        ring.push(record(number, 0));
    }
    let all = ring.latest(usize::MAX, |_| true);
    let numbers: Vec<u64> = all.iter().map(|record| record.subject.request.0).collect();
    assert_eq!(numbers, [6, 7, 8, 9]);
    let two = ring.latest(2, |record| record.subject.request.0 % 2 == 0);
    let numbers: Vec<u64> = two.iter().map(|record| record.subject.request.0).collect();
    assert_eq!(numbers, [6, 8]);
}

/// The figures of docs/design/explain.md.
#[test]
fn memory_is_bounded() {
    let mut ring = Ring::new(RECORDS);
    assert_eq!(ring.bytes(), 0);
    for number in 0..3 * RECORDS as u64 {
        ring.push(record(number, 0));
    }
    let measured = format!(
        "{} bytes a record, {} in all",
        size_of::<Record>(),
        ring.bytes()
    );
    insta::assert_snapshot!(measured);
}
