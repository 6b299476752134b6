//! What follows from the time.

use std::net::SocketAddr;
use std::time::Duration;

use super::probe::{Due, Probe};
use super::update::{Kind, Outgoing, Status};
use super::{Effects, Membership, REMEMBERED, SUSPICION};

/// Routers that are asked to probe one that didn't answer.
const RELAYS: usize = 3;

/// Members that are probed before their turn in one interval at the most.
const URGENT: usize = 8;

/// Intervals without a packet from anyone after which a router passes nothing on: with twenty
/// packets a second, one loses ten in a row only if it is cut off or the others have ended.
const SILENT: u32 = 5;

/// Intervals after which unknown seeds and a router that has ended are tried again.
const TRIED: u64 = 10;

/// Intervals after the start at which seeds are asked for members: the others that start at the
/// same time, within 0.3 s, are known to them by the second.
const JOINS: [u64; 5] = [1, 3, 5, 8, 12];

impl Membership {
    /// Does what is due; `late` is how late this moment comes, in which answers could not be taken.
    pub fn tick(&mut self, now: Duration, late: Duration) -> Effects {
        let mut effects = Effects::default();
        self.ticks += 1;
        self.news.tick();
        if now.saturating_sub(self.heard) >= self.interval * SILENT {
            // What a router that hears nobody says of others would only be heard once it is back.
            self.news.clear();
        }
        if late > self.interval {
            self.extend_deadlines(late);
        }
        self.expire(now, &mut effects);
        self.end_suspects(now, &mut effects);
        self.ask_suspects(&mut effects);
        self.probe_next(now, &mut effects);
        self.probe_urgent(now, &mut effects);
        self.verify(&mut effects);
        self.join(now, &mut effects);
        if self.ticks.is_multiple_of(TRIED) {
            self.try_again(now, &mut effects);
        }
        effects
    }

    /// This router stood still: what it waits for may wait in its socket.
    fn extend_deadlines(&mut self, late: Duration) {
        for probe in &mut self.probes {
            probe.sent += late;
        }
        for record in self.known.values_mut() {
            record.suspected_until += late;
        }
    }

    fn expire(&mut self, now: Duration, effects: &mut Effects) {
        let interval = self.interval;
        self.relayed.retain(|it| !it.over(interval, now));
        let mut suspects = Vec::new();
        let mut again = Vec::new();
        for probe in &mut self.probes {
            match probe.due(interval, now) {
                Some(Due::Again) => again.push((probe.number, probe.target)),
                Some(Due::Suspect) => suspects.push((probe.number, probe.target)),
                None => {}
            }
        }
        for (number, target) in again {
            effects.missed.push(target);
            self.probe_again(number, target, effects);
        }
        for (number, target) in suspects {
            effects.missed.push(target);
            self.probes.retain(|it| it.number != number);
            self.suspect(target, now);
        }
    }

    fn probe_again(&mut self, number: u64, target: SocketAddr, effects: &mut Effects) {
        let packet = self.bare(Kind::Probe(number));
        effects.outgoing.push(Outgoing { to: target, packet });
        let relays = self.ring.some(RELAYS, Some(target), &mut self.draws);
        for relay in relays {
            let kind = Kind::Relay { number, target };
            effects.outgoing.push(self.outgoing(relay, kind));
        }
    }

    fn suspect(&mut self, address: SocketAddr, now: Duration) {
        let Some(record) = self.known.get_mut(&address) else {
            return;
        };
        if record.update.status == Status::Alive {
            record.update.status = Status::Suspect;
            record.suspected_until = now + self.interval * SUSPICION;
            record.accused = true;
            self.news.push(record.update.clone());
        }
    }

    /// Goes on probing those that this router itself suspects, and tells them of it: their answer
    /// need not find its way through the fleet.
    fn ask_suspects(&mut self, effects: &mut Effects) {
        let records = self.known.values();
        let accused = records.filter(|it| it.update.status == Status::Suspect && it.accused);
        let accused: Vec<_> = accused.map(|it| it.update.clone()).collect();
        for update in accused {
            let to = update.card.address;
            let number = self.draws.number();
            let mut packet = self.bare(Kind::Probe(number));
            packet.news.push(update);
            effects.outgoing.push(Outgoing { to, packet });
        }
    }

    fn end_suspects(&mut self, now: Duration, effects: &mut Effects) {
        let records = self.known.iter();
        let over = records
            .filter(|(_, it)| it.update.status == Status::Suspect && now >= it.suspected_until);
        let over: Vec<_> = over.map(|(address, _)| *address).collect();
        for address in over {
            self.end(address, now, effects);
        }
        self.ended
            .retain(|_, it| now.saturating_sub(it.at) < REMEMBERED);
    }

    /// Probes the next member that isn't suspected already.
    fn probe_next(&mut self, now: Duration, effects: &mut Effects) {
        for _ in 0..=self.known.len() {
            let Some(target) = self.ring.next(&mut self.draws) else {
                return;
            };
            if self.probe(target, now, effects) {
                return;
            }
        }
    }

    /// Probes some of the members that others seem to know to have ended.
    fn probe_urgent(&mut self, now: Duration, effects: &mut Effects) {
        let mut left = URGENT;
        while left > 0
            && let Some(target) = self.urgent.pop_front()
        {
            if self.probe(target, now, effects) {
                left -= 1;
            }
        }
    }

    /// Probes a member; false if it is suspected or being probed.
    fn probe(&mut self, target: SocketAddr, now: Duration, effects: &mut Effects) -> bool {
        let record = self.known.get(&target);
        let sound = record.is_some_and(|it| it.update.status == Status::Alive);
        if !sound || self.probes.iter().any(|it| it.target == target) {
            return false;
        }
        let number = self.draws.number();
        self.probes.push(Probe::new(number, target, now));
        effects
            .outgoing
            .push(self.outgoing(target, Kind::Probe(number)));
        true
    }

    /// Asks who runs at addresses at which two starts were told of.
    fn verify(&mut self, effects: &mut Effects) {
        let mut doubted = std::mem::take(&mut self.doubted);
        doubted.sort_unstable();
        doubted.dedup();
        for address in doubted {
            let number = self.draws.number();
            effects
                .outgoing
                .push(self.outgoing(address, Kind::Probe(number)));
        }
    }

    /// Asks seeds for the members, all of them first and then one at a time.
    fn join(&mut self, now: Duration, effects: &mut Effects) {
        if !JOINS.contains(&self.ticks) || self.seeds.is_empty() {
            return;
        }
        let seeds = if self.ticks == JOINS[0] {
            self.seeds.clone()
        } else {
            let drawn = self.draws.below(self.seeds.len());
            vec![self.seeds[drawn]]
        };
        for seed in seeds {
            effects.outgoing.push(self.pull(seed, now));
        }
    }

    /// Tries seeds that are not known and a router that has ended: the way there may be open again.
    fn try_again(&mut self, now: Duration, effects: &mut Effects) {
        let seeds = self.seeds.iter().copied();
        let unknown = seeds.filter(|it| !self.known.contains_key(it));
        for seed in unknown.collect::<Vec<_>>() {
            effects.outgoing.push(self.pull(seed, now));
        }
        let ended = self.ended.values().map(|it| it.update.card.address);
        let ended = ended.filter(|it| !self.known.contains_key(it));
        let ended: Vec<_> = ended.filter(|it| !self.seeds.contains(it)).collect();
        if !ended.is_empty() {
            let address = ended[self.draws.below(ended.len())];
            let number = self.draws.number();
            effects
                .outgoing
                .push(self.outgoing(address, Kind::Probe(number)));
        }
    }
}
