//! Which entries of the memory account are given up, and what it sums up.

use std::collections::BTreeMap;
use std::time::Duration;

use dunlinward_dispatch::memory::{Account, Entry, Holder, Kind, SMALL_BYTES};
use dunlinward_dispatch::message::CustomerTag;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LIMIT: u64 = 1_000_000;

/// Part of the limit that large entries can use.
const LARGE: u64 = LIMIT / 4 * 3;

const CROWD: Holder = Some(CustomerTag(1));
const OTHER: Holder = Some(CustomerTag(2));

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Adds an entry with bytes, for which none may be given up.
fn add(account: &mut Account, holder: Holder, bytes: u64, at: u64) -> Entry {
    let entry = account.begin(holder, Kind::Request, seconds(at));
    assert!(account.grow(entry, bytes, seconds(at)).is_empty());
    entry
}

#[test]
fn the_customer_that_holds_most_gives_way() {
    let mut account = Account::new(LIMIT);
    let old = add(&mut account, OTHER, 300_000, 0);
    let crowd = [1, 2].map(|at| add(&mut account, CROWD, 200_000, at));
    let next = account.begin(OTHER, Kind::Request, seconds(5));
    // With it, the other customer would hold most.
    assert_eq!(account.grow(next, 90_000, seconds(5)), [crowd[0]]);
    assert!(account.holds(old) && account.holds(next));
    assert_eq!(account.total(), 590_000);
    assert_eq!(account.largest_holder(), Some((OTHER, 390_000)));
}

#[test]
fn a_body_that_makes_progress_outlasts_those_that_have_stopped() {
    let mut account = Account::new(LIMIT);
    let stopped = [0, 1, 2].map(|at| add(&mut account, CROWD, 200_000, at));
    let moving = account.begin(CROWD, Kind::Request, seconds(10));
    let mut given_up = Vec::new();
    for _ in 0..70 {
        given_up.extend(account.grow(moving, 10_000, seconds(10)));
    }
    assert_eq!(given_up, stopped);
    assert!(account.holds(moving));
}

#[test]
fn entries_give_way_to_connections_down_to_their_least_part() {
    let mut account = Account::new(LIMIT);
    let large = [0, 1, 2].map(|at| add(&mut account, CROWD, 200_000, at));
    let small = [0; 4].map(|at| add(&mut account, OTHER, 10_000, at));
    assert_eq!(account.fit(500_000, seconds(9)), [large[0], large[1]]);
    assert!(account.fit(0, seconds(9)).is_empty());
    // A quarter of the limit is for bodies in any case.
    assert_eq!(account.total(), 240_000);
    let next = account.begin(OTHER, Kind::Request, seconds(9));
    assert_eq!(account.grow(next, 100_000, seconds(9)), [large[2]]);
    assert!(small.iter().all(|it| account.holds(*it)));
    assert!(account.fit(LIMIT, seconds(9)).is_empty());
    assert!(account.grow(next, 500_000, seconds(9)).is_empty());
}

#[test]
fn small_entries_have_room_beside_any_number_of_large_ones() {
    let mut account = Account::new(LIMIT);
    for _ in 0..1_000 {
        let entry = account.begin(CROWD, Kind::Request, seconds(0));
        account.grow(entry, SMALL_BYTES + 1, seconds(0));
    }
    assert!(account.total() <= LARGE);
    let fitting = (LIMIT - account.total()) / SMALL_BYTES;
    let add_small = |account: &mut Account| add(account, CROWD, SMALL_BYTES, 0);
    let small: Vec<_> = (0..fitting).map(|_| add_small(&mut account)).collect();
    // More of them displace large ones.
    let next = account.begin(CROWD, Kind::Request, seconds(90));
    let given_up = account.grow(next, SMALL_BYTES, seconds(90));
    assert_eq!(given_up.len(), 1);
    assert!(small.iter().all(|it| account.holds(*it)));
    assert!(account.holds(next) && account.total() <= LIMIT);
}

#[test]
fn pinned_entries_do_not_give_way() {
    let mut account = Account::new(LIMIT);
    let pinned = add(&mut account, CROWD, LARGE, 0);
    account.pin(pinned);
    let next = account.begin(OTHER, Kind::Request, seconds(9));
    assert_eq!(account.grow(next, 100_000, seconds(9)), [next]);
    assert!(account.holds(pinned));
    add(&mut account, OTHER, SMALL_BYTES, 9);
}

#[test]
fn one_body_above_the_limit_is_held_if_it_is_alone() {
    let mut account = Account::new(LIMIT);
    let body = add(&mut account, CROWD, 4 * LIMIT, 0);
    for _ in 0..(LIMIT - LARGE) / SMALL_BYTES {
        add(&mut account, OTHER, SMALL_BYTES, 0);
    }
    let next = account.begin(OTHER, Kind::Request, seconds(1));
    assert_eq!(account.grow(next, 2 * SMALL_BYTES, seconds(1)), [body]);
}

#[test]
fn small_entries_displace_the_only_large_one_within_its_part() {
    let mut account = Account::new(LIMIT);
    let body = add(&mut account, CROWD, LARGE, 0);
    for _ in 0..(LIMIT - LARGE) / SMALL_BYTES {
        add(&mut account, OTHER, SMALL_BYTES, 0);
    }
    let next = account.begin(OTHER, Kind::Request, seconds(1));
    assert_eq!(account.grow(next, SMALL_BYTES, seconds(1)), [body]);
}

