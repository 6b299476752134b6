//! What follows from refusals, on drawn sequences of them and against a naive version.

use std::time::Duration;

use dunlinward_dispatch::backoff::{Backoffs, FIRST_PAUSE, LONGEST_PAUSE, Refusal, TRIAL_INTERVAL};
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::Peer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const A: Peer = Peer(1);
const B: Peer = Peer(2);
const C: Peer = Peer(3);
const TARGET: Tag = Tag(7);
const SECOND: Duration = Duration::from_secs(1);
const PLAIN: Refusal = Refusal { named: None };

fn named(time: Duration) -> Refusal {
    Refusal { named: Some(time) }
}

#[test]
fn a_time_that_is_named_binds_the_router_and_a_pause_all() {
    let mut backoffs = Backoffs::default();
    backoffs.note_refused(A, TARGET, named(SECOND * 3), SECOND);
    assert_eq!(backoffs.named_until(A, TARGET, SECOND), Some(SECOND * 4));
    assert_eq!(backoffs.named_until(B, TARGET, SECOND), None);
    assert_eq!(backoffs.opens_at(B, TARGET, SECOND), SECOND + FIRST_PAUSE);
    let later = SECOND * 2;
    assert_eq!(backoffs.opens_at(A, TARGET, later), SECOND * 4);
    assert_eq!(backoffs.opens_at(B, TARGET, later), later);
}

#[test]
fn times_that_overlap_all_hold() {
    let mut backoffs = Backoffs::default();
    backoffs.note_refused(A, TARGET, named(SECOND * 3), SECOND);
    backoffs.note_refused(A, TARGET, named(SECOND), SECOND);
    assert_eq!(
        backoffs.named_until(A, TARGET, SECOND * 3),
        Some(SECOND * 4)
    );
    backoffs.note_refused(A, TARGET, named(SECOND * 5), SECOND * 2);
    assert_eq!(
        backoffs.named_until(A, TARGET, SECOND * 6),
        Some(SECOND * 7)
    );
    backoffs.note_refused(A, TARGET, PLAIN, SECOND * 2);
    backoffs.note_running(TARGET, SECOND * 3);
    assert_eq!(
        backoffs.named_until(A, TARGET, SECOND * 6),
        Some(SECOND * 7)
    );
    assert_eq!(backoffs.named_until(A, TARGET, SECOND * 7), None);
}

#[test]
fn who_refuses_two_routers_with_a_time_is_left_alone_by_all_until_one_is_over() {
    let mut backoffs = Backoffs::default();
    backoffs.note_refused(A, TARGET, named(SECOND * 3), SECOND);
    backoffs.note_refused(B, TARGET, named(SECOND * 5), SECOND);
    assert_eq!(backoffs.opens_at(C, TARGET, SECOND * 2), SECOND * 4);
    assert_eq!(backoffs.opens_at(B, TARGET, SECOND * 2), SECOND * 6);
}

#[test]
fn pauses_double_with_refusals_of_what_was_sent_after_them_only() {
    let mut backoffs = Backoffs::default();
    let mut now = SECOND;
    for pause in [1, 2, 4, 4].map(|it| LONGEST_PAUSE.min(FIRST_PAUSE * it)) {
        backoffs.note_refused(A, TARGET, PLAIN, now);
        // Others that were on their way.
        backoffs.note_refused(B, TARGET, PLAIN, now);
        backoffs.note_refused(A, TARGET, PLAIN, now + pause / 2);
        let opens = backoffs.opens_at(C, TARGET, now);
        assert_eq!(opens.saturating_sub(now), pause);
        now = opens;
        backoffs.note_sent(TARGET, now);
    }
    backoffs.note_running(TARGET, now);
    assert_eq!(backoffs.opens_at(C, TARGET, now), now);
    backoffs.note_refused(A, TARGET, PLAIN, now);
    assert_eq!(backoffs.opens_at(C, TARGET, now), now + FIRST_PAUSE);
}

#[test]
fn a_target_on_trial_gets_one_request_at_a_time_until_it_runs_one() {
    let mut backoffs = Backoffs::default();
    backoffs.note_sent(TARGET, SECOND);
    assert_eq!(backoffs.opens_at(A, TARGET, SECOND), SECOND);
    backoffs.note_refused(A, TARGET, PLAIN, SECOND);
    let now = SECOND + FIRST_PAUSE;
    backoffs.note_sent(TARGET, now);
    assert_eq!(backoffs.opens_at(A, TARGET, now), now + TRIAL_INTERVAL);
    assert_eq!(backoffs.next_end(now), Some(now + TRIAL_INTERVAL));
    backoffs.note_running(TARGET, now);
    assert_eq!(backoffs.opens_at(A, TARGET, now), now);
}

