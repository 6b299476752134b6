//! Quarantine of request contents that terminate the targets on which they run.
//!
//! A target that terminates fails all its runs, most of which have not caused the termination, so a
//! single termination does not identify the cause. A content that causes terminations never
//! completes, though. So the ledger counts for each content the targets that terminated while they
//! ran it since its last answer; an answer clears it. With [`SUSPECT_ENDS`] of them or more, the
//! content is kept away from other suspects, so that the next termination has only one possible
//! cause. With [`QUARANTINE_ENDS`] it is not sent for a hold time, which grows with each trial
//! after a hold that terminates a target again.
//!
//! Each termination has one cause. Terminations that count against a quarantined content are not
//! counted against any other content, so contents that ran beside it are released, and the other
//! counts contain only terminations that are still unexplained.
//!
//! A run whose connection was closed or timed out is no evidence by itself: a link may have failed,
//! or a target may fail single requests. Such a run is *open* until its target is found to have
//! terminated or to be alive. An open run counts as a termination, so that a content whose runs at
//! three targets got no answer is not sent to a fourth one before the state of these targets is
//! known.
//!
//! A part of prompts that terminates targets whatever else a request holds is a record of its own
//! kind, identified by [`Digest::of_part`]. [`crate::harmful_part`] finds such parts; from then on
//! their records are held, shared, stored and lifted like those of contents.
//!
//! The router that owns a content's cell receives the findings about all its runs and decides.
//! Records with more than one termination are shared with all routers, which converge to the same
//! [`Ledger::digest`]: records of the same content are merged, and a record that was cleared or
//! lifted more often replaces one that was cleared less often.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh64::xxh64;

use crate::cache::PartTag;
use crate::content::{ContentTag, Digest};
use crate::harmful_part::Harm;
use crate::prefix::Prompt;
use crate::target::Tag;

/// Terminations at which a content is kept away from other suspects. With one, all contents that
/// ran beside the cause would be suspects, up to a full batch.
pub const SUSPECT_ENDS: usize = 2;

/// Terminations at which a content is quarantined. If 15 of 100 targets crash per minute, a target
/// crashes during one in 100 runs of 4 s, so three in a row without an answer in between happen by
/// chance to one request in a million (to none of 144,000 under virtual time).
pub const QUARANTINE_ENDS: usize = 3;

/// Time limit for finding an open run's target terminated: entries lapse three heartbeats of 1.2 s
/// after a target's last one, and the list of targets is read every second.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(6);

/// First hold time of a quarantined content. Holds end because a new version of a model may run it.
pub const FIRST_HOLD: Duration = Duration::from_hours(1);

/// Factor by which the hold time grows with each trial that terminated a target: at most two trials
/// per day.
const HOLD_FACTOR: u32 = 8;

/// Limit of the exponent of [`HOLD_FACTOR`]; all holds after the second are longer than a day.
const MAX_HOLD_EXPONENT: u32 = 3;

/// Retention of a quarantined content after its hold, so that its next run is treated as a trial.
const HOLD_RETENTION: Duration = Duration::from_hours(24);

/// Retention of terminations that have not led to a quarantine.
const ENDS_RETENTION: Duration = Duration::from_hours(1);

/// Time for which the clearing of a content is shared, far longer than usual partitions. A router
/// partitioned for longer brings the old record back, until the next answer clears it.
const CLEARED_RETENTION: Duration = Duration::from_mins(10);

/// Limit of records. At some 150 bytes each, they take at most 1.2 MB whatever callers send.
const MAX_RECORDS: usize = 8_192;

/// State of the target of a run that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resolution {
    /// Not known yet.
    Open,
    /// The target has terminated.
    Ended,
    /// The target is alive, or left as announced: the run failed for another reason.
    Alive,
}

/// A router's finding about a run that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Content of the run.
    pub content: Digest,
    /// Target of the run.
    pub target: Tag,
    /// State of the target.
    pub resolution: Resolution,
}

/// Restrictions on sending a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// None: too few terminations to be a suspect.
    Free,
    /// Not sent to a target that runs another suspect.
    Suspect,
    /// Not sent until open runs are resolved: with these, three or more targets may have terminated
    /// under it, or a trial is running.
    Held,
    /// Not sent for the remaining time.
    Quarantined(Duration),
}