#[test]
fn an_answer_above_the_limit_is_given_up() {
    let mut account = Account::new(LIMIT);
    let short = account.begin(CROWD, Kind::Answer, seconds(0));
    let long = account.begin(CROWD, Kind::Answer, seconds(0));
    assert!(account.grow(short, 1, seconds(0)).is_empty());
    assert_eq!(account.grow(long, LIMIT, seconds(0)), [long]);
    assert!(account.grow(long, 1, seconds(0)).is_empty());
    assert_eq!(account.total(), 1);
}

#[test]
fn entries_within_the_limit_are_not_given_up() {
    let mut account = Account::new(LIMIT);
    let entries: Vec<_> = (0..10)
        .map(|at| add(&mut account, CROWD, LARGE / 10, at))
        .collect();
    for entry in entries {
        account.end(entry);
        account.end(entry);
    }
    assert_eq!((account.total(), account.largest_holder()), (0, None));
}

/// Answers without end among some that end, with as many at a time as there are requests.
#[test]
fn short_answers_are_not_given_up_beside_endless_ones_and_the_sum_is_bounded() {
    for (seed, endless) in [(0, 10), (1, 100), (2, 400)] {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut account = Account::new(LIMIT);
        let begin = |account: &mut Account| account.begin(CROWD, Kind::Answer, seconds(0));
        let mut floods: Vec<_> = (0..endless).map(|_| begin(&mut account)).collect();
        let (mut given_up, mut served) = (0, 0);
        for _ in 0..5_000 {
            let flood = random.random_range(0..floods.len());
            for cut in account.grow(floods[flood], random.random_range(1..20_000), seconds(0)) {
                let at = floods.iter().position(|it| *it == cut);
                floods[at.expect("only floods are given up")] = begin(&mut account);
                given_up += 1;
            }
            let sound = begin(&mut account);
            for cut in account.grow(sound, random.random_range(1..800), seconds(0)) {
                assert_ne!(cut, sound);
                let at = floods.iter().position(|it| *it == cut);
                floods[at.expect("only floods are given up")] = begin(&mut account);
            }
            account.end(sound);
            served += 1;
            assert!(account.total() <= LIMIT);
        }
        assert!(given_up > 0 && served == 5_000, "{given_up} {served}");
    }
}

/// What a naive recount of all entries gives.
#[derive(Default)]
struct Recount(BTreeMap<Entry, (Holder, Kind, u64)>);

impl Recount {
    fn check(&self, account: &Account) {
        let entries = self.0.values();
        let total: u64 = entries.clone().map(|(.., bytes)| bytes).sum();
        assert_eq!(account.total(), total);
        for kind in Kind::ALL {
            let of_kind = entries.clone().filter(|(_, it, _)| *it == kind);
            let sum: u64 = of_kind.map(|(.., bytes)| bytes).sum();
            assert_eq!(account.total_of(kind), sum);
        }
        let mut holders = BTreeMap::new();
        for (holder, _, bytes) in entries.clone() {
            *holders.entry(*holder).or_insert(0) += bytes;
        }
        let most = holders.values().max().copied().filter(|it| *it > 0);
        assert_eq!(account.largest_holder().map(|(_, bytes)| bytes), most);
        let large = entries.filter(|(.., bytes)| *bytes > SMALL_BYTES);
        let large: Vec<_> = large.map(|(.., bytes)| *bytes).collect();
        let is_alone = large.len() == 1;
        assert!(is_alone || large.iter().sum::<u64>() <= LARGE);
        assert!(is_alone || total <= LIMIT);
    }
}

/// Bodies and answers of 3,000 connections begin, grow, are sent and end in any order.
#[test]
fn sums_and_limits_hold_for_drawn_entries_of_three_thousand_connections() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut account = Account::new(LIMIT);
    let mut recount = Recount::default();
    let mut open = Vec::new();
    for step in 0..60_000u64 {
        let now = Duration::from_millis(step);
        match random.random_range(0..10) {
            0..3 if open.len() < 3_000 => {
                let holder = Some(CustomerTag(random.random_range(0..40)));
                let holder = holder.filter(|it| it.0 > 0);
                let kind = Kind::ALL[random.random_range(0..3)];
                let entry = account.begin(holder, kind, now);
                recount.0.insert(entry, (holder, kind, 0));
                open.push(entry);
            }
            3..8 if !open.is_empty() => {
                let entry = open[random.random_range(0..open.len())];
                let bytes = 1 << random.random_range(0..15);
                if let Some((.., held)) = recount.0.get_mut(&entry) {
                    *held += bytes;
                }
                for given_up in account.grow(entry, bytes, now) {
                    assert!(recount.0.remove(&given_up).is_some());
                }
            }
            8 if !open.is_empty() => {
                let entry = open.swap_remove(random.random_range(0..open.len()));
                account.end(entry);
                recount.0.remove(&entry);
            }
            _ => {}
        }
        if step % 50 == 0 {
            recount.check(&account);
        }
    }
    assert!(open.len() > 2_000 && recount.0.len() < open.len());
}
