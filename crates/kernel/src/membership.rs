//! Membership: which instances are live.
//!
//! There are two sources, and neither is reliable alone: the platform's list lags,
//! and missing messages may be due to a network partition instead of a crash. An
//! instance counts as live when it is listed or a message from it has been received,
//! it is not leaving, and it is not suspected. Suspicion comes from the account
//! rounds: an instance misses several consecutive rounds, or a root is silent for too
//! long. It is cleared by the messages of later rounds or by a restart of the instance.
//! An instance that is not listed and has sent no message for [`RETENTION`] is removed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::key::Key;
use crate::time::Instant;

/// Time after its last message for which an unlisted instance is kept.
pub const RETENTION: Duration = Duration::from_mins(1);

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// State of an instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its failure domain, as a key.
    pub domain: Key,
    /// Its last known incarnation; 0 until a message is received.
    pub incarnation: u64,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Time of the last message received from it.
    pub received_at: Option<Instant>,
    /// Time since which it is suspected to be dead or unreachable.
    pub suspected: Option<Instant>,
}

impl Member {
    /// Whether the instance counts as live.
    #[must_use]
    pub const fn live(&self) -> bool {
        self.reachable() && !self.leaving
    }

    /// Whether the instance is known and not suspected, leaving or not.
    #[must_use]
    pub const fn reachable(&self) -> bool {
        (self.listed || self.received_at.is_some()) && self.suspected.is_none()
    }
}

/// Effect of a received message on the sender's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// None: the sender was live already.
    Same,
    /// The sender did not count as live before.
    Back,
    /// The sender has restarted: slots that it held before are void.
    Restarted,
    /// The message is from an earlier incarnation and must be ignored.
    Stale,
}

/// Instances known to this router, ordered by key, so that the iteration order is the
/// same at all routers.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<Key, Member>,
    /// Incremented with every change of the set of live instances.
    pub version: u64,
}

impl View {
    /// A view without instances.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the platform's list; instances that it lacks become unlisted.
    pub fn apply_list(&mut self, listed: &[Listed]) {
        let before = self.live_set();
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for entry in listed {
            let member = self.entry(Key::new(&entry.name), Key::new(&entry.domain));
            member.listed = true;
            member.leaving = entry.leaving;
        }
        self.update_version(&before);
    }

    /// Records a message received from an instance.
    pub fn record_message(
        &mut self,
        now: Instant,
        from: Key,
        domain: Key,
        incarnation: u64,
    ) -> Contact {
        let member = self.entry(from, domain);
        if incarnation < member.incarnation {
            return Contact::Stale;
        }
        let restarted = member.incarnation != 0 && incarnation > member.incarnation;
        let was_live = member.live();
        member.incarnation = incarnation;
        member.received_at = Some(now);
        if restarted {
            member.leaving = false;
            member.suspected = None;
        }
        let is_live = member.live();
        if was_live != is_live {
            self.version += 1;
        }
        match (restarted, was_live) {
            (true, _) => Contact::Restarted,
            (false, false) => Contact::Back,
            (false, true) => Contact::Same,
        }
    }

    /// Marks an instance as suspected; true if it was live.
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

    /// Clears the suspicion of an instance.
    pub fn clear_suspicion(&mut self, key: Key) {
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        let was_live = member.live();
        member.suspected = None;
        if was_live != member.live() {
            self.version += 1;
        }
    }

    /// Suspected instances.
    pub fn suspects(&self) -> impl Iterator<Item = Key> {
        self.all()
            .filter(|(_, member)| member.suspected.is_some())
            .map(|(key, _)| key)
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&mut self, key: Key) {
        if let Some(member) = self.members.get_mut(&key)
            && !member.leaving
        {
            member.leaving = true;
            self.version += 1;
        }
    }

    /// Removes unlisted instances that have sent no message for [`RETENTION`].
    pub fn prune(&mut self, now: Instant) {
        let before = self.live_set();
        self.members.retain(|_, member| {
            member.listed
                || member
                    .received_at
                    .is_some_and(|at| now.since(at) < RETENTION)
        });
        self.update_version(&before);
    }

    /// State of an instance.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Whether an instance is live.
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

    /// All known instances.
    pub fn all(&self) -> impl Iterator<Item = (Key, &Member)> {
        self.members.iter().map(|(key, member)| (*key, member))
    }

    /// Live instances.
    pub fn live(&self) -> impl Iterator<Item = Key> {
        self.all()
            .filter(|(_, member)| member.live())
            .map(|(key, _)| key)
    }

    /// Live instances in a failure domain.
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
            received_at: None,
            suspected: None,
        })
    }

    fn live_set(&self) -> Vec<Key> {
        self.live().collect()
    }

    /// Increments the version if the set of live instances differs from `before`.
    fn update_version(&mut self, before: &[Key]) {
        if self.live_set() != before {
            self.version += 1;
        }
    }
}
