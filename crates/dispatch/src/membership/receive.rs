//! What follows from a packet.

use std::net::SocketAddr;
use std::time::Duration;

use super::probe::Relayed;
use super::update::{Kind, Outgoing, Packet, Status, Update};
use super::{ALONE, Change, Effects, Membership, PAGE, SUSPICION, digest};

/// Packets with other sums in a row after which a router pulls: with twenty a second 0.25 s, in
/// which what has just changed has reached most.
const DIFFERING: u32 = 5;

/// The same for a router that has just started.
const DIFFERING_FIRST: u32 = 2;

/// Intervals after its start for which a router counts as just started.
const FIRST: u64 = 30;

/// Intervals between two pulls at least.
const PULL_PAUSE: u32 = 10;

/// The same for a router that has just started.
const PULL_PAUSE_FIRST: u32 = 3;

/// How an update was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// From the router that it is about.
    Itself,
    /// As news, to be passed on.
    News,
    /// From a router's answer to a pull: whoever lacks it pulls it as well.
    Page,
}

impl Membership {
    /// Takes a packet.
    pub fn receive(&mut self, packet: Packet, now: Duration) -> Effects {
        let mut effects = Effects::default();
        let Packet {
            sender,
            digest,
            kind,
            news,
        } = packet;
        if sender.card.address == self.own.card.address {
            return effects;
        }
        self.note_contact(now);
        let from = sender.card.address;
        let objection = self.objection(&sender);
        self.learn(sender, Source::Itself, now, &mut effects);
        let source = match &kind {
            Kind::Page(parts) => {
                self.look_for_absent(parts, &news);
                Source::Page
            }
            _ => Source::News,
        };
        for update in news {
            self.learn(update, source, now, &mut effects);
        }
        let compares = source != Source::Page;
        self.answer(from, kind, now, &mut effects);
        if let Some(objection) = objection {
            self.object(from, objection, &mut effects);
        }
        if compares {
            self.compare(from, digest, now, &mut effects);
        }
        effects
    }

    /// A packet came. After a long silence this router was cut off or stood still: what it then
    /// took to be the end of others says nothing, and it learns anew who runs.
    fn note_contact(&mut self, now: Duration) {
        let silent = now.saturating_sub(self.heard);
        let since = std::mem::replace(&mut self.heard, now);
        if silent >= self.interval * ALONE {
            self.ended.retain(|_, it| it.at < since);
            self.probes.clear();
            for record in self.known.values_mut() {
                record.update.status = Status::Alive;
            }
            self.news.clear();
            self.differing = DIFFERING;
        }
    }

    /// What a sender should know that others hold against it: that it is suspected, or has ended.
    fn objection(&self, sender: &Update) -> Option<Update> {
        let known = self.known.get(&sender.card.address).map(|it| &it.update);
        let ended = self.ended.get(&sender.card.peer).map(|it| &it.update);
        let held = known
            .filter(|it| it.card.peer == sender.card.peer)
            .or(ended)?;
        let against = held.status != Status::Alive && held.incarnation >= sender.incarnation;
        against.then(|| held.clone())
    }

    /// Tells a router what is held against it, in the packet that goes there or one of its own.
    fn object(&mut self, to: SocketAddr, objection: Update, effects: &mut Effects) {
        let place = effects.outgoing.iter().position(|it| it.to == to);
        let place = place.unwrap_or_else(|| {
            let letter = self.outgoing(to, Kind::News);
            effects.outgoing.push(letter);
            effects.outgoing.len() - 1
        });
        effects.outgoing[place].packet.news.push(objection);
    }

    fn answer(&mut self, from: SocketAddr, kind: Kind, now: Duration, effects: &mut Effects) {
        match kind {
            Kind::Probe(number) => effects
                .outgoing
                .push(self.outgoing(from, Kind::Ack(number))),
            Kind::Ack(number) => self.acknowledge(number, now, effects),
            Kind::Relay { number, target } => {
                let own = self.draws.number();
                self.relayed.push(Relayed {
                    number: own,
                    origin: from,
                    origin_number: number,
                    sent: now,
                });
                effects
                    .outgoing
                    .push(self.outgoing(target, Kind::Probe(own)));
            }
            Kind::Pull(sums) => self.pages(from, &sums, effects),
            Kind::News | Kind::Page(_) => {}
        }
    }

    fn acknowledge(&mut self, number: u64, now: Duration, effects: &mut Effects) {
        if let Some(place) = self.probes.iter().position(|it| it.number == number) {
            let probe = self.probes.remove(place);
            let time = probe.time_of_answer(now);
            effects.answered.extend(time.map(|it| (probe.target, it)));
        }
        let relayed = self.relayed.iter().position(|it| it.number == number);
        if let Some(place) = relayed {
            let relayed = self.relayed.swap_remove(place);
            let kind = Kind::Ack(relayed.origin_number);
            effects.outgoing.push(self.outgoing(relayed.origin, kind));
        }
    }

