//! A place at a target, from sending to the end of the answer.

use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use dunlinward_dispatch::placement::Choice;
use dunlinward_dispatch::target::Target;

use crate::node::Node;

/// A place at a target; dropping it ends the work there.
pub struct Lease {
    node: Weak<Node>,
    /// The target.
    pub target: Arc<Target>,
    /// Whether the prompt's prefix is taken to be there.
    pub hit: bool,
    unread: Cell<u64>,
}

impl Lease {
    /// The place that was chosen; its work has been counted.
    #[must_use]
    pub fn new(node: &Rc<Node>, choice: Choice) -> Self {
        Self {
            node: Rc::downgrade(node),
            target: choice.target,
            hit: choice.hit,
            unread: Cell::new(choice.unread),
        }
    }

    /// Prompt tokens that the target has yet to read.
    #[must_use]
    pub fn unread(&self) -> u64 {
        self.unread.get()
    }

    /// The target has read the prompt.
    pub fn read(&self) {
        let unread = self.unread.take();
        let Some(node) = self.node.upgrade() else {
            return;
        };
        if unread > 0 {
            node.state
                .borrow_mut()
                .usage
                .read(self.target.tag(), unread);
            node.room_came();
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(node) = self.node.upgrade() else {
            return;
        };
        let tag = self.target.tag();
        {
            let mut state = node.state.borrow_mut();
            state.usage.read(tag, self.unread.get());
            state.usage.end(tag);
        }
        node.room_came();
    }
}
