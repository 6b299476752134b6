//! Leases of places granted to other routers: what ends a lease, and that it ends only once.

use std::time::Duration;

use dunlinward_dispatch::grants::{End, Grants, LEASE_TIMEOUT, Lease, Reason, RequestId};
use dunlinward_dispatch::message::{CustomerTag, Grant};
use dunlinward_dispatch::share::Shares;
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::Peer;

const WINDOW: Duration = Duration::from_secs(4);
const CUSTOMER: CustomerTag = CustomerTag(7);
const PEER: Peer = Peer(1);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn request(number: u64) -> RequestId {
    RequestId { peer: PEER, number }
}

/// Grants places for 100 tokens each, at `now`.
fn grant_places(
    grants: &mut Grants,
    shares: &mut Shares,
    numbers: std::ops::Range<u64>,
    now: Duration,
) {
    for number in numbers {
        let grant = Grant {
            number,
            tag: Tag::new("i-1"),
            unread: 100,
            queued: 0,
            hit: false,
            fetch: None,
            standing: None,
        };
        let charge = Some(shares.charge(CUSTOMER, 100, now));
        let lease = Lease {
            grant,
            charge,
            prefix: None,
            content: None,
        };
        grants.insert(request(number), lease, now);
    }
}

fn refund(shares: &mut Shares, end: Option<End>, now: Duration) {
    if let Some(charge) = end.and_then(|it| it.lease.charge) {
        shares.refund(charge, now);
    }
}

#[test]
fn a_lease_ends_once_whatever_the_number_and_order_of_reports() {
    let (mut grants, mut shares) = (Grants::new(WINDOW), Shares::new(WINDOW));
    grant_places(&mut grants, &mut shares, 0..3, ms(0));
    let reports = [
        (0, Reason::Withdrawn),
        (0, Reason::Withdrawn),
        (1, Reason::NotRun),
        (1, Reason::Withdrawn),
        (9, Reason::Withdrawn),
    ];
    for (number, reason) in reports {
        let end = grants.end(request(number), reason);
        refund(&mut shares, end, ms(50));
    }
    let confirmed = [0, 1, 2].map(|number| grants.confirm(request(number)).is_some());
    assert_eq!(confirmed, [false, false, true]);
    assert_eq!(shares.granted(CUSTOMER, ms(60)), 100);
    assert!(grants.expire(LEASE_TIMEOUT).is_empty());
    let unused: Vec<_> = grants.take_unused();
    let unused = unused.iter().map(|it| (it.reason, it.places, it.tokens));
    let expected = [(Reason::Withdrawn, 1, 100), (Reason::NotRun, 1, 100)];
    assert_eq!(unused.collect::<Vec<_>>(), expected);
    assert!(grants.take_unused().is_empty());
}

/// The message that a place is not used may be lost; the customer must not stay charged for a
/// request that did not run.
#[test]
fn a_lease_expires_unless_it_is_confirmed() {
    let (mut grants, mut shares) = (Grants::new(WINDOW), Shares::new(WINDOW));
    grant_places(&mut grants, &mut shares, 0..4, ms(0));
    assert!(grants.confirm(request(1)).is_some());
    let of_other_peer = |number| RequestId {
        peer: Peer(2),
        number,
    };
    assert!((0..4).all(|it| grants.confirm(of_other_peer(it)).is_none()));
    assert!(
        grants
            .expire(LEASE_TIMEOUT.saturating_sub(ms(1)))
            .is_empty()
    );
    for end in grants.expire(LEASE_TIMEOUT) {
        assert!(!end.confirmed);
        refund(&mut shares, Some(end), LEASE_TIMEOUT);
    }
    assert_eq!(shares.granted(CUSTOMER, LEASE_TIMEOUT), 100);
    assert!(grants.expire(LEASE_TIMEOUT + ms(300)).is_empty());
    // A target may refuse a request long after its place was confirmed.
    let end = grants.end(request(1), Reason::NotRun);
    assert_eq!(end.map(|it| it.confirmed), Some(true));
    refund(&mut shares, end, LEASE_TIMEOUT + ms(300));
    assert_eq!(shares.granted(CUSTOMER, LEASE_TIMEOUT + ms(300)), 0);
}

/// A request that is sent again because the answer was lost gets the same place for as long as a
/// delayed copy of it may arrive.
#[test]
fn a_repeated_request_gets_the_same_place_even_after_its_lease_has_ended() {
    let (mut grants, mut shares) = (Grants::new(WINDOW), Shares::new(WINDOW));
    grant_places(&mut grants, &mut shares, 0..1, ms(0));
    let place = grants.find(request(0));
    assert!(place.is_some());
    assert!(grants.end(request(0), Reason::Withdrawn).is_some());
    assert_eq!(grants.find(request(0)), place);
    assert!(grants.expire(WINDOW).is_empty());
    assert_eq!(grants.find(request(0)), None);
}

#[test]
fn a_charge_that_has_left_the_window_is_not_refunded_from_later_ones() {
    let mut shares = Shares::new(WINDOW);
    let old = shares.charge(CUSTOMER, 100, ms(0));
    let new = shares.charge(CUSTOMER, 30, ms(2_000));
    shares.refund(old, ms(3_900));
    assert_eq!(shares.granted(CUSTOMER, ms(3_900)), 30);
    let later = shares.charge(CUSTOMER, 5, ms(4_100));
    shares.refund(old, ms(4_100));
    assert_eq!(shares.granted(CUSTOMER, ms(4_100)), 35);
    shares.refund(new, ms(4_100));
    shares.refund(later, ms(4_100));
    assert_eq!(shares.granted(CUSTOMER, ms(4_100)), 0);
}
