//! Parts of the list, by which routers find what differs between theirs.
//!
//! Each target is in the part that its short name says, whatever else is listed. A router that knows of
//! a newer list tells the sums of its parts and gets those that differ: what goes between routers
//! follows from what has changed and not from the length of the list.

use serde::{Deserialize, Serialize};

use super::index::sum;
use super::{Listing, Registry};
use crate::target::{Tag, Target};

/// Targets of a part, about.
const TARGETS: usize = 16;

/// Parts of a list at the most: a question of 4 KB.
const MOST: usize = 1_024;

/// Sums of the parts of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums(Vec<u32>);

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
        Sums(self.sums_of(count.next_power_of_two().min(MOST)))
    }

    /// What of the list differs from one with these sums.
    #[must_use]
    pub fn differing(&self, sums: &Sums) -> Difference {
        let count = sums.0.len().clamp(1, MOST);
        let own = self.sums_of(count);
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

    /// The list with the parts replaced that differ; none if it has changed since its sums were told,
    /// so that this is not the other router's list.
    #[must_use]
    pub fn merged(&self, difference: Difference) -> Option<Listing> {
        let Difference {
            count,
            parts,
            mut targets,
            digest,
        } = difference;
        if count == 0 || count > MOST {
            return None;
        }
        let mut replaced = vec![false; count];
        for number in parts {
            *replaced.get_mut(usize::from(number))? = true;
        }
        let same = self.listed().filter(|it| !replaced[part(it.tag(), count)]);
        targets.extend(same.map(|it| it.as_ref().clone()));
        let sums = targets.iter().map(sum);
        (sums.fold(0, |all, it| all ^ it) == digest).then(|| targets.into())
    }

    #[expect(clippy::cast_possible_truncation, reason = "a sum of fewer bits")]
    fn sums_of(&self, count: usize) -> Vec<u32> {
        let mut sums = vec![0; count];
        for target in self.listed() {
            sums[part(target.tag(), count)] ^= sum(target) as u32;
        }
        sums
    }
}

fn part(tag: Tag, count: usize) -> usize {
    tag.0 as usize % count
}
