use dunlinward_dispatch::registry::Checksums;

use super::{Kind, Request, Selection};
use crate::handover::OFFER_MARK;

/// Guards against a request for views that a peer takes for an offer of a connection.
#[test]
fn the_shortest_request_is_no_offer() {
    let wanted = Selection::default().with(Kind::Configuration, true);
    let targets = Checksums::default();
    let bytes = Request { wanted, targets }.encode().unwrap();
    let (length, request) = bytes.split_at(2);
    assert_ne!(length, OFFER_MARK.to_be_bytes());
    // The mark of an earlier release.
    assert!(request.len() > 1);
}
