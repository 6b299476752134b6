//! Dense indices of the entities that the kernel keeps in tables.
//!
//! Names are used only at the boundary of the kernel. Inside, an entity is an index
//! into the rows of [`crate::table::Table`]. An index denotes the same entity for the
//! life of the kernel: the row of a removed customer is kept without a share, so that
//! late events about it can still be attributed.

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// The index of a row.
            ///
            /// # Panics
            ///
            /// Panics if the row does not fit into 32 bits, which no table reaches.
            #[must_use]
            pub fn new(row: usize) -> Self {
                Self(u32::try_from(row).expect("tables stay below 2^32 rows"))
            }

            /// The row in the table.
            #[must_use]
            pub const fn row(self) -> usize {
                self.0 as usize
            }
        }
    };
}

index!(
    /// A customer of the configuration.
    Customer
);
index!(
    /// A service of the configuration.
    Service
);
index!(
    /// A target of the configuration.
    Target
);
index!(
    /// A failure domain of the configuration.
    Domain
);
index!(
    /// A model named by a service or target.
    Model
);
index!(
    /// Services that compete for the slots of the same targets.
    Pool
);
index!(
    /// A router instance known to this kernel.
    Instance
);

/// A caller's request, numbered by the driver; numbers are never reused within one
/// kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u64);
