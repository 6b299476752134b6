//! Plays one script and compares what it says with the snapshot beside it.

use std::fs;
use std::path::Path;

use dunlinward_trial::scenario::play;

/// Fails when the output differs from the snapshot or an expectation fails.
pub fn check(path: &Path) {
    let text = fs::read_to_string(path).expect("the script is there");
    let outcome = play::play(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let name = path.file_name().expect("a file").to_string_lossy();
    insta::with_settings!({snapshot_suffix => name, snapshot_path => "../scenarios", prepend_module_to_snapshot => false, omit_expression => true}, {
        insta::assert_snapshot!("expected", outcome.text);
    });
    assert_eq!(outcome.failed, 0, "{}\n{}", path.display(), outcome.text);
}
