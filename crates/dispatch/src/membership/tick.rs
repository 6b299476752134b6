//! Timers: probes, retries, suspicions and joins.

use std::net::SocketAddr;
use std::time::Duration;

use super::probe::{Action, Probe};
use super::update::{Kind, Outgoing, Status};
use super::{Effects, Membership, SUSPICION_INTERVALS, TOMBSTONE_RETENTION};

/// Routers that are asked to relay a probe.
const RELAY_COUNT: usize = 3;

/// Limit on probes ahead of the schedule in one interval.
const MAX_PRIORITY_PROBES: usize = 8;

/// Probe intervals without a packet after which pending updates are dropped: at twenty packets a
/// second a router loses ten in a row only if it is cut off or the others have ended.
const SILENCE_INTERVALS: u32 = 5;

/// Probe intervals between attempts to reach unknown seeds and a router that has ended.
const RECONNECT_INTERVALS: u64 = 10;

/// Probe intervals after the start at which seeds are pulled from: by the second, other routers
/// that started at the same time, within 0.3 s, are known to the seeds.
const JOIN_TICKS: [u64; 5] = [1, 3, 5, 8, 12];

impl Membership {
    /// Runs the timers that are due; `late` is the delay of this tick, in which no answers could be
    /// received.
    pub fn tick(&mut self, now: Duration, late: Duration) -> Effects {
        let mut effects = Effects::default();
        self.ticks += 1;
        self.broadcasts.tick();
        if now.saturating_sub(self.last_packet) >= self.interval * SILENCE_INTERVALS {
            // What an isolated router reports of others would reach them only once it is back.
            self.broadcasts.clear();
        }
        if late > self.interval {
            self.extend_deadlines(late);
        }
        self.check_probes(now, &mut effects);
        self.expire_suspects(now, &mut effects);
        self.reprobe_suspects(&mut effects);
        self.probe_next(now, &mut effects);
        self.probe_priority(now, &mut effects);
        self.probe_conflicting(&mut effects);
        self.join(now, &mut effects);
        if self.ticks.is_multiple_of(RECONNECT_INTERVALS) {
            self.reconnect(now, &mut effects);
        }
        effects
    }

    /// Extends deadlines by the time that this router was suspended: answers may still wait in its
    /// socket.
    fn extend_deadlines(&mut self, late: Duration) {
        for probe in &mut self.probes {
            probe.sent += late;
        }
        for record in self.members.values_mut() {
            record.suspected_until += late;
        }
    }

    fn check_probes(&mut self, now: Duration, effects: &mut Effects) {
        let interval = self.interval;
        self.relays.retain(|it| !it.is_expired(interval, now));
        let mut suspects = Vec::new();
        let mut retries = Vec::new();
        for probe in &mut self.probes {
            match probe.next_action(interval, now) {
                Some(Action::Retry) => retries.push((probe.number, probe.member)),
                Some(Action::Suspect) => suspects.push((probe.number, probe.member)),
                None => {}
            }
        }
        for (number, member) in retries {
            effects.unanswered.push(member);
            self.retry_probe(number, member, effects);
        }
        for (number, member) in suspects {
            effects.unanswered.push(member);
            self.probes.retain(|it| it.number != number);
            self.suspect(member, now);
        }
    }

    fn retry_probe(&mut self, number: u64, member: SocketAddr, effects: &mut Effects) {
        let packet = self.packet_without_updates(Kind::Probe(number));
        effects.outgoing.push(Outgoing { to: member, packet });
        let relays = self
            .schedule
            .sample(RELAY_COUNT, Some(member), &mut self.random);
        for relay in relays {
            let kind = Kind::Relay { number, member };
            effects.outgoing.push(self.outgoing(relay, kind));
        }
    }

    fn suspect(&mut self, address: SocketAddr, now: Duration) {
        let Some(record) = self.members.get_mut(&address) else {
            return;
        };
        if record.update.status == Status::Alive {
            record.update.status = Status::Suspect;
            record.suspected_until = now + self.interval * SUSPICION_INTERVALS;
            record.suspected_locally = true;
            self.broadcasts.push(record.update.clone());
        }
    }

