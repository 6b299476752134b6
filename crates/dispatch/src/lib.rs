//! Decisions of a router on the shared data path.
//!
//! All code here is pure: no input or output, no clock, no randomness. Times are durations since
//! the router started and are passed with each call. The crate `dunlinward-path` feeds in events
//! and carries out the decisions.
//!
//! - [`configuration`]: routes, services, customers and limits in force.
//! - [`content`]: identity of what a request asks, independent of its caller.
//! - [`quarantine`], [`interruptions`], [`inflight`]: contents whose runs end targets.
//! - [`harmful_part`]: parts of prompts whose runs end targets.
//! - [`target`], [`registry`]: known targets, and which of them may receive work.
//! - [`store`], [`evacuation`]: state read from the store of the platform, and failure domains that
//!   receive no work.
//! - [`continuation`]: streams that continue only at the software version that began them.
//! - [`cold_start`]: targets that can take only few requests for now.
//! - [`leaving`], [`backoff`]: targets that announce their end, and targets that refuse requests.
//! - [`cell`], [`member`]: groups of targets, and the router that places requests in each.
//! - [`membership`]: which routers are alive.
//! - [`usage`]: load at each target, from this router and its peers.
//! - [`prefix`], [`cache`], [`placement`]: choice of the target that runs a request.
//! - [`replicas`]: further homes of prefixes in demand.
//! - [`grants`]: places granted to other routers, and which of them are not used.
//! - [`capacity`], [`share`]: capacity of the engines, token usage and fair share of each customer.
//! - [`queue_order`]: order of waiting requests, and fairness between a customer's kinds of request.
//! - [`retry`], [`refused`]: distinction of first attempts of clients from retries.
//! - [`intake`], [`throttle`]: requests that a router refuses by itself under heavy load.
//! - [`return_schedule`]: times at which refused requests return.
//! - [`budget`]: limit on how often requests are sent again.
//! - [`health`]: failing targets that are ejected for a while.
//! - [`reachability`]: failure domains that may be unreachable.
//! - [`reading`]: times at which views were read, as exchanged between routers.
//! - [`polling`]: which router reads a view from the store, and when.
//! - [`region`], [`round_trip`]: proximity of failure domains, and round-trip times.
//! - [`speed`]: speeds of targets.
//! - [`coalescing`]: delays of stream events while a router is under pressure.
//! - [`memory`], [`connections`]: what others can make a router hold.
//! - [`message`]: messages between routers.

pub mod backoff;
pub mod budget;
pub mod cache;
pub mod capacity;
pub mod cell;
pub mod coalescing;
pub mod cold_start;
pub mod configuration;
pub mod connections;
pub mod content;
pub mod continuation;
pub mod evacuation;
pub mod grants;
pub mod harmful_part;
pub mod health;
pub mod inflight;
pub mod intake;
pub mod interruptions;
pub mod leaving;
pub mod member;
pub mod membership;
pub mod memory;
pub mod message;
pub mod placement;
pub mod polling;
pub mod prefix;
pub mod quarantine;
pub mod queue_order;
pub mod reachability;
pub mod reading;
pub mod refused;
pub mod region;
pub mod registry;
pub mod replicas;
pub mod retry;
pub mod return_schedule;
pub mod round_trip;
pub mod share;
pub mod speed;
pub mod store;
pub mod target;
pub mod throttle;
pub mod usage;
pub mod version_record;
