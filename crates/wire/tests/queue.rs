//! Bounds of the queue and of the backoff.

use std::time::{Duration, Instant};

use dunlinward_wire::backoff::Backoff;
use dunlinward_wire::queue::{Bound, OVERHEAD, Queue};
use rand::SeedableRng;
use rand::rngs::StdRng;

const BOUND: Bound = Bound {
    messages: 3,
    bytes: 10,
    age: Duration::from_secs(5),
};

#[test]
fn the_oldest_make_room() {
    let now = Instant::now();
    let mut queue = Queue::new(BOUND);
    let dropped: Vec<_> = [2, 2, 2, 2, 9, 50, 1]
        .map(|size| queue.push(now, vec![0; size]))
        .into();
    assert_eq!(dropped, [0, 0, 0, 1, 3, 1, 1]);
    assert_eq!(queue.batch(100), [vec![0; 1]]);
    assert!(queue.is_empty());
}

#[test]
fn the_aged_are_dropped() {
    let now = Instant::now();
    let mut queue = Queue::new(BOUND);
    queue.push(now, b"a".to_vec());
    queue.push(now + BOUND.age, b"b".to_vec());
    assert_eq!(queue.expire(now + BOUND.age), 0);
    assert_eq!(queue.expire(now + BOUND.age + Duration::from_nanos(1)), 1);
    assert_eq!(queue.len(), 1);
}

#[test]
fn a_batch_holds_at_least_one() {
    let now = Instant::now();
    let mut queue = Queue::new(BOUND);
    for size in [5, 2, 2] {
        queue.push(now, vec![0; size]);
    }
    let sizes: Vec<_> = [5, 5, 5]
        .map(|bytes| {
            queue
                .batch(bytes + 2 * OVERHEAD)
                .iter()
                .map(Vec::len)
                .collect::<Vec<_>>()
        })
        .into();
    assert_eq!(sizes, [vec![5], vec![2, 2], vec![]]);
}

#[test]
fn pauses_grow_to_their_cap() {
    let backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(2));
    let mut random = StdRng::seed_from_u64(8);
    for (failures, full) in [(0, 50), (1, 100), (5, 1600), (6, 2000), (40, 2000)] {
        let full = Duration::from_millis(full);
        let pauses: Vec<_> = (0..100)
            .map(|_| backoff.pause(failures, &mut random))
            .collect();
        assert!(pauses.iter().all(|pause| *pause >= full / 2));
        assert!(pauses.iter().all(|pause| *pause <= full));
        assert!(pauses.iter().any(|pause| *pause != pauses[0]), "jitter");
    }
}
