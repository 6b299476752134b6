//! Decisions of a router on the shared data path.
//!
//! Everything here is pure: no input or output, no clock, no randomness. Times
//! are durations since the router started and come with each call. The crate
//! `dunlinward-path` brings events and carries out what is decided.
//!
//! - [`configuration`]: routes, services, customers and limits in force.
//! - [`content`]: what a request asks, whoever carries it.
//! - [`quarantine`], [`interruptions`], [`inflight`]: contents under which targets end.
//! - [`target`], [`registry`]: the targets that are known, and which may get work.
//! - [`store`], [`evacuation`]: what the platform's store says, and failure domains that get nothing.
//! - [`cold_start`]: targets that bear few requests for now.
//! - [`leaving`], [`backoff`]: what targets say of themselves: that they end, that they want no more.
//! - [`cell`], [`member`]: groups of targets, and the router that places requests there.
//! - [`membership`]: which routers are alive.
//! - [`usage`]: work at each target, this router's and its peers'.
//! - [`prefix`], [`cache`], [`placement`]: which target runs a request.
//! - [`grants`]: places given to other routers, and which of them are not used.
//! - [`share`]: what each customer has used and may use.
//! - [`tries`], [`returns`]: which requests are a caller's first try.
//! - [`budget`]: how often a request may be sent once more.
//! - [`health`]: targets that fail and are left alone for a while.
//! - [`reachability`]: failure domains that may be cut off.
//! - [`reading`]: when views were read, as routers tell each other.
//! - [`polling`]: who calls the store for a view, and when.
//! - [`region`], [`round_trip`]: which failure domains are near, and how long ways take.
//! - [`report`]: what routers tell each other.

pub mod backoff;
pub mod budget;
pub mod cache;
pub mod cell;
pub mod cold_start;
pub mod configuration;
pub mod content;
pub mod evacuation;
pub mod grants;
pub mod health;
pub mod inflight;
pub mod interruptions;
pub mod leaving;
pub mod member;
pub mod membership;
pub mod placement;
pub mod polling;
pub mod prefix;
pub mod quarantine;
pub mod reachability;
pub mod reading;
pub mod region;
pub mod registry;
pub mod report;
pub mod returns;
pub mod round_trip;
pub mod share;
pub mod store;
pub mod target;
pub mod tries;
pub mod usage;
