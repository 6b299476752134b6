//! Explanations as tables.

use std::io::{self, Write};

use super::{Answer, Router, Step, Told, Unknown, Why};
use crate::table::{self, cell};

/// Prints what the routers told.
///
/// # Errors
/// The output can't be written.
pub fn print(routers: &[Router], out: &mut dyn Write) -> io::Result<()> {
    for (number, router) in routers.iter().enumerate() {
        if number > 0 {
            writeln!(out)?;
        }
        match &router.answer {
            Answer::Known(told) => told_by(told, out)?,
            Answer::Unknown(unknown) => unknown_to(unknown, out)?,
            Answer::Unavailable { cause } => {
                writeln!(out, "{}: unavailable: {cause}", router.address)?;
            }
        }
    }
    Ok(())
}

fn unknown_to(unknown: &Unknown, out: &mut dyn Write) -> io::Result<()> {
    let instance = &unknown.instance;
    match (unknown.unknown, &unknown.router) {
        (Why::OtherRouter, Some(router)) => writeln!(out, "{instance}: router {router} has it"),
        (Why::OtherRouter, None) => writeln!(out, "{instance}: another router has it"),
        (Why::EarlierRun, _) => {
            writeln!(out, "{instance}: it came before this router's last start")
        }
        (Why::NoRecord, _) => writeln!(
            out,
            "{instance}: no record; it was refused at the edge, or its records were overwritten"
        ),
        (Why::NoId, _) => writeln!(out, "{instance}: this is no request's id"),
        (Why::NoSuchName, _) => writeln!(out, "{instance}: no such name in the configuration"),
    }
}

fn told_by(told: &Told, out: &mut dyn Write) -> io::Result<()> {
    head(told, out)?;
    if !told.accounts.is_empty() {
        accounts(told, out)?;
    }
    if !told.targets.is_empty() {
        writeln!(out, "targets that could run it:")?;
    }
    let targets = told.target.iter().chain(&told.targets);
    let targets: Vec<_> = targets.map(target).collect();
    if !targets.is_empty() {
        let head = [
            "TARGET",
            "OWNER",
            "SLOTS",
            "HELD HERE",
            "BUSY HERE",
            "STATE",
        ];
        table::print(head, &targets, out)?;
    }
    steps(&told.steps, out)
}

fn head(told: &Told, out: &mut dyn Write) -> io::Result<()> {
    let instance = &told.instance;
    let count = |count: Option<u64>| count.unwrap_or(0);
    if let Some(request) = &told.request {
        let stage = told.stage.as_deref().unwrap_or("known");
        write!(out, "{instance}: request {request}: {stage}")?;
        if let Some(age) = told.age_ms {
            write!(out, " since {}", seconds(age))?;
        }
        return writeln!(out);
    }
    let running = count(told.running);
    if let Some(customer) = &told.customer {
        let waiting = count(told.waiting);
        write!(
            out,
            "{instance}: customer {customer}: {waiting} waiting, {running} running"
        )?;
        if let Some(oldest) = told.oldest_waiting_ms {
            write!(out, ", the oldest waits since {}", seconds(oldest))?;
        }
        return writeln!(out);
    }
    let name = told.target.as_ref().map_or("", |target| &*target.name);
    writeln!(
        out,
        "{instance}: target {name}: {running} running from here"
    )
}

fn accounts(told: &Told, out: &mut dyn Write) -> io::Result<()> {
    let rows = told.accounts.iter().map(|account| {
        [
            account.pool.to_string(),
            account.share.to_string(),
            account.service_units.to_string(),
            account.queued.to_string(),
        ]
    });
    let rows: Vec<_> = rows.collect();
    let head = ["COMPETITION", "SHARE", "SERVICE UNITS", "WAITING HERE"];
    table::print(head, &rows, out)
}

fn target(target: &super::Target) -> [String; 6] {
    [
        target.name.to_string(),
        cell(target.owner.as_ref()),
        target.slots.to_string(),
        target.held.to_string(),
        target.busy.to_string(),
        if target.leaving { "leaving" } else { "serving" }.to_owned(),
    ]
}

fn steps(steps: &[Step], out: &mut dyn Write) -> io::Result<()> {
    if steps.is_empty() {
        return writeln!(out, "no steps on record");
    }
    let head = [
        "AT", "AFTER", "REQUEST", "CUSTOMER", "STEP", "ATTEMPT", "TARGET", "DETAIL",
    ];
    let rows: Vec<_> = steps.iter().map(step).collect();
    table::print(head, &rows, out)
}

fn step(step: &Step) -> [String; 8] {
    let units = step.units.map(|units| format!("{units} units"));
    let details = [&step.service, &step.reason, &step.end, &step.verdict];
    let details = details.into_iter().flatten().map(ToString::to_string);
    let details: Vec<String> = details.chain(units).collect();
    let detail = (!details.is_empty()).then(|| details.join(", "));
    [
        seconds(step.at_ms),
        seconds(step.after_ms),
        step.request.to_string(),
        step.customer.to_string(),
        step.step.to_string(),
        cell(step.attempt.as_ref()),
        cell(step.target.as_ref()),
        cell(detail.as_ref()),
    ]
}

/// Milliseconds as seconds.
fn seconds(millis: u64) -> String {
    format!("{}.{:03} s", millis / 1000, millis % 1000)
}