/// Shared record of a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The content.
    pub content: Digest,
    /// Number of times that it was cleared or lifted.
    pub generation: u32,
    /// Targets that terminated under it since it was last cleared.
    pub ends: BTreeSet<Tag>,
    /// Whether it is or was quarantined because of these.
    pub confirmed: bool,
    /// Time since the last termination was found, or since it was cleared.
    pub age: Duration,
}

/// Change of a content's record, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another target terminated under it; holds their number.
    EndRecorded(usize),
    /// It is quarantined; holds the number of targets that terminated under it.
    Quarantined(usize),
    /// It was answered, or an operator lifted its quarantine.
    Cleared,
}

#[derive(Clone, Debug)]
struct Record {
    content: Digest,
    generation: u32,
    ends: BTreeSet<Tag>,
    open: Vec<(Tag, Duration)>,
    /// When the last termination was found, or when it was cleared.
    changed: Duration,
    /// Whether it is or was quarantined for its terminations, which then count against it alone.
    confirmed: bool,
    /// Whether it is shared with all routers.
    shared: bool,
}

impl Record {
    fn new(content: Digest, now: Duration) -> Self {
        Self {
            content,
            generation: 0,
            ends: BTreeSet::new(),
            open: Vec::new(),
            changed: now,
            confirmed: false,
            shared: false,
        }
    }

    fn held_until(&self) -> Duration {
        let trials = self.ends.len().saturating_sub(QUARANTINE_ENDS);
        let trials = u32::try_from(trials)
            .unwrap_or(MAX_HOLD_EXPONENT)
            .min(MAX_HOLD_EXPONENT);
        self.changed + FIRST_HOLD.saturating_mul(HOLD_FACTOR.pow(trials))
    }

    /// Number of terminations that count against it: all if it is or was quarantined, otherwise
    /// those that no quarantined content explains.
    fn counted_ends(&self, explained: &HashSet<Tag>) -> usize {
        if self.confirmed {
            return self.ends.len();
        }
        let ends = self.ends.iter();
        ends.filter(|it| !explained.contains(it)).count()
    }

    fn status(&self, explained: &HashSet<Tag>, now: Duration) -> Status {
        let ends = self.counted_ends(explained);
        let open = self.open.iter();
        let open = open.filter(|(tag, at)| *at + OPEN_TIMEOUT > now && !self.ends.contains(tag));
        let open = open.count();
        if self.confirmed {
            let left = self.held_until().saturating_sub(now);
            return match (left.is_zero(), open) {
                (false, _) => Status::Quarantined(left),
                // During a trial, whether its target terminated is known once its run is not open.
                (true, 0) => Status::Suspect,
                (true, _) => Status::Held,
            };
        }
        match ends + open {
            QUARANTINE_ENDS.. => Status::Held,
            SUSPECT_ENDS.. => Status::Suspect,
            _ => Status::Free,
        }
    }

    /// End of its retention.
    fn retained_until(&self) -> Duration {
        if self.confirmed {
            return self.held_until() + HOLD_RETENTION;
        }
        if self.ends.is_empty() {
            let open = self.open.iter().map(|(_, at)| *at + OPEN_TIMEOUT).max();
            let cleared = self.shared.then_some(self.changed + CLEARED_RETENTION);
            return open.max(cleared).unwrap_or_default();
        }
        self.changed + ENDS_RETENTION
    }

    /// Hash of its shared fields but the age, which differs between routers.
    fn hash(&self) -> u64 {
        let mut bytes = Vec::new();
        bytes.extend(self.content.0.to_le_bytes());
        bytes.extend(self.generation.to_le_bytes());
        bytes.push(u8::from(self.confirmed));
        for tag in &self.ends {
            bytes.extend(tag.0.to_le_bytes());
        }
        xxh64(&bytes, 0)
    }
}

