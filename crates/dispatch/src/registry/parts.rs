//! Parts of the list, by which routers find what differs between theirs.
//!
//! Each target is in the part that its short name says, whatever else is listed. A router that knows of
//! a newer list tells the sums of its parts and gets those that differ: what goes between routers
//! follows from what has changed and not from the length of the list.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

use super::index::sum;
use super::{Delta, Registry};
use crate::target::{Tag, Target};

/// Targets of a part, about.
const TARGETS: usize = 16;

/// Parts of a list at the most: a question of 4 KB.
const MOST: usize = 1_024;

/// Sums of the parts of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums(Vec<u32>);

impl Sums {
    /// Those of an empty list, in as many parts as there may be.
    pub(super) fn zero() -> Self {
        Self(vec![0; MOST])
    }

    /// Adds a target, or takes it away.
    #[expect(clippy::cast_possible_truncation, reason = "a sum of fewer bits")]
    pub(super) fn flip(&mut self, target: &Target) {
        let count = self.0.len();
        self.0[part(target.tag(), count)] ^= sum(target) as u32;
    }

    /// The sums of fewer parts, by a power of two.
    fn folded(&self, count: usize) -> Vec<u32> {
        let mut sums = vec![0; count];
        for (number, sum) in self.0.iter().enumerate() {
            sums[number % count] ^= sum;
        }
        sums
    }
}

/// The parts of a list that differ from another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Into how many parts the lists were cut.
    count: usize,
    /// Numbers of the parts that differ.
    parts: Vec<u16>,
    /// All targets of these parts.
    targets: Vec<Target>,
    /// Sum of the whole list.
    digest: u64,
}

impl Difference {
    /// Targets that it has.
    #[must_use]
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }
}

impl Registry {
    /// Sums of the parts of the list.
    #[must_use]
    pub fn sums(&self) -> Sums {
        let count = self.targets.len() / TARGETS;
        Sums(self.sums.folded(count.next_power_of_two().min(MOST)))
    }

    /// What of the list differs from one with these sums.
    #[must_use]
    pub fn differing(&self, sums: &Sums) -> Difference {
        let count = sums.0.len().clamp(1, MOST).next_power_of_two();
        let own = self.sums.folded(count);
        let theirs = sums.0.iter().copied().chain(std::iter::repeat(0));
        let differs: Vec<_> = own.iter().zip(theirs).map(|(a, b)| *a != b).collect();
        let numbered = (0u16..).zip(&differs).filter(|(_, differs)| **differs);
        let targets = self.listed().filter(|it| differs[part(it.tag(), count)]);
        Difference {
            count,
            parts: numbered.map(|(number, _)| number).collect(),
            targets: targets.map(|it| it.as_ref().clone()).collect(),
            digest: self.digest,
        }
    }

    /// What a difference says that is not known; none if the list has changed since its sums were
    /// told, so that the difference is not to this one.
    #[must_use]
    pub fn delta_of(&self, difference: Difference) -> Option<Delta> {
        let Difference {
            count,
            parts,
            targets,
            digest,
        } = difference;
        if !count.is_power_of_two() || count > MOST {
            return None;
        }
        let mut replaced = vec![false; count];
        for number in parts {
            *replaced.get_mut(usize::from(number))? = true;
        }
        let told: HashSet<&str> = targets.iter().map(|it| it.id.as_ref()).collect();
        let mut sums = targets
            .iter()
            .map(sum)
            .fold(self.digest, |all, it| all ^ it);
        let mut dropped = Vec::new();
        for (tag, known) in &self.targets {
            if !replaced[part(*tag, count)] || self.kept.contains(tag) {
                continue;
            }
            sums ^= sum(known);
            if !told.contains(known.id.as_ref()) {
                dropped.push(known.id.clone());
            }
        }
        (sums == digest).then_some(Delta {
            written: targets,
            unreadable: Vec::new(),
            dropped,
        })
    }
}

fn part(tag: Tag, count: usize) -> usize {
    tag.0 as usize % count
}
