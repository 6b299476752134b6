//! Unit tests of the pure decisions, some against reference implementations.

use std::sync::Arc;
use std::time::Duration;

use dunlinward_dispatch::budget::{Bound, Budget};
use dunlinward_dispatch::configuration::{
    Configuration, Customer, Kind, Limits, Route, Share, Table,
};
use dunlinward_dispatch::health::{Health, Outcome};
use dunlinward_dispatch::message::CustomerTag;
use dunlinward_dispatch::placement::{self, Candidate, Criteria, Policy};
use dunlinward_dispatch::prefix::{self, History, Part, Prefix, Prompt, Use};
use dunlinward_dispatch::reachability::Reachability;
use dunlinward_dispatch::registry::{Change, OUTAGE_GAP, REAPPEARANCE_GRACE, Registry};
use dunlinward_dispatch::share::{self, Shares};
use dunlinward_dispatch::speed::Rating;
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
        version: None,
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
        pause_objective: None,
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
fn longest_matching_path_prefix_selects_the_route() {
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
fn services_of_a_route_get_requests_by_weight() {
    let route = route("/a/");
    let count = (0..1000).filter(|it| route.service(*it).is_some_and(|it| it.as_ref() == "y"));
    assert_eq!(count.count(), 100);
}

#[test]
fn unlisted_target_has_ended() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1), target("b", 2)], ms(0));
    let changes = registry.apply_list(vec![target("a", 1)], ms(900));
    assert_eq!(changes, [Change::Ended(Arc::new(target("b", 2)))]);
    assert_eq!(registry.targets_of_service("pool").len(), 1);
}

/// Once a target is known to be leaving, a later list from a faulty store must not make it ready
/// again.
#[test]
fn leaving_target_never_becomes_ready_again() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1)], ms(0));
    let mut leaving = target("a", 1);
    leaving.state = State::Leaving;
    assert_eq!(registry.apply_list(vec![leaving], ms(500)).len(), 1);
    assert!(
        registry
            .apply_list(vec![target("a", 1)], ms(900))
            .is_empty()
    );
    assert!(
        registry
            .apply_settled_list(vec![target("a", 1)], ms(1200))
            .is_empty()
    );
    assert_eq!(registry.targets_of_service("pool")[0].state, State::Leaving);
}

#[test]
fn lapsed_target_is_retained_after_an_outage_for_the_return_time() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1), target("b", 2)], ms(0));
    let reconnected_at = OUTAGE_GAP + ms(1);
    registry.apply_list(vec![target("a", 1)], reconnected_at);
    assert_eq!(registry.targets_of_service("pool").len(), 2);
    registry.apply_list(vec![target("a", 1)], reconnected_at + REAPPEARANCE_GRACE);
    assert_eq!(registry.targets_of_service("pool").len(), 1);
}

/// Guards against a failure domain that reconnects after a network partition and reports targets to
/// all others that have ended meanwhile.
#[test]
fn target_retained_after_an_outage_is_not_reported_and_ends_with_a_settled_list() {
    let (mut cut, mut other) = (Registry::new(), Registry::new());
    for registry in [&mut cut, &mut other] {
        registry.apply_list(vec![target("a", 1), target("b", 2)], ms(0));
    }
    other.apply_list(vec![target("a", 1)], ms(1500));
    other.apply_list(vec![target("a", 1)], ms(3000));
    let reconnected_at = OUTAGE_GAP + ms(1500);
    cut.apply_list(vec![target("a", 1)], reconnected_at);
    assert_eq!(
        (cut.targets_of_service("pool").len(), cut.settled()),
        (2, false)
    );
    let reported: Vec<_> = cut.listed().map(|it| it.as_ref().clone()).collect();
    assert_eq!(reported, [target("a", 1)]);
    assert_eq!(cut.digest(), other.digest());
    assert!(other.apply_list(reported, reconnected_at).is_empty());
    assert!(other.settled());
    let ended = cut.apply_settled_list(vec![target("a", 1)], reconnected_at + ms(100));
    assert_eq!(ended, [Change::Ended(Arc::new(target("b", 2)))]);
    assert!(cut.settled());
}

#[test]
fn first_list_is_not_settled() {
    let mut registry = Registry::new();
    assert!(!registry.settled());
    registry.apply_list(vec![target("a", 1)], ms(500));
    assert!(!registry.settled());
    registry.apply_list(vec![target("a", 1)], ms(500) + REAPPEARANCE_GRACE);
    assert!(registry.settled());
}

