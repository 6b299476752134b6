//! Further homes of prefixes, as owners add them when they answer requests and serve their queue.

use std::collections::BTreeSet;

use dunlinward_dispatch::replicas::Added;

use super::*;

/// Time after which the prefixes that were requested at the start may get another home.
const KNOWN: Duration = Duration::from_millis(500);

const POPULAR: u32 = 1;

/// An owner whose engines prefill nothing until `finish`, so that requests fill them.
struct Owner {
    state: State,
    settings: Settings,
    next: u64,
    /// Prefixes by the number of their requests.
    prefixes: HashMap<u64, u32>,
    /// Engines that requests were granted places at, by prefix, in order.
    placed: BTreeMap<u32, Vec<Tag>>,
    /// Grants whose requests have not ended.
    grants: Vec<Grant>,
}

impl Owner {
    fn new(load_policy: LoadPolicy) -> Self {
        let Fleet {
            owner, settings, ..
        } = Fleet::with_policy(load_policy, &[], 0);
        Self {
            state: owner,
            settings,
            next: 0,
            prefixes: HashMap::new(),
            placed: BTreeMap::new(),
            grants: Vec::new(),
        }
    }

    fn with_homes(max_prefix_homes: usize) -> Self {
        Self::new(LoadPolicy {
            max_prefix_homes,
            ..LoadPolicy::OFF
        })
    }

    /// Answers a request that arrives now; whether it got a place at once.
    fn ask(&mut self, customer: usize, prefix: u32, now: Duration) -> bool {
        self.next += 1;
        let part = |id| Part { id, tokens: 500 };
        let prompt = Prompt {
            tokens: PROMPT_TOKENS,
            answer_tokens: 0,
            parts: vec![part(prefix), part(0)],
        };
        let request = PlaceRequest {
            prompt: Some(Rc::new(prompt)),
            ..place_request(customer, now, self.next)
        };
        self.prefixes.insert(self.next, prefix);
        let asker = asker(1, self.next);
        match self.state.answer(&self.settings, asker, request, now) {
            Content::Grant(grant) => {
                self.record(grant);
                true
            }
            _ => false,
        }
    }

    /// Serves the queue; the number of places granted.
    fn pass(&mut self, now: Duration) -> usize {
        let pass = self.state.process_queue(&self.settings, now);
        let count = pass.peers.len();
        for (_, grant) in pass.peers {
            self.record(grant);
        }
        count
    }

    fn record(&mut self, grant: Grant) {
        let prefix = self.prefixes[&grant.number];
        self.placed.entry(prefix).or_default().push(grant.tag);
        self.grants.push(grant);
    }

    /// Ends all requests that were granted places, and abandons the others.
    fn finish(&mut self, now: Duration) {
        for grant in std::mem::take(&mut self.grants) {
            self.state.confirm(Peer(1), &[grant.number], now);
            self.state
                .end_prefill_for(Peer(1), grant.tag, grant.unread, now);
            let returned = Return {
                tag: grant.tag,
                unread: 0,
                outcome: None,
                not_run: None,
                content: None,
                refusal: None,
            };
            self.state.return_place(Peer(1), &returned, now);
        }
        self.state.queue.clear();
    }

    fn homes(&self, prefix: u32) -> usize {
        let placed = self.placed.get(&prefix).into_iter().flatten();
        placed.collect::<BTreeSet<_>>().len()
    }

    /// Requests a prefix until one request waits; the number of places granted.
    fn fill(&mut self, customer: usize, prefix: u32, now: Duration) -> usize {
        (0..100)
            .take_while(|_| self.ask(customer, prefix, now))
            .count()
    }
}

/// A prefix other than the popular one, with another home.
fn other_prefix() -> u32 {
    let home = |prefix| {
        let mut owner = Owner::with_homes(1);
        assert!(owner.ask(0, prefix, Duration::ZERO));
        owner.placed[&prefix][0]
    };
    let mut others = 2..100;
    let other = others.find(|it| home(*it) != home(POPULAR));
    other.expect("engines are chosen by prefix")
}

/// Guards against requests that count as evidence of full homes because others wait in their cell,
/// although their homes were not examined.
#[test]
fn waiters_of_other_prefixes_add_no_home() {
    let mut owner = Owner::with_homes(4);
    let other = other_prefix();
    assert!(owner.ask(0, POPULAR, Duration::ZERO));
    assert!(owner.ask(1, other, Duration::ZERO));
    assert!(owner.fill(1, other, KNOWN) > 5);
    for _ in 0..8 {
        assert!(!owner.ask(0, POPULAR, KNOWN), "another request waits");
        let granted = owner.pass(KNOWN + Duration::from_millis(1));
        assert_eq!(granted, 1, "the home has capacity");
    }
    assert_eq!(owner.homes(POPULAR), 1);
    assert_eq!(owner.state.replicas.take_added(), Added::default());
}

