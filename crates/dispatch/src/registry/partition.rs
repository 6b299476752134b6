//! Partitions of the list, by which routers find the differences between their lists.
//!
//! Each target is assigned to a part by its tag alone, whatever else is listed. A router that
//! learns of a newer list sends the checksums of its parts and receives the parts that differ, so
//! the traffic between routers depends on the amount of change and not on the length of the list.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::index::checksum;
use super::{Delta, Registry};
use crate::target::{Tag, Target};

/// Approximate index of targets per part.
const TARGETS_PER_PART: usize = 16;

/// Maximum index of parts; their checksums take 4 KB in a request.
const MAX_PARTS: usize = 1_024;

/// Checksums of the parts of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checksums(Vec<u32>);

impl Checksums {
    /// Checksums of an empty list, with the maximum index of parts.
    pub(super) fn empty() -> Self {
        Self(vec![0; MAX_PARTS])
    }

    /// Adds a target to its part, or removes it: the operation is its own inverse.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the low half suffices as a checksum"
    )]
    pub(super) fn toggle(&mut self, target: &Target) {
        let count = self.0.len();
        self.0[part_index(target.tag(), count)] ^= checksum(target) as u32;
    }

    /// Checksums for a smaller index of parts, which is a power of two.
    fn folded(&self, count: usize) -> Vec<u32> {
        let mut checksums = vec![0; count];
        for (index, checksum) in self.0.iter().enumerate() {
            checksums[index % count] ^= checksum;
        }
        checksums
    }
}

/// The parts of a list that differ from another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Number of parts into which the lists were partitioned.
    count: usize,
    /// Indices of the parts that differ.
    parts: Vec<u16>,
    /// All targets of these parts.
    targets: Vec<Target>,
    /// Digest of the whole list.
    digest: u64,
}

impl Difference {
    /// All targets of the parts that differ.
    #[must_use]
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Software versions of these targets.
    #[must_use]
    pub fn versions(&self) -> VersionList {
        let mut versions = VersionList::default();
        for target in &self.targets {
            let Some(version) = &target.version else {
                continue;
            };
            let known = versions.names.iter().position(|it| it == version);
            let index = known.unwrap_or_else(|| {
                versions.names.push(version.clone());
                versions.names.len() - 1
            });
            // The others stay unknown to the receiver; no service has that many versions.
            if let Ok(index) = u16::try_from(index) {
                versions.targets.push((target.tag(), index));
            }
        }
        versions
    }

    /// Sets the software versions of the targets.
    #[must_use]
    pub fn with_versions(mut self, versions: &VersionList) -> Self {
        let by_tag: HashMap<_, _> = versions.targets.iter().copied().collect();
        for target in &mut self.targets {
            let index = by_tag.get(&target.tag()).copied();
            let name = index.and_then(|it| versions.names.get(usize::from(it)));
            target.version = name.cloned();
        }
        self
    }
}

/// Software versions of the targets of a [`Difference`], which earlier releases don't send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionList {
    /// Names of the versions.
    names: Vec<Arc<str>>,
    /// Index of each target's version.
    targets: Vec<(Tag, u16)>,
}

impl Registry {
    /// Checksums of the parts of the list.
    #[must_use]
    pub fn checksums(&self) -> Checksums {
        let count = self.targets.len() / TARGETS_PER_PART;
        Checksums(
            self.checksums
                .folded(count.next_power_of_two().min(MAX_PARTS)),
        )
    }

    /// The parts of the list that differ from one with these checksums.
    #[must_use]
    pub fn difference_from(&self, checksums: &Checksums) -> Difference {
        let count = checksums.0.len().clamp(1, MAX_PARTS).next_power_of_two();
        let own = self.checksums.folded(count);
        let theirs = checksums.0.iter().copied().chain(std::iter::repeat(0));
        let differs: Vec<_> = own.iter().zip(theirs).map(|(a, b)| *a != b).collect();
        let numbered = (0u16..).zip(&differs).filter(|(_, differs)| **differs);
        let targets = self
            .listed()
            .filter(|it| differs[part_index(it.tag(), count)]);
        Difference {
            count,
            parts: numbered.map(|(index, _)| index).collect(),
            targets: targets.map(|it| it.as_ref().clone()).collect(),
            digest: self.digest,
        }
    }

    /// Converts a difference to a delta of the known list; `None` if the difference is malformed,
    /// or if the known list has changed since its checksums were sent, so that the difference does
    /// not apply to it.
    #[must_use]
    pub fn delta_from(&self, difference: Difference) -> Option<Delta> {
        let Difference {
            count,
            parts,
            targets,
            digest,
        } = difference;
        if !count.is_power_of_two() || count > MAX_PARTS {
            return None;
        }
        let mut replaced = vec![false; count];
        for index in parts {
            *replaced.get_mut(usize::from(index))? = true;
        }
        let listed: HashSet<&str> = targets.iter().map(|it| it.id.as_ref()).collect();
        let mut merged_digest = targets
            .iter()
            .map(checksum)
            .fold(self.digest, |digest, it| digest ^ it);
        let mut dropped = Vec::new();
        for (tag, known) in &self.targets {
            if !replaced[part_index(*tag, count)] || self.retained.contains(tag) {
                continue;
            }
            merged_digest ^= checksum(known);
            if !listed.contains(known.id.as_ref()) {
                dropped.push(known.id.clone());
            }
        }
        (merged_digest == digest).then_some(Delta {
            written: targets,
            unreadable: Vec::new(),
            dropped,
        })
    }
}

fn part_index(tag: Tag, count: usize) -> usize {
    tag.0 as usize % count
}
