//! Demand: which lanes have requests waiting, and what was reported to owners.

use std::time::Duration;

use super::{
    BUSY_WIDEN_FACTOR, DEMAND_TIMEOUT, Demand, Holder, INITIAL_OWNERS, MAX_OWNERS, Remainder,
    Report, WITHDRAW_DELAY,
};
use crate::key::Key;
use crate::message::{self, Backlog, Message};
use crate::queue::Lane;
use crate::settings::Settings;
use crate::table::Table;
use crate::time::Instant;

impl Holder {
    /// Number of owners to which the demand of a lane may be reported now, by the time
    /// that it has waited without a request being sent. A slot in use here will be free
    /// soon; while all targets are busy (`full`), waiting for it costs nothing, so the
    /// report is delayed.
    #[must_use]
    pub fn owner_count(&self, now: Instant, lane: Lane, settings: &Settings, full: bool) -> usize {
        let Some(since) = self.waiting_since.get(&lane) else {
            return 0;
        };
        let busy = self.busy() > 0;
        let delayed = busy && full;
        let step = if delayed {
            settings.widen_interval * BUSY_WIDEN_FACTOR
        } else {
            settings.widen_interval
        };
        let micros = step.as_micros().max(1);
        let steps = (now.since(*since).as_micros() / micros).min(8);
        if steps == 0 && delayed {
            return 0;
        }
        let shift = u32::try_from(steps).unwrap_or(8);
        (INITIAL_OWNERS << shift).min(MAX_OWNERS)
    }

    /// Records which lanes have requests waiting.
    pub fn record_waiting(&mut self, now: Instant, lanes: &[Lane]) {
        self.waiting_since.retain(|lane, _| lanes.contains(lane));
        for lane in lanes {
            self.waiting_since.entry(*lane).or_insert(now);
        }
    }

    /// Records that a request of a lane was sent.
    pub fn record_dispatch(&mut self, now: Instant, lane: Lane) {
        if let Some(since) = self.waiting_since.get_mut(&lane) {
            *since = now;
        }
    }

    /// Slots in use, of all targets.
    fn busy(&self) -> u32 {
        self.holdings.values().map(|holding| holding.busy).sum()
    }

    /// Reports demand to one owner if it differs enough from the last report and that
    /// is older than `pause`.
    pub fn report_demand(
        &mut self,
        now: Instant,
        table: &Table,
        pause: Duration,
        owner: Key,
        demands: &[Demand],
        outbox: &mut Vec<(Key, Message)>,
    ) {
        if demands.is_empty() && !self.reports.contains_key(&owner) {
            return;
        }
        let report = self.reports.entry(owner).or_default();
        let early = report.sent_at.is_some_and(|at| now.since(at) < pause);
        if early || !is_outdated(now, report, demands) {
            return;
        }
        self.stamp += 1;
        self.counts.demands += 1;
        report.stamp = self.stamp;
        report.sent_at = Some(now);
        report.active_at = Some(now);
        report.rows = demands
            .iter()
            .map(|demand| {
                let remainder = Remainder {
                    count: demand.count,
                };
                ((demand.lane, demand.customer), remainder)
            })
            .collect();
        let message = message::Demand {
            stamp: report.stamp,
            backlogs: demands
                .iter()
                .map(|demand| backlog(table, demand))
                .collect(),
        };
        outbox.push((owner, Message::Demand(message)));
    }

    /// Owners to which demand was reported.
    #[must_use]
    pub fn reported_owners(&self) -> Vec<Key> {
        self.reports
            .iter()
            .filter(|(_, report)| !report.rows.is_empty())
            .map(|(owner, _)| *owner)
            .collect()
    }
}

/// Whether demand must be reported again: there is demand that was not reported or
/// has been granted in full, a backlog is four times as large or as small as the
/// remainder of the report, or no grant has come for [`DEMAND_TIMEOUT`]. Demand that
/// has ended is withdrawn after [`WITHDRAW_DELAY`]; until then a slot granted for it
/// is returned unused.
fn is_outdated(now: Instant, report: &Report, demands: &[Demand]) -> bool {
    let old = report
        .sent_at
        .is_some_and(|at| now.since(at) >= WITHDRAW_DELAY);
    let ended = report
        .rows
        .iter()
        .filter(|(_, remainder)| remainder.count > 0)
        .any(|(key, _)| {
            !demands
                .iter()
                .any(|demand| (demand.lane, demand.customer) == *key)
        });
    let unanswered = report
        .active_at
        .is_some_and(|at| now.since(at) >= DEMAND_TIMEOUT);
    (ended && old)
        || (unanswered && !demands.is_empty())
        || demands.iter().any(|demand| {
            let left = report
                .rows
                .get(&(demand.lane, demand.customer))
                .map_or(0, |remainder| remainder.count);
            left == 0 || demand.count >= left.saturating_mul(4) || demand.count * 4 <= left
        })
}

fn backlog(table: &Table, demand: &Demand) -> Backlog {
    Backlog {
        service: table.services[demand.lane.service.row()].key,
        model: demand.lane.model.map(|model| table.model_key(model)),
        customer: table.customers[demand.customer.row()].key,
        count: demand.count,
        cost: demand.cost,
    }
}
