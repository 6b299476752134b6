//! What the machine does beside the measurement.

use std::fs;

use serde::Serialize;

/// Load of the machine; a figure is absent where the system does not tell it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Machine {
    /// Processors that this process may use.
    pub processors: usize,
    /// Load average of the last minute.
    pub load_average: Option<f64>,
}

impl Machine {
    /// The machine now.
    pub(super) fn now() -> Self {
        let processors = std::thread::available_parallelism();
        Self {
            processors: processors.map_or(1, std::num::NonZero::get),
            load_average: load_average(),
        }
    }
}

fn load_average() -> Option<f64> {
    let text = fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