    /// Answers a pull with the members of the parts that differ. Those that have ended are left out:
    /// after a cut each side takes the other to have ended.
    fn pages(&mut self, to: SocketAddr, sums: &[u32], effects: &mut Effects) {
        let mut parts = Vec::new();
        let mut members = Vec::new();
        for part in self.digest.differing(sums) {
            parts.push(part);
            let known = self.known.values().map(|it| &it.update);
            members.extend(known.filter(|it| digest::part(&it.card) == part).cloned());
            if members.len() >= PAGE {
                effects
                    .outgoing
                    .push(self.page(to, &mut parts, &mut members));
            }
        }
        if !parts.is_empty() {
            effects
                .outgoing
                .push(self.page(to, &mut parts, &mut members));
        }
    }

    fn page(&self, to: SocketAddr, parts: &mut Vec<u8>, members: &mut Vec<Update>) -> Outgoing {
        let kind = Kind::Page(std::mem::take(parts));
        let news = std::mem::take(members);
        let packet = Packet {
            news,
            ..self.bare(kind)
        };
        Outgoing { to, packet }
    }

    /// Members that another router doesn't know any more are probed soon: this one may have missed
    /// the news of their end.
    fn look_for_absent(&mut self, parts: &[u8], told: &[Update]) {
        let known = self.known.values().map(|it| &it.update.card);
        let absent = known.filter(|card| {
            let told = told.iter().any(|it| it.card.peer == card.peer);
            !told && parts.contains(&digest::part(card))
        });
        let absent: Vec<_> = absent.map(|it| it.address).collect();
        for address in absent {
            if !self.urgent.contains(&address) {
                self.urgent.push_back(address);
            }
        }
    }

    /// Pulls from a sender once its sums and those of others before it were not this router's.
    fn compare(&mut self, from: SocketAddr, digest: u32, now: Duration, effects: &mut Effects) {
        if digest == self.digest.sum() {
            self.differing = 0;
            return;
        }
        self.differing += 1;
        let (packets, pause) = if self.ticks < FIRST {
            (DIFFERING_FIRST, PULL_PAUSE_FIRST)
        } else {
            (DIFFERING, PULL_PAUSE)
        };
        let paused = self
            .pulled
            .is_none_or(|at| now.saturating_sub(at) >= self.interval * pause);
        if self.differing >= packets && paused {
            self.differing = 0;
            effects.outgoing.push(self.pull(from, now));
        }
    }

    /// Asks a router for what this one doesn't know.
    pub(super) fn pull(&mut self, from: SocketAddr, now: Duration) -> Outgoing {
        self.pulled = Some(now);
        let sums = self.digest.parts();
        self.outgoing(from, Kind::Pull(sums))
    }

    fn learn(&mut self, update: Update, source: Source, now: Duration, effects: &mut Effects) {
        let card = &update.card;
        if card.peer == self.own.card.peer {
            self.refute(&update);
            return;
        }
        if card.address == self.own.card.address {
            // An earlier start of this machine.
            return;
        }
        let ended = self.ended.get(&card.peer).map(|it| it.update.incarnation);
        if ended.is_some_and(|it| it >= update.incarnation) {
            return;
        }
        let known = self.known.get(&card.address).map(|it| &it.update);
        let suspected = known.is_some_and(|it| it.status == Status::Suspect);
        match known.map(|it| it.card.peer == card.peer) {
            Some(true) => self.renew(update, source, now, effects),
            Some(false) | None if update.status == Status::Ended => self.remember(update, now),
            Some(false) if source == Source::Itself || suspected => {
                self.end(update.card.address, now, effects);
                self.welcome(&update, source, effects);
            }
            Some(false) => self.doubted.push(card.address),
            None => self.welcome(&update, source, effects),
        }
    }

    /// Denies what is said against this router.
    fn refute(&mut self, update: &Update) {
        if update.status == Status::Alive {
            return;
        }
        if update.incarnation >= self.own.incarnation {
            self.announce(update.incarnation);
        } else {
            self.news.push(self.own.clone());
        }
    }

    /// A router that was not known.
    fn welcome(&mut self, update: &Update, source: Source, effects: &mut Effects) {
        self.ended.remove(&update.card.peer);
        if source != Source::Page {
            self.news.push(update.clone());
        }
        self.insert(update.with_status(Status::Alive), effects);
    }

    /// News of a router that is known.
    fn renew(&mut self, mut update: Update, source: Source, now: Duration, effects: &mut Effects) {
        let address = update.card.address;
        let Some(record) = self.known.get_mut(&address) else {
            return;
        };
        if source == Source::Itself && record.update.status == Status::Suspect {
            // What was just heard of it is younger than the suspicion.
            record.update.status = Status::Alive;
            record.accused = false;
        }
        if !update.overrides(&record.update) {
            if update.status != Status::Alive && record.update.incarnation > update.incarnation {
                // Whoever says so has missed what that router answered.
                let denial = record.update.clone();
                self.news.push(denial);
            }
            return;
        }
        if update.status == Status::Ended {
            // Whoever was cut off takes all others to have ended. So each router waits for itself
            // whether that is denied.
            update.status = Status::Suspect;
            if !update.overrides(&record.update) {
                return;
            }
        }
        if update.status == Status::Suspect {
            record.suspected_until = now + self.interval * SUSPICION;
        }
        if update.condition != record.update.condition {
            let heard = Change::Heard(update.card.clone(), update.condition);
            effects.changes.push(heard);
        }
        record.update = update.clone();
        self.news.push(update);
    }
}