#[test]
fn lapsed_target_whose_address_is_reused_has_ended() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("b", 2)], ms(0));
    registry.apply_list(vec![target("c", 2)], OUTAGE_GAP + ms(1));
    let ids: Vec<_> = registry
        .targets_of_service("pool")
        .iter()
        .map(|it| it.id.to_string())
        .collect();
    assert_eq!(ids, ["c"]);
}

#[test]
fn older_list_is_ignored_and_a_removed_target_is_not_listed_again() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1)], ms(1000));
    assert!(registry.apply_list(Vec::new(), ms(900)).is_empty());
    registry.remove_replaced(Tag::new("a"));
    registry.apply_list(vec![target("a", 1)], ms(1900));
    assert!(registry.targets_of_service("pool").is_empty());
}

#[test]
fn leaving_target_is_reported_once() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1)], ms(0));
    let mut leaving = target("a", 1);
    leaving.state = State::Leaving;
    let changes = registry.apply_list(vec![leaving.clone()], ms(900));
    assert_eq!(changes, [Change::Leaving(Arc::new(leaving.clone()))]);
    assert!(registry.apply_list(vec![leaving], ms(1800)).is_empty());
}

#[test]
fn peer_load_counts_until_the_peer_timeout() {
    let (a, peer) = (Tag::new("a"), Peer(7));
    let mut usage = Usage::new();
    usage.begin(a, 100);
    let load = Load {
        running: 3,
        unread: 50,
    };
    usage.apply_report(peer, [(a, load)].into_iter(), ms(0));
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
    assert_eq!(usage.router_count(), 2);
    usage.end_prefill(a, 100);
    usage.end(a);
    usage.recompute_totals(PEER_TIMEOUT);
    assert_eq!(usage.total(a), Load::default());
}

/// Reference implementation: grants one unit at a time to the customer with the smallest grant
/// whose demand is not met.
fn reference_level(demands: &[u64], capacity: u64) -> Option<u64> {
    let mut granted = vec![0; demands.len()];
    for _ in 0..capacity {
        let unmet = (0..demands.len()).filter(|it| granted[*it] < demands[*it]);
        let Some(smallest) = unmet.min_by_key(|it| granted[*it]) else {
            break;
        };
        granted[smallest] += 1;
    }
    let contended = (0..demands.len()).any(|it| granted[it] < demands[it]);
    contended.then(|| {
        let unmet = (0..demands.len()).filter(|it| granted[*it] < demands[*it]);
        unmet.map(|it| granted[it]).min().unwrap_or_default()
    })
}

#[test]
fn level_matches_a_queue_that_serves_the_smallest_grant_first() {
    let mut random = Pcg64Mcg::seed_from_u64(11);
    for _ in 0..2000 {
        let count = random.random_range(1..8);
        let demands: Vec<u64> = (0..count).map(|_| random.random_range(0..40)).collect();
        let capacity = random.random_range(0..120);
        let level = share::level(demands.clone(), capacity);
        assert_eq!(
            level,
            reference_level(&demands, capacity),
            "{demands:?} {capacity}"
        );
    }
}

#[test]
fn shares_apply_across_routers_once_demand_exceeds_grants() {
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
fn small_fully_served_customers_are_not_reported_and_the_level_is_unchanged() {
    let mut shares = Shares::new(ms(4000));
    for number in 0..100 {
        shares.record_demand(CustomerTag(number), 10, ms(0));
        shares.charge(CustomerTag(number), 10, ms(0));
    }
    for (number, asked, granted) in [(200, 9_000, 4_000), (201, 5_000, 4_000), (202, 30, 20)] {
        shares.record_demand(CustomerTag(number), asked, ms(0));
        shares.charge(CustomerTag(number), granted, ms(0));
    }
    let reported = shares.report(ms(0));
    let mut tags: Vec<_> = reported.iter().map(|it| it.tag.0).collect();
    tags.sort_unstable();
    assert_eq!(tags, [200, 201, 202]);
    let mut other = Shares::new(ms(4000));
    other.record_peer(Peer(1), &reported, ms(0));
    let level = |shares: &mut Shares| {
        shares.share_ratio(CustomerTag(200), 1, ms(0));
        shares.standing(CustomerTag(200), ms(0)).level
    };
    assert_eq!(level(&mut shares), level(&mut other));
}

#[test]
fn usage_expires_with_the_window() {
    let customer = CustomerTag(1);
    let mut shares = Shares::new(ms(4000));
    shares.charge(customer, 100, ms(0));
    assert_eq!(shares.granted(customer, ms(3000)), 100);
    assert_eq!(shares.granted(customer, ms(4600)), 0);
}

/// Routers restart at random, which resets their counters, and requests arrive at random. No window
/// may contain more repeats than the bound.
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
        let count_in_window = |times: &[Duration], from: Duration| {
            times
                .iter()
                .filter(|it| **it >= from && **it < from + bound.window)
                .count()
        };
        for from in (0..30_000).step_by(500).map(ms) {
            let allowed = count_in_window(&requests, from) / 5 + 58;
            assert!(
                count_in_window(&repeats, from) <= allowed,
                "seed {seed}, from {from:?}"
            );
        }
    }
}

