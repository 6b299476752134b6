//! What is asked for: which lanes wait, and what owners were told of them.

use std::time::Duration;

use super::{Demand, Desk, FIRST_WIDTH, Holder, LATE, STALE, Told, UNANSWERED, WIDTH};
use crate::key::Key;
use crate::message::{Ask, Message, Want};
use crate::queue::Lane;
use crate::settings::Settings;
use crate::table::Table;
use crate::time::Instant;

impl Holder {
    /// How many owners a lane may be told to now, judging by the time it has waited
    /// without a request of it being sent. With slots in use here one will be free
    /// soon; while all targets are busy, waiting for it costs nothing, and the lane
    /// is told late.
    #[must_use]
    pub fn width(&self, now: Instant, lane: Lane, settings: &Settings, full: bool) -> usize {
        let Some(since) = self.waiting_since.get(&lane) else {
            return 0;
        };
        let busy = self.busy() > 0;
        let patient = busy && full;
        let step = if patient {
            settings.widen * LATE
        } else {
            settings.widen
        };
        let micros = step.as_micros().max(1);
        let steps = (now.since(*since).as_micros() / micros).min(8);
        if steps == 0 && patient {
            return 0;
        }
        let shift = u32::try_from(steps).unwrap_or(8);
        (FIRST_WIDTH << shift).min(WIDTH)
    }

    /// Notes which lanes have work waiting.
    pub fn note_waiting(&mut self, now: Instant, lanes: &[Lane]) {
        self.waiting_since.retain(|lane, _| lanes.contains(lane));
        for lane in lanes {
            self.waiting_since.entry(*lane).or_insert(now);
        }
    }

    /// Notes that a request of a lane was sent.
    pub fn note_sent(&mut self, now: Instant, lane: Lane) {
        if let Some(since) = self.waiting_since.get_mut(&lane) {
            *since = now;
        }
    }

    fn busy(&self) -> u32 {
        self.holdings.values().map(|holding| holding.busy).sum()
    }

    /// Tells one owner what is wanted of it, when that differs enough and the last
    /// want is older than the pause.
    pub fn tell(
        &mut self,
        now: Instant,
        table: &Table,
        pause: Duration,
        owner: Key,
        demands: &[Demand],
        outbox: &mut Vec<(Key, Message)>,
    ) {
        if demands.is_empty() && !self.desks.contains_key(&owner) {
            return;
        }
        let desk = self.desks.entry(owner).or_default();
        let early = desk.at.is_some_and(|at| now.since(at) < pause);
        if early || !differs(now, desk, demands) {
            return;
        }
        self.stamp += 1;
        self.moved.wants += 1;
        desk.stamp = self.stamp;
        desk.at = Some(now);
        desk.proved = Some(now);
        desk.told = demands
            .iter()
            .map(|demand| {
                let told = Told {
                    count: demand.count,
                };
                ((demand.lane, demand.customer), told)
            })
            .collect();
        let want = Want {
            stamp: desk.stamp,
            asks: demands.iter().map(|demand| ask(table, demand)).collect(),
        };
        outbox.push((owner, Message::Want(want)));
    }

    /// Owners that were told that something is wanted.
    #[must_use]
    pub fn told(&self) -> Vec<Key> {
        self.desks
            .iter()
            .filter(|(_, desk)| !desk.told.is_empty())
            .map(|(owner, _)| *owner)
            .collect()
    }
}

/// Whether what is wanted differs much from what was told: something new, or a
/// backlog four times as large or as small. What is no longer wanted is told after
/// a while; until then a grant for it comes back unused. What gets no grant for a
/// while is told again.
fn differs(now: Instant, desk: &Desk, demands: &[Demand]) -> bool {
    let stale = desk.at.is_some_and(|at| now.since(at) >= STALE);
    let gone = desk
        .told
        .iter()
        .filter(|(_, told)| told.count > 0)
        .any(|(place, _)| {
            !demands
                .iter()
                .any(|demand| (demand.lane, demand.customer) == *place)
        });
    let unanswered = desk.proved.is_some_and(|at| now.since(at) >= UNANSWERED);
    (gone && stale)
        || (unanswered && !demands.is_empty())
        || demands.iter().any(|demand| {
            let told = desk
                .told
                .get(&(demand.lane, demand.customer))
                .map_or(0, |told| told.count);
            told == 0 || demand.count >= told.saturating_mul(4) || demand.count * 4 <= told
        })
}

fn ask(table: &Table, demand: &Demand) -> Ask {
    Ask {
        service: table.services[demand.lane.service.row()].key,
        model: demand.lane.model.map(|model| table.model_key(model)),
        customer: table.customers[demand.customer.row()].key,
        count: demand.count,
        cost: demand.cost,
    }
}
