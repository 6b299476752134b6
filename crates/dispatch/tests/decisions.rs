//! The pure decisions, one by one and against naive versions.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::budget::{Bound, Budget};
use dunlinward_dispatch::configuration::{
    Configuration, Customer, Kind, Limits, Route, Share, Table,
};
use dunlinward_dispatch::health::{Health, Outcome};
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::placement::{self, Ask, Candidate, Policy};
use dunlinward_dispatch::prefix::{self, Memory, Part, Prefix, Prompt, Use};
use dunlinward_dispatch::reach::Reach;
use dunlinward_dispatch::registry::{Change, OUTAGE, RETURN_TIME, Registry};
use dunlinward_dispatch::share::{self, Shares};
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::{Load, PEER_TIMEOUT, Peer, Usage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn target(id: &str, port: u16) -> Target {
    Target {
        id: id.into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "a".into(),
        born: None,
        slots: 10,
        state: State::Ready,
        cold_left: Duration::ZERO,
    }
}

fn route(prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: Kind::Once,
        timeout: ms(1000),
        objective: ms(100),
        attempts: 1,
        priority: 0,
        anonymous: false,
        regions: Vec::new(),
        shares: vec![
            Share {
                service: "x".into(),
                weight: 9,
            },
            Share {
                service: "y".into(),
                weight: 1,
            },
        ],
    })
}

fn table() -> Table {
    Table::new(Configuration {
        version: 1,
        routes: vec![route("/a/"), route("/a/b/"), route("/c/")],
        services: Vec::new(),
        customers: vec![Customer {
            name: "c".into(),
            keys: vec!["k1".into(), "k2".into()],
            regions: Vec::new(),
        }],
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: ms(1),
            idle_timeout: ms(1),
            tokens_per_second: 1.0,
        },
    })
}

#[test]
fn the_longest_prefix_that_begins_the_path_is_the_route() {
    let table = table();
    let name = |host, path| table.route(host, path).map(|it| it.name.to_string());
    assert_eq!(name("h", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(name("h", "/a/b/x").as_deref(), Some("/a/b/"));
    assert_eq!(name("h", "/a"), None);
    assert_eq!(name("h", "/d/"), None);
    assert_eq!(name("g", "/a/x"), None);
    assert_eq!(table.customer("k2").map(AsRef::as_ref), Some("c"));
    assert_eq!(table.customer("k3"), None);
}

#[test]
fn services_of_a_route_get_their_weights() {
    let route = route("/a/");
    let count = (0..1000).filter(|it| route.service(*it).is_some_and(|it| it.as_ref() == "y"));
    assert_eq!(count.count(), 100);
}

#[test]
fn a_target_that_is_no_longer_listed_has_ended() {
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1), target("b", 2)], ms(0));
    let changes = registry.take(vec![target("a", 1)], ms(900));
    assert_eq!(changes, [Change::Ended(Arc::new(target("b", 2)))]);
    assert_eq!(registry.of("pool").len(), 1);
}

/// What a router has once heard of a leaving target binds it, whatever a disturbed store says
/// afterwards.
#[test]
fn a_target_that_leaves_never_counts_as_ready_again() {
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1)], ms(0));
    let mut leaving = target("a", 1);
    leaving.state = State::Leaving;
    assert_eq!(registry.take(vec![leaving], ms(500)).len(), 1);
    assert!(registry.take(vec![target("a", 1)], ms(900)).is_empty());
    assert!(
        registry
            .take_settled(vec![target("a", 1)], ms(1200))
            .is_empty()
    );
    assert_eq!(registry.of("pool")[0].state, State::Leaving);
}

#[test]
fn after_an_outage_a_lapsed_target_is_kept_until_it_could_be_back() {
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1), target("b", 2)], ms(0));
    let back = OUTAGE + ms(1);
    registry.take(vec![target("a", 1)], back);
    assert_eq!(registry.of("pool").len(), 2);
    registry.take(vec![target("a", 1)], back + RETURN_TIME);
    assert_eq!(registry.of("pool").len(), 1);
}