/// Guards against requests beyond their customer's share, which may use only a part of a home, that
/// count as evidence of full homes.
#[test]
fn requests_over_their_share_add_no_home() {
    let mut owner = Owner::with_homes(4);
    assert!(owner.ask(0, POPULAR, Duration::ZERO));
    let shares = &mut owner.state.shares;
    shares.charge(tag(0), 100_000, KNOWN);
    shares.charge(tag(1), 10_000, KNOWN);
    shares.record_demand(tag(0), 100_000, KNOWN);
    shares.record_demand(tag(1), 200_000, KNOWN);
    let request = place_request(0, KNOWN, 0);
    assert!(owner.state.share_ratio(&request, KNOWN) < 1.0);
    owner.fill(0, POPULAR, KNOWN);
    for step in 0..10 {
        assert!(!owner.ask(0, POPULAR, KNOWN));
        owner.pass(KNOWN + Duration::from_millis(step));
    }
    // A request within its customer's share, for which the home has capacity.
    let now = KNOWN + Duration::from_millis(10);
    owner.ask(2, POPULAR, now);
    assert_eq!(owner.pass(now), 1);
    assert_eq!(owner.homes(POPULAR), 1);
    assert_eq!(owner.state.replicas.take_added(), Added::default());
}

/// Guards against a prefix that is refused at its full home although other engines are idle, and
/// against more homes than allowed.
#[test]
fn demand_beyond_one_home_adds_homes_up_to_the_limit() {
    for max in 1..=4 {
        let mut owner = Owner::with_homes(max);
        assert!(owner.ask(0, POPULAR, Duration::ZERO));
        for round in 0..6 {
            let now = KNOWN * (round + 1);
            owner.finish(now);
            // A few more requests than the homes can serve, of customers within their share.
            let requests = 16 * owner.homes(POPULAR) + 4;
            for customer in 0..requests {
                owner.ask(customer, POPULAR, now);
                owner.pass(now);
            }
        }
        assert_eq!(owner.homes(POPULAR), max);
        let added = owner.state.replicas.take_added();
        assert_eq!(added.homes, u64::try_from(max - 1).expect("a few"));
        assert_eq!(added.max_homes, if max > 1 { max } else { 0 });
    }
}

/// Guards against a request that counts several times because it waits and is considered again.
#[test]
fn a_waiting_request_counts_once() {
    let mut owner = Owner::with_homes(4);
    assert!(owner.ask(0, POPULAR, Duration::ZERO));
    owner.fill(0, POPULAR, KNOWN);
    for step in 0..10 {
        owner.pass(KNOWN + Duration::from_millis(step));
    }
    assert_eq!(owner.homes(POPULAR), 1);
}

/// Guards against a home that is added, and may fetch the prefix, before the first home has
/// prefilled it.
#[test]
fn a_new_prefix_keeps_one_home_while_it_is_prefilled() {
    let mut owner = Owner::with_homes(4);
    for _ in 0..40 {
        owner.ask(0, POPULAR, Duration::ZERO);
        owner.pass(Duration::ZERO);
    }
    assert_eq!(owner.homes(POPULAR), 1);
    assert_eq!(owner.state.replicas.take_added(), Added::default());
}

/// Guards against recomputed prefixes that count as further homes.
#[test]
fn a_recomputed_prefix_is_no_further_home() {
    let mut owner = Owner::with_homes(4);
    assert!(owner.ask(0, POPULAR, Duration::ZERO));
    owner.fill(0, POPULAR, KNOWN);
    // After 0.04 of the objective, a waiting request may recompute its prefix at an idle engine.
    assert_eq!(owner.pass(KNOWN + OBJECTIVE.mul_f64(0.05)), 1);
    assert_eq!(owner.homes(POPULAR), 2);
    assert_eq!(owner.state.replicas.take_added(), Added::default());
}

/// Guards against other decisions, and state, while further homes are turned off.
#[test]
fn a_limit_of_one_home_decides_as_without() {
    for seed in 0..4 {
        let play = |policy| {
            let mut random = Pcg64Mcg::seed_from_u64(seed);
            let mut owner = Owner::new(policy);
            let mut now = Duration::ZERO;
            for _ in 0..300 {
                now += Duration::from_millis(random.random_range(0..20));
                let prefix = random.random_range(POPULAR..4);
                owner.ask(random.random_range(0..3), prefix, now);
                owner.pass(now);
            }
            owner
        };
        let on = play(LoadPolicy {
            max_prefix_homes: 1,
            ..LoadPolicy::default()
        });
        let off = play(LoadPolicy::OFF);
        assert_eq!(on.placed, off.placed);
        assert!(on.state.replicas.is_empty());
    }
}
