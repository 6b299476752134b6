//! Registry of plug-ins provided by other packages.
//!
//! A plug-in package submits a [`Placement`] with `inventory::submit!`; once the
//! package is linked, the kernel finds the plug-in by name. Plug-ins are functions
//! without state, so that a kernel makes the same choices for the same events.

use crate::id::Target;

/// A target that can run a request, as a placement sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// Unused slots that this router holds, or for [`crate::settings::Admission::Naive`]
    /// those that it does not use.
    pub free: u32,
    /// Slots of the target.
    pub slots: u32,
    /// Prefix blocks of the request that are estimated to be cached at the target.
    pub cached_blocks: u32,
    /// Whether the target is in this router's failure domain.
    pub same_domain: bool,
    /// Pseudo-random number for this request and target, for tie-breaking.
    pub draw: u32,
}

/// A policy that chooses among targets that can all run a request now.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Name of the policy in the settings.
    pub name: &'static str,
    /// Score of a candidate; the highest is chosen.
    pub score: fn(&Candidate) -> i64,
}

inventory::collect!(Placement);

/// The placement with a name, if a linked package registers it.
#[must_use]
pub fn placement(name: &str) -> Option<&'static Placement> {
    inventory::iter::<Placement>().find(|placement| placement.name == name)
}

/// Names of all registered placements, sorted.
#[must_use]
pub fn placements() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Placement>()
        .map(|placement| placement.name)
        .collect();
    names.sort_unstable();
    names
}
