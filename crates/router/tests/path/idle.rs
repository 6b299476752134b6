//! No slot is free for long while a request that it could run waits.

use std::time::{Duration, Instant};

use crate::world::{World, busy, request, send};

/// Far above the time in which a free slot has to be found, and far below the
/// time that all calls take on one slot.
const BOUND: Duration = Duration::from_secs(3);

/// One caller alone, whose calls follow each other: each finds a slot at once, as
/// all are free. The bound is far above what the calls take, a millisecond each.
#[test]
fn a_lone_caller_does_not_wait() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    let call = || {
        let asked = request(&router, "POST", "/portal/receipts");
        assert_eq!(send(asked.body("paper".to_owned()).unwrap()).status, 200);
    };
    call();
    let begun = Instant::now();
    for _ in 0..20 {
        call();
    }
    let took = begun.elapsed();
    assert!(took < BOUND, "20 calls took {took:?}");
}

/// The callers come one by one and their calls follow each other, so some request
/// runs and some request is sent all the time; the free slots have to be found
/// all the same.
#[test]
fn free_slots_are_used_while_work_waits() {
    let world = World::new().with_plain(Duration::from_millis(50));
    let router = world.router(world.settings("r1"));
    let calls = || {
        for _ in 0..40 {
            let asked = request(&router, "POST", "/portal/receipts");
            let reply = send(asked.body("paper".to_owned()).unwrap());
            assert_eq!(reply.status, 200, "{}", reply.body);
        }
    };
    calls();
    let longest = std::thread::scope(|scope| {
        let mut callers = Vec::new();
        for _ in 0..8 {
            callers.push(scope.spawn(calls));
            std::thread::sleep(Duration::from_millis(30));
        }
        let mut since = Instant::now();
        let mut longest = Duration::ZERO;
        while callers.iter().any(|caller| !caller.is_finished()) {
            let status = router.status().unwrap();
            let waiting: u32 = status.customers.iter().map(|one| one.queued).sum();
            if waiting == 0 || busy(&router) == 4 {
                since = Instant::now();
            }
            longest = longest.max(since.elapsed());
            std::thread::sleep(Duration::from_millis(5));
        }
        longest
    });
    assert!(longest < BOUND, "a slot was free for {longest:?}");
}
