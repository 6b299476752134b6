//! The demonstration at its smallest: one fleet of each deployment.
#![cfg(feature = "fleet")]

use std::time::Duration;

use dunlinward_standin::demo::{self, Deployment, Settings};
use dunlinward_standin::load::tally::Failure;

/// Whatever is refused, what is answered must be whole and the caller's own.
fn check(deployment: Deployment) {
    let settings = Settings {
        deployment,
        time: Duration::from_secs(3),
        routers: 3,
        seed: 1,
    };
    let mut out = Vec::new();
    let summary = demo::run(&settings, &mut out).unwrap();
    let text = String::from_utf8(out).unwrap();
    assert!(text.contains("curl -N http://127.0.0.1:"), "{text}");
    assert_eq!(summary.tallies.len(), 16);
    for tally in &summary.tallies {
        assert!(tally.whole() > 0, "{} got nothing\n{text}", tally.name);
        let failed = tally.works.values().flat_map(|count| count.failed.keys());
        for failure in failed {
            let harmless = matches!(failure, Failure::Refused(_) | Failure::Abandoned);
            assert!(harmless, "{}: {failure:?}\n{text}", tally.name);
        }
    }
}

#[test]
fn dansk_eksamensforum_is_served() {
    check(Deployment::Dansk);
}

#[test]
fn chaophraya_tickworks_is_served() {
    check(Deployment::Tickworks);
}
