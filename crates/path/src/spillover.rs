//! Places a request in its own region, or in another one while its own lacks capacity.
//!
//! Regions are far apart: a place in another one adds network latency for the caller, and a shared
//! prefix has to be read once more there. Both cost less than a refusal while targets idle.

use std::rc::Rc;

use dunlinward_dispatch::target::Tag;

use crate::attempt::Job;
use crate::exchange;
use crate::lease::Lease;
use crate::node::Node;
use crate::reply::{Reason, Refusal};

/// Obtains a place for a request; `failed` is a target that has failed it.
///
/// # Errors
///
/// The refusal of the request's own region if no region has a place in time.
pub(crate) async fn place(
    node: &Rc<Node>,
    job: &Job,
    failed: Option<Tag>,
) -> Result<Lease, Refusal> {
    let until = exchange::placement_deadline(node, job);
    let wish = exchange::placement_request(node, job, failed, until)?;
    let cell = wish.cell;
    let refusal = match node.place(wish).await {
        Ok(lease) => return Ok(lease),
        Err(refusal) if lacks_capacity(refusal.reason) => refusal,
        Err(refusal) => return Err(refusal),
    };
    let until = exchange::placement_deadline(node, job);
    let Some(wish) = exchange::placement_request_elsewhere(node, job, failed, cell, until) else {
        return Err(refusal);
    };
    let (cell, customer) = (wish.cell, wish.customer);
    let placed = node.place(wish).await;
    let label = if placed.is_ok() { "placed" } else { "refused" };
    node.metrics.add("places_elsewhere", label, 1);
    if placed.is_err() {
        let now = node.now();
        node.state
            .borrow_mut()
            .record_full_cell(cell, customer, now);
    }
    placed.map_err(|_| refusal)
}

/// Whether another region may have the capacity that this one lacks.
fn lacks_capacity(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Busy | Reason::OverShare | Reason::BackedOff | Reason::NoTarget
    )
}
