//! Which instances are alive.
//!
//! Two sources, each wrong at times: the platform's list lags, and silence may be
//! a cut instead of a death. An instance counts as alive when it is listed or was
//! heard, is not leaving, and is not suspected. Suspicion comes from the account
//! rounds (several answers in a row missing) or a lost link, and ends as soon as
//! the instance is heard again. An instance that is neither listed nor heard for
//! [`FORGET`] is dropped.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::key::Key;
use crate::time::Instant;

/// How long an unlisted instance is remembered after it was last heard.
pub const FORGET: Duration = Duration::from_mins(1);

/// An instance of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What is known of an instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its failure domain, as a key.
    pub domain: Key,
    /// Its incarnation, once heard.
    pub incarnation: u64,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it was last heard.
    pub heard: Option<Instant>,
    /// Since when it is suspected to be dead or cut off.
    pub suspected: Option<Instant>,
}

impl Member {
    /// Whether the instance may be given duties.
    #[must_use]
    pub const fn live(&self) -> bool {
        self.reachable() && !self.leaving
    }

    /// Whether the instance is there, leaving or not.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        (self.listed || self.heard.is_some()) && self.suspected.is_none()
    }
}

/// What hearing from an instance changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing: it was known and alive.
    Same,
    /// It was not counted as alive before.
    Back,
    /// It has restarted: what it held before is void.
    Restarted,
    /// The message is from a run of it that has ended; drop it.
    Stale,
}

/// The instances, as this router sees them. Ordered by key, so that iteration is
/// the same everywhere.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<Key, Member>,
    /// Rises with every change of who is alive.
    pub version: u64,
}

impl View {
    /// A view without instances.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the platform's list: what it names is listed, all else is not.
    pub fn list(&mut self, listed: &[Listed]) {
        let before = self.live_set();
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for entry in listed {
            let member = self.entry(Key::new(&entry.name), Key::new(&entry.domain));
            member.listed = true;
            member.leaving = entry.leaving;
        }
        self.bump_unless(&before);
    }

    /// Notes that an instance was heard.
    pub fn hear(&mut self, now: Instant, from: Key, domain: Key, incarnation: u64) -> Heard {
        let member = self.entry(from, domain);
        if incarnation < member.incarnation {
            return Heard::Stale;
        }
        let restarted = member.incarnation != 0 && incarnation > member.incarnation;
        let was_live = member.live();
        member.incarnation = incarnation;
        member.heard = Some(now);
        if restarted {
            member.leaving = false;
            member.suspected = None;
        }
        let is_live = member.live();
        if was_live != is_live {
            self.version += 1;
        }
        match (restarted, was_live) {
            (true, _) => Heard::Restarted,
            (false, false) => Heard::Back,
            (false, true) => Heard::Same,
        }
    }

    /// Notes that an instance is suspected; true when it counted as alive.
    pub fn suspect(&mut self, now: Instant, key: Key) -> bool {
        let Some(member) = self.members.get_mut(&key) else {
            return false;
        };
        let was_live = member.live();
        member.suspected.get_or_insert(now);
        if was_live {
            self.version += 1;
        }
        was_live
    }

    /// Ends a suspicion.
    pub fn clear(&mut self, key: Key) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        let was_live = member.live();
        member.suspected = None;
        if was_live != member.live() {
            self.version += 1;
        }
    }

    /// Instances that are suspected.
    pub fn suspects(&self) -> impl Iterator<Item = Key> {
        self.all()
            .filter(|(_, member)| member.suspected.is_some())
            .map(|(key, _)| key)
    }

    /// Notes that an instance says it is leaving.
    pub fn leave(&mut self, key: Key) {
        if let Some(member) = self.members.get_mut(&key)
            && !member.leaving
        {
            member.leaving = true;
            self.version += 1;
        }
    }

    /// Drops instances that are neither listed nor heard for [`FORGET`].
    pub fn prune(&mut self, now: Instant) {
        let before = self.live_set();
        self.members.retain(|_, member| {
            member.listed || member.heard.is_some_and(|at| now.since(at) < FORGET)
        });
        self.bump_unless(&before);
    }

    /// What is known of an instance.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Whether an instance counts as alive.
    #[must_use]
    pub fn is_live(&self, key: Key) -> bool {
        self.members.get(&key).is_some_and(Member::live)
    }

    /// Whether an instance is suspected.
    #[must_use]
    pub fn is_suspected(&self, key: Key) -> bool {
        self.members
            .get(&key)
            .is_some_and(|member| member.suspected.is_some())
    }

    /// Every instance known.
    pub fn all(&self) -> impl Iterator<Item = (Key, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// Live instances.
    pub fn live(&self) -> impl Iterator<Item = Key> {
        self.all()
            .filter(|(_, member)| member.live())
            .map(|(key, _)| key)
    }

    /// Live instances of a failure domain.
    pub fn live_in(&self, domain: Key) -> impl Iterator<Item = Key> {
        self.all()
            .filter(move |(_, member)| member.live() && member.domain == domain)
            .map(|(key, _)| key)
    }

    /// Instances that are not suspected, leaving ones included.
    pub fn reachable(&self) -> impl Iterator<Item = Key> {
        self.all()
            .filter(|(_, member)| member.suspected.is_none())
            .map(|(key, _)| key)
    }

    fn entry(&mut self, key: Key, domain: Key) -> &mut Member {
        self.members.entry(key).or_insert(Member {
            domain,
            incarnation: 0,
            listed: false,
            leaving: false,
            heard: None,
            suspected: None,
        })
    }

    fn live_set(&self) -> Vec<Key> {
        self.live().collect()
    }

    fn bump_unless(&mut self, before: &[Key]) {
        if self.live_set() != before {
            self.version += 1;
        }
    }
}
