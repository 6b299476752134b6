//! How a demonstration is written.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::{Deployment, Fleet, Sample};
use crate::load::tally::{Count, Failure, Tally};

/// Widest bar, in characters.
const BAR: f64 = 30.0;

/// Writes where everything listens and a call to try.
pub(super) fn addresses(
    out: &mut dyn Write,
    deployment: Deployment,
    fleet: &Fleet,
) -> io::Result<()> {
    writeln!(out, "log            http://{}", fleet.log.address())?;
    writeln!(out, "instance list  http://{}", fleet.instances.address())?;
    for router in &fleet.routers {
        let (callers, operators) = (router.callers_address(), router.operators_address());
        writeln!(
            out,
            "router         http://{callers}  operators http://{operators}"
        )?;
    }
    for (name, server) in &fleet.targets {
        writeln!(out, "{name:<14} http://{}", server.address())?;
    }
    let (Some(customer), Some(router)) = (fleet.config.customers.first(), fleet.routers.first())
    else {
        return Ok(());
    };
    let service = deployment.quick();
    let models = fleet.config.service(service).map(|service| &service.models);
    let model = models.and_then(|models| models.first());
    let body = serde_json::json!({
        "model": model,
        "stream": true,
        "messages": [{"role": "user", "content": "Why? [[tokens=8]]"}],
    });
    writeln!(out, "\nTry:")?;
    writeln!(
        out,
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer key-{}' \
         -H 'x-dunlinward-service: {service}' -d '{body}'\n",
        router.callers_address(),
        customer.name,
    )
}

/// Writes how things stand.
pub(super) fn live(
    out: &mut dyn Write,
    tallies: &[Tally],
    sample: &Sample,
    time: Duration,
) -> io::Result<()> {
    writeln!(
        out,
        "{:5.1} s  slots {}/{} ({:.0} %)  waiting: routers {}, engines {}  control {:.0} B/s a router",
        time.as_secs_f64(),
        sample.running,
        sample.slots,
        100.0 * sample.use_now(),
        sample.queued,
        sample.inside,
        sample.control_now(),
    )?;
    let most = tallies.iter().map(per_share).fold(1.0, f64::max);
    for tally in tallies {
        writeln!(
            out,
            "  {:<24} share {:>3}  tokens {:>8}  per share {:>8.0}  {}",
            tally.name,
            tally.share,
            tally.tokens,
            per_share(tally),
            bar(per_share(tally) / most),
        )?;
    }
    writeln!(out)
}

/// Writes what came of it. Service counts while the load lasted, what callers
/// got also counts the calls that ended after it.
pub(super) fn summary(
    out: &mut dyn Write,
    flooder: &str,
    under_load: &[Tally],
    tallies: &[Tally],
    sample: &Sample,
) -> io::Result<()> {
    writeln!(out, "Summary")?;
    let least = under_load.iter().map(per_share).fold(f64::MAX, f64::min);
    let most = under_load.iter().map(per_share).fold(0.0, f64::max);
    let used = 100.0 * sample.use_mean();
    let control = sample.control_mean();
    writeln!(out, "  tokens per share: least {least:.0}, most {most:.0}")?;
    writeln!(out, "  slots in use, mean: {used:.1} %")?;
    writeln!(
        out,
        "  control traffic, mean: {control:.0} B/s a router, both ways"
    )?;
    let (flood, others): (Vec<&Tally>, Vec<&Tally>) =
        tallies.iter().partition(|tally| &*tally.name == flooder);
    writeln!(out, "  {flooder}, which floods:")?;
    outcome(out, &flood)?;
    writeln!(out, "  all others:")?;
    outcome(out, &others)
}

/// Writes what some customers got.
fn outcome(out: &mut dyn Write, tallies: &[&Tally]) -> io::Result<()> {
    let mut works: BTreeMap<&Arc<str>, Count> = BTreeMap::new();
    for (work, count) in tallies.iter().flat_map(|tally| &tally.works) {
        works.entry(work).or_default().add(count);
    }
    for (work, count) in works {
        writeln!(out, "    {work}: {} whole", count.whole)?;
        times(out, "time to the answer", &count.latency)?;
        times(out, "time to the first token", &count.first_token)?;
        for (failure, number) in &count.failed {
            writeln!(out, "      {number} {}", describe(failure))?;
        }
    }
    let started: u64 = tallies.iter().map(|tally| tally.started).sum();
    let late: u64 = tallies.iter().map(|tally| tally.late).sum();
    let ended: u64 = tallies.iter().map(|t| t.whole() + t.failed()).sum();
    writeln!(
        out,
        "    {started} calls started ({late} of them late), {ended} ended"
    )
}

fn describe(failure: &Failure) -> String {
    match failure {
        Failure::Refused(reason) => format!("refused: {reason}"),
        Failure::Unanswered => "without an answer".into(),
        Failure::Broken => "broke off".into(),
        Failure::Wrong => "got a wrong answer".into(),
        Failure::Abandoned => "abandoned at the end".into(),
    }
}

/// Writes quantiles in milliseconds.
#[expect(clippy::cast_precision_loss, reason = "microseconds of short times")]
fn times(out: &mut dyn Write, what: &str, histogram: &Histogram<u64>) -> io::Result<()> {
    if histogram.is_empty() {
        return Ok(());
    }
    let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    let (half, most, all) = (millis(0.5), millis(0.99), millis(1.0));
    writeln!(
        out,
        "      {what}: p50 {half:.0} ms, p99 {most:.0} ms, max {all:.0} ms"
    )
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn per_share(tally: &Tally) -> f64 {
    tally.tokens as f64 / f64::from(tally.share.max(1))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the length of a bar"
)]
fn bar(part: f64) -> String {
    "#".repeat((part * BAR).round() as usize)
}
