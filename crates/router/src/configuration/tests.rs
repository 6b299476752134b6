//! What a keeper states, and to whom.

use std::sync::Arc;
use std::sync::mpsc::channel;

use dunlinward_config::revision::{Apply, Record};

use super::Keeper;
use crate::current::Cell;
use crate::metrics::Metrics;

const FILE: &str = include_str!("../../../../examples/config/dansk-eksamensforum.toml");

fn keeper() -> Keeper {
    // The driver's end of the channel is gone, which a keeper bears.
    let (driver, _) = channel();
    Keeper::new(
        Arc::new(Cell::new()),
        driver,
        Arc::new(Metrics::new().unwrap()),
    )
}

fn proposal(id: &str, base: Option<u64>) -> String {
    let record = Record::Apply(Apply {
        id: id.into(),
        base,
        author: "ann".into(),
        text: FILE.into(),
    });
    record.encode().unwrap()
}

#[test]
fn missed_records_end_statements_to_the_log_but_not_to_peers() {
    let keeper = keeper();
    assert_eq!(keeper.restatement("r1"), None);
    keeper.read(0, [(0, proposal("a", None).as_str())].into_iter());
    assert_eq!(keeper.revision(), Some(0));
    assert!(keeper.restatement("r2").is_some());
    // The log dropped offsets 1 to 8 before this router read them.
    keeper.read(9, std::iter::empty());
    assert_eq!(keeper.restatement("r3"), None);
    assert!(keeper.statement("peer").is_some());
}

/// A statement of a router that missed nothing makes it current again.
#[test]
fn a_statement_that_reaches_far_enough_brings_statements_back() {
    let (behind, ahead) = (keeper(), keeper());
    for keeper in [&behind, &ahead] {
        keeper.read(0, [(0, proposal("a", None).as_str())].into_iter());
    }
    behind.read(2, std::iter::empty());
    assert_eq!(behind.restatement("r1"), None);
    ahead.read(0, [(1, "noise"), (2, "noise")].into_iter());
    let text = ahead.restatement("r2").unwrap();
    behind.read(2, [(2, "noise"), (3, text.as_str())].into_iter());
    assert!(behind.restatement("r3").is_some());
}
