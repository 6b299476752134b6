//! Runs every script under `scenarios`, and compares what it says.

mod play;

use play::check;

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