/// Fleet day fresh-cbbf: a failure domain that had been cut off came back and told all
/// others of targets that had ended meanwhile.
#[test]
fn what_a_router_keeps_after_its_own_outage_is_not_told_and_ends_by_a_settled_list() {
    let (mut cut, mut other) = (Registry::new(), Registry::new());
    for registry in [&mut cut, &mut other] {
        registry.take(vec![target("a", 1), target("b", 2)], ms(0));
    }
    other.take(vec![target("a", 1)], ms(1500));
    other.take(vec![target("a", 1)], ms(3000));
    let back = OUTAGE + ms(1500);
    cut.take(vec![target("a", 1)], back);
    assert_eq!((cut.of("pool").len(), cut.settled()), (2, false));
    let told: Vec<_> = cut.listed().map(|it| it.as_ref().clone()).collect();
    assert_eq!(told, [target("a", 1)]);
    assert_eq!(cut.digest(), other.digest());
    assert!(other.take(told, back).is_empty());
    assert!(other.settled());
    let ended = cut.take_settled(vec![target("a", 1)], back + ms(100));
    assert_eq!(ended, [Change::Ended(Arc::new(target("b", 2)))]);
    assert!(cut.settled());
}

#[test]
fn the_first_list_of_a_router_settles_nothing() {
    let mut registry = Registry::new();
    assert!(!registry.settled());
    registry.take(vec![target("a", 1)], ms(500));
    assert!(!registry.settled());
    registry.take(vec![target("a", 1)], ms(500) + RETURN_TIME);
    assert!(registry.settled());
}

#[test]
fn a_lapsed_target_whose_address_is_taken_has_ended() {
    let mut registry = Registry::new();
    registry.take(vec![target("b", 2)], ms(0));
    registry.take(vec![target("c", 2)], OUTAGE + ms(1));
    let ids: Vec<_> = registry
        .of("pool")
        .iter()
        .map(|it| it.id.to_string())
        .collect();
    assert_eq!(ids, ["c"]);
}

#[test]
fn an_older_list_is_ignored_and_a_replaced_target_stays_away() {
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1)], ms(1000));
    assert!(registry.take(Vec::new(), ms(900)).is_empty());
    registry.forget(Tag::new("a"));
    registry.take(vec![target("a", 1)], ms(1900));
    assert!(registry.of("pool").is_empty());
}

#[test]
fn a_leaving_target_is_told_once() {
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1)], ms(0));
    let mut leaving = target("a", 1);
    leaving.state = State::Leaving;
    let changes = registry.take(vec![leaving.clone()], ms(900));
    assert_eq!(changes, [Change::Leaves(Arc::new(leaving.clone()))]);
    assert!(registry.take(vec![leaving], ms(1800)).is_empty());
}

#[test]
fn work_of_peers_counts_until_they_are_silent() {
    let (a, peer) = (Tag::new("a"), Peer(7));
    let mut usage = Usage::new();
    usage.begin(a, 100);
    let load = Load {
        running: 3,
        unread: 50,
    };
    usage.report(peer, [(a, load)].into_iter(), ms(0));
    assert_eq!(
        usage.total(a),
        Load {
            running: 4,
            unread: 150
        }
    );
    assert_eq!(
        usage.own(a),
        Load {
            running: 1,
            unread: 100
        }
    );
    assert_eq!(usage.routers(), 2);
    usage.read(a, 100);
    usage.end(a);
    usage.sum(PEER_TIMEOUT);
    assert_eq!(usage.total(a), Load::default());
}

/// Gives one unit at a time to whoever has least of what it asks.
fn naive_level(demands: &[u64], capacity: u64) -> Option<u64> {
    let mut given = vec![0; demands.len()];
    for _ in 0..capacity {
        let open = (0..demands.len()).filter(|it| given[*it] < demands[*it]);
        let Some(least) = open.min_by_key(|it| given[*it]) else {
            break;
        };
        given[least] += 1;
    }
    let unmet = (0..demands.len()).any(|it| given[it] < demands[it]);
    unmet.then(|| {
        let short = (0..demands.len()).filter(|it| given[*it] < demands[*it]);
        short.map(|it| given[it]).min().unwrap_or_default()
    })
}

#[test]
fn the_level_is_that_of_a_queue_that_serves_the_least_served() {
    let mut random = Pcg64Mcg::seed_from_u64(11);
    for _ in 0..2000 {
        let count = random.random_range(1..8);
        let demands: Vec<u64> = (0..count).map(|_| random.random_range(0..40)).collect();
        let capacity = random.random_range(0..120);
        let level = share::level(demands.clone(), capacity);
        assert_eq!(
            level,
            naive_level(&demands, capacity),
            "{demands:?} {capacity}"
        );
    }
}

