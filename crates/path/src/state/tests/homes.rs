//! Cells of requests with random region restrictions, in random deployments over several regions.

use dunlinward_dispatch::continuation::Binding;
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

/// Names in region restrictions, one of which is not a region.
const REGION_NAMES: [&str; 4] = ["one", "two", "three", "nowhere"];

/// A random restriction; empty if all regions are allowed.
fn random_restriction(random: &mut Pcg64Mcg) -> Vec<Arc<str>> {
    let names = REGION_NAMES.iter().filter(|_| random.random_bool(0.4));
    names.map(|it| (*it).into()).collect()
}

/// Whether a restriction allows a region, by comparison of names.
fn names_region(restriction: &[Arc<str>], region: &str) -> bool {
    restriction.is_empty() || restriction.iter().any(|it| it.as_ref() == region)
}

#[test]
fn requests_stay_in_the_regions_allowed_by_their_route_and_customer() {
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
        let (route, customer) = (
            random_restriction(&mut random),
            random_restriction(&mut random),
        );
        let allowed = regions.allowed(&route).and(regions.allowed(&customer));
        let admits = |region: &str| names_region(&route, region) && names_region(&customer, region);
        let region_of = |target: &Target| {
            let found = DOMAINS.iter().find(|it| it.0 == target.domain.as_ref());
            found.unwrap().1
        };
        let prefix = Prefix(random.random());
        let home = state.home("pool", prefix, allowed, Binding::Free, START);
        let has_target = listed.iter().any(|it| admits(region_of(it)));
        assert_eq!(home.is_some(), has_target);
        let Some(home) = home else {
            continue;
        };
        let own_has_target = listed.iter().any(|it| region_of(it) == own_region);
        if own_has_target && admits(own_region) {
            assert_eq!(
                home.region,
                regions.of(own),
                "the router's own region comes first"
            );
        }
        let other = state.home_elsewhere(home, prefix, None, allowed, Binding::Free, START);
        elsewhere += usize::from(other.is_some());
        assert_ne!(other.map(|it| it.region), Some(home.region));
        for cell in [Some(home), other].into_iter().flatten() {
            for target in state.registry.targets_of_cell(cell) {
                assert!(admits(region_of(target)), "{route:?} {customer:?}");
            }
        }
        // The check before a request is sent applies the same restrictions.
        for target in &listed {
            let barred = state.exclusion(target, allowed, START).is_some();
            assert_eq!(barred, !admits(region_of(target)));
        }
    }
    assert!(elsewhere > 300, "{elsewhere}");
}

#[test]
fn a_domain_without_a_configured_region_serves_only_unrestricted_requests() {
    let regions = Regions::new([("a".into(), "one".into())]);
    let restricted = regions.allowed(&["one".into()]);
    assert!(restricted.admits(regions.of("a")));
    assert!(!restricted.admits(regions.of("z")));
    assert!(Constraint::ANY.admits(regions.of("z")));
    assert_eq!(Regions::default().of("z"), Region::default());
}
