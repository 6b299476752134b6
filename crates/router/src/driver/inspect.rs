//! A copy of the kernel's state for operators.

use std::sync::Arc;

use dunlinward_kernel::holder::Holding;
use dunlinward_kernel::id;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::table::Table;

use super::Driver;
use crate::state::{Customer, Instance, Snapshot, Target};

impl Driver {
    /// The state now.
    pub(super) fn inspect(&self) -> Snapshot {
        let settings = self.kernel.settings();
        let table = self.kernel.table();
        Snapshot {
            instance: Arc::clone(&settings.name),
            failure_domain: Arc::clone(&settings.domain),
            incarnation: settings.incarnation,
            revision: table.map(|table| table.revision),
            draining: self.tools.state.draining(),
            requests: self.entries.len(),
            instances: self.instances(),
            customers: table.map(|table| self.customers(table)).unwrap_or_default(),
            targets: table.map(|table| self.targets(table)).unwrap_or_default(),
        }
    }

    /// Publishes who is alive in this router's failure domain.
    pub(super) fn publish(&mut self) {
        let view = self.kernel.view();
        if self.published == Some(view.version) {
            return;
        }
        self.published = Some(view.version);
        let domain = Key::new(&self.kernel.settings().domain);
        let live: Vec<Key> = view.live_in(domain).collect();
        self.tools.state.set_live(&live);
    }

    fn instances(&self) -> Vec<Instance> {
        let view = self.kernel.view();
        view.all()
            .map(|(key, member)| Instance {
                name: self.name(key),
                live: member.live(),
                suspected: member.suspected.is_some(),
                leaving: member.leaving,
            })
            .collect()
    }

    pub(super) fn customers(&self, table: &Table) -> Vec<Customer> {
        self.kernel
            .book()
            .all()
            .filter(|(pool, customer, _)| {
                let first = &table.services[pool.row()];
                first.pool == *pool && first.live && table.customers[customer.row()].live
            })
            .map(|(pool, customer, account)| Customer {
                name: Arc::clone(&table.customers[customer.row()].name),
                pool: Arc::clone(&table.services[pool.row()].name),
                share: table.customers[customer.row()].share,
                service_units: account.service(),
                queued: account.queued,
            })
            .collect()
    }

    fn targets(&self, table: &Table) -> Vec<Target> {
        let live = table.targets.iter().enumerate().filter(|(_, row)| row.live);
        live.map(|(at, _)| self.target(table, at)).collect()
    }

    /// The target of a row.
    pub(super) fn target(&self, table: &Table, at: usize) -> Target {
        let row = &table.targets[at];
        let target = id::Target::new(at);
        let holding = self.kernel.holder().get(target);
        let held = holding.map_or(0, |holding| holding.held);
        let free = holding.map_or(0, Holding::free);
        Target {
            name: Arc::clone(&row.name),
            failure_domain: Arc::clone(table.domain_name(row.domain)),
            owner: self.kernel.owner_of(target).map(|key| self.name(key)),
            slots: row.slots,
            held,
            busy: held.saturating_sub(free),
            leaving: row.leaving,
        }
    }

    fn name(&self, key: Key) -> Arc<str> {
        if key == Key::new(&self.kernel.settings().name) {
            return Arc::clone(&self.kernel.settings().name);
        }
        self.tools
            .links
            .name(key)
            .unwrap_or_else(|| Arc::from(format!("{:08x}", key.number())))
    }
}
