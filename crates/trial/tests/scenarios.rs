//! Runs every script under `scenarios`, and compares what it says.

use std::fs;
use std::path::Path;

use dunlinward_trial::scenario::play;

fn check(path: &Path) {
    let text = fs::read_to_string(path).expect("the script is there");
    let outcome = play::play(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    insta::with_settings!({snapshot_path => "scenarios", prepend_module_to_snapshot => false, omit_expression => true}, {
        insta::assert_snapshot!("expected", outcome.text);
    });
    assert_eq!(outcome.failed, 0, "{}\n{}", path.display(), outcome.text);
}

#[test]
fn links() {
    insta::glob!("scenarios/links-*.txt", check);
}

#[test]
fn routers() {
    insta::glob!("scenarios/routers-*.txt", check);
}

#[test]
fn targets() {
    insta::glob!("scenarios/targets-*.txt", check);
}

#[test]
fn settings() {
    insta::glob!("scenarios/settings-*.txt", check);
}

#[test]
fn load() {
    insta::glob!("scenarios/load-*.txt", check);
}
