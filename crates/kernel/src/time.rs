//! Moments as the driver tells them.
//!
//! The kernel has no clock. A driver passes an [`Instant`] with each event; it
//! may come from a monotone clock or from a measurement's virtual time. Instants
//! of one kernel never go backwards and are never compared across routers.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on the driver's clock, in microseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The start of the driver's clock.
    pub const ZERO: Self = Self(0);

    /// A moment `micros` microseconds after the start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time passed since `earlier`, or zero when that lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
