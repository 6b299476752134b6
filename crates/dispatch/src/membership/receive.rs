//! Handling of received packets.

use std::net::SocketAddr;
use std::time::Duration;

use super::probe::Relay;
use super::update::{Kind, Outgoing, Packet, Status, Update};
use super::{
    Change, Effects, ISOLATION_INTERVALS, Membership, PAGE_MEMBERS, SUSPICION_INTERVALS, digest,
};

/// Consecutive packets with a differing digest after which a router pulls: 0.25 s at twenty packets
/// a second, in which a recent change has reached most routers.
const PULL_THRESHOLD: u32 = 5;

/// The same for a router that has just started.
const JOIN_PULL_THRESHOLD: u32 = 2;

/// Probe intervals after its start for which a router counts as just started.
const JOIN_INTERVALS: u64 = 30;

/// Least number of probe intervals between two pulls.
const PULL_INTERVALS: u32 = 10;

/// The same for a router that has just started.
const JOIN_PULL_INTERVALS: u32 = 3;

/// How an update was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// From the router that it is about.
    Direct,
    /// As gossip, to be passed on.
    Gossip,
    /// In an answer to a pull; not passed on, as others that lack it pull it themselves.
    Page,
}

impl Membership {
    /// Handles a packet.
    pub fn receive(&mut self, packet: Packet, now: Duration) -> Effects {
        let mut effects = Effects::default();
        let Packet {
            sender,
            digest,
            kind,
            updates,
        } = packet;
        if sender.router.address == self.own.router.address {
            return effects;
        }
        self.record_contact(now);
        let from = sender.router.address;
        let adverse_update = self.adverse_update(&sender);
        self.apply(sender, Source::Direct, now, &mut effects);
        let source = match &kind {
            Kind::Page(buckets) => {
                self.queue_absent(buckets, &updates);
                Source::Page
            }
            _ => Source::Gossip,
        };
        for update in updates {
            self.apply(update, source, now, &mut effects);
        }
        let compares = source != Source::Page;
        self.reply(from, kind, now, &mut effects);
        if let Some(adverse_update) = adverse_update {
            self.send_adverse_update(from, adverse_update, &mut effects);
        }
        if compares {
            self.compare_digest(from, digest, now, &mut effects);
        }
        effects
    }

    /// Records that a packet arrived. After a long silence this router was cut off or suspended, so
    /// its conclusions about the end of others in that time are void, and it learns the membership
    /// anew.
    fn record_contact(&mut self, now: Duration) {
        let silent = now.saturating_sub(self.last_packet);
        let since = std::mem::replace(&mut self.last_packet, now);
        if silent >= self.interval * ISOLATION_INTERVALS {
            self.tombstones.retain(|_, it| it.at < since);
            self.probes.clear();
            for record in self.members.values_mut() {
                record.update.status = Status::Alive;
            }
            self.broadcasts.clear();
            self.mismatches = PULL_THRESHOLD;
        }
    }

    /// The suspicion or tombstone that this router holds against a sender and that the sender
    /// hasn't refuted.
    fn adverse_update(&self, sender: &Update) -> Option<Update> {
        let known = self
            .members
            .get(&sender.router.address)
            .map(|it| &it.update);
        let ended = self
            .tombstones
            .get(&sender.router.peer)
            .map(|it| &it.update);
        let record = known
            .filter(|it| it.router.peer == sender.router.peer)
            .or(ended)?;
        let adverse = record.status != Status::Alive && record.incarnation >= sender.incarnation;
        adverse.then(|| record.clone())
    }

    /// Tells a router of a suspicion or tombstone, in a packet already bound for it or in a new
    /// one.
    fn send_adverse_update(
        &mut self,
        to: SocketAddr,
        adverse_update: Update,
        effects: &mut Effects,
    ) {
        let index = effects.outgoing.iter().position(|it| it.to == to);
        let index = index.unwrap_or_else(|| {
            let message = self.outgoing(to, Kind::Gossip);
            effects.outgoing.push(message);
            effects.outgoing.len() - 1
        });
        effects.outgoing[index].packet.updates.push(adverse_update);
    }

    fn reply(&mut self, from: SocketAddr, kind: Kind, now: Duration, effects: &mut Effects) {
        match kind {
            Kind::Probe(number) => effects
                .outgoing
                .push(self.outgoing(from, Kind::Ack(number))),
            Kind::Ack(number) => self.handle_ack(number, now, effects),
            Kind::Relay { number, member } => {
                let own = self.random.next_u64();
                self.relays.push(Relay {
                    number: own,
                    origin: from,
                    origin_number: number,
                    sent: now,
                });
                effects
                    .outgoing
                    .push(self.outgoing(member, Kind::Probe(own)));
            }
            Kind::Pull(sums) => self.send_pages(from, &sums, effects),
            Kind::Gossip | Kind::Page(_) => {}
        }
    }

    fn handle_ack(&mut self, number: u64, now: Duration, effects: &mut Effects) {
        if let Some(index) = self.probes.iter().position(|it| it.number == number) {
            let probe = self.probes.remove(index);
            let time = probe.round_trip(now);
            effects
                .round_trips
                .extend(time.map(|it| (probe.member, it)));
        }
        let relayed = self.relays.iter().position(|it| it.number == number);
        if let Some(index) = relayed {
            let relayed = self.relays.swap_remove(index);
            let kind = Kind::Ack(relayed.origin_number);
            effects.outgoing.push(self.outgoing(relayed.origin, kind));
        }
    }

