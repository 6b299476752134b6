//! Contents under which targets end.
//!
//! A target that ends takes all its runs with it, most of them innocent, and a content that ends
//! each target which runs it looks like them. What tells it apart is that it never ends well: so
//! each content is charged with the targets that ended while they ran it since it was last
//! answered. An answer clears it. From [`SUSPECT`] of them on it is kept away from others like
//! it, so that the next end has one cause; at [`QUARANTINED`] it is not sent any more, for a time
//! that grows if the trial after it ends a target again.
//!
//! An end has one cause: those that a quarantined content was there for are held against no other.
//! So who ran beside it is free again, and what is counted of the others is what nobody explains yet.
//!
//! A run that broke off or fell silent is no evidence yet: a link may have been cut, or a target
//! may fail some requests. It is *open* until its target is found to have ended or to be alive;
//! meanwhile it counts as an end, so that what has fallen silent at three targets is not sent to a
//! fourth before their fate is known.
//!
//! The router that owns a content's cell hears of all its runs and decides; what is worth more
//! than one end is told to all routers, who come to the same [`Ledger::digest`]: records of the
//! same content are joined, and one that was cleared or lifted since wins over what was known
//! before.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::content::{ContentTag, Digest};
use crate::target::Tag;

/// Ends from which a content is kept away from others like it. With one, all that ran beside
/// the cause of an end would be, up to a full batch.
pub const SUSPECT: usize = 2;

/// Ends from which a content is not sent any more. With crashes of 15 in 100 targets in a minute a
/// target ends by itself during one run of 4 s in a hundred, so three in a row without an answer
/// between them come once in a million requests (computed; none in 144,000 under virtual time).
pub const QUARANTINED: usize = 3;

/// Time within which an open run's target must be found to have ended: entries lapse three
/// heartbeats of 1.2 s after a target fell silent, and lists are read every second.
pub const OPEN: Duration = Duration::from_secs(6);

/// How long a content is first quarantined; the next version of a model may cure it.
pub const HOLD: Duration = Duration::from_hours(1);

/// How many times longer it is held after each trial that ended a target: at most two trials in a day.
const HOLD_GROWS: u32 = 8;

/// Holds that grow: more than the second is beyond a day.
const HOLDS: u32 = 3;

/// How long a quarantine is remembered once its time is over, for whoever comes then.
const REMEMBERED: Duration = Duration::from_hours(24);

/// How long ends that have not led to a quarantine are remembered.
const KEPT: Duration = Duration::from_hours(1);

/// How long it is told to routers that a content was cleared: far longer than a router is cut off
/// as a rule; one that was for longer brings back what is then cleared by the next answer.
const CLEARED_TOLD: Duration = Duration::from_mins(10);

/// Records at the most, some 150 bytes each: 1.2 MB, whatever callers send.
const MOST: usize = 8_192;

/// What became of the target of a run that did not end with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// Not known yet.
    Open,
    /// It has ended.
    Ended,
    /// It runs: the run failed for another reason.
    Alive,
}

/// What a router knows of a run that did not end with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// What was run.
    pub content: Digest,
    /// The target.
    pub target: Tag,
    /// What became of it.
    pub fate: Fate,
}

/// What may be done with a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known against it, or what anyone beside a cause is charged with.
    Free,
    /// It is kept away from other suspects.
    Suspect,
    /// It is not sent now: open runs of it may have ended three targets.
    Held,
    /// It is not sent for so long.
    Quarantined(Duration),
}

/// What is told of a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The content.
    pub content: Digest,
    /// How often it was cleared or lifted.
    pub generation: u32,
    /// Targets that ended under it since then.
    pub ends: BTreeSet<Tag>,
    /// Whether it is, or was, quarantined for them.
    pub guilty: bool,
    /// How long ago the last of these was found, or the clearing.
    pub age: Duration,
}

/// A step in what is known of a content, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// One more target ended under it: so many by now.
    Charged(usize),
    /// It is no longer sent.
    Quarantined(usize),
    /// It was answered, or lifted.
    Cleared,
}

#[derive(Clone, Debug)]
struct Record {
    content: Digest,
    generation: u32,
    ends: BTreeSet<Tag>,
    open: Vec<(Tag, Duration)>,
    /// When the last end was found, or the clearing.
    changed: Duration,
    /// Whether it is, or was, quarantined for its ends: they explain nobody else's.
    guilty: bool,
    /// Whether it is told to all routers.
    told: bool,
}

impl Record {
    fn new(content: Digest, now: Duration) -> Self {
        Self {
            content,
            generation: 0,
            ends: BTreeSet::new(),
            open: Vec::new(),
            changed: now,
            guilty: false,
            told: false,
        }
    }

