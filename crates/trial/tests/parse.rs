//! Scripts that cannot be read say where and why.

use dunlinward_trial::scenario::parse::parse;

const BAD: &[&str] = &[
    "",
    "# only a comment\n\nrun 3s",
    "fleet routers=3\nrun",
    "fleet routers=0\nrun 3s",
    "fleet routers=x",
    "fleet colour=red",
    "fleet\nrun 3",
    "fleet\nrun -3s",
    "fleet\nrun 3h",
    "fleet\nrun 10s\n\nat 5s crash router-1",
    "fleet\nat 5s explode router-1",
    "fleet routers=3\nat 5s crash router-3",
    "fleet\nat 5s crash target-1",
    "fleet\nat 5s crash router-1 router-2",
    "fleet\nat 5s cut router-1",
    "fleet\nat 5s list some",
    "fleet\nat 5s list without router-1,router-99",
    "fleet\nat 5s net loss=many",
    "fleet\nat 5s call a router-1 customer-1 price=3",
    "fleet\nexpect beauty = 1",
    "fleet\nexpect lost < 1",
    "fleet\nexpect lost =",
    "fleet\nprint runs target-99",
    "fleet\nwait 3s",
];

#[test]
fn errors_name_the_line() {
    let told: Vec<String> = BAD
        .iter()
        .map(|text| match parse(text) {
            Ok(_) => format!("{text:?}\n  was read"),
            Err(error) => format!("{text:?}\n  {error}"),
        })
        .collect();
    insta::assert_snapshot!(told.join("\n"));
}

#[test]
fn a_script_is_read_whole() {
    let text = "# a fleet\nfleet routers=2 targets=2 domains=1 repeatable=3 deadline=1m\n\n\
        at 100ms cut way router-0 router-1 # one way\nat 2s list without router-0 to router-1\n\
        at 2s call a router-1 customer-0 cost=7 repeatable deadline=2.5s\nrun 1m\n\
        expect end a = whole\nexpect gap <= bound\nexpect idle <= 2s\nprint refused/draining\n";
    let script = parse(text).expect("the script is good");
    insta::assert_debug_snapshot!((script.repeatable_every, script.deadline, script.lines));
}
