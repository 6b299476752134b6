//! The story of one request from the logs of two routers.

use std::ffi::OsString;
use std::path::PathBuf;

use dunlinward_ctl::exit::Exit;

const LOG: &str = r#"
  1.2 r-1 {"at":100.2,"node":"r-1","event":"sent","id":"q1","target":"i-1","hit":true}
{"at":100.9,"node":"r-1","event":"target_ejected","target":"i-1","outcome":"Bad"}
{"at":100.9,"node":"r-1","event":"target_ejected","target":"i-2","outcome":"Bad"}
{"at":100.9,"node":"r-2","event":"target_ejected","target":"i-1","outcome":"Bad"}
{"at":101.0,"node":"r-1","event":"sent","id":"q2","target":"i-1"}
not a line {"at":
{"at":100.5,"node":"r-1","event":"store_lost","view":"targets"}
{"at":100.1,"node":"r-1","event":"attempt_failed","id":"q1","target":"i-3"}
{"at":101.1,"node":"r-1","event":"broken_off","id":"q1","reason":"broken_off","last_event":7}
{"at":109.1,"node":"r-1","event":"store_regained","view":"targets"}
"#;

fn story(id: &str) -> (Exit, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{id}.log"));
    std::fs::write(&path, LOG).unwrap();
    let args = ["dunlinctl".into(), "story".into(), id.into(), path.into()];
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = dunlinward_ctl::run(args.map(|it: OsString| it), &mut out, &mut err);
    assert!(err.is_empty());
    (exit, String::from_utf8(out).unwrap())
}

#[test]
fn a_request_is_told_in_order_with_what_explains_it() {
    let (exit, out) = story("q1");
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(out);
}

#[test]
fn an_unknown_request_is_not_found() {
    assert_eq!(story("q9"), (Exit::NotFound, String::new()));
}
