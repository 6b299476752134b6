//! Where an owner places contents under which targets have ended.

use dunlinward_dispatch::content::{ContentTag, Digest};
use dunlinward_dispatch::grants;
use dunlinward_dispatch::quarantine::{Finding, Resolution};

use super::*;

const NOW: Duration = Duration::ZERO;

/// An owner of idle engines that has heard of so many targets that ended under each content.
fn owner(ends: &[(u128, u32)]) -> Fleet {
    let mut fleet = Fleet::new(&[], 0);
    for (content, ends) in ends {
        for target in 0..*ends {
            let finding = Finding {
                content: Digest(*content),
                // Of each content other targets, none of which runs any more.
                target: Tag(1_000 * u32::try_from(*content).expect("small") + target),
                resolution: Resolution::Ended,
            };
            fleet.owner.quarantine.apply(finding, NOW);
        }
    }
    fleet
}

/// The target that a content is given, if it is given one.
fn place(fleet: &mut Fleet, content: Option<u64>, number: u64) -> Option<Tag> {
    let wish = Wish {
        content: content.map(ContentTag),
        prompt: Some(Rc::new(shared_prompt())),
        ..wish(0, NOW, number)
    };
    let settings = fleet.settings.clone();
    match fleet.owner.answer(&settings, asker(1, number), wish, NOW) {
        Content::Grant(grant) => Some(grant.tag),
        _ => None,
    }
}

/// The prompt's prefix draws all of these to one engine.
#[test]
fn suspects_run_apart_from_each_other_and_where_fewest_run() {
    let mut fleet = owner(&[(1, 2), (2, 2)]);
    let home = place(&mut fleet, None, 100).expect("there is room");
    assert_eq!(place(&mut fleet, Some(3), 101), Some(home));
    let first = place(&mut fleet, Some(1), 1).expect("there is room");
    let second = place(&mut fleet, Some(2), 2).expect("there is room");
    assert!(first != home && second != home, "two run there");
    assert_ne!(first, second);
    let again = place(&mut fleet, Some(1), 3).expect("there is room");
    assert_eq!(again, first, "it puts no other target at risk");
    // Both of the others are free of suspects; only these two are not.
    assert_eq!(
        fleet.owner.copies.contents_on(first).collect::<Vec<_>>(),
        [ContentTag(1)]
    );
}

#[test]
fn what_has_ended_three_targets_gets_no_place_and_others_do() {
    let mut fleet = owner(&[(1, 3), (2, 2)]);
    assert_eq!(place(&mut fleet, Some(1), 1), None);
    assert!(place(&mut fleet, Some(2), 2).is_some());
    assert!(place(&mut fleet, Some(3), 3).is_some());
}

#[test]
fn the_end_of_a_run_is_known_from_its_return_its_withdrawal_or_its_lapse() {
    let mut fleet = owner(&[]);
    let content = ContentTag(5);
    for number in 1..=3 {
        place(&mut fleet, Some(content.0), number).expect("there is room");
    }
    let tag = fleet.owner.copies.target(content).expect("it runs");
    let returned = Return {
        tag,
        unread: 0,
        outcome: None,
        not_run: None,
        content: Some(content),
        refusal: None,
    };
    fleet.owner.confirm(Peer(1), &[1], NOW);
    fleet.owner.returned(Peer(1), &returned, NOW);
    fleet.owner.withdraw(Peer(1), 2, NOW);
    assert_eq!(fleet.owner.copies.target(content), Some(tag));
    fleet.owner.expire_grants(grants::LEASE_TIMEOUT);
    assert_eq!(fleet.owner.copies.target(content), None);
}