#[test]
fn shares_hold_over_all_routers_once_more_is_asked_than_granted() {
    let (small, large) = (CustomerTag(1), CustomerTag(2));
    let mut shares = Shares::new(ms(4000));
    shares.record_demand(small, 100, ms(0));
    shares.charge(small, 100, ms(0));
    assert!(shares.share_ratio(large, 10_000, ms(0)) >= 1.0);
    let peer = dunlinward_dispatch::message::CustomerUse {
        tag: large,
        asked: 9000,
        granted: 900,
    };
    shares.record_peer(Peer(3), &[peer], ms(100));
    assert!(shares.share_ratio(large, 10, ms(100)) < 1.0);
    assert!(shares.share_ratio(large, 910, ms(100)) < 0.6);
    assert!(shares.share_ratio(small, 10, ms(100)) >= 1.0);
    assert!(shares.share_ratio(large, 10, ms(6000)) >= 1.0);
}

#[test]
fn small_customers_that_get_all_are_not_told_and_the_level_stays_the_same() {
    let mut shares = Shares::new(ms(4000));
    for number in 0..100 {
        shares.record_demand(CustomerTag(number), 10, ms(0));
        shares.charge(CustomerTag(number), 10, ms(0));
    }
    for (number, asked, granted) in [(200, 9_000, 4_000), (201, 5_000, 4_000), (202, 30, 20)] {
        shares.record_demand(CustomerTag(number), asked, ms(0));
        shares.charge(CustomerTag(number), granted, ms(0));
    }
    let told = shares.report(ms(0));
    let mut tags: Vec<_> = told.iter().map(|it| it.tag.0).collect();
    tags.sort_unstable();
    assert_eq!(tags, [200, 201, 202]);
    let mut other = Shares::new(ms(4000));
    other.record_peer(Peer(1), &told, ms(0));
    let level = |shares: &mut Shares| {
        shares.share_ratio(CustomerTag(200), 1, ms(0));
        shares.standing(CustomerTag(200), ms(0)).level
    };
    assert_eq!(level(&mut shares), level(&mut other));
}

#[test]
fn what_was_used_leaves_the_window() {
    let customer = CustomerTag(1);
    let mut shares = Shares::new(ms(4000));
    shares.charge(customer, 100, ms(0));
    assert_eq!(shares.granted(customer, ms(3000)), 100);
    assert_eq!(shares.granted(customer, ms(4600)), 0);
}

/// Routers that are killed and count anew, and requests at random: in no window are there
/// more repeats than the bound.
#[test]
fn repeats_of_all_routers_stay_within_the_bound_in_every_window() {
    let bound = Bound {
        ratio: 0.2,
        slack: 58.0,
        window: ms(10_000),
    };
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let routers = random.random_range(3..12);
        let mut budgets = vec![Budget::new(bound); routers];
        let service: Arc<str> = "pool".into();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for now in (0..40_000).step_by(10).map(ms) {
            let router = random.random_range(0..routers);
            if random.random_ratio(1, 1000) {
                budgets[router] = Budget::new(bound);
            }
            if random.random_ratio(1, 3) {
                budgets[router].record_request(&service, now);
                requests.push(now);
            }
            if budgets[router].try_take(&service, routers, now) {
                repeats.push(now);
            }
        }
        let within = |all: &[Duration], from: Duration| {
            all.iter()
                .filter(|it| **it >= from && **it < from + bound.window)
                .count()
        };
        for from in (0..30_000).step_by(500).map(ms) {
            let allowed = within(&requests, from) / 5 + 58;
            assert!(
                within(&repeats, from) <= allowed,
                "seed {seed}, from {from:?}"
            );
        }
    }
}

