//! Where requests of drawn bindings go, in drawn deployments of some regions.

use dunlinward_dispatch::region::{Region, Regions};

use super::*;

const START: Duration = Duration::from_secs(1);

const DOMAINS: [(&str, &str); 5] = [
    ("a", "one"),
    ("b", "one"),
    ("c", "two"),
    ("d", "two"),
    ("e", "three"),
];

/// Names that bindings draw from, one of which no region has.
const NAMES: [&str; 4] = ["one", "two", "three", "nowhere"];

fn drawn(random: &mut Pcg64Mcg) -> Vec<Arc<str>> {
    let names = NAMES.iter().filter(|_| random.random_bool(0.4));
    names.map(|it| (*it).into()).collect()
}

/// What a binding allows, read name by name.
fn naive(binding: &[Arc<str>], region: &str) -> bool {
    binding.is_empty() || binding.iter().any(|it| it.as_ref() == region)
}

#[test]
fn no_request_goes_to_a_region_that_its_route_or_customer_is_not_bound_to() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut elsewhere = 0;
    for _ in 0..3_000 {
        let domains = DOMAINS.map(|(domain, region)| (domain.into(), region.into()));
        let regions = Arc::new(Regions::new(domains));
        let (own, own_region) = DOMAINS[random.random_range(0..DOMAINS.len())];
        let settings = Settings {
            domain: own.into(),
            regions: regions.clone(),
            cell_targets: random.random_range(1..6),
            ..settings()
        };
        let mut state = State::new(&settings, Peer(1));
        let mut listed = targets();
        for target in &mut listed {
            target.domain = DOMAINS[random.random_range(0..DOMAINS.len())].0.into();
        }
        state.registry.apply_list(listed.clone(), START);
        let (route, customer) = (drawn(&mut random), drawn(&mut random));
        let allowed = regions.allowed(&route).and(regions.allowed(&customer));
        let admits = |region: &str| naive(&route, region) && naive(&customer, region);
        let region_of = |target: &Target| {
            let found = DOMAINS.iter().find(|it| it.0 == target.domain.as_ref());
            found.unwrap().1
        };
        let prefix = Prefix(random.random());
        let home = state.home("pool", prefix, allowed, START);
        let served = listed.iter().any(|it| admits(region_of(it)));
        assert_eq!(home.is_some(), served);
        let Some(home) = home else {
            continue;
        };
        let near = listed.iter().any(|it| region_of(it) == own_region);
        if near && admits(own_region) {
            assert_eq!(home.region, regions.of(own), "its own region comes first");
        }
        let other = state.home_elsewhere(home, prefix, None, allowed, START);
        elsewhere += usize::from(other.is_some());
        assert_ne!(other.map(|it| it.region), Some(home.region));
        for cell in [Some(home), other].into_iter().flatten() {
            for target in state.registry.targets_of_cell(cell) {
                assert!(admits(region_of(target)), "{route:?} {customer:?}");
            }
        }
        // The last look before a request is sent knows the same.
        for target in &listed {
            let barred = state.barred(target, allowed, START).is_some();
            assert_eq!(barred, !admits(region_of(target)));
        }
    }
    assert!(elsewhere > 300, "{elsewhere}");
}

#[test]
fn a_domain_of_which_no_region_was_told_serves_only_what_is_not_bound() {
    let regions = Regions::new([("a".into(), "one".into())]);
    let bound = regions.allowed(&["one".into()]);
    assert!(bound.admits(regions.of("a")));
    assert!(!bound.admits(regions.of("z")));
    assert!(Constraint::ANY.admits(regions.of("z")));
    assert_eq!(Regions::default().of("z"), Region::default());
}
