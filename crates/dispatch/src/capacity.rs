//! Capacity of the engines of a fleet, in tokens, for the shares of customers.
//!
//! Load: customers ask for more than the engines produce. The capacity that is to be shared is the
//! larger of the tokens granted within the window and those that the available engines produce in
//! it by the configuration. The tokens granted alone are too little: each refusal lowers them.
//!
//! The configured rate alone may be too much: engines that are slower than it says, or that run out
//! of slots first. Customers that flood are then within their shares, and others are refused. So
//! requests within their shares that find all engines saturated count as a shortage, and while there is
//! one the capacity moves towards what was granted. Small customers are then served first again.

use std::time::Duration;

/// Largest usable rate of the configuration, in tokens per second: a thousand engines at the
/// largest plausible prefill rate. A configuration without a rate has `f64::MAX`.
const MAX_TOKENS_PER_SECOND: f64 = 1e9;

/// Time constant of the sums from which a shortage is computed: short against the window, so that
/// few customers are refused until it is noticed.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);

/// Part of the tokens within shares that may be refused at saturated engines without a shortage: a drawn
/// load saturates all engines now and then.
const MAX_SHORTAGE: f64 = 0.02;

/// Time constant with which the configured rate loses its weight during a shortage.
const FALL_TIME: Duration = Duration::from_millis(500);

/// Weight that the configured rate regains per second without a shortage.
const RISE_PER_SECOND: f64 = 0.05;

/// The engines to which the configured rate refers: the most that were available at once since that
/// rate last changed. A router that starts while engines are lost does not know these.
#[derive(Clone, Copy, Debug, Default)]
struct Engines {
    tokens_per_second: f64,
    most: usize,
}

impl Engines {
    /// The fraction of them that is available, 0 to 1.
    fn fraction(&mut self, tokens_per_second: f64, available: usize) -> f64 {
        if self.tokens_per_second.to_bits() != tokens_per_second.to_bits() {
            self.tokens_per_second = tokens_per_second;
            self.most = 0;
        }
        self.most = self.most.max(available);
        #[expect(clippy::cast_precision_loss, reason = "a few hundred engines")]
        let fraction = available as f64 / self.most.max(1) as f64;
        fraction
    }
}

/// Tokens of requests within their shares, as sums that decay over time.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    granted: f64,
    refused: f64,
    at: Duration,
}

impl Recent {
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let factor = (-elapsed / SHORTAGE_TIME.as_secs_f64()).exp();
        self.granted *= factor;
        self.refused *= factor;
        self.at = self.at.max(now);
    }

    fn refused_ratio(&self) -> f64 {
        self.refused / (self.granted + self.refused).max(1.0)
    }
}

/// Capacity of the engines.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Tokens per second of the available engines by the configuration; none if unknown.
    rate: Option<f64>,
    engines: Engines,
    recent: Recent,
    /// Weight of the configured rate, 0 to 1.
    weight: f64,
    weight_at: Duration,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            rate: None,
            engines: Engines::default(),
            recent: Recent::default(),
            weight: 1.0,
            weight_at: Duration::ZERO,
        }
    }
}

impl Capacity {
    /// Sets the rate of all engines by the configuration, in tokens per second, and the number of
    /// engines that are available. A rate that no fleet can have counts as unknown.
    pub fn set(&mut self, tokens_per_second: f64, available: usize) {
        let usable = tokens_per_second > 0.0 && tokens_per_second <= MAX_TOKENS_PER_SECOND;
        self.rate =
            usable.then(|| tokens_per_second * self.engines.fraction(tokens_per_second, available));
    }

    /// Records tokens granted to requests within their shares.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn record_granted(&mut self, tokens: u64, now: Duration) {
        self.recent.decay(now);
        self.recent.granted += tokens as f64;
    }

    /// Records tokens of a request within its share that was refused while all engines were saturated.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn record_shortage(&mut self, tokens: u64, now: Duration) {
        self.recent.decay(now);
        self.recent.refused += tokens as f64;
    }

    /// Tokens that the available engines produce in a time by the configuration.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is positive and bounded"
    )]
    pub fn configured(&self, time: Duration) -> Option<u64> {
        self.rate.map(|it| (it * time.as_secs_f64()) as u64)
    }

    /// Weight of the configured rate, 0 to 1, since the last update.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Updates the weight of the configured rate; returns the capacity, in tokens, if `granted` were
    /// granted in `time`.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "token counts are positive and far below 2^52"
    )]
    pub fn update(&mut self, granted: u64, time: Duration, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.weight_at).min(SHORTAGE_TIME);
        let elapsed = elapsed.as_secs_f64();
        self.weight_at = now;
        self.recent.decay(now);
        self.weight = if self.recent.refused_ratio() > MAX_SHORTAGE {
            self.weight * (-elapsed / FALL_TIME.as_secs_f64()).exp()
        } else {
            (self.weight + RISE_PER_SECOND * elapsed).min(1.0)
        };
        let configured = self.configured(time).unwrap_or_default();
        let unused = configured.saturating_sub(granted);
        granted + (unused as f64 * self.weight) as u64
    }
}
