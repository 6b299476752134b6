//! Backoff after refusals, on single cases and on random sequences checked against a naive model.

use std::time::Duration;

use dunlinward_dispatch::backoff::{Backoffs, FIRST_PAUSE, MAX_PAUSE, Refusal, TRIAL_INTERVAL};
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::Peer;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const A: Peer = Peer(1);
const B: Peer = Peer(2);
const C: Peer = Peer(3);
const TARGET: Tag = Tag(7);
const SECOND: Duration = Duration::from_secs(1);
const PLAIN: Refusal = Refusal { backoff: None };

fn refusal(time: Duration) -> Refusal {
    Refusal {
        backoff: Some(time),
    }
}

#[test]
fn a_requested_backoff_binds_one_router_and_a_pause_binds_all() {
    let mut backoffs = Backoffs::default();
    backoffs.record_refusal(A, TARGET, refusal(SECOND * 3), SECOND);
    assert_eq!(backoffs.backoff_until(A, TARGET, SECOND), Some(SECOND * 4));
    assert_eq!(backoffs.backoff_until(B, TARGET, SECOND), None);
    assert_eq!(
        backoffs.available_at(B, TARGET, SECOND),
        SECOND + FIRST_PAUSE
    );
    let later = SECOND * 2;
    assert_eq!(backoffs.available_at(A, TARGET, later), SECOND * 4);
    assert_eq!(backoffs.available_at(B, TARGET, later), later);
}

#[test]
fn the_latest_end_of_overlapping_backoffs_holds() {
    let mut backoffs = Backoffs::default();
    backoffs.record_refusal(A, TARGET, refusal(SECOND * 3), SECOND);
    backoffs.record_refusal(A, TARGET, refusal(SECOND), SECOND);
    assert_eq!(
        backoffs.backoff_until(A, TARGET, SECOND * 3),
        Some(SECOND * 4)
    );
    backoffs.record_refusal(A, TARGET, refusal(SECOND * 5), SECOND * 2);
    assert_eq!(
        backoffs.backoff_until(A, TARGET, SECOND * 6),
        Some(SECOND * 7)
    );
    backoffs.record_refusal(A, TARGET, PLAIN, SECOND * 2);
    backoffs.record_running(TARGET, SECOND * 3);
    assert_eq!(
        backoffs.backoff_until(A, TARGET, SECOND * 6),
        Some(SECOND * 7)
    );
    assert_eq!(backoffs.backoff_until(A, TARGET, SECOND * 7), None);
}

#[test]
fn backoffs_requested_from_two_routers_bind_all_until_one_is_over() {
    let mut backoffs = Backoffs::default();
    backoffs.record_refusal(A, TARGET, refusal(SECOND * 3), SECOND);
    backoffs.record_refusal(B, TARGET, refusal(SECOND * 5), SECOND);
    assert_eq!(backoffs.available_at(C, TARGET, SECOND * 2), SECOND * 4);
    assert_eq!(backoffs.available_at(B, TARGET, SECOND * 2), SECOND * 6);
}

#[test]
fn only_refusals_of_requests_sent_after_a_pause_double_it() {
    let mut backoffs = Backoffs::default();
    let mut now = SECOND;
    for pause in [1, 2, 4, 4].map(|it| MAX_PAUSE.min(FIRST_PAUSE * it)) {
        backoffs.record_refusal(A, TARGET, PLAIN, now);
        // Refusals of other requests that were sent before the pause.
        backoffs.record_refusal(B, TARGET, PLAIN, now);
        backoffs.record_refusal(A, TARGET, PLAIN, now + pause / 2);
        let opens = backoffs.available_at(C, TARGET, now);
        assert_eq!(opens.saturating_sub(now), pause);
        now = opens;
        backoffs.record_sent(TARGET, now);
    }
    backoffs.record_running(TARGET, now);
    assert_eq!(backoffs.available_at(C, TARGET, now), now);
    backoffs.record_refusal(A, TARGET, PLAIN, now);
    assert_eq!(backoffs.available_at(C, TARGET, now), now + FIRST_PAUSE);
}

#[test]
fn a_target_on_trial_gets_one_request_at_a_time_until_it_runs_one() {
    let mut backoffs = Backoffs::default();
    backoffs.record_sent(TARGET, SECOND);
    assert_eq!(backoffs.available_at(A, TARGET, SECOND), SECOND);
    backoffs.record_refusal(A, TARGET, PLAIN, SECOND);
    let now = SECOND + FIRST_PAUSE;
    backoffs.record_sent(TARGET, now);
    assert_eq!(backoffs.available_at(A, TARGET, now), now + TRIAL_INTERVAL);
    assert_eq!(backoffs.next_expiry(now), Some(now + TRIAL_INTERVAL));
    backoffs.record_running(TARGET, now);
    assert_eq!(backoffs.available_at(A, TARGET, now), now);
}

