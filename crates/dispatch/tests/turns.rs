//! Who calls the store, in fleets of some sizes whose store answers, is overrun, or is away.

use std::time::Duration;

use dunlinward_dispatch::turn::{Caller, Turn};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TURN: Turn = Turn {
    first: Duration::from_millis(900),
    step: Duration::from_millis(240),
    callers: 1,
};

/// Time in which what one router has read comes to all: seven greetings one after the other.
const SPREAD: Duration = Duration::from_millis(200);

/// Calls of a reading: a list of so many pages if none is known, else one.
const PAGES: usize = 50;

const STEP: Duration = Duration::from_millis(10);

/// A fleet with one store.
struct Fleet {
    callers: Vec<Caller>,
    known_at: Vec<Option<Duration>>,
    /// What has been read and is on its way: when it was, and when it arrives.
    told: Vec<(Duration, Duration)>,
    /// Moments of all calls.
    calls: Vec<Duration>,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(7);
        let callers = (0..routers).map(|_| Caller::new(TURN, random.random()));
        Self {
            callers: callers.collect(),
            known_at: vec![None; routers],
            told: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Time passes; `serves` says whether the store answers the router of a rank.
    fn run(&mut self, from: Duration, to: Duration, serves: impl Fn(usize, Duration) -> bool) {
        let mut now = from;
        while now < to {
            self.arrive(now);
            for rank in 0..self.callers.len() {
                if self.callers[rank].due(self.known_at[rank], rank) > now {
                    continue;
                }
                let pages = if self.known_at[rank].is_none() {
                    PAGES
                } else {
                    1
                };
                if serves(rank, now) {
                    self.calls.extend(std::iter::repeat_n(now, pages));
                    self.callers[rank].answered();
                    self.known_at[rank] = Some(now);
                    self.told.push((now, now + SPREAD));
                } else {
                    self.calls.push(now);
                    self.callers[rank].failed(rank, now);
                }
            }
            now += STEP;
        }
    }

    fn arrive(&mut self, now: Duration) {
        let arrived = self.told.iter().filter(|(_, at)| *at <= now);
        let newest = arrived.map(|(read, _)| *read).max();
        self.told.retain(|(_, at)| *at > now);
        for known in &mut self.known_at {
            *known = newest.max(*known);
        }
    }

    fn calls_between(&self, from: Duration, to: Duration) -> usize {
        let between = self.calls.iter().filter(|it| (from..to).contains(*it));
        between.count()
    }

    /// Age of the oldest view.
    fn oldest(&self, now: Duration) -> Duration {
        let ages = self.known_at.iter();
        let ages = ages.map(|it| now.saturating_sub(it.unwrap_or_default()));
        ages.max().unwrap_or_default()
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

const SIZES: [usize; 4] = [9, 100, 1_000, 2_000];

#[test]
fn calls_do_not_grow_with_the_fleet_while_all_is_well() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        fleet.run(Duration::ZERO, seconds(50), |_, _| true);
        // Two lists at the start, as the second in rank waits for less than a list takes to spread.
        let calls = fleet.calls.len();
        assert!(calls <= 2 * PAGES + 60, "{routers}: {calls}");
        assert!(fleet.oldest(seconds(50)) < seconds(2));
    }
}

#[test]
fn calls_do_not_grow_with_the_fleet_while_the_store_is_away_and_all_know_soon_that_it_is_back() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        let away = |_: usize, now: Duration| !(seconds(10)..seconds(19)).contains(&now);
        fleet.run(Duration::ZERO, seconds(21), away);
        let calls = fleet.calls_between(seconds(10), seconds(19));
        assert!(calls <= 160, "{routers}: {calls}");
        let age = fleet.oldest(seconds(21));
        assert!(age < seconds(2), "{routers}: {age:?}");
    }
}

#[test]
fn routers_that_are_turned_away_are_stood_in_for() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        // The first three in rank, for nine seconds.
        let turned =
            |rank: usize, now: Duration| rank >= 3 || !(seconds(10)..seconds(19)).contains(&now);
        fleet.run(Duration::ZERO, seconds(10), turned);
        let mut now = seconds(10);
        while now < seconds(19) {
            fleet.run(now, now + STEP, turned);
            now += STEP;
            let age = fleet.oldest(now);
            assert!(age < seconds(2), "{routers}: {age:?} at {now:?}");
        }
        assert!(fleet.calls_between(seconds(10), seconds(19)) <= 80);
    }
}

/// Once a thousand routers had lost the list, all of them read it by themselves for good, and the store
/// that they overran answered none of them.
#[test]
fn a_fleet_without_a_list_at_a_store_that_it_can_overrun_comes_out_of_it() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        // All have been failing for a while.
        for rank in 0..routers {
            for _ in 0..6 {
                fleet.callers[rank].failed(rank, Duration::ZERO);
            }
        }
        // The store answers nobody in a second after one with more than 500 calls.
        let mut now = Duration::ZERO;
        while now < seconds(6) {
            let before = now.saturating_sub(seconds(1));
            let overrun = fleet.calls_between(before, now) > 500;
            fleet.run(now, now + STEP, |_, _| !overrun);
            now += STEP;
        }
        assert!(fleet.oldest(now) < seconds(2), "{routers}");
        let calls = fleet.calls.len();
        assert!(calls <= 6 * PAGES, "{routers}: {calls}");
    }
}
