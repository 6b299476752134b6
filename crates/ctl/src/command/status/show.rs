//! The status as tables.
//!
//! Routers see shares, owners and accounts alike unless something is wrong, so
//! the tables of customers and targets have one row each for the whole fleet.
//! Where routers name different owners, the row names them all.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::sync::Arc;

use super::{Accepted, Answer, Report, Router, Status};
use crate::table::{self, NONE, cell};

/// Prints `status` as tables.
///
/// # Errors
/// The output can't be written.
pub fn print(status: &Status, out: &mut dyn Write) -> io::Result<()> {
    accepted(&status.log, out)?;
    if status.routers.is_empty() {
        return Ok(());
    }
    let head = [
        "ROUTER",
        "INSTANCE",
        "FAILURE DOMAIN",
        "REVISION",
        "STATE",
        "REQUESTS",
    ];
    let rows: Vec<_> = status.routers.iter().map(router).collect();
    table::print(head, &rows, out)?;
    let mut reports: Vec<&Report> = status.routers.iter().filter_map(reached).collect();
    reports.sort_by_key(|report| report.revision);
    customers(&reports, out)?;
    targets(&reports, out)?;
    instances(&reports, out)
}

fn accepted(accepted: &Accepted, out: &mut dyn Write) -> io::Result<()> {
    match accepted {
        Accepted::Accepted {
            revision,
            author,
            fleet,
        } => writeln!(out, "accepted: revision {revision} of {fleet} by {author}"),
        Accepted::Nothing => writeln!(out, "accepted: nothing yet"),
        Accepted::Untold => writeln!(out, "accepted: unknown, the log no longer tells"),
        Accepted::Unavailable { cause } => writeln!(out, "accepted: unknown: {cause}"),
    }
}

fn reached(router: &Router) -> Option<&Report> {
    match &router.answer {
        Answer::Reached(report) => Some(report),
        Answer::Unavailable { .. } => None,
    }
}

fn router(router: &Router) -> [String; 6] {
    let address = router.address.to_string();
    let none = || NONE.to_owned();
    match &router.answer {
        Answer::Reached(report) => [
            address,
            report.instance.to_string(),
            report.failure_domain.to_string(),
            report
                .revision
                .map_or_else(|| "none".to_owned(), |revision| revision.to_string()),
            if report.draining {
                "draining"
            } else {
                "serving"
            }
            .to_owned(),
            report.requests.to_string(),
        ],
        Answer::Unavailable { cause } => {
            let state = format!("unavailable: {cause}");
            [address, none(), none(), none(), state, none()]
        }
    }
}

/// A customer over all routers; values of the newest revision win.
#[derive(Default)]
struct Account {
    share: u32,
    service: i64,
    queued: u32,
}

fn customers(reports: &[&Report], out: &mut dyn Write) -> io::Result<()> {
    let mut accounts: BTreeMap<(&str, &str), Account> = BTreeMap::new();
    for customer in reports.iter().flat_map(|report| &report.customers) {
        let account = accounts
            .entry((&customer.pool, &customer.name))
            .or_default();
        account.share = customer.share;
        account.service = account.service.max(customer.service_units);
        account.queued += customer.queued;
    }
    if accounts.is_empty() {
        return Ok(());
    }
    let rows = accounts.iter().map(|((pool, name), account)| {
        [
            (*name).to_owned(),
            (*pool).to_owned(),
            account.share.to_string(),
            account.service.to_string(),
            account.queued.to_string(),
        ]
    });
    let rows: Vec<_> = rows.collect();
    writeln!(out)?;
    table::print(
        [
            "CUSTOMER",
            "COMPETITION",
            "SHARE",
            "SERVICE UNITS",
            "WAITING",
        ],
        &rows,
        out,
    )
}

/// A target over all routers.
#[derive(Default)]
struct Whole<'a> {
    domain: &'a str,
    owners: BTreeSet<Arc<str>>,
    slots: u32,
    held: u32,
    busy: u32,
    leaving: bool,
}

fn targets(reports: &[&Report], out: &mut dyn Write) -> io::Result<()> {
    let mut all: BTreeMap<&str, Whole<'_>> = BTreeMap::new();
    for target in reports.iter().flat_map(|report| &report.targets) {
        let whole = all.entry(&target.name).or_default();
        whole.domain = &target.failure_domain;
        whole.owners.extend(target.owner.clone());
        whole.slots = target.slots;
        whole.held += target.held;
        whole.busy += target.busy;
        whole.leaving = target.leaving;
    }
    if all.is_empty() {
        return Ok(());
    }
    let rows = all.iter().map(|(name, whole)| {
        let owners: Vec<&str> = whole.owners.iter().map(|owner| &**owner).collect();
        let owners = (!owners.is_empty()).then(|| owners.join("/"));
        [
            (*name).to_owned(),
            whole.domain.to_owned(),
            cell(owners.as_ref()),
            whole.slots.to_string(),
            whole.held.to_string(),
            whole.busy.to_string(),
            if whole.leaving { "leaving" } else { "serving" }.to_owned(),
        ]
    });
    let rows: Vec<_> = rows.collect();
    let head = [
        "TARGET",
        "FAILURE DOMAIN",
        "OWNER",
        "SLOTS",
        "HELD",
        "BUSY",
        "STATE",
    ];
    writeln!(out)?;
    table::print(head, &rows, out)
}

/// Who sees whom, and who suspects whom.
fn instances(reports: &[&Report], out: &mut dyn Write) -> io::Result<()> {
    let seeing = reports.iter().filter(|report| !report.instances.is_empty());
    let rows = seeing.map(|report| {
        let names = |which: fn(&super::Instance) -> bool| {
            let found = report.instances.iter().filter(|one| which(one));
            let found: Vec<&str> = found.map(|one| &*one.name).collect();
            let joined = (!found.is_empty()).then(|| found.join(","));
            cell(joined.as_ref())
        };
        [
            report.instance.to_string(),
            names(|one| one.live),
            names(|one| one.suspected),
            names(|one| one.leaving),
        ]
    });
    let rows: Vec<_> = rows.collect();
    if rows.is_empty() {
        return Ok(());
    }
    writeln!(out)?;
    table::print(
        ["INSTANCE", "SEES ALIVE", "SUSPECTS", "LEAVING"],
        &rows,
        out,
    )
}