#[test]
fn target_is_ejected_after_consecutive_failures_for_increasing_periods() {
    let (a, mut health) = (Tag::new("a"), Health::new());
    assert!(!health.record(a, Outcome::Bad, ms(0)));
    assert!(!health.record(a, Outcome::Good, ms(0)));
    assert!(!health.record(a, Outcome::Bad, ms(0)));
    assert!(!health.record(a, Outcome::Bad, ms(0)));
    assert!(health.record(a, Outcome::Bad, ms(0)));
    assert!(health.is_ejected(a, ms(499)) && !health.is_ejected(a, ms(500)));
    assert!(health.record(a, Outcome::Bad, ms(500)));
    assert!(health.is_ejected(a, ms(1499)) && !health.is_ejected(a, ms(1500)));
    health.record(a, Outcome::Good, ms(1500));
    assert!(health.record(a, Outcome::Unreachable, ms(1600)));
    assert!(health.is_ejected(a, ms(3599)) && !health.is_ejected(a, ms(3600)));
    for _ in 0..8 {
        health.record(a, Outcome::Good, ms(4000));
    }
    assert!(health.record(a, Outcome::Unreachable, ms(5000)));
    assert!(health.is_ejected(a, ms(5499)) && !health.is_ejected(a, ms(5500)));
}

#[test]
fn target_is_ejected_at_one_failure_in_two_and_not_at_one_in_ten() {
    let (a, mut health) = (Tag::new("a"), Health::new());
    let mut ejected = false;
    for turn in 0..40 {
        let outcome = if turn % 10 == 0 {
            Outcome::Bad
        } else {
            Outcome::Good
        };
        ejected |= health.record(a, outcome, ms(turn));
    }
    assert!(!ejected);
    for turn in 0..40 {
        let outcome = if turn % 2 == 0 {
            Outcome::Bad
        } else {
            Outcome::Good
        };
        ejected |= health.record(a, outcome, ms(100 + turn));
    }
    assert!(ejected);
}

#[test]
fn domain_is_doubtful_while_none_of_its_routers_responds() {
    let mut reach = Reachability::new(ms(100));
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    assert!(!reach.may_be_partitioned("a", ms(0)));
    reach.record_miss("a");
    reach.record_miss("a");
    assert!(!reach.may_be_partitioned("a", ms(900)));
    reach.record_packet(&a, ms(300));
    reach.record_packet(&b, ms(300));
    assert!(!reach.may_be_partitioned("a", ms(700)));
    reach.record_miss("a");
    assert!(!reach.may_be_partitioned("a", ms(700)));
    reach.record_miss("a");
    assert!(!reach.may_be_partitioned("a", ms(600)));
    assert!(reach.may_be_partitioned("a", ms(700)));
    assert!(!reach.may_be_partitioned("b", ms(700)));
    reach.record_packet(&a, ms(800));
    assert!(!reach.may_be_partitioned("a", ms(1_300)));
    reach.record_miss("b");
    reach.record_miss("b");
    assert!(reach.may_be_partitioned("b", ms(900)));
    assert!(!reach.may_be_partitioned("b", ms(8300)));
}

fn prompt() -> Prompt {
    Prompt {
        tokens: 1000,
        answer_tokens: 10,
        parts: vec![Part { id: 1, tokens: 800 }, Part { id: 2, tokens: 200 }],
    }
}

