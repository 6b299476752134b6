//! Shares after a shortage that has ended: engines idle, and demand was refused until then.

use super::*;

/// End of the shortage, in seconds.
const SHORTAGE_S: u64 = 5;

/// Number of engines in the list during the shortage.
const LISTED_ENGINES: usize = 1;

/// A customer with half of all demand, two with a tenth each and others with little. All engines
/// together can run six times as much.
fn loads() -> Vec<Load> {
    let load = |rate| Load { rate, router: None };
    let mut loads = vec![load(10), load(2), load(2)];
    loads.extend([load(1); 6]);
    loads
}

/// Plays a load during and after a shortage: the owner has one engine of six in its list, of which
/// `slots` may be used, until the list is complete.
fn after_shortage(slots: u32, load_policy: LoadPolicy, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_policy(load_policy, &loads(), seed);
    fleet.clients_return = true;
    let mut listed = targets();
    listed.truncate(LISTED_ENGINES);
    listed[0].slots = slots;
    fleet.owner.registry.apply_list(listed, Duration::ZERO);
    let mut fleet = fleet.run(Duration::from_secs(SHORTAGE_S));
    let now = Duration::from_secs(SHORTAGE_S);
    fleet.owner.registry.apply_list(targets(), now);
    fleet.run(now + Duration::from_secs(9))
}

/// Guards against a level that outlasts its shortage: refused requests count as demand that
/// exceeds what is granted, so a level computed from the grants would hold the largest customer
/// back although engines idle.
#[test]
fn a_shortage_that_has_ended_holds_no_customer_back() {
    for (slots, load_policy) in [(1, LoadPolicy::OFF), (2, LoadPolicy::default())] {
        for seed in 0..4 {
            let fleet = after_shortage(slots, load_policy, seed);
            let served = |from, to| -> Vec<u64> {
                let customers = 0..fleet.loads.len();
                customers.map(|it| fleet.served(it, from, to)).collect()
            };
            let during = served(1, SHORTAGE_S);
            let seconds: Vec<_> = (SHORTAGE_S..SHORTAGE_S + 9)
                .map(|it| fleet.served(0, it, it + 1))
                .collect();
            println!("seed {seed}, {slots}: during {during:?}, after {seconds:?}");
            // From the second after the change on, with the pauses between arrivals drawn.
            let asked = fleet.loads[0].rate * PROMPT_TOKENS * 6;
            let got = fleet.served(0, SHORTAGE_S + 1, SHORTAGE_S + 7);
            assert!(got * 10 >= asked * 8, "seed {seed}: {got} of {asked}");
        }
    }
}
