//! Speed of a target relative to the others of its cell, from times of prefills and answers.
//!
//! The time to a first event has a constant part besides the prefill, so short prompts show a lower
//! rate than long ones at the same engine. Samples are therefore compared within a class of similar
//! size only. The longest prompts tell most about the rate, so the largest class with enough samples
//! is used.
//!
//! Delays outside the target lengthen a sample, so the rate of a class is an upper quantile. Whether
//! a target differs at all is tested with the median, which is certain with fewer samples: of n
//! samples, those whose ranks are some standard deviations of a binomial distribution below and
//! above the middle enclose the median of the target.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{MAX_SAMPLE_AGE, Sample};

/// Samples below which a target is treated as the median: fewer cannot tell a slow target from one
/// that was slow for a moment.
const MIN_SAMPLES: usize = 12;

/// Most samples kept per target and class: some seconds under load. More would only delay the
/// detection of a change.
const MAX_SAMPLES: usize = 48;

/// Quantile of the rates in a class that counts as the rate of the target.
const QUANTILE: f64 = 0.75;

/// Half of the interval in which the median is assumed, in standard deviations: with fewer, chance
/// makes targets that are alike differ. With 12 samples, the interval covers all of them.
const ERROR_DEVIATIONS: f64 = 4.0;

/// Ratio to the median up to which a target counts as alike: clients gain little from a distinction
/// below that.
const MIN_RATIO: f64 = 1.2;

/// Ratio by which the interval of a target's median must lie beyond the median of the cell, which has
/// an error too.
const MIN_ERROR_RATIO: f64 = 1.05;

/// Targets of a cell that must have an estimate for a median.
const MIN_TARGETS: usize = 3;

/// Range of the relative speed that is used. A target that appears even faster or slower gets as
/// much work as at this limit, so that one wrong estimate cannot attract or repel all work.
const SPEED_RANGE: (f64, f64) = (0.2, 3.0);

/// Class of samples of similar size: the logarithm of the number of tokens to base 4. With base 2,
/// the prompts of one kind are spread over more classes, and each takes longer to get enough samples.
type Class = u32;

/// Estimated speed of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    /// Rate in tokens or answers per second.
    pub(super) rate: f64,
    /// Rate relative to the median; 1 if it is alike within the error.
    pub(super) relative: f64,
}

/// Rates of one class.
#[derive(Clone, Copy, Debug)]
struct Rates {
    /// Upper quantile.
    quantile: f64,
    median: f64,
    /// Range in which the median of the target is assumed.
    low: f64,
    high: f64,
}

/// Samples of one target.
#[derive(Clone, Debug, Default)]
pub(super) struct Samples {
    classes: BTreeMap<Class, VecDeque<(Duration, f64)>>,
}

impl Samples {
    pub(super) fn record(&mut self, samples: &[Sample], now: Duration) {
        for sample in samples {
            let class = sample.tokens.max(1).ilog2() / 2;
            let rates = self.classes.entry(class).or_default();
            if rates.len() >= MAX_SAMPLES {
                rates.pop_front();
            }
            rates.push_back((now, sample.rate()));
        }
    }

    pub(super) fn prune(&mut self, now: Duration) {
        let is_old = |at: Duration| now.saturating_sub(at) >= MAX_SAMPLE_AGE;
        for rates in self.classes.values_mut() {
            while rates.front().is_some_and(|(at, _)| is_old(*at)) {
                rates.pop_front();
            }
        }
        self.classes.retain(|_, it| !it.is_empty());
    }

    pub(super) fn len(&self) -> usize {
        self.classes.values().map(VecDeque::len).sum()
    }

    /// Speed relative to the medians of the cell; none without enough samples.
    pub(super) fn speed(&self, medians: &Medians) -> Option<Speed> {
        let mut classes = self.classes.iter().rev();
        let (cell, rates) = classes.find_map(|(class, rates)| {
            let cell = medians.0.get(class)?;
            Some((*cell, Rates::new(rates)?))
        })?;
        Some(Speed {
            rate: rates.quantile,
            relative: rates.relative_to(cell),
        })
    }
}

/// Rates of the median target of a cell in each class.
#[derive(Clone, Debug, Default)]
pub(super) struct Medians(BTreeMap<Class, Median>);

#[derive(Clone, Copy, Debug)]
struct Median {
    quantile: f64,
    median: f64,
}

impl Medians {
    pub(super) fn new<'a>(targets: impl Iterator<Item = &'a Samples>) -> Self {
        let mut classes: BTreeMap<Class, Vec<Rates>> = BTreeMap::new();
        for (class, rates) in targets.flat_map(|it| &it.classes) {
            if let Some(rates) = Rates::new(rates) {
                classes.entry(*class).or_default().push(rates);
            }
        }
        classes.retain(|_, it| it.len() >= MIN_TARGETS);
        let medians = classes.into_iter().map(|(class, rates)| {
            let median = Median {
                quantile: median(rates.iter().map(|it| it.quantile)),
                median: median(rates.iter().map(|it| it.median)),
            };
            (class, median)
        });
        Self(medians.collect())
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

impl Rates {
    /// Statistics of the rates of a class; none without enough samples.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "some dozen samples"
    )]
    fn new(rates: &VecDeque<(Duration, f64)>) -> Option<Self> {
        if rates.len() < MIN_SAMPLES {
            return None;
        }
        let mut rates: Vec<f64> = rates.iter().map(|(_, rate)| *rate).collect();
        rates.sort_by(f64::total_cmp);
        let last = rates.len() - 1;
        let at = |rank: f64| rates[(rank.max(0.0).round() as usize).min(last)];
        let error = ERROR_DEVIATIONS * (rates.len() as f64).sqrt() / 2.0;
        let middle = last as f64 / 2.0;
        Some(Self {
            quantile: at(last as f64 * QUANTILE),
            median: at(middle),
            low: at(middle - error),
            high: at(middle + error),
        })
    }

    /// Speed relative to the median target; 1 if they are alike within the error.
    fn relative_to(&self, cell: Median) -> f64 {
        let slower =
            self.high * MIN_ERROR_RATIO < cell.median && self.quantile * MIN_RATIO < cell.quantile;
        let faster =
            self.low > cell.median * MIN_ERROR_RATIO && self.quantile > cell.quantile * MIN_RATIO;
        if !slower && !faster {
            return 1.0;
        }
        let (min, max) = SPEED_RANGE;
        (self.quantile / cell.quantile).clamp(min, max)
    }
}
