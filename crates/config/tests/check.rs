//! Reports on bad files.

use dunlinward_config::{Config, check, file::wire_key};

#[test]
fn reports() {
    insta::glob!("cases/*.toml", |path| {
        let text = std::fs::read_to_string(path).unwrap();
        let checked = check::run(&text);
        assert_eq!(checked.config.is_none(), checked.report.has_errors());
        insta::assert_snapshot!(checked.report.to_string());
    });
}

/// Two names whose hashes agree in the low 32 bits, found by search.
fn colliding_names() -> (String, String) {
    let mut names = std::collections::HashMap::new();
    for number in 0..1_000_000 {
        let name = format!("customer-{number}");
        if let Some(other) = names.insert(wire_key(&name), name.clone()) {
            return (other, name);
        }
    }
    panic!("a million names collide in 32 bits");
}

#[test]
fn equal_wire_keys_are_refused() {
    let (first, second) = colliding_names();
    let good = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/config/dansk-eksamensforum.toml"
    ))
    .unwrap();
    let text = good.replace("\"aarhus-gymnasium\"", &format!("{first:?}"));
    assert!(Config::parse(&text).is_ok());
    let text = text.replace("\"aalborg-katedralskole\"", &format!("{second:?}"));
    insta::assert_snapshot!(Config::parse(&text).unwrap_err().to_string());
}
