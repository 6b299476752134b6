//! Dense indices for everything the kernel keeps in tables.
//!
//! Names appear only at the edge. Inside, an entity is an index into the tables
//! of [`crate::table::Table`] or [`crate::member::View`]. An index, once given,
//! names the same entity for the life of the kernel: a removed customer leaves a
//! row without share, so that late events about it still find their place.

macro_rules! index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// The entity at a row of its table.
            ///
            /// # Panics
            ///
            /// When the row does not fit 32 bits, which no table reaches.
            #[must_use]
            pub fn new(row: usize) -> Self {
                Self(u32::try_from(row).expect("tables stay below 2^32 rows"))
            }

            /// The row of the entity in its table.
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
    /// A model named by some service or target.
    Model
);
index!(
    /// Services that share targets, hence one competition for slots.
    Pool
);
index!(
    /// A router instance seen by this kernel.
    Instance
);

/// A caller's request, numbered by the driver, never used twice by one kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u64);
