//! Policies for the dunlinward kernel.
//!
//! Each module registers its plug-ins with the kernel by name. A program that links
//! this package must call [`link`] once, so that the linker does not discard it.

pub mod placement;

/// Keeps the plug-ins of this package linked and returns the names of all placements.
#[must_use]
pub fn link() -> Vec<&'static str> {
    dunlinward_kernel::plugin::placements()
}