#[test]
fn a_target_is_left_alone_after_failures_in_a_row_and_longer_each_time() {
    let (a, mut health) = (Tag::new("a"), Health::new());
    assert!(!health.note(a, Outcome::Bad, ms(0)));
    assert!(!health.note(a, Outcome::Good, ms(0)));
    assert!(!health.note(a, Outcome::Bad, ms(0)));
    assert!(!health.note(a, Outcome::Bad, ms(0)));
    assert!(health.note(a, Outcome::Bad, ms(0)));
    assert!(health.ejected(a, ms(499)) && !health.ejected(a, ms(500)));
    assert!(health.note(a, Outcome::Bad, ms(500)));
    assert!(health.ejected(a, ms(1499)) && !health.ejected(a, ms(1500)));
    health.note(a, Outcome::Good, ms(1500));
    assert!(health.note(a, Outcome::Unreachable, ms(1600)));
    assert!(health.ejected(a, ms(3599)) && !health.ejected(a, ms(3600)));
    for _ in 0..8 {
        health.note(a, Outcome::Good, ms(4000));
    }
    assert!(health.note(a, Outcome::Unreachable, ms(5000)));
    assert!(health.ejected(a, ms(5499)) && !health.ejected(a, ms(5500)));
}

#[test]
fn a_target_that_fails_every_other_request_is_left_alone_and_one_in_ten_is_not() {
    let (a, mut health) = (Tag::new("a"), Health::new());
    let mut ejected = false;
    for turn in 0..40 {
        let outcome = if turn % 10 == 0 {
            Outcome::Bad
        } else {
            Outcome::Good
        };
        ejected |= health.note(a, outcome, ms(turn));
    }
    assert!(!ejected);
    for turn in 0..40 {
        let outcome = if turn % 2 == 0 {
            Outcome::Bad
        } else {
            Outcome::Good
        };
        ejected |= health.note(a, outcome, ms(100 + turn));
    }
    assert!(ejected);
}

#[test]
fn a_domain_is_doubtful_while_all_its_routers_are_silent() {
    let mut reach = Reach::new(ms(100));
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    assert!(!reach.doubtful("a", ms(0)));
    reach.miss("a");
    reach.miss("a");
    assert!(!reach.doubtful("a", ms(900)));
    reach.hear(&a, ms(300));
    reach.hear(&b, ms(300));
    assert!(!reach.doubtful("a", ms(700)));
    reach.miss("a");
    assert!(!reach.doubtful("a", ms(700)));
    reach.miss("a");
    assert!(!reach.doubtful("a", ms(600)));
    assert!(reach.doubtful("a", ms(700)));
    assert!(!reach.doubtful("b", ms(700)));
    reach.hear(&a, ms(800));
    assert!(!reach.doubtful("a", ms(1_300)));
    reach.miss("b");
    reach.miss("b");
    assert!(reach.doubtful("b", ms(900)));
    assert!(!reach.doubtful("b", ms(8300)));
}

fn prompt() -> Prompt {
    Prompt {
        tokens: 1000,
        answer_tokens: 10,
        parts: vec![Part { id: 1, tokens: 800 }, Part { id: 2, tokens: 200 }],
    }
}

#[test]
fn the_last_part_of_a_prompt_is_its_own() {
    let prompt = prompt();
    assert_eq!((prompt.shared_tokens(), prompt.own_tokens()), (800, 200));
    assert_eq!(share::cost(&prompt), 1020);
    let mut other = prompt.clone();
    other.parts[1].id = 3;
    assert_eq!(prompt.prefix(), other.prefix());
    other.parts.remove(0);
    assert_eq!(other.prefix(), None);
}

#[test]
fn a_prefix_is_kept_for_a_while_after_its_last_use_by_any_router() {
    let (prefix, tag) = (Prefix(5), Tag::new("a"));
    let mut memory = Memory::new();
    memory.note(prefix, tag, ms(0));
    assert_eq!(memory.recent(ms(300), ms(300)), [Use::new(prefix, tag)]);
    assert!(memory.recent(ms(300), ms(301)).is_empty());
    memory.hear(Use::new(prefix, tag), ms(9000));
    let kept = prefix::kept(570_000, 57_000.0);
    assert_eq!(kept, ms(10_000));
    assert!(memory.keeps(prefix, tag, kept, ms(18_000)));
    assert!(!memory.keeps(prefix, tag, kept, ms(19_000)));
    memory.forget(tag);
    assert!(!memory.keeps(prefix, tag, kept, ms(9000)));
}

fn candidates(loads: &[(u32, u64)]) -> Vec<Candidate> {
    let numbered = loads.iter().zip(0u16..);
    let candidates = numbered.map(|((running, unread), number)| Candidate {
        target: Arc::new(target(&format!("t{number}"), number)),
        load: Load {
            running: *running,
            unread: *unread,
        },
        local: false,
        keeps: false,
        held: None,
    });
    candidates.collect()
}

