//! The metrics of a started router and the page that lists them.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::world::{World, agent, metric, reply, request, send, wait};

const PAGE: &str = include_str!("../../../../docs/operators/metrics.md");

/// Name and kind of each metric that the page's table lists.
fn listed() -> BTreeSet<(String, String)> {
    let rows = PAGE
        .lines()
        .filter(|line| line.starts_with("| `dunlinward_"));
    let cells = rows.map(|row| row.split('|').map(|cell| cell.trim().replace('`', "")));
    let cells = cells.map(Iterator::collect::<Vec<_>>);
    cells
        .map(|cells| (cells[1].clone(), cells[2].clone()))
        .collect()
}

#[test]
fn the_page_lists_what_a_router_exports() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/portal/receipts");
    assert_eq!(send(asked.body("paper".to_owned()).unwrap()).status, 200);
    wait("an attempt counted", || {
        metric(
            &router,
            "dunlinward_attempts_total{end=\"whole\",target=\"portal-0\"}",
        ) == 1
    });
    let url = format!("http://{}/metrics", router.operators_address());
    let text = reply(agent().get(url).call().unwrap()).body;
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported: BTreeSet<_> = types
        .filter_map(|line| line.split_once(' '))
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect();
    let listed = listed();
    let missing: Vec<_> = exported.difference(&listed).collect();
    let surplus: Vec<_> = listed.difference(&exported).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
    assert!(surplus.is_empty(), "not exported: {surplus:?}");
}

/// A slot has to be granted before a request runs.
#[test]
fn slots_that_move_are_counted() {
    let world = World::new().with_plain(Duration::from_millis(1));
    let router = world.router(world.settings("r1"));
    let asked = request(&router, "POST", "/portal/receipts");
    assert_eq!(send(asked.body("paper".to_owned()).unwrap()).status, 200);
    let granted = metric(&router, "dunlinward_granted_slots_total");
    assert!(granted >= 1, "{granted} slots granted");
    assert!(metric(&router, "dunlinward_wants_total") >= 1);
}