    fn held_until(&self) -> Duration {
        let trials = self.ends.len().saturating_sub(QUARANTINED);
        let trials = u32::try_from(trials).unwrap_or(HOLDS).min(HOLDS);
        self.changed + HOLD.saturating_mul(HOLD_GROWS.pow(trials))
    }

    /// Ends that are held against it.
    fn held_against(&self, explained: &HashSet<Tag>) -> usize {
        if self.guilty {
            return self.ends.len();
        }
        let ends = self.ends.iter();
        ends.filter(|it| !explained.contains(it)).count()
    }

    fn standing(&self, explained: &HashSet<Tag>, now: Duration) -> Standing {
        let ends = self.held_against(explained);
        let open = self.open.iter();
        let open = open.filter(|(tag, at)| *at + OPEN > now && !self.ends.contains(tag));
        let open = open.count();
        if self.guilty {
            let left = self.held_until().saturating_sub(now);
            return match (left.is_zero(), open) {
                (false, _) => Standing::Quarantined(left),
                // A trial: one end more is known only when its run is no longer open.
                (true, 0) => Standing::Suspect,
                (true, _) => Standing::Held,
            };
        }
        match ends + open {
            QUARANTINED.. => Standing::Held,
            SUSPECT.. => Standing::Suspect,
            _ => Standing::Free,
        }
    }

    /// Until when it is worth remembering.
    fn kept_until(&self) -> Duration {
        if self.guilty {
            return self.held_until() + REMEMBERED;
        }
        if self.ends.is_empty() {
            let open = self.open.iter().map(|(_, at)| *at + OPEN).max();
            let told = self.told.then_some(self.changed + CLEARED_TOLD);
            return open.max(told).unwrap_or_default();
        }
        self.changed + KEPT
    }

    /// Sum of what all routers are told of it.
    fn sum(&self) -> u64 {
        let mut bytes = Vec::new();
        bytes.extend(self.content.0.to_le_bytes());
        bytes.extend(self.generation.to_le_bytes());
        bytes.push(u8::from(self.guilty));
        for tag in &self.ends {
            bytes.extend(tag.0.to_le_bytes());
        }
        xxh64(&bytes, 0)
    }
}

/// What is known of contents under which targets ended.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: HashMap<ContentTag, Record>,
    /// Targets whose end a guilty content explains.
    explained: HashSet<Tag>,
    /// Sum of what all routers are told.
    digest: u64,
}

impl Ledger {
    /// Nothing known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// What may be done with a content now.
    #[must_use]
    pub fn standing(&self, content: Digest, now: Duration) -> Standing {
        let record = self.records.get(&content.tag());
        let record = record.filter(|it| it.content == content);
        record.map_or(Standing::Free, |it| it.standing(&self.explained, now))
    }

    /// The same, of the only content that is known by so short a name.
    #[must_use]
    pub fn standing_of(&self, tag: ContentTag, now: Duration) -> Standing {
        let record = self.records.get(&tag);
        record.map_or(Standing::Free, |it| it.standing(&self.explained, now))
    }

    /// Takes what a router has found of a run.
    pub fn take(&mut self, finding: Finding, now: Duration) -> Option<Change> {
        let Finding {
            content,
            target,
            fate,
        } = finding;
        if fate == Fate::Alive {
            let record = self.records.get_mut(&content.tag())?;
            record.open.retain(|(tag, _)| *tag != target);
            return None;
        }
        let record = self.record(content, now)?;
        if record.ends.contains(&target) {
            return None;
        }
        let known = record.open.iter().any(|(tag, _)| *tag == target);
        if fate == Fate::Open {
            if !known {
                record.open.push((target, now));
            }
            return None;
        }
        record.open.retain(|(tag, _)| *tag != target);
        record.ends.insert(target);
        record.changed = now;
        let change = self.judge(content.tag());
        if change != Some(Change::Charged(1)) {
            self.sum();
        }
        change
    }

    /// Judges a content by its ends, now that there is one more.
    fn judge(&mut self, tag: ContentTag) -> Option<Change> {
        let record = self.records.get_mut(&tag)?;
        let ends = record.held_against(&self.explained);
        record.guilty |= ends >= QUARANTINED;
        record.told |= ends >= SUSPECT;
        if record.guilty {
            return Some(Change::Quarantined(record.ends.len()));
        }
        Some(Change::Charged(ends))
    }