fn ask(prompt: Option<&Prompt>) -> Ask<'_> {
    Ask {
        prompt,
        objective: ms(1000),
        rate: 10_000.0,
        fetch_seconds: None,
        room: 1.0,
        miss_scale: 1.0,
        waited: ms(0),
        may_fetch: true,
        may_miss: false,
        draw: 3,
    }
}

#[test]
fn a_prefix_that_none_keeps_goes_to_the_same_home_in_any_order() {
    let (policy, prompt) = (Policy::default(), prompt());
    let mut all = candidates(&[(0, 0), (0, 0), (0, 0), (0, 0)]);
    let home = placement::choose(&policy, &ask(Some(&prompt)), &all).unwrap();
    assert!(!home.hit);
    all.reverse();
    let again = placement::choose(&policy, &ask(Some(&prompt)), &all).unwrap();
    assert_eq!(home.target.id, again.target.id);
    assert_eq!(home.unread, 1000);
}

#[test]
fn a_target_that_keeps_the_prefix_is_chosen_unless_it_is_full() {
    let (policy, prompt) = (Policy::default(), prompt());
    let mut all = candidates(&[(0, 0), (3, 900), (0, 0)]);
    all[1].keeps = true;
    let kept = placement::choose(&policy, &ask(Some(&prompt)), &all).unwrap();
    assert_eq!(
        (kept.target.id.as_ref(), kept.hit, kept.unread),
        ("t1", true, 200)
    );
    all[1].load.running = 10;
    assert!(placement::choose(&policy, &ask(Some(&prompt)), &all).is_none());
    let mut waited = ask(Some(&prompt));
    waited.may_miss = true;
    let missed = placement::choose(&policy, &waited, &all).unwrap();
    assert!(!missed.hit && missed.target.id.as_ref() != "t1");
}

/// Before, the first request of an idle fleet, and all after a restart of all routers, found a
/// level of nothing and a tenth of the room.
#[test]
fn a_fleet_that_has_granted_nothing_yet_has_no_level() {
    let mut shares = Shares::new(ms(4_000));
    let customer = CustomerTag(1);
    shares.record_demand(customer, 1_000, ms(0));
    assert_eq!(
        shares.share_ratio(customer, 1_000, ms(0)).to_bits(),
        1.0f64.to_bits()
    );
    assert_eq!(shares.standing(customer, ms(0)).level, None);
}

#[test]
fn a_request_beyond_its_share_finds_less_room() {
    let policy = Policy::default();
    let prompt = Prompt {
        tokens: 100,
        answer_tokens: 0,
        parts: Vec::new(),
    };
    let all = candidates(&[(4, 0)]);
    assert!(placement::choose(&policy, &ask(Some(&prompt)), &all).is_some());
    let mut beyond = ask(Some(&prompt));
    beyond.room = 0.5;
    assert!(placement::choose(&policy, &beyond, &all).is_none());
}

#[test]
fn plain_requests_go_where_most_is_free() {
    let policy = Policy::default();
    let all = candidates(&[(5, 0), (2, 0), (9, 0)]);
    let choice = placement::choose(&policy, &ask(None), &all).unwrap();
    assert_eq!(choice.target.id.as_ref(), "t1");
    let full = candidates(&[(20, 0)]);
    assert!(placement::choose(&policy, &ask(None), &full).is_none());
}

#[test]
fn a_peer_with_the_same_list_confirms_it_and_one_with_another_does_not() {
    let mut registry = Registry::new();
    registry.take(vec![target("a", 1), target("b", 2)], ms(0));
    let mut other = Registry::new();
    other.take(vec![target("b", 2), target("a", 1)], ms(0));
    assert_eq!(registry.digest(), other.digest());
    registry.confirm(other.digest(), ms(700));
    assert_eq!(registry.read_at(), Some(ms(700)));
    let mut leaving = target("b", 2);
    leaving.state = State::Leaving;
    other.take(vec![target("a", 1), leaving], ms(900));
    assert_ne!(registry.digest(), other.digest());
    registry.confirm(other.digest(), ms(900));
    assert_eq!(registry.read_at(), Some(ms(700)));
}
