//! Targets that must get nothing, whoever gave a place there.
//!
//! The owner of a cell places requests by what it knows; the router that sends one may know better, or
//! learn better while it opens a connection. So what is said here holds three times: when a place is
//! chosen, when it is taken, and before the first byte is sent.

use dunlinward_dispatch::cell::{self, Cell, ServiceTag};
use dunlinward_dispatch::prefix::Prefix;
use dunlinward_dispatch::target::{State as Condition, Target};

use super::State;

/// Why a target must get nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bar {
    /// Operators have evacuated its failure domain.
    Evacuated,
    /// It is about to end.
    Leaving,
}

impl Bar {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
        }
    }
}

impl State {
    /// Why a target must get nothing, if it must not.
    pub(crate) fn barred(&self, target: &Target) -> Option<Bar> {
        let known = self.registry.get(target.tag());
        if known.is_some_and(|it| it.state == Condition::Leaving) {
            return Some(Bar::Leaving);
        }
        self.evacuated(target).then_some(Bar::Evacuated)
    }

    /// Whether a target's failure domain is evacuated.
    pub(crate) fn evacuated(&self, target: &Target) -> bool {
        self.evacuations.evacuated(&target.domain)
    }

    /// Whether a target may get work, as far as lists, operators and it itself say.
    pub(crate) fn open(&self, target: &Target) -> bool {
        target.state == Condition::Ready && self.barred(target).is_none()
    }

    /// Whether there are targets in a cell, and none of them may get anything: who waits for one waits
    /// in vain.
    pub(crate) fn closed(&self, cell: Cell) -> bool {
        let targets = self.registry.of_cell(cell);
        !targets.is_empty() && !targets.iter().any(|it| self.open(it))
    }

    /// The cell that is home to a prefix, or to a request without one. While none of its targets may
    /// get anything, that is the next one where one may.
    pub(crate) fn home(&self, service: &str, prefix: Prefix) -> Cell {
        let service = ServiceTag::new(service);
        let cells = self.registry.cells(service);
        let sizes: Vec<_> = cells.iter().map(Vec::len).collect();
        let home = cell::home(prefix, &sizes).unwrap_or_default();
        let count = u16::try_from(sizes.len()).unwrap_or(u16::MAX).max(1);
        let mut turns = (0..count).map(|turn| Cell {
            service,
            index: (home + turn) % count,
        });
        let open = turns.find(|it| {
            let mut targets = self.registry.of_cell(*it).iter();
            targets.any(|it| self.open(it))
        });
        open.unwrap_or(Cell {
            service,
            index: home,
        })
    }
}