    /// The content ended well: it is not what ends targets.
    pub fn answered(&mut self, tag: ContentTag, now: Duration) -> Option<Change> {
        let record = self.records.get_mut(&tag)?;
        record.open.clear();
        if record.ends.is_empty() {
            return None;
        }
        record.ends.clear();
        record.guilty = false;
        record.generation += 1;
        record.changed = now;
        if record.told {
            self.sum();
        } else {
            self.records.remove(&tag);
        }
        Some(Change::Cleared)
    }

    /// The content that is known by a short name.
    #[must_use]
    pub fn content(&self, tag: ContentTag) -> Option<Digest> {
        self.records.get(&tag).map(|it| it.content)
    }

    /// Joins what another router or the store tells.
    pub fn join(&mut self, entry: &Entry, now: Duration) -> Option<Change> {
        let changed = now.saturating_sub(entry.age);
        let record = self.record(entry.content, changed)?;
        let before = (record.guilty, record.ends.len());
        if entry.generation < record.generation {
            return None;
        }
        if entry.generation > record.generation {
            record.generation = entry.generation;
            record.ends.clear();
            record.open.clear();
            record.guilty = false;
            record.changed = changed;
        }
        if !entry.ends.is_subset(&record.ends) {
            record.ends.extend(&entry.ends);
            record.changed = record.changed.max(changed);
        }
        record.guilty |= entry.guilty;
        record.told = true;
        if record.kept_until() <= now {
            self.records.remove(&entry.content.tag());
        }
        let after = self.records.get(&entry.content.tag());
        let after = after.map_or((false, 0), |it| (it.guilty, it.ends.len()));
        let change = match after.cmp(&before) {
            Ordering::Less => Some(Change::Cleared),
            Ordering::Equal => None,
            Ordering::Greater => self.judge(entry.content.tag()),
        };
        self.sum();
        change
    }

    /// What all routers are told.
    pub fn entries(&self, now: Duration) -> impl Iterator<Item = Entry> {
        self.told().map(move |it| Entry {
            content: it.content,
            generation: it.generation,
            ends: it.ends.clone(),
            guilty: it.guilty,
            age: now.saturating_sub(it.changed),
        })
    }

    /// What the store is to be told so that it keeps what is known here; `stored` is what it keeps.
    /// A store that came back from a copy may lack a quarantine, or keep one that was ended.
    #[must_use]
    pub fn unkept(&self, stored: &[Entry], now: Duration) -> Vec<Entry> {
        let kept = |own: &Entry| stored.iter().find(|it| it.content == own.content);
        let unkept = self.entries(now).filter(|own| match kept(own) {
            None => own.guilty,
            Some(kept) => {
                let earlier = kept.generation < own.generation;
                earlier || own.guilty && !own.ends.is_subset(&kept.ends)
            }
        });
        unkept.collect()
    }

    fn told(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|it| it.told)
    }

    /// A short sum of what all routers are told; 0 if that is nothing.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Brings up to date what follows from all records.
    fn sum(&mut self) {
        let guilty = self.records.values().filter(|it| it.guilty);
        self.explained = guilty.flat_map(|it| it.ends.iter().copied()).collect();
        self.digest = self.told().fold(0, |sum, it| sum ^ it.sum());
    }

    /// Contents that are not sent now.
    #[must_use]
    pub fn quarantined(&self, now: Duration) -> usize {
        let records = self.records.values();
        let standing = records.map(|it| it.standing(&self.explained, now));
        standing
            .filter(|it| matches!(it, Standing::Quarantined(_)))
            .count()
    }

    /// Forgets what is too old.
    pub fn prune(&mut self, now: Duration) {
        let mut told = false;
        self.records.retain(|_, it| {
            let kept = it.kept_until() > now;
            told |= it.told && !kept;
            kept
        });
        if told {
            self.sum();
        }
    }

    /// The record of a content; none if another content has its short name.
    fn record(&mut self, content: Digest, now: Duration) -> Option<&mut Record> {
        if self.records.len() >= MOST && !self.records.contains_key(&content.tag()) {
            self.make_room(now);
        }
        let record = self.records.entry(content.tag());
        let record = record.or_insert_with(|| Record::new(content, now));
        (record.content == content).then_some(record)
    }

    /// Forgets the record with the fewest ends, and of these the oldest.
    fn make_room(&mut self, now: Duration) {
        self.prune(now);
        if self.records.len() < MOST {
            return;
        }
        let least = self.records.iter();
        let least = least.min_by_key(|(tag, it)| (it.ends.len(), it.changed, **tag));
        if let Some(tag) = least.map(|(tag, _)| *tag) {
            self.records.remove(&tag);
            self.sum();
        }
    }
}
