//! Placement of contents during whose runs targets terminated.

use dunlinward_dispatch::content::{ContentTag, Digest};
use dunlinward_dispatch::grants;
use dunlinward_dispatch::quarantine::{Finding, Resolution};

use super::*;

const NOW: Duration = Duration::ZERO;

/// An owner of idle engines with pairs of a content and the number of targets that terminated
/// during its runs.
fn owner(ends: &[(u128, u32)]) -> Fleet {
    let mut fleet = Fleet::new(&[], 0);
    for (content, ends) in ends {
        for target in 0..*ends {
            let finding = Finding {
                content: Digest(*content),
                // Different targets for each content, all of which have terminated.
                target: Tag(1_000 * u32::try_from(*content).expect("small") + target),
                resolution: Resolution::Ended,
            };
            fleet.owner.quarantine.apply(finding, NOW);
        }
    }
    fleet
}

/// Requests a place for a content; returns its target, if one was granted.
fn place(fleet: &mut Fleet, content: Option<u64>, number: u64) -> Option<Tag> {
    let place_request = PlaceRequest {
        content: content.map(ContentTag),
        prompt: Some(Rc::new(shared_prompt())),
        ..place_request(0, NOW, number)
    };
    let settings = fleet.settings.clone();
    match fleet
        .owner
        .answer(&settings, asker(1, number), place_request, NOW)
    {
        Content::Grant(grant) => Some(grant.tag),
        _ => None,
    }
}

/// All prompts have the same prefix, so contents that are not suspected run at its home engine.
#[test]
fn suspects_run_on_separate_targets_with_the_fewest_requests() {
    let mut fleet = owner(&[(1, 2), (2, 2)]);
    let home = place(&mut fleet, None, 100).expect("a place is free");
    assert_eq!(place(&mut fleet, Some(3), 101), Some(home));
    let first = place(&mut fleet, Some(1), 1).expect("a place is free");
    let second = place(&mut fleet, Some(2), 2).expect("a place is free");
    assert!(
        first != home && second != home,
        "the home engine already runs two requests"
    );
    assert_ne!(first, second);
    let again = place(&mut fleet, Some(1), 3).expect("a place is free");
    assert_eq!(
        again, first,
        "a second run must put no other target at risk"
    );
    // The target of the first suspect runs no other content.
    assert_eq!(
        fleet.owner.in_flight.contents_on(first).collect::<Vec<_>>(),
        [ContentTag(1)]
    );
}

#[test]
fn a_content_that_terminated_three_targets_gets_no_place_and_others_do() {
    let mut fleet = owner(&[(1, 3), (2, 2)]);
    assert_eq!(place(&mut fleet, Some(1), 1), None);
    assert!(place(&mut fleet, Some(2), 2).is_some());
    assert!(place(&mut fleet, Some(3), 3).is_some());
}

#[test]
fn a_run_ends_with_its_return_its_withdrawal_or_the_expiry_of_its_lease() {
    let mut fleet = owner(&[]);
    let content = ContentTag(5);
    for number in 1..=3 {
        place(&mut fleet, Some(content.0), number).expect("a place is free");
    }
    let tag = fleet
        .owner
        .in_flight
        .target(content)
        .expect("the content runs");
    let returned = Return {
        tag,
        unread: 0,
        outcome: None,
        not_run: None,
        content: Some(content),
        refusal: None,
    };
    fleet.owner.confirm(Peer(1), &[1], NOW);
    fleet.owner.return_place(Peer(1), &returned, NOW);
    fleet.owner.withdraw(Peer(1), 2, NOW);
    assert_eq!(fleet.owner.in_flight.target(content), Some(tag));
    fleet.owner.expire_grants(grants::LEASE_TIMEOUT);
    assert_eq!(fleet.owner.in_flight.target(content), None);
}
