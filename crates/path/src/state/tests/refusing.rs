//! Engines that turn requests away, as the owner of their cell places requests of many routers.

use dunlinward_dispatch::backoff::{FIRST_PAUSE, Refusal};

use super::*;

/// Routers that ask the owner.
const ROUTERS: u64 = 64;

/// Engines that turn all requests away: a third.
const REFUSING: usize = 2;

/// Time that an engine names, and for which it refuses.
const NAMED: Duration = Duration::from_millis(2_500);

/// When the engines begin to refuse.
const START: Duration = Duration::from_secs(10);

/// From a place to the word of its refusal at the owner.
const ROUND_TRIP: u64 = 4;

/// What came of a load.
#[derive(Debug, Default)]
struct Played {
    placed: usize,
    /// Requests that were turned away.
    refused: usize,
    /// Requests of a router at an engine that had named it a time.
    within: usize,
}

/// A request that ran to its end.
fn ended(tag: Tag) -> Return {
    Return {
        tag,
        unread: 0,
        outcome: Some(Outcome::Good),
        not_run: None,
        content: None,
        refusal: None,
    }
}

/// A request in each millisecond, by turns of all routers; an engine that refuses names a time, or
/// none. Whatever an engine runs has begun at once and ends 0.2 s later. What the refusing ones began
/// before ends by and by.
fn play(refusal: Refusal) -> Played {
    let mut fleet = Fleet::new(&[], 0);
    let settings = fleet.settings.clone();
    let refusing: Vec<_> = targets().iter().take(REFUSING).map(Target::tag).collect();
    let mut played = Played::default();
    let mut named: BTreeMap<(u64, Tag), Duration> = BTreeMap::new();
    let mut returns: BTreeMap<u64, Vec<(u64, Return)>> = BTreeMap::new();
    for number in (0..u64::try_from(NAMED.as_millis()).expect("a few seconds")).step_by(50) {
        let ends = refusing.iter().map(|tag| (0, ended(*tag)));
        returns.insert(number, ends.collect());
    }
    for number in 0..u64::try_from(NAMED.as_millis()).expect("a few seconds") {
        let now = START + Duration::from_millis(number);
        let router = number % ROUTERS;
        let wish = Wish {
            router: Peer(router),
            ..wish(0, now, number)
        };
        for (peer, returned) in returns.remove(&number).unwrap_or_default() {
            fleet.owner.returned(Peer(peer), &returned, now);
        }
        let answer = fleet
            .owner
            .answer(&settings, asker(router, number), wish, now);
        let Content::Grant(grant) = answer else {
            fleet.owner.withdraw(Peer(router), number, now);
            continue;
        };
        played.placed += 1;
        let refused = refusing.contains(&grant.tag);
        let returned = Return {
            tag: grant.tag,
            unread: grant.unread,
            outcome: (!refused).then_some(Outcome::Good),
            not_run: refused.then_some(number),
            content: None,
            refusal: refused.then_some(refusal),
        };
        let mut time = 200;
        if refused {
            played.refused += 1;
            time = ROUND_TRIP;
            let until = named.entry((router, grant.tag)).or_default();
            played.within += usize::from(now < *until);
            *until = now + refusal.backoff.unwrap_or_default();
        }
        let at = returns.entry(number + time).or_default();
        at.push((router, returned));
    }
    played
}

#[test]
fn engines_that_name_a_time_are_tried_by_few_routers_and_by_none_twice() {
    let played = play(Refusal {
        backoff: Some(NAMED),
    });
    // Each engine: what was on its way with the first refusal, then one trial of another router.
    let each = usize::try_from(ROUND_TRIP).expect("a few") + 1;
    assert!(played.refused <= REFUSING * each, "{played:?}");
    assert_eq!(played.within, 0);
}

#[test]
fn engines_that_name_none_are_tried_once_in_a_pause() {
    let played = play(Refusal { backoff: None });
    // Some on their way at the first, then one trial after each pause; the shortest may come again, as
    // what engines began before ends by and by.
    let trials = NAMED.as_millis() / FIRST_PAUSE.as_millis() + u128::from(ROUND_TRIP);
    let each = usize::try_from(trials).expect("a few");
    assert!(played.refused <= REFUSING * each, "{played:?}");
}

/// Capacity never idles while work waits: what the engines that serve can run is placed there.
#[test]
fn the_others_get_what_the_refusing_ones_would_have_run() {
    let refusing = play(Refusal {
        backoff: Some(NAMED),
    });
    let served = refusing.placed - refusing.refused;
    let asked = usize::try_from(NAMED.as_millis()).expect("a few seconds");
    // Four engines of six run 1,000 tokens in 50 ms; what they read at once bounds them.
    assert!(served * 10 > asked, "{refusing:?} of {asked}");
    assert!(refusing.refused * 20 < served, "{refusing:?}");
}

/// What waits is placed when the time ends, though nothing else happens then.
#[test]
fn a_request_waits_for_an_engine_whose_time_ends_soon_and_is_refused_at_once_otherwise() {
    let settings = settings();
    for (time, waits) in [(8, true), (2_500, false)] {
        let mut fleet = Fleet::new(&[], 0);
        let time = Duration::from_millis(time);
        let named = Some(time);
        for target in targets() {
            fleet.owner.backoffs.record_backoff(
                Peer(1),
                target.tag(),
                Refusal { backoff: named },
                START,
            );
        }
        let wish = Wish {
            router: Peer(1),
            ..wish(0, START, 0)
        };
        let answer = fleet.owner.answer(&settings, asker(1, 1), wish, START);
        let Content::Wait(wait) = answer else {
            panic!("there is no place: {answer:?}");
        };
        assert_eq!(wait.unavailable_for.is_none(), waits);
        assert_eq!(fleet.owner.queue.len(), usize::from(waits));
        let end = fleet.owner.backoffs.next_expiry(START);
        assert_eq!(end, Some(START + time));
        let pass = fleet.owner.pass(&settings, START + time);
        assert_eq!(pass.peers.len(), usize::from(waits));
    }
}

/// A service in three cells: while all targets of a home want nothing, another cell serves.
#[test]
fn a_cell_without_an_open_target_sends_its_requests_to_the_next() {
    let settings = Settings {
        cell_targets: 2,
        ..settings()
    };
    let own = Peer(7);
    let mut state = State::new(&settings, own);
    state.registry.apply_list(targets(), START);
    let home_of = |state: &State, at| state.home("pool", Prefix(1), Constraint::ANY, at).unwrap();
    let home = home_of(&state, START);
    assert_eq!(state.opening(home, START), Opening::Now);
    let named = Some(FIRST_PAUSE);
    let closed: Vec<_> = state
        .registry
        .targets_of_cell(home)
        .iter()
        .map(|it| it.tag())
        .collect();
    for tag in &closed {
        state
            .backoffs
            .record_refusal(own, *tag, Refusal { backoff: named }, START);
    }
    let other = home_of(&state, START);
    assert_ne!(other, home);
    assert_eq!(state.opening(other, START), Opening::Now);
    assert_eq!(home_of(&state, START + FIRST_PAUSE), home);
    for target in targets() {
        state.registry.record_leaving(target.tag(), START);
    }
    assert_eq!(home_of(&state, START), home);
    assert_eq!(state.opening(home, START), Opening::Never);
}