#[test]
fn last_part_of_a_prompt_is_not_shared() {
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
fn prefix_counts_as_cached_until_its_retention_after_the_last_use_by_any_router() {
    let (prefix, tag) = (Prefix(5), Tag::new("a"));
    let mut history = History::new();
    history.record_sent(prefix, tag, ms(0));
    assert_eq!(history.recent(ms(300), ms(300)), [Use::new(prefix, tag)]);
    assert!(history.recent(ms(300), ms(301)).is_empty());
    history.record_use(Use::new(prefix, tag), ms(9000));
    let retention = prefix::retention(570_000, 57_000.0);
    assert_eq!(retention, ms(10_000));
    assert!(history.is_cached(prefix, tag, retention, ms(18_000)));
    assert!(!history.is_cached(prefix, tag, retention, ms(19_000)));
    history.remove_target(tag);
    assert!(!history.is_cached(prefix, tag, retention, ms(9000)));
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
        assumed_cached: false,
        prefix_match: None,
        rating: Rating::MEDIAN,
    });
    candidates.collect()
}

fn criteria(prompt: Option<&Prompt>) -> Criteria<'_> {
    Criteria {
        prompt,
        objective: ms(1000),
        rate: 10_000.0,
        fetch_seconds: None,
        capacity_share: 1.0,
        miss_capacity_scale: 1.0,
        waited: ms(0),
        allow_fetch: true,
        allow_miss: false,
        allow_replica: false,
        tie_breaker: 3,
    }
}

#[test]
fn uncached_prefix_has_the_same_home_in_any_candidate_order() {
    let (policy, prompt) = (Policy::default(), prompt());
    let mut all = candidates(&[(0, 0), (0, 0), (0, 0), (0, 0)]);
    let first = placement::choose(&policy, &criteria(Some(&prompt)), &all).unwrap();
    assert!(!first.hit);
    all.reverse();
    let second = placement::choose(&policy, &criteria(Some(&prompt)), &all).unwrap();
    assert_eq!(first.target.id, second.target.id);
    assert_eq!(first.unread, 1000);
}

#[test]
fn target_that_caches_the_prefix_is_selected_unless_it_is_full() {
    let (policy, prompt) = (Policy::default(), prompt());
    let mut all = candidates(&[(0, 0), (3, 900), (0, 0)]);
    all[1].assumed_cached = true;
    let cached = placement::choose(&policy, &criteria(Some(&prompt)), &all).unwrap();
    assert_eq!(
        (cached.target.id.as_ref(), cached.hit, cached.unread),
        ("t1", true, 200)
    );
    all[1].load.running = 10;
    assert!(placement::choose(&policy, &criteria(Some(&prompt)), &all).is_none());
    let mut miss_allowed = criteria(Some(&prompt));
    miss_allowed.allow_miss = true;
    let missed = placement::choose(&policy, &miss_allowed, &all).unwrap();
    assert!(!missed.hit && missed.target.id.as_ref() != "t1");
}

/// Guards against a level of zero, which limited the first request of an idle fleet, and all
/// requests after a restart of all routers, to a tenth of the capacity.
#[test]
fn fleet_without_grants_has_no_level() {
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
fn request_beyond_its_share_gets_less_capacity() {
    let policy = Policy::default();
    let prompt = Prompt {
        tokens: 100,
        answer_tokens: 0,
        parts: Vec::new(),
    };
    let all = candidates(&[(4, 0)]);
    assert!(placement::choose(&policy, &criteria(Some(&prompt)), &all).is_some());
    let mut beyond = criteria(Some(&prompt));
    beyond.capacity_share = 0.5;
    assert!(placement::choose(&policy, &beyond, &all).is_none());
}

#[test]
fn plain_request_goes_to_the_least_utilized_target() {
    let policy = Policy::default();
    let all = candidates(&[(5, 0), (2, 0), (9, 0)]);
    let choice = placement::choose(&policy, &criteria(None), &all).unwrap();
    assert_eq!(choice.target.id.as_ref(), "t1");
    let full = candidates(&[(20, 0)]);
    assert!(placement::choose(&policy, &criteria(None), &full).is_none());
}

#[test]
fn only_a_peer_with_an_equal_list_confirms_it() {
    let mut registry = Registry::new();
    registry.apply_list(vec![target("a", 1), target("b", 2)], ms(0));
    let mut other = Registry::new();
    other.apply_list(vec![target("b", 2), target("a", 1)], ms(0));
    assert_eq!(registry.digest(), other.digest());
    registry.confirm(other.digest(), ms(700));
    assert_eq!(registry.read_at(), Some(ms(700)));
    let mut leaving = target("b", 2);
    leaving.state = State::Leaving;
    other.apply_list(vec![target("a", 1), leaving], ms(900));
    assert_ne!(registry.digest(), other.digest());
    registry.confirm(other.digest(), ms(900));
    assert_eq!(registry.read_at(), Some(ms(700)));
}