/// Records of contents under which targets terminated.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    records: HashMap<ContentTag, Record>,
    /// Targets whose termination is explained by a content that is or was quarantined.
    explained: HashSet<Tag>,
    /// Parts that are or were quarantined.
    parts: HashSet<PartTag>,
    /// Digest of the shared records.
    digest: u64,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Restrictions on sending a content now.
    #[must_use]
    pub fn status(&self, content: Digest, now: Duration) -> Status {
        let record = self.records.get(&content.tag());
        let record = record.filter(|it| it.content == content);
        record.map_or(Status::Free, |it| it.status(&self.explained, now))
    }

    /// Restrictions on sending the content that is recorded under a tag.
    #[must_use]
    pub fn status_by_tag(&self, tag: ContentTag, now: Duration) -> Status {
        let record = self.records.get(&tag);
        record.map_or(Status::Free, |it| it.status(&self.explained, now))
    }

    /// Applies a router's finding.
    pub fn apply(&mut self, finding: Finding, now: Duration) -> Option<Change> {
        let Finding {
            content,
            target,
            resolution,
        } = finding;
        if resolution == Resolution::Alive {
            let record = self.records.get_mut(&content.tag())?;
            record.open.retain(|(tag, _)| *tag != target);
            return None;
        }
        let record = self.record_mut(content, now)?;
        if record.ends.contains(&target) {
            return None;
        }
        let known = record.open.iter().any(|(tag, _)| *tag == target);
        if resolution == Resolution::Open {
            if !known {
                record.open.push((target, now));
            }
            return None;
        }
        record.open.retain(|(tag, _)| *tag != target);
        record.ends.insert(target);
        record.changed = now;
        let change = self.evaluate(content.tag());
        if change != Some(Change::EndRecorded(1)) {
            self.refresh();
        }
        change
    }

    /// Quarantines a part of prompts under which targets terminated.
    pub fn quarantine_part(&mut self, harm: &Harm, now: Duration) -> Option<Change> {
        let content = Digest::of_part(harm.part);
        let record = self.record_mut(content, now)?;
        record.ends.extend(&harm.ends);
        record.changed = now;
        record.confirmed = true;
        let change = self.evaluate(content.tag());
        self.refresh();
        change
    }

    /// Whether a prompt has a part that is quarantined, and the remaining time.
    #[must_use]
    pub fn part_status(&self, prompt: &Prompt, now: Duration) -> Option<(PartTag, Duration)> {
        if self.parts.is_empty() {
            return None;
        }
        let parts = prompt.shared().iter().map(|it| it.id);
        let mut held = parts.filter(|it| self.parts.contains(it)).filter_map(|it| {
            match self.status(Digest::of_part(it), now) {
                Status::Quarantined(left) => Some((it, left)),
                Status::Free | Status::Suspect | Status::Held => None,
            }
        });
        held.next()
    }

    /// Parts of a prompt that are or were quarantined.
    pub fn recorded_parts(&self, prompt: &Prompt) -> impl Iterator<Item = PartTag> {
        let parts = prompt.shared().iter().map(|it| it.id);
        parts.filter(|it| self.parts.contains(it))
    }

    /// Updates a content's flags after its terminations have changed.
    fn evaluate(&mut self, tag: ContentTag) -> Option<Change> {
        let record = self.records.get_mut(&tag)?;
        let ends = record.counted_ends(&self.explained);
        record.confirmed |= ends >= QUARANTINE_ENDS;
        record.shared |= ends >= SUSPECT_ENDS || record.confirmed;
        if record.confirmed {
            return Some(Change::Quarantined(record.ends.len()));
        }
        Some(Change::EndRecorded(ends))
    }

    /// Records an answer, which clears a content: it does not terminate its targets.
    pub fn record_answer(&mut self, tag: ContentTag, now: Duration) -> Option<Change> {
        let record = self.records.get_mut(&tag)?;
        record.open.clear();
        if record.ends.is_empty() {
            return None;
        }
        record.ends.clear();
        record.confirmed = false;
        record.generation += 1;
        record.changed = now;
        if record.shared {
            self.refresh();
        } else {
            self.records.remove(&tag);
        }
        Some(Change::Cleared)
    }

    /// The content that is recorded under a tag.
    #[must_use]
    pub fn content(&self, tag: ContentTag) -> Option<Digest> {
        self.records.get(&tag).map(|it| it.content)
    }

    /// Merges an entry of another router or of the store.
    pub fn merge(&mut self, entry: &Entry, now: Duration) -> Option<Change> {
        let changed = now.saturating_sub(entry.age);
        let record = self.record_mut(entry.content, changed)?;
        let before = (record.confirmed, record.ends.len());
        if entry.generation < record.generation {
            return None;
        }
        if entry.generation > record.generation {
            record.generation = entry.generation;
            record.ends.clear();
            record.open.clear();
            record.confirmed = false;
            record.changed = changed;
        }
        if !entry.ends.is_subset(&record.ends) {
            record.ends.extend(&entry.ends);
            record.changed = record.changed.max(changed);
        }
        record.confirmed |= entry.confirmed;
        record.shared = true;
        if record.retained_until() <= now {
            self.records.remove(&entry.content.tag());
        }
        let after = self.records.get(&entry.content.tag());
        let after = after.map_or((false, 0), |it| (it.confirmed, it.ends.len()));
        let change = match after.cmp(&before) {
            Ordering::Less => Some(Change::Cleared),
            Ordering::Equal => None,
            Ordering::Greater => self.evaluate(entry.content.tag()),
        };
        self.refresh();
        change
    }

    /// Entries that are shared with all routers.
    pub fn entries(&self, now: Duration) -> impl Iterator<Item = Entry> {
        self.shared().map(move |it| Entry {
            content: it.content,
            generation: it.generation,
            ends: it.ends.clone(),
            confirmed: it.confirmed,
            age: now.saturating_sub(it.changed),
        })
    }

    /// Entries to be written to the store, which holds `stored`: quarantines and clearings that it
    /// lacks. After it was restored from a backup, it may lack a quarantine or hold a cleared one.
    #[must_use]
    pub fn missing_from(&self, stored: &[Entry], now: Duration) -> Vec<Entry> {
        let found = |own: &Entry| stored.iter().find(|it| it.content == own.content);
        let missing = self.entries(now).filter(|own| match found(own) {
            None => own.confirmed,
            Some(found) => {
                let earlier = found.generation < own.generation;
                earlier || own.confirmed && !own.ends.is_subset(&found.ends)
            }
        });
        missing.collect()
    }

    fn shared(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|it| it.shared)
    }

    /// Digest of the shared records; 0 if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Recomputes the explained terminations and the digest.
    fn refresh(&mut self) {
        let confirmed = self.records.values().filter(|it| it.confirmed);
        self.explained = confirmed.flat_map(|it| it.ends.iter().copied()).collect();
        let confirmed = self.records.values().filter(|it| it.confirmed);
        self.parts = confirmed.filter_map(|it| it.content.part()).collect();
        self.digest = self.shared().fold(0, |sum, it| sum ^ it.hash());
    }

    /// Number of contents that are quarantined now.
    #[must_use]
    pub fn quarantined_count(&self, now: Duration) -> usize {
        let records = self.records.values();
        let status = records.map(|it| it.status(&self.explained, now));
        status
            .filter(|it| matches!(it, Status::Quarantined(_)))
            .count()
    }

    /// Removes records whose retention is over.
    pub fn prune(&mut self, now: Duration) {
        let mut removed_shared = false;
        self.records.retain(|_, it| {
            let kept = it.retained_until() > now;
            removed_shared |= it.shared && !kept;
            kept
        });
        if removed_shared {
            self.refresh();
        }
    }

    /// The record of a content, created if needed; `None` if another content has the same tag.
    fn record_mut(&mut self, content: Digest, now: Duration) -> Option<&mut Record> {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&content.tag()) {
            self.evict(now);
        }
        let record = self.records.entry(content.tag());
        let record = record.or_insert_with(|| Record::new(content, now));
        (record.content == content).then_some(record)
    }

    /// Removes outdated records and, if all are current, the one with the fewest terminations, of
    /// these the oldest.
    fn evict(&mut self, now: Duration) {
        self.prune(now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let least = self.records.iter();
        let least = least.min_by_key(|(tag, it)| (it.ends.len(), it.changed, **tag));
        if let Some(tag) = least.map(|(tag, _)| *tag) {
            self.records.remove(&tag);
            self.refresh();
        }
    }
}
