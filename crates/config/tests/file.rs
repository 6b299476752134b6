//! The ready files, and what a parsed configuration answers.

use std::net::SocketAddr;

use dunlinward_config::{Config, check, diff, file::Class};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const FILES: [&str; 2] = [
    include_str!("../../../examples/config/dansk-eksamensforum.toml"),
    include_str!("../../../examples/config/chaophraya-tickworks.toml"),
];

fn parse(text: &str) -> Config {
    Config::parse(text).unwrap_or_else(|report| panic!("{report}"))
}

#[test]
fn ready_files_have_no_problems() {
    for text in FILES {
        let checked = check::run(text);
        assert_eq!(checked.report.problems(), []);
        let config = checked.config.unwrap();
        assert_eq!(config.fleet.failure_domains.len(), 3);
        assert_eq!((config.customers.len(), config.targets.len()), (16, 12));
        assert_eq!(config.targets_of(&config.services[0].name).count(), 9);
        assert_eq!(config.targets_of(&config.services[2].name).count(), 3);
    }
}

#[test]
fn a_written_file_reads_the_same() {
    for text in FILES {
        let config = parse(text);
        assert_eq!(parse(&config.to_text().unwrap()), config);
    }
}

#[test]
fn keys_of_the_ready_files_derive_from_the_names() {
    for text in FILES {
        let config = parse(text);
        for customer in &config.customers {
            let key = format!("key-{}", customer.name);
            assert_eq!(config.customer_of(&key), Some(customer));
        }
        assert_eq!(config.customer_of("key-"), None);
        assert_eq!(config.customer_of(""), None);
    }
}

#[test]
fn submissions_may_not_be_repeated() {
    let config = parse(FILES[0]);
    let portal = config.service("portal").unwrap();
    assert!(portal.is_repeatable("GET"));
    assert!(!portal.is_repeatable("POST"));
    let marking = config.service("marking").unwrap();
    assert!(marking.is_repeatable("POST"));
    assert!(!marking.is_repeatable("DELETE"));
    assert_eq!(marking.class, Class::Long);
}

#[test]
fn addresses_move() {
    let config = parse(FILES[0]);
    let mut port = 40_000;
    let moved = config.clone().with_addresses(|_| {
        port += 1;
        SocketAddr::from(([127, 0, 0, 1], port))
    });
    assert_eq!(moved.targets[11].address.port(), 40_012);
    assert_eq!(diff::changes(&config, &moved).len(), 12);
}

#[test]
fn changes_are_named() {
    let earlier = parse(FILES[0]);
    let text = FILES[0]
        .replace("gap_weight = 0.2", "gap_weight = 0.3")
        .replace("share = 40", "share = 20")
        .replace("drain_ms = 30000\n", "")
        .replace("repeatable = [\"GET\", \"HEAD\"]", "repeatable = [\"GET\"]")
        .replace("viborg-katedralskole", "vejle-katedralskole")
        .replace("name = \"portal-3\"", "name = \"portal-3\"\nleaving = true");
    let later = parse(&text);
    let changes = diff::changes(&earlier, &later);
    let lines: Vec<_> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(diff::changes(&later, &later), []);
}

/// Whatever stands in the file, it is judged, and what passes can be written and read again.
#[test]
fn damaged_files_are_judged() {
    const PIECES: [&str; 12] = [
        "[",
        "]",
        "\"",
        "=",
        "\n",
        "0",
        "-1",
        "[[target]]",
        "\\",
        "nan",
        "1e400",
        "ø",
    ];
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let (mut good, mut bad) = (0, 0);
    for round in 0..2000 {
        let mut text = FILES[round % 2].to_owned();
        for _ in 0..rng.random_range(1..4) {
            let mut at = rng.random_range(0..text.len());
            while !text.is_char_boundary(at) {
                at -= 1;
            }
            match rng.random_range(0..3) {
                0 => text.insert_str(at, PIECES[rng.random_range(0..PIECES.len())]),
                1 => text.truncate(at.max(1)),
                _ => drop(text.remove(at)),
            }
        }
        match Config::parse(&text) {
            Ok(config) => {
                assert_eq!(parse(&config.to_text().unwrap()), config);
                good += 1;
            }
            Err(report) => {
                let lines = text.lines().count() + 1;
                assert!(report.has_errors());
                let inside = |line| (1..=lines).contains(&line);
                assert!(
                    report.problems().iter().all(|problem| inside(problem.line)),
                    "{report}"
                );
                bad += 1;
            }
        }
    }
    assert!(good > 100 && bad > 100, "{good} good and {bad} bad");
}