#[test]
fn what_a_target_began_before_it_refused_does_not_end_the_pause() {
    let mut backoffs = Backoffs::default();
    backoffs.note_refused(A, TARGET, PLAIN, SECOND);
    let within = SECOND + FIRST_PAUSE / 2;
    backoffs.note_running(TARGET, within);
    assert_eq!(backoffs.opens_at(A, TARGET, within), SECOND + FIRST_PAUSE);
    backoffs.note_refused(A, TARGET, PLAIN, SECOND + FIRST_PAUSE);
    let opens = SECOND + FIRST_PAUSE * 3;
    assert_eq!(backoffs.opens_at(A, TARGET, within), opens);
}

#[test]
fn a_target_that_has_ended_is_forgotten_and_so_is_what_is_over() {
    let mut backoffs = Backoffs::default();
    backoffs.note_refused(A, TARGET, named(SECOND * 60), SECOND);
    backoffs.forget(TARGET);
    assert_eq!(backoffs.opens_at(A, TARGET, SECOND), SECOND);
    backoffs.note_refused(A, TARGET, named(SECOND), SECOND);
    assert_eq!(backoffs.named_to(A, SECOND).count(), 1);
    assert_eq!(backoffs.prune(A, SECOND * 3), [TARGET]);
    assert_eq!(backoffs.prune(A, SECOND * 6), []);
    assert_eq!(backoffs.next_end(SECOND), None);
}

/// A refusal with a time, as a target remembers it.
struct Refused {
    router: Peer,
    at: Duration,
    until: Duration,
}

/// Drawn routers, targets, refusals, answers, owners that change and starts that end: a router whose
/// requests go where [`Backoffs`] says never sends within a time that was named to it, and no target
/// that runs requests is left alone for longer than the longest pause.
#[test]
fn no_request_is_sent_within_a_time_that_was_named_to_its_router() {
    for seed in 0..300 {
        let mut draw = StdRng::seed_from_u64(seed);
        let routers: Vec<_> = (0..4).map(Peer).collect();
        let mut ledgers = vec![Backoffs::default(); 4];
        let mut refusals: Vec<Refused> = Vec::new();
        let mut owner = 0;
        let mut now = SECOND;
        for _ in 0..400 {
            now += Duration::from_millis(draw.random_range(0..40));
            let asks = draw.random_range(0..4);
            let router = routers[asks];
            if draw.random_bool(0.02) {
                // A new owner hears from each router what was named to that one.
                owner = draw.random_range(0..4);
                for (teller, peer) in routers.iter().enumerate() {
                    let told: Vec<_> = ledgers[teller].named_to(*peer, now).collect();
                    for (tag, refusal) in told {
                        ledgers[owner].note_named(*peer, tag, refusal, now);
                    }
                }
            }
            if draw.random_bool(0.005) {
                // It starts again: nobody knows anything of the new start.
                refusals.clear();
                for ledger in &mut ledgers {
                    ledger.forget(TARGET);
                }
            }
            if ledgers[owner].opens_at(router, TARGET, now) > now {
                continue;
            }
            // The last guard, at the router itself.
            if ledgers[asks].named_until(router, TARGET, now).is_some() {
                continue;
            }
            ledgers[owner].note_sent(TARGET, now);
            let within = refusals
                .iter()
                .any(|it| it.router == router && it.at < now && now < it.until);
            assert!(!within, "seed {seed} at {now:?}");
            if draw.random_bool(0.5) {
                let time = Duration::from_millis(draw.random_range(0..900));
                let refusal = Refusal {
                    named: draw.random_bool(0.7).then_some(time),
                };
                ledgers[asks].note_refused(router, TARGET, refusal, now);
                if asks != owner && draw.random_bool(0.9) {
                    ledgers[owner].note_refused(router, TARGET, refusal, now);
                }
                if let Some(time) = refusal.named {
                    let until = now + time;
                    refusals.push(Refused {
                        router,
                        at: now,
                        until,
                    });
                }
            } else {
                ledgers[owner].note_running(TARGET, now);
            }
        }
        let calm = now + SECOND + LONGEST_PAUSE;
        for ledger in &ledgers {
            assert_eq!(ledger.opens_at(A, TARGET, calm), calm, "seed {seed}");
        }
    }
}