#[test]
fn requests_begun_before_a_refusal_do_not_end_the_pause() {
    let mut backoffs = Backoffs::default();
    backoffs.record_refusal(A, TARGET, PLAIN, SECOND);
    let within = SECOND + FIRST_PAUSE / 2;
    backoffs.record_running(TARGET, within);
    assert_eq!(
        backoffs.available_at(A, TARGET, within),
        SECOND + FIRST_PAUSE
    );
    backoffs.record_refusal(A, TARGET, PLAIN, SECOND + FIRST_PAUSE);
    let opens = SECOND + FIRST_PAUSE * 3;
    assert_eq!(backoffs.available_at(A, TARGET, within), opens);
}

#[test]
fn terminated_targets_and_expired_backoffs_are_removed() {
    let mut backoffs = Backoffs::default();
    backoffs.record_refusal(A, TARGET, refusal(SECOND * 60), SECOND);
    backoffs.forget(TARGET);
    assert_eq!(backoffs.available_at(A, TARGET, SECOND), SECOND);
    backoffs.record_refusal(A, TARGET, refusal(SECOND), SECOND);
    assert_eq!(backoffs.backoffs_for(A, SECOND).count(), 1);
    assert_eq!(backoffs.prune(A, SECOND * 3), [TARGET]);
    assert_eq!(backoffs.prune(A, SECOND * 6), []);
    assert_eq!(backoffs.next_expiry(SECOND), None);
}

/// A requested backoff, as the naive model records it.
struct Requested {
    router: Peer,
    at: Duration,
    until: Duration,
}

/// Random routers, refusals, answers, changes of the owner and restarts of the target. A router
/// that sends only when [`Backoffs`] permits never sends within a backoff requested from it, and
/// one second and the longest pause after the last request nothing is held back.
#[test]
fn no_request_is_sent_within_a_backoff_requested_from_its_router() {
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let routers: Vec<_> = (0..4).map(Peer).collect();
        let mut backoffs = vec![Backoffs::default(); 4];
        let mut requested: Vec<Requested> = Vec::new();
        let mut owner = 0;
        let mut now = SECOND;
        for _ in 0..400 {
            now += Duration::from_millis(random.random_range(0..40));
            let sender = random.random_range(0..4);
            let router = routers[sender];
            if random.random_bool(0.02) {
                // Each router reports the backoffs requested from it to a new owner.
                owner = random.random_range(0..4);
                for (reporter, peer) in routers.iter().enumerate() {
                    let reported: Vec<_> = backoffs[reporter].backoffs_for(*peer, now).collect();
                    for (tag, refusal) in reported {
                        backoffs[owner].record_backoff(*peer, tag, refusal, now);
                    }
                }
            }
            if random.random_bool(0.005) {
                // The target restarts, after which no backoff holds.
                requested.clear();
                for table in &mut backoffs {
                    table.forget(TARGET);
                }
            }
            if backoffs[owner].available_at(router, TARGET, now) > now {
                continue;
            }
            // Final check at the router itself.
            if backoffs[sender]
                .backoff_until(router, TARGET, now)
                .is_some()
            {
                continue;
            }
            backoffs[owner].record_sent(TARGET, now);
            let within = requested
                .iter()
                .any(|it| it.router == router && it.at < now && now < it.until);
            assert!(!within, "seed {seed} at {now:?}");
            if random.random_bool(0.5) {
                let time = Duration::from_millis(random.random_range(0..900));
                let refusal = Refusal {
                    backoff: random.random_bool(0.7).then_some(time),
                };
                backoffs[sender].record_refusal(router, TARGET, refusal, now);
                if sender != owner && random.random_bool(0.9) {
                    backoffs[owner].record_refusal(router, TARGET, refusal, now);
                }
                if let Some(time) = refusal.backoff {
                    let until = now + time;
                    requested.push(Requested {
                        router,
                        at: now,
                        until,
                    });
                }
            } else {
                backoffs[owner].record_running(TARGET, now);
            }
        }
        let end = now + SECOND + MAX_PAUSE;
        for table in &backoffs {
            assert_eq!(table.available_at(A, TARGET, end), end, "seed {seed}");
        }
    }
}