    /// Continues to probe the routers that this router itself suspects, and tells them of the
    /// suspicion, so that their refutation needn't reach it by gossip.
    fn reprobe_suspects(&mut self, effects: &mut Effects) {
        let records = self.members.values();
        let suspected_locally =
            records.filter(|it| it.update.status == Status::Suspect && it.suspected_locally);
        let suspected_locally: Vec<_> = suspected_locally.map(|it| it.update.clone()).collect();
        for update in suspected_locally {
            let to = update.router.address;
            let number = self.random.next_u64();
            let mut packet = self.packet_without_updates(Kind::Probe(number));
            packet.updates.push(update);
            effects.outgoing.push(Outgoing { to, packet });
        }
    }

    fn expire_suspects(&mut self, now: Duration, effects: &mut Effects) {
        let records = self.members.iter();
        let expired = records
            .filter(|(_, it)| it.update.status == Status::Suspect && now >= it.suspected_until);
        let expired: Vec<_> = expired.map(|(address, _)| *address).collect();
        for address in expired {
            self.mark_ended(address, now, effects);
        }
        self.tombstones
            .retain(|_, it| now.saturating_sub(it.at) < TOMBSTONE_RETENTION);
    }

    /// Probes the next member that isn't suspected already.
    fn probe_next(&mut self, now: Duration, effects: &mut Effects) {
        for _ in 0..=self.members.len() {
            let Some(member) = self.schedule.next(&mut self.random) else {
                return;
            };
            if self.probe(member, now, effects) {
                return;
            }
        }
    }

    /// Probes members that other routers may know to have ended.
    fn probe_priority(&mut self, now: Duration, effects: &mut Effects) {
        let mut remaining = MAX_PRIORITY_PROBES;
        while remaining > 0
            && let Some(member) = self.priority.pop_front()
        {
            if self.probe(member, now, effects) {
                remaining -= 1;
            }
        }
    }

    /// Probes a member; false if it is suspected or has a pending probe.
    fn probe(&mut self, member: SocketAddr, now: Duration, effects: &mut Effects) -> bool {
        let record = self.members.get(&member);
        let alive = record.is_some_and(|it| it.update.status == Status::Alive);
        if !alive || self.probes.iter().any(|it| it.member == member) {
            return false;
        }
        let number = self.random.next_u64();
        self.probes.push(Probe::new(number, member, now));
        effects
            .outgoing
            .push(self.outgoing(member, Kind::Probe(number)));
        true
    }

    /// Probes addresses for which two incarnations of a router were reported.
    fn probe_conflicting(&mut self, effects: &mut Effects) {
        let mut conflicting = std::mem::take(&mut self.conflicting);
        conflicting.sort_unstable();
        conflicting.dedup();
        for address in conflicting {
            let number = self.random.next_u64();
            effects
                .outgoing
                .push(self.outgoing(address, Kind::Probe(number)));
        }
    }

    /// Pulls from the seeds: from all of them first, then from one at a time.
    fn join(&mut self, now: Duration, effects: &mut Effects) {
        if !JOIN_TICKS.contains(&self.ticks) || self.seeds.is_empty() {
            return;
        }
        let seeds = if self.ticks == JOIN_TICKS[0] {
            self.seeds.clone()
        } else {
            let value = self.random.below(self.seeds.len());
            vec![self.seeds[value]]
        };
        for seed in seeds {
            effects.outgoing.push(self.pull(seed, now));
        }
    }

    /// Contacts unknown seeds and a router that has ended: a network partition may be over.
    fn reconnect(&mut self, now: Duration, effects: &mut Effects) {
        let seeds = self.seeds.iter().copied();
        let unknown = seeds.filter(|it| !self.members.contains_key(it));
        for seed in unknown.collect::<Vec<_>>() {
            effects.outgoing.push(self.pull(seed, now));
        }
        let ended = self.tombstones.values().map(|it| it.update.router.address);
        let ended = ended.filter(|it| !self.members.contains_key(it));
        let ended: Vec<_> = ended.filter(|it| !self.seeds.contains(it)).collect();
        if !ended.is_empty() {
            let address = ended[self.random.below(ended.len())];
            let number = self.random.next_u64();
            effects
                .outgoing
                .push(self.outgoing(address, Kind::Probe(number)));
        }
    }
}
