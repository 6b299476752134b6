//! Finds a request a place in its own region, or in another one while that is short of room.
//!
//! Regions are far apart: a place elsewhere costs its caller a longer way, and its shared prefix is
//! read once more there. Both are less than a refusal while targets idle.

use std::rc::Rc;

use dunlinward_dispatch::target::Tag;

use crate::attempt::Job;
use crate::exchange;
use crate::lease::Lease;
use crate::node::Node;
use crate::reply::{Reason, Refusal};

/// Finds a request a place; `failed` is a target that has failed it.
///
/// # Errors
///
/// The refusal of its own region if none has room in time.
pub(crate) async fn place(
    node: &Rc<Node>,
    job: &Job,
    failed: Option<Tag>,
) -> Result<Lease, Refusal> {
    let until = exchange::give_up_at(node, job);
    let wish = exchange::wish(node, job, failed, until)?;
    let cell = wish.cell;
    let refusal = match node.place(wish).await {
        Ok(lease) => return Ok(lease),
        Err(refusal) if short_of_room(refusal.reason) => refusal,
        Err(refusal) => return Err(refusal),
    };
    let until = exchange::give_up_at(node, job);
    let Some(wish) = exchange::wish_elsewhere(node, job, failed, cell, until) else {
        return Err(refusal);
    };
    let (cell, customer) = (wish.cell, wish.customer);
    let lent = node.place(wish).await;
    let label = if lent.is_ok() { "placed" } else { "refused" };
    node.metrics.add("places_elsewhere", label, 1);
    if lent.is_err() {
        let now = node.now();
        node.state
            .borrow_mut()
            .record_full_cell(cell, customer, now);
    }
    lent.map_err(|_| refusal)
}

/// Whether another region may have what this one lacks.
fn short_of_room(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Busy | Reason::OverShare | Reason::BackedOff | Reason::NoTarget
    )
}
