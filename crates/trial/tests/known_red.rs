//! Scripts that fail for faults which stand in `KNOWN-RED.txt`.
//!
//! They are a program of their own: a failed snapshot is counted by every glob that
//! runs at the same time in one process.

mod play;

use std::path::Path;

use play::check;

#[test]
fn disputed_owner() {
    check(Path::new("tests/scenarios/disputed-owner.txt"));
}

#[test]
fn lossy_accounts() {
    check(Path::new("tests/scenarios/accounts-lossy.txt"));
}
