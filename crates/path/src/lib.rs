//! Data path of a router on one event loop.
//!
//! Clients, targets, peers and the views of the platform share one thread and one [`node::Node`]. A
//! [`dialect::Dialect`] translates the headers of requests and answers; decisions are made in
//! `dunlinward-dispatch`.
//!
//! - [`node`]: a router; [`settings`], [`state`], [`queue`], [`lease`]: its settings, its state,
//!   the requests that wait, and places at targets.
//! - [`server`]: clients' connections.
//! - [`exchange`], [`reply`]: processing of one request, up to its answer; [`request_log`], [`refusal_log`]: its log
//!   lines, and the summary of many refusals.
//! - [`admission`]: checks of a request against the configuration in force; [`intake`]: admission
//!   control by the utilization of the processor.
//! - [`pool`], `bounded`, [`attempt`]: connections to targets, and one attempt at a target.
//! - [`framing`], [`ending`], `answer`: what the end of an answer proves, how a caller sees that it
//!   was cut, and answers that are read whole.
//! - [`event`], [`relay`]: event streams, and their resumption at another target; [`continuation`]:
//!   the software version that a stream is bound to.
//! - [`place`], [`pending`], [`owner`], `lending`: placement of requests, by the router that owns a
//!   cell on behalf of others.
//! - [`interruption`]: state of the target of an answer that broke off; [`quarantine`]: contents under which
//!   targets terminated.
//! - `leaving`: targets' announcements that they are leaving.
//! - [`evacuation`]: eras of the platform's store, and evacuated failure domains.
//! - [`cache_polling`]: polling of the prefix caches of engines.
//! - [`gossip`], [`view`]: membership, and views fetched from peers.
//! - [`handover`]: callers' connections that a neighbour serves.
//! - [`outbound`], [`inbound`]: messages between routers.
//! - [`overload`]: detection of overload.
//! - [`observation`]: measurement of targets, and reports of it to owners.
//! - [`targets`]: the list of targets, and the effects of its changes.
//! - [`clock`], [`suspension`]: time including suspensions, and what follows a suspension.
//! - [`shutdown`]: signal handling and graceful shutdown.
//! - [`flags`]: command-line flags.
//! - [`journal`], [`metrics`]: logs and metrics.

pub mod admission;
mod answer;
pub mod attempt;
mod bounded;
mod buffers;
pub mod cache_polling;
pub mod caller;
pub mod clock;
pub mod continuation;
pub mod dialect;
pub mod ending;
pub mod evacuation;
pub mod event;
pub mod exchange;
pub mod flags;
pub mod framing;
pub mod gossip;
pub mod handover;
pub mod held;
pub mod inbound;
pub mod intake;
pub mod interruption;
pub mod journal;
pub mod lease;
mod leaving;
pub mod metrics;
pub mod node;
pub mod observation;
pub mod outbound;
pub mod overload;
pub mod owner;
pub mod pending;
pub mod place;
pub mod pool;
pub mod quarantine;
pub mod queue;
pub mod refusal_log;
pub mod relay;
pub mod reply;
pub mod request_log;
pub mod server;
pub mod settings;
pub mod shutdown;
mod spillover;
pub mod state;
pub mod suspension;
pub mod targets;
pub mod view;