    /// Answers a pull with the members of the buckets that differ. Tombstones are left out: after a
    /// partition each side takes the other to have ended.
    fn send_pages(&mut self, to: SocketAddr, sums: &[u32], effects: &mut Effects) {
        let mut buckets = Vec::new();
        let mut members = Vec::new();
        for bucket in self.digest.differing(sums) {
            buckets.push(bucket);
            let known = self.members.values().map(|it| &it.update);
            members.extend(
                known
                    .filter(|it| digest::bucket(&it.router) == bucket)
                    .cloned(),
            );
            if members.len() >= PAGE_MEMBERS {
                effects
                    .outgoing
                    .push(self.page_to(to, &mut buckets, &mut members));
            }
        }
        if !buckets.is_empty() {
            effects
                .outgoing
                .push(self.page_to(to, &mut buckets, &mut members));
        }
    }

    fn page_to(
        &self,
        to: SocketAddr,
        buckets: &mut Vec<u8>,
        members: &mut Vec<Update>,
    ) -> Outgoing {
        let kind = Kind::Page(std::mem::take(buckets));
        let updates = std::mem::take(members);
        let packet = Packet {
            updates,
            ..self.packet_without_updates(kind)
        };
        Outgoing { to, packet }
    }

    /// Queues members that another router doesn't know for an early probe: this router may have
    /// missed the update about their end.
    fn queue_absent(&mut self, buckets: &[u8], reported: &[Update]) {
        let known = self.members.values().map(|it| &it.update.router);
        let absent = known.filter(|router| {
            let reported = reported.iter().any(|it| it.router.peer == router.peer);
            !reported && buckets.contains(&digest::bucket(router))
        });
        let absent: Vec<_> = absent.map(|it| it.address).collect();
        for address in absent {
            if !self.priority.contains(&address) {
                self.priority.push_back(address);
            }
        }
    }

    /// Pulls from the sender once the digests of enough consecutive packets differed.
    fn compare_digest(
        &mut self,
        from: SocketAddr,
        digest: u32,
        now: Duration,
        effects: &mut Effects,
    ) {
        if digest == self.digest.combined() {
            self.mismatches = 0;
            return;
        }
        self.mismatches += 1;
        let (threshold, intervals) = if self.ticks < JOIN_INTERVALS {
            (JOIN_PULL_THRESHOLD, JOIN_PULL_INTERVALS)
        } else {
            (PULL_THRESHOLD, PULL_INTERVALS)
        };
        let elapsed = self
            .last_pull
            .is_none_or(|at| now.saturating_sub(at) >= self.interval * intervals);
        if self.mismatches >= threshold && elapsed {
            self.mismatches = 0;
            effects.outgoing.push(self.pull(from, now));
        }
    }

    /// A pull of the buckets that differ from this router's.
    pub(super) fn pull(&mut self, from: SocketAddr, now: Duration) -> Outgoing {
        self.last_pull = Some(now);
        let sums = self.digest.buckets();
        self.outgoing(from, Kind::Pull(sums))
    }

    fn apply(&mut self, update: Update, source: Source, now: Duration, effects: &mut Effects) {
        let router = &update.router;
        if router.peer == self.own.router.peer {
            self.refute(&update);
            return;
        }
        if router.address == self.own.router.address {
            // An earlier start of this router.
            return;
        }
        let ended = self
            .tombstones
            .get(&router.peer)
            .map(|it| it.update.incarnation);
        if ended.is_some_and(|it| it >= update.incarnation) {
            return;
        }
        let known = self.members.get(&router.address).map(|it| &it.update);
        let suspected = known.is_some_and(|it| it.status == Status::Suspect);
        match known.map(|it| it.router.peer == router.peer) {
            Some(true) => self.update_member(update, source, now, effects),
            Some(false) | None if update.status == Status::Ended => self.add_tombstone(update, now),
            Some(false) if source == Source::Direct || suspected => {
                self.mark_ended(update.router.address, now, effects);
                self.add_member(&update, source, effects);
            }
            Some(false) => self.conflicting.push(router.address),
            None => self.add_member(&update, source, effects),
        }
    }

    /// Refutes a suspicion of this router or a report of its end.
    fn refute(&mut self, update: &Update) {
        if update.status == Status::Alive {
            return;
        }
        if update.incarnation >= self.own.incarnation {
            self.raise_incarnation(update.incarnation);
        } else {
            self.broadcasts.push(self.own.clone());
        }
    }

    /// Adds a router that was not known.
    fn add_member(&mut self, update: &Update, source: Source, effects: &mut Effects) {
        self.tombstones.remove(&update.router.peer);
        if source != Source::Page {
            self.broadcasts.push(update.clone());
        }
        self.insert(update.with_status(Status::Alive), effects);
    }

    /// Updates a router that is known.
    fn update_member(
        &mut self,
        mut update: Update,
        source: Source,
        now: Duration,
        effects: &mut Effects,
    ) {
        let address = update.router.address;
        let Some(record) = self.members.get_mut(&address) else {
            return;
        };
        if source == Source::Direct && record.update.status == Status::Suspect {
            // A message from the router itself is newer than the suspicion.
            record.update.status = Status::Alive;
            record.suspected_locally = false;
        }
        if !update.overrides(&record.update) {
            if update.status != Status::Alive && record.update.incarnation > update.incarnation {
                // The sender has missed that router's refutation.
                let refutation = record.update.clone();
                self.broadcasts.push(refutation);
            }
            return;
        }
        if update.status == Status::Ended {
            // A router that was cut off takes all others to have ended, so each router waits for a
            // refutation itself.
            update.status = Status::Suspect;
            if !update.overrides(&record.update) {
                return;
            }
        }
        if update.status == Status::Suspect {
            record.suspected_until = now + self.interval * SUSPICION_INTERVALS;
        }
        if update.condition != record.update.condition {
            let change = Change::Updated(update.router.clone(), update.condition);
            effects.changes.push(change);
        }
        record.update = update.clone();
        self.broadcasts.push(update);
    }
}
