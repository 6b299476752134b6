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

/// Milliseconds of a small machine's processor that an answer takes, and a refusal.
const ANSWER: f64 = 7.0;
const REFUSAL: f64 = 1.2;

/// What callers get.
#[derive(Debug, Default)]
struct Got {
    answered: u32,
    /// Answered after waiting for less than a tenth of a second.
    in_time: u32,
    shed: u32,
}

/// One caller sends so many requests a second to a router that carries 140, for 30 s; what it gets
/// after the first three.
fn one_large_caller(a_second: f64, shedding: bool) -> (Got, Strain) {
    let strain = Strain::default();
    let mut random = 1u64;
    let mut got = Got::default();
    let (mut now, mut tick, mut backlog) = (0.0, 0.0, 0.0f64);
    while now < 30_000.0 {
        let step = 1_000.0 / a_second;
        now += step;
        backlog = (backlog - step).max(0.0);
        if now >= tick {
            let late = Duration::from_secs_f64(backlog / 1_000.0);
            strain.note(late, Duration::from_secs_f64(now / 1_000.0));
            tick += 100.0;
        }
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let shed = shedding && strain.sheds(random >> 33);
        if now > 3_000.0 {
            got.shed += u32::from(shed);
            got.answered += u32::from(!shed);
            got.in_time += u32::from(!shed && backlog < 100.0);
        }
        backlog += if shed { REFUSAL } else { ANSWER };
    }
    (got, strain)
}

#[test]
fn a_router_with_twice_the_callers_it_carries_answers_the_rest_in_time() {
    let (before, _) = one_large_caller(280.0, false);
    assert_eq!(before.in_time, 0, "{before:?}");
    let (got, _) = one_large_caller(280.0, true);
    assert!(got.in_time * 10 >= got.answered * 9, "{got:?}");
    assert!(got.answered >= 27 * 90, "{got:?}");
}

#[test]
fn a_router_that_keeps_up_sheds_next_to_nothing() {
    let (got, strain) = one_large_caller(70.0, true);
    assert!(got.shed * 100 <= got.answered, "{got:?}");
    assert!(!strain.behind());
    for draw in 0..1_000 {
        assert!(!Strain::default().sheds(draw));
    }
}
