//! What may vary, registered by other packages.
//!
//! A plug-in package submits a [`Placement`] entry with `inventory::submit!`;
//! linking the package is all that is needed for the kernel to find it by name.
//! Plug-ins are plain functions over plain data: they keep no state, so a kernel
//! with the same events makes the same choice.

use crate::id::Target;

/// What a placement may know of a target that could run a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: Target,
    /// Slots of it that this router holds unused, or believes free.
    pub free: u32,
    /// Slots it has in all.
    pub slots: u32,
    /// Prefix blocks of the request believed to be cached there.
    pub cached: u32,
    /// Whether it is in this router's failure domain.
    pub near: bool,
    /// A number drawn for this request and target, for ties.
    pub draw: u32,
}

/// A rule that chooses between targets that could all run a request now.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// Its name in the settings.
    pub name: &'static str,
    /// The worth of a candidate; the greatest is chosen.
    pub worth: fn(&Candidate) -> i64,
}

inventory::collect!(Placement);

/// The placement of a name, if a linked package registers it.
#[must_use]
pub fn placement(name: &str) -> Option<&'static Placement> {
    inventory::iter::<Placement>().find(|entry| entry.name == name)
}

/// Names of all registered placements, sorted.
#[must_use]
pub fn placements() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<Placement>()
        .map(|entry| entry.name)
        .collect();
    names.sort_unstable();
    names
}
