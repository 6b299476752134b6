//! The policies a dunlinward kernel may run with.
//!
//! Each module registers its plug-ins with the kernel; linking this package, and
//! calling [`link`] once so that the linker keeps it, makes them available by name.

pub mod placement;

/// Keeps the plug-ins of this package in the program, and names them.
#[must_use]
pub fn link() -> Vec<&'static str> {
    dunlinward_kernel::plugin::placements()
}
