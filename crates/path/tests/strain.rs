//! When a router counts as behind, and for how long.

use std::time::Duration;

use dunlinward_path::strain::Strain;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Notes timers that fire `late`, ten a second, from `from` until `to`.
fn note(strain: &Strain, late: u64, from: u64, to: u64) {
    for now in (from..to).step_by(100) {
        strain.note(ms(late), ms(now));
    }
}

/// When it has caught up while timers are on time from `from` on.
fn caught_up(strain: &Strain, from: u64) -> u64 {
    let mut turns = (from..from + 60_000).step_by(100);
    let turn = turns.find(|now| {
        strain.note(ms(0), ms(*now));
        !strain.behind()
    });
    turn.unwrap()
}

#[test]
fn one_late_timer_is_not_behind_and_a_second_of_them_is() {
    let strain = Strain::default();
    note(&strain, 60, 0, 100);
    assert!(!strain.behind());
    note(&strain, 0, 100, 2_000);
    note(&strain, 30, 2_000, 3_000);
    assert!(strain.behind());
}

#[test]
fn who_is_soon_behind_again_counts_so_for_longer_and_after_a_while_does_not() {
    let strain = Strain::default();
    note(&strain, 100, 0, 200);
    assert!(strain.behind());
    let first = caught_up(&strain, 200);
    assert!((2_500..3_000).contains(&first), "{first}");
    note(&strain, 100, first + 1_000, first + 1_200);
    let second = caught_up(&strain, first + 1_200);
    assert!((5_000..7_000).contains(&(second - first)), "{second}");
    note(&strain, 100, second + 9_000, second + 9_200);
    let third = caught_up(&strain, second + 9_200);
    assert!(third - second - 9_000 < 3_000, "{third}");
}

#[test]
fn a_router_stays_behind_as_long_as_its_timers_are_late() {
    let strain = Strain::default();
    note(&strain, 100, 0, 30_000);
    assert!(strain.behind());
    assert!(caught_up(&strain, 30_000) < 33_000);
}

/// A router whose descriptors are used up takes no connection though its timers fire in time.
#[test]
fn a_router_that_cannot_accept_is_behind_until_it_could_for_a_while() {
    let strain = Strain::default();
    assert!(strain.refusing(ms(1_000)));
    assert!(strain.behind());
    assert!(!strain.refusing(ms(3_000)));
    note(&strain, 0, 3_000, 5_400);
    assert!(strain.behind());
    assert!(caught_up(&strain, 5_400) < 6_000);
}
