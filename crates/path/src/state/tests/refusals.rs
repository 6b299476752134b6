//! Engines that refuse requests, under an owner that places requests of many routers.

use dunlinward_dispatch::backoff::{FIRST_PAUSE, Refusal};
use dunlinward_dispatch::continuation::Binding;

use super::*;

/// Number of routers that request places from the owner.
const ROUTERS: u64 = 64;

/// Number of engines that refuse all requests: a third.
const REFUSING: usize = 2;

/// Backoff that a refusing engine requests; also the length of the load.
const BACKOFF: Duration = Duration::from_millis(2_500);

/// Time at which the engines begin to refuse.
const START: Duration = Duration::from_secs(10);

/// Time from a grant to the owner's receipt of the refusal, in milliseconds.
const ROUND_TRIP_MS: u64 = 4;

/// Result of a load.
#[derive(Debug, Default)]
struct Counts {
    placed: usize,
    /// Requests that an engine refused.
    refused: usize,
    /// Requests sent to an engine within the backoff that it had requested from their router.
    within_backoff: usize,
}

/// The return of a place whose request was answered.
fn completed(tag: Tag) -> Return {
    Return {
        tag,
        unread: 0,
        outcome: Some(Outcome::Good),
        not_run: None,
        content: None,
        refusal: None,
    }
}

/// Sends one request per millisecond, from all routers in turn. Refusing engines answer with
/// `refusal`; the others run each request at once, for 0.2 s. Requests that the refusing engines
/// began earlier complete every 50 ms.
fn run_load(refusal: Refusal) -> Counts {
    let mut fleet = Fleet::new(&[], 0);
    let settings = fleet.settings.clone();
    let refusing: Vec<_> = targets().iter().take(REFUSING).map(Target::tag).collect();
    let mut counts = Counts::default();
    let mut backoff_until: BTreeMap<(u64, Tag), Duration> = BTreeMap::new();
    let mut returns: BTreeMap<u64, Vec<(u64, Return)>> = BTreeMap::new();
    for number in (0..u64::try_from(BACKOFF.as_millis()).expect("a few seconds")).step_by(50) {
        let completions = refusing.iter().map(|tag| (0, completed(*tag)));
        returns.insert(number, completions.collect());
    }
    for number in 0..u64::try_from(BACKOFF.as_millis()).expect("a few seconds") {
        let now = START + Duration::from_millis(number);
        let router = number % ROUTERS;
        let place_request = PlaceRequest {
            router: Peer(router),
            ..place_request(0, now, number)
        };
        for (peer, returned) in returns.remove(&number).unwrap_or_default() {
            fleet.owner.return_place(Peer(peer), &returned, now);
        }
        let answer = fleet
            .owner
            .answer(&settings, asker(router, number), place_request, now);
        let Content::Grant(grant) = answer else {
            fleet.owner.withdraw(Peer(router), number, now);
            continue;
        };
        counts.placed += 1;
        let refused = refusing.contains(&grant.tag);
        let returned = Return {
            tag: grant.tag,
            unread: grant.unread,
            outcome: (!refused).then_some(Outcome::Good),
            not_run: refused.then_some(number),
            content: None,
            refusal: refused.then_some(refusal),
        };
        let mut delay_ms = 200;
        if refused {
            counts.refused += 1;
            delay_ms = ROUND_TRIP_MS;
            let until = backoff_until.entry((router, grant.tag)).or_default();
            counts.within_backoff += usize::from(now < *until);
            *until = now + refusal.backoff.unwrap_or_default();
        }
        let at = returns.entry(number + delay_ms).or_default();
        at.push((router, returned));
    }
    counts
}

#[test]
fn engines_that_request_backoff_refuse_few_routers_and_none_twice() {
    let counts = run_load(Refusal {
        backoff: Some(BACKOFF),
    });
    // Per engine: the requests in transit at the first refusal, then one trial of another router.
    let each = usize::try_from(ROUND_TRIP_MS).expect("a few") + 1;
    assert!(counts.refused <= REFUSING * each, "{counts:?}");
    assert_eq!(counts.within_backoff, 0);
}

