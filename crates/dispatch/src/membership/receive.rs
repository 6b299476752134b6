//! What follows from a packet.

use std::net::SocketAddr;
use std::time::Duration;

use super::probe::Relayed;
use super::update::{Letter, Life, Packet, Update, Word};
use super::{ALONE, Change, Membership, PAGE, SUSPICION, Turn, digest};

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
    pub fn receive(&mut self, packet: Packet, now: Duration) -> Turn {
        let mut turn = Turn::default();
        let Packet {
            sender,
            digest,
            word,
            news,
        } = packet;
        if sender.card.address == self.own.card.address {
            return turn;
        }
        self.note_contact(now);
        let from = sender.card.address;
        let objection = self.objection(&sender);
        self.learn(sender, Source::Itself, now, &mut turn);
        let source = match &word {
            Word::Page(parts) => {
                self.look_for_absent(parts, &news);
                Source::Page
            }
            _ => Source::News,
        };
        for update in news {
            self.learn(update, source, now, &mut turn);
        }
        let compares = source != Source::Page;
        self.answer(from, word, now, &mut turn);
        if let Some(objection) = objection {
            self.object(from, objection, &mut turn);
        }
        if compares {
            self.compare(from, digest, now, &mut turn);
        }
        turn
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
                record.update.life = Life::Alive;
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
        let against = held.life != Life::Alive && held.incarnation >= sender.incarnation;
        against.then(|| held.clone())
    }

    /// Tells a router what is held against it, in the packet that goes there or one of its own.
    fn object(&mut self, to: SocketAddr, objection: Update, turn: &mut Turn) {
        let place = turn.letters.iter().position(|it| it.to == to);
        let place = place.unwrap_or_else(|| {
            let letter = self.letter(to, Word::News);
            turn.letters.push(letter);
            turn.letters.len() - 1
        });
        turn.letters[place].packet.news.push(objection);
    }

    fn answer(&mut self, from: SocketAddr, word: Word, now: Duration, turn: &mut Turn) {
        match word {
            Word::Probe(number) => turn.letters.push(self.letter(from, Word::Ack(number))),
            Word::Ack(number) => self.acknowledge(number, turn),
            Word::Relay { number, target } => {
                let own = self.draws.number();
                self.relayed.push(Relayed {
                    number: own,
                    origin: from,
                    origin_number: number,
                    sent: now,
                });
                turn.letters.push(self.letter(target, Word::Probe(own)));
            }
            Word::Pull(sums) => self.pages(from, &sums, turn),
            Word::News | Word::Page(_) => {}
        }
    }

    fn acknowledge(&mut self, number: u64, turn: &mut Turn) {
        self.probes.retain(|it| it.number != number);
        let relayed = self.relayed.iter().position(|it| it.number == number);
        if let Some(place) = relayed {
            let relayed = self.relayed.swap_remove(place);
            let word = Word::Ack(relayed.origin_number);
            turn.letters.push(self.letter(relayed.origin, word));
        }
    }

    /// Answers a pull with the members of the parts that differ. Those that have ended are left out:
    /// after a cut each side takes the other to have ended.
    fn pages(&mut self, to: SocketAddr, sums: &[u32], turn: &mut Turn) {
        let mut parts = Vec::new();
        let mut members = Vec::new();
        for part in self.digest.differing(sums) {
            parts.push(part);
            let known = self.known.values().map(|it| &it.update);
            members.extend(known.filter(|it| digest::part(&it.card) == part).cloned());
            if members.len() >= PAGE {
                turn.letters.push(self.page(to, &mut parts, &mut members));
            }
        }
        if !parts.is_empty() {
            turn.letters.push(self.page(to, &mut parts, &mut members));
        }
    }

    fn page(&self, to: SocketAddr, parts: &mut Vec<u8>, members: &mut Vec<Update>) -> Letter {
        let word = Word::Page(std::mem::take(parts));
        let news = std::mem::take(members);
        let packet = Packet {
            news,
            ..self.bare(word)
        };
        Letter { to, packet }
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
    fn compare(&mut self, from: SocketAddr, digest: u32, now: Duration, turn: &mut Turn) {
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
            turn.letters.push(self.pull(from, now));
        }
    }

    /// Asks a router for what this one doesn't know.
    pub(super) fn pull(&mut self, from: SocketAddr, now: Duration) -> Letter {
        self.pulled = Some(now);
        let sums = self.digest.parts();
        self.letter(from, Word::Pull(sums))
    }

    fn learn(&mut self, update: Update, source: Source, now: Duration, turn: &mut Turn) {
        let card = &update.card;
        if card.peer == self.own.card.peer {
            self.deny(&update);
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
        let suspected = known.is_some_and(|it| it.life == Life::Suspect);
        match known.map(|it| it.card.peer == card.peer) {
            Some(true) => self.renew(update, source, now, turn),
            Some(false) | None if update.life == Life::Ended => self.remember(update, now),
            Some(false) if source == Source::Itself || suspected => {
                self.end(update.card.address, now, turn);
                self.welcome(&update, source, turn);
            }
            Some(false) => self.doubted.push(card.address),
            None => self.welcome(&update, source, turn),
        }
    }

    /// Denies what is said against this router.
    fn deny(&mut self, update: &Update) {
        if update.life == Life::Alive {
            return;
        }
        if update.incarnation >= self.own.incarnation {
            self.speak_anew(update.incarnation);
        } else {
            self.news.push(self.own.clone());
        }
    }

    /// A router that was not known.
    fn welcome(&mut self, update: &Update, source: Source, turn: &mut Turn) {
        self.ended.remove(&update.card.peer);
        if source != Source::Page {
            self.news.push(update.clone());
        }
        self.insert(update.with_life(Life::Alive), turn);
    }

    /// News of a router that is known.
    fn renew(&mut self, mut update: Update, source: Source, now: Duration, turn: &mut Turn) {
        let address = update.card.address;
        let Some(record) = self.known.get_mut(&address) else {
            return;
        };
        if source == Source::Itself && record.update.life == Life::Suspect {
            // What was just heard of it is younger than the suspicion.
            record.update.life = Life::Alive;
            record.accused = false;
        }
        if !update.overrides(&record.update) {
            if update.life != Life::Alive && record.update.incarnation > update.incarnation {
                // Whoever says so has missed what that router answered.
                let denial = record.update.clone();
                self.news.push(denial);
            }
            return;
        }
        if update.life == Life::Ended {
            // Whoever was cut off takes all others to have ended. So each router waits for itself
            // whether that is denied.
            update.life = Life::Suspect;
            if !update.overrides(&record.update) {
                return;
            }
        }
        if update.life == Life::Suspect {
            record.suspected_until = now + self.interval * SUSPICION;
        }
        if update.condition != record.update.condition {
            let heard = Change::Heard(update.card.clone(), update.condition);
            turn.changes.push(heard);
        }
        record.update = update.clone();
        self.news.push(update);
    }
}
