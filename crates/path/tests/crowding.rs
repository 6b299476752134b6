//! What a router refuses that has no time for it.

use std::time::Duration;

use dunlinward_path::crowding::{Crowding, busy_part};

/// Plays a second with such a busy part in each tenth of it.
fn second(crowding: &Crowding, busy: f64) {
    for _ in 0..10 {
        crowding.note(busy);
    }
}

/// A router that can do `capacity` requests a second and gets `load`: what it refuses costs an eighth
/// of what it serves. The part that it serves of what it could, in the last of ten seconds.
fn play(load: f64, capacity: f64) -> f64 {
    const REFUSAL: f64 = 0.125;
    let crowding = Crowding::default();
    let mut waiting = 0.0;
    let mut served = 0.0;
    for tick in 0..100 {
        let refused = crowding.refused();
        let work = load / 10.0 * (1.0 - refused + refused * REFUSAL);
        waiting += work;
        let done = f64::min(waiting, capacity / 10.0);
        waiting -= done;
        crowding.note(done / (capacity / 10.0));
        if tick >= 90 {
            served += done - load / 10.0 * refused * REFUSAL;
        }
    }
    // What waits is gone through within half a second.
    assert!(waiting <= capacity / 2.0, "{load}: {waiting} wait");
    served / capacity
}

#[test]
fn a_router_with_time_to_spare_refuses_nothing() {
    let crowding = Crowding::default();
    second(&crowding, 0.9);
    assert!(crowding.refused() <= 0.0);
    assert!((0..1_000).all(|draw| !crowding.refuses(draw)));
}

#[test]
fn one_without_a_pause_refuses_half_after_half_a_second_and_never_all() {
    let crowding = Crowding::default();
    for _ in 0..5 {
        crowding.note(1.0);
    }
    let refused = (0..1_000).filter(|draw| crowding.refuses(*draw)).count();
    assert!((450..=550).contains(&refused), "{refused}");
    second(&crowding, 1.0);
    second(&crowding, 1.0);
    assert!((0..1_000).any(|draw| !crowding.refuses(draw)));
}

#[test]
fn the_refusals_end_when_the_load_is_gone() {
    let crowding = Crowding::default();
    second(&crowding, 1.0);
    assert!(crowding.refused() > 0.5);
    for _ in 0..5 {
        second(&crowding, 0.3);
    }
    assert!(crowding.refused() <= 0.0);
}

/// One caller sends 1.2 to 4 times what the router can do. Without refusals what waits grows by 0.2 to
/// 3 s in each second, so that nobody is answered in time.
#[test]
fn a_flood_leaves_the_router_busy_with_what_it_can_do_in_time() {
    for times in [1.2, 1.5, 2.0, 3.0, 4.0] {
        let part = play(250.0 * times, 250.0);
        assert!(part >= 0.4, "{times}: {part}");
    }
}

#[test]
fn the_busy_part_is_what_is_not_idle() {
    let tenth = Duration::from_millis(100);
    assert!((busy_part(tenth, tenth / 4) - 0.75).abs() < 1e-9);
    assert!(busy_part(Duration::ZERO, Duration::ZERO).abs() < 1e-9);
}