#[test]
fn engines_that_request_no_backoff_get_one_trial_per_pause() {
    let counts = run_load(Refusal { backoff: None });
    // The requests in transit at the first refusal, then one trial after each pause. The shortest
    // pause may recur, as requests that the engines began earlier complete in the meantime.
    let trials = BACKOFF.as_millis() / FIRST_PAUSE.as_millis() + u128::from(ROUND_TRIP_MS);
    let each = usize::try_from(trials).expect("a few");
    assert!(counts.refused <= REFUSING * each, "{counts:?}");
}

/// No capacity is idle while requests wait: the serving engines get as many as they can run.
#[test]
fn serving_engines_get_the_requests_of_refusing_ones() {
    let counts = run_load(Refusal {
        backoff: Some(BACKOFF),
    });
    let served = counts.placed - counts.refused;
    let requested = usize::try_from(BACKOFF.as_millis()).expect("a few seconds");
    // Four of six engines prefill 1,000 tokens in 50 ms each, which limits what they can run.
    assert!(served * 10 > requested, "{counts:?} of {requested}");
    assert!(counts.refused * 20 < served, "{counts:?}");
}

/// A queued request is placed when a backoff ends, without any other event at that time.
#[test]
fn a_request_waits_for_a_backoff_that_ends_in_time_and_is_refused_at_once_otherwise() {
    let settings = settings();
    for (backoff_ms, waits) in [(8, true), (2_500, false)] {
        let mut fleet = Fleet::new(&[], 0);
        let backoff = Duration::from_millis(backoff_ms);
        let requested = Some(backoff);
        for target in targets() {
            fleet.owner.backoffs.record_backoff(
                Peer(1),
                target.tag(),
                Refusal { backoff: requested },
                START,
            );
        }
        let place_request = PlaceRequest {
            router: Peer(1),
            ..place_request(0, START, 0)
        };
        let answer = fleet
            .owner
            .answer(&settings, asker(1, 1), place_request, START);
        let Content::Wait(wait) = answer else {
            panic!("all engines are in backoff: {answer:?}");
        };
        assert_eq!(wait.unavailable_for.is_none(), waits);
        assert_eq!(fleet.owner.queue.len(), usize::from(waits));
        let end = fleet.owner.backoffs.next_expiry(START);
        assert_eq!(end, Some(START + backoff));
        let pass = fleet.owner.process_queue(&settings, START + backoff);
        assert_eq!(pass.peers.len(), usize::from(waits));
    }
}

/// A service with three cells: while all targets of the home cell are in backoff, another cell runs
/// its requests.
#[test]
fn requests_of_a_cell_without_an_available_target_go_to_the_next_cell() {
    let settings = Settings {
        cell_targets: 2,
        ..settings()
    };
    let own = Peer(7);
    let mut state = State::new(&settings, own);
    state.registry.apply_list(targets(), START);
    let home_of = |state: &State, at| {
        state
            .home("pool", Prefix(1), Constraint::ANY, Binding::Free, at)
            .unwrap()
    };
    let home = home_of(&state, START);
    assert_eq!(
        state.availability(home, Binding::Free, START),
        Availability::Now
    );
    let requested = Some(FIRST_PAUSE);
    let tags: Vec<_> = state
        .registry
        .targets_of_cell(home)
        .iter()
        .map(|it| it.tag())
        .collect();
    for tag in &tags {
        state
            .backoffs
            .record_refusal(own, *tag, Refusal { backoff: requested }, START);
    }
    let other = home_of(&state, START);
    assert_ne!(other, home);
    assert_eq!(
        state.availability(other, Binding::Free, START),
        Availability::Now
    );
    assert_eq!(home_of(&state, START + FIRST_PAUSE), home);
    for target in targets() {
        state.registry.record_leaving(target.tag(), START);
    }
    assert_eq!(home_of(&state, START), home);
    assert_eq!(
        state.availability(home, Binding::Free, START),
        Availability::Never
    );
}
