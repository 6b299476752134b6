//! A small language for what happens to a fleet and what must then hold.
//!
//! A script is lines of words; `#` starts a comment. The first line sets the fleet,
//! the others happen in order on the virtual clock, which starts with the load:
//!
//! ```text
//! fleet routers=6 targets=6 slots=4 domains=3 customers=6 backlogged=3 seed=7
//! at 3s cut domain-0
//! at 10s join domain-0
//! run 40s
//! expect lost = 0
//! print refused
//! ```
//!
//! `at` runs to a moment and gives a command, `run` runs to a moment, `expect`
//! compares a figure at that moment, `print` shows it. `mark` starts the figures
//! that cover a time (gap, utilisation, idle time, runs at a target) anew. The
//! output has a line for each expectation, and is kept beside the script.
//!
//! - [`parse`]: scripts from text, with errors that name the line.
//! - [`script`]: what a script is made of.
//! - [`figure`]: what can be compared or shown.
//! - [`play`]: scripts against a fleet.

pub mod figure;
pub mod parse;
pub mod play;
pub mod script;
