//! Service of customers that flood, in each period of some seconds.

use super::*;

/// Length of a period in seconds: one and a half windows of shares.
const PERIOD_S: u64 = 6;

/// Seconds from which periods are compared, and their end.
const FROM_S: u64 = 6;
const END_S: u64 = 24;

/// Number of customers that flood.
const FLOODS: usize = 8;

/// Time between the beginnings of two floods.
const BEGIN_INTERVAL: Duration = Duration::from_millis(500);

/// Plays customers that flood from different times on, beside small ones. Each flood alone exceeds
/// the capacity.
fn floods(seed: u64) -> Fleet {
    let load = |rate| Load { rate, router: None };
    let mut loads = vec![load(800); FLOODS];
    loads.extend([load(9); 8]);
    let mut fleet = Fleet::with_policy(LoadPolicy::default(), &loads, seed);
    fleet
        .events
        .retain(|_, it| !matches!(it, Event::Arrival(customer) if *customer < FLOODS));
    let mut begin = Duration::ZERO;
    for customer in 0..FLOODS {
        fleet.schedule(begin, Event::Arrival(customer));
        begin += BEGIN_INTERVAL;
    }
    fleet.run(Duration::from_secs(END_S))
}

/// Smallest ratio of the tokens of two customers that flood, over all periods.
fn worst_ratio(fleet: &Fleet) -> f64 {
    let ratios = (FROM_S..=END_S - PERIOD_S).map(|from| {
        let customers = 0..FLOODS;
        let served = customers.map(|it| fleet.served(it, from, from + PERIOD_S));
        let served: Vec<_> = served.collect();
        let (least, most) = (served.iter().min(), served.iter().max());
        to_f64(*least.expect("a customer")) / to_f64(*most.expect("a customer")).max(1.0)
    });
    ratios.fold(1.0, f64::min)
}

/// Guards against a customer that gets its share in one burst for each window of shares, and thus
/// less than half of what another one gets in some periods.
#[test]
fn customers_that_flood_are_served_alike_in_each_period() {
    for seed in 0..4 {
        let fleet = floods(seed);
        let ratio = worst_ratio(&fleet);
        println!("seed {seed}: {ratio:.2}");
        assert!(ratio >= 0.5, "seed {seed}: {ratio}");
    }
}
