//! The configuration in force, for threads that only read it.
//!
//! The configuration thread sends a table to the driver first and shows it here
//! after, so a reader never uses an index that the kernel does not know yet.

use std::sync::{Arc, PoisonError, RwLock};

use dunlinward_config::Config;
use dunlinward_kernel::table::Table;

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct Current {
    /// Its revision.
    pub revision: u64,
    /// The file.
    pub config: Arc<Config>,
    /// The file as the kernel knows it.
    pub table: Arc<Table>,
}

/// A place where the configuration in force is found.
#[derive(Debug, Default)]
pub struct Cell {
    current: RwLock<Option<Arc<Current>>>,
}

impl Cell {
    /// A place without a configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force, if there is one.
    #[must_use]
    pub fn get(&self) -> Option<Arc<Current>> {
        self.current
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force.
    pub fn set(&self, current: Current) {
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::new(current));
    }
}
