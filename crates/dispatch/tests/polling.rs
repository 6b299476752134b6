//! Polls of the store in fleets of several sizes, with a store that answers, is overloaded, or is
//! unreachable.

use std::time::Duration;

use dunlinward_dispatch::polling::{Poller, Schedule};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SCHEDULE: Schedule = Schedule {
    first_age: Duration::from_millis(900),
    step: Duration::from_millis(240),
    pollers: 1,
};

/// Time for a reading to reach all routers: seven greetings in sequence.
const PROPAGATION: Duration = Duration::from_millis(200);

/// Requests for a full list, which has this many pages; a known list is confirmed by one request.
const PAGES: usize = 50;

const TICK: Duration = Duration::from_millis(10);

/// A fleet with one store.
struct Fleet {
    pollers: Vec<Poller>,
    known_at: Vec<Option<Duration>>,
    /// Readings in flight: when each was made, and when it arrives.
    in_flight: Vec<(Duration, Duration)>,
    /// Times of all requests.
    requests: Vec<Duration>,
}

impl Fleet {
    fn new(routers: usize) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(7);
        let pollers = (0..routers).map(|_| Poller::new(SCHEDULE, random.random()));
        Self {
            pollers: pollers.collect(),
            known_at: vec![None; routers],
            in_flight: Vec::new(),
            requests: Vec::new(),
        }
    }

    /// Advances the time; `answers` tells whether the store answers the router of a rank.
    fn run(&mut self, from: Duration, to: Duration, answers: impl Fn(usize, Duration) -> bool) {
        let mut now = from;
        while now < to {
            self.deliver(now);
            for rank in 0..self.pollers.len() {
                if self.pollers[rank].next_poll(self.known_at[rank], rank) > now {
                    continue;
                }
                let pages = if self.known_at[rank].is_none() {
                    PAGES
                } else {
                    1
                };
                if answers(rank, now) {
                    self.requests.extend(std::iter::repeat_n(now, pages));
                    self.pollers[rank].record_success();
                    self.known_at[rank] = Some(now);
                    self.in_flight.push((now, now + PROPAGATION));
                } else {
                    self.requests.push(now);
                    self.pollers[rank].record_failure(rank, now);
                }
            }
            now += TICK;
        }
    }

    fn deliver(&mut self, now: Duration) {
        let arrived = self.in_flight.iter().filter(|(_, at)| *at <= now);
        let newest = arrived.map(|(read, _)| *read).max();
        self.in_flight.retain(|(_, at)| *at > now);
        for known in &mut self.known_at {
            *known = newest.max(*known);
        }
    }

    fn requests_between(&self, from: Duration, to: Duration) -> usize {
        let between = self.requests.iter().filter(|it| (from..to).contains(*it));
        between.count()
    }

    /// Age of the oldest view.
    fn oldest_view(&self, now: Duration) -> Duration {
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
fn poll_count_is_independent_of_fleet_size() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        fleet.run(Duration::ZERO, seconds(50), |_, _| true);
        // Two lists at the start, as the delay of the second rank is shorter than a list takes to
        // propagate.
        let requests = fleet.requests.len();
        assert!(requests <= 2 * PAGES + 60, "{routers}: {requests}");
        assert!(fleet.oldest_view(seconds(50)) < seconds(2));
    }
}

#[test]
fn poll_count_is_bounded_during_an_outage_and_views_recover_soon_after() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        let answers = |_: usize, now: Duration| !(seconds(10)..seconds(19)).contains(&now);
        fleet.run(Duration::ZERO, seconds(21), answers);
        let requests = fleet.requests_between(seconds(10), seconds(19));
        assert!(requests <= 160, "{routers}: {requests}");
        let age = fleet.oldest_view(seconds(21));
        assert!(age < seconds(2), "{routers}: {age:?}");
    }
}

#[test]
fn standbys_replace_rejected_pollers() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        // The store rejects the first three ranks for nine seconds.
        let answers =
            |rank: usize, now: Duration| rank >= 3 || !(seconds(10)..seconds(19)).contains(&now);
        fleet.run(Duration::ZERO, seconds(10), answers);
        let mut now = seconds(10);
        while now < seconds(19) {
            fleet.run(now, now + TICK, answers);
            now += TICK;
            let age = fleet.oldest_view(now);
            assert!(age < seconds(2), "{routers}: {age:?} at {now:?}");
        }
        assert!(fleet.requests_between(seconds(10), seconds(19)) <= 80);
    }
}

/// Guards against a persistent overload: after a thousand routers had lost the list, all of them
/// polled for it, and the store, overloaded by that, answered none of them.
#[test]
fn a_fleet_recovers_from_overloading_the_store() {
    for routers in SIZES {
        let mut fleet = Fleet::new(routers);
        // All routers have failed several times.
        for rank in 0..routers {
            for _ in 0..6 {
                fleet.pollers[rank].record_failure(rank, Duration::ZERO);
            }
        }
        // The store answers nobody for as long as it received more than 500 requests in the last
        // second.
        let mut now = Duration::ZERO;
        while now < seconds(6) {
            let before = now.saturating_sub(seconds(1));
            let overloaded = fleet.requests_between(before, now) > 500;
            fleet.run(now, now + TICK, |_, _| !overloaded);
            now += TICK;
        }
        assert!(fleet.oldest_view(now) < seconds(2), "{routers}");
        let requests = fleet.requests.len();
        assert!(requests <= 6 * PAGES, "{routers}: {requests}");
    }
}
