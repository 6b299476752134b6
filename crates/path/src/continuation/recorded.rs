//! Records of the software versions of services in the platform's store.
//!
//! [`dispatch::version_record`](dunlinward_dispatch::version_record) decides what is written. The
//! router that reads the list of targets from the store records a new version before it applies the
//! list, so that no stream begins at a version without a record. The router that stores notes of
//! streams compares all records with its list of targets whenever the versions with targets change,
//! and records which have ended. Each router reads them once, at the first resumption after its start
//! of a service of one known version.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use dunlinward_dispatch::cell::ServiceTag;
use dunlinward_dispatch::member::Duty;
use dunlinward_dispatch::target::Target;
use dunlinward_dispatch::version_record::{Lineage, Record};
use tokio::sync::Notify;

use crate::node::Node;

/// What is known of the records.
#[derive(Debug, Default)]
pub struct Records {
    /// Services of which a record was read.
    services: RefCell<BTreeSet<ServiceTag>>,
    /// Versions with which the records agreed when this router last compared them.
    compared: RefCell<Option<BTreeSet<Lineage>>>,
    changed: Notify,
    /// Versions that this router has recorded and that have targets.
    written: RefCell<BTreeSet<Lineage>>,
}

impl Records {
    /// Announces that the list of targets or the live routers may have changed.
    pub(super) fn announce_change(&self) {
        self.changed.notify_one();
    }

    /// Whether the versions of a service were read.
    pub(super) fn names(&self, service: ServiceTag) -> bool {
        self.services.borrow().contains(&service)
    }
}

/// Versions with targets.
fn present(node: &Node) -> BTreeSet<Lineage> {
    node.state.borrow().registry.present_versions().collect()
}

impl Node {
    /// Waits until this router is to compare the records with its list of targets: it writes for
    /// all, and the versions that have targets have changed.
    pub async fn next_version_comparison(&self) -> BTreeSet<Lineage> {
        let records = &self.version_records;
        loop {
            let writes = self.state.borrow().members.first(Duty::Streams) == self.settings.link;
            let present = present(self);
            let differs = records.compared.borrow().as_ref() != Some(&present);
            if writes && differs && !present.is_empty() {
                return present;
            }
            if !writes {
                // Another router may change the records now.
                records.compared.take();
            }
            records.changed.notified().await;
        }
    }

    /// Versions of targets that are about to be listed and that this router has not recorded.
    #[must_use]
    pub fn unrecorded_versions(&self, targets: &[Target]) -> Vec<Lineage> {
        let present = present(self);
        let mut written = self.version_records.written.borrow_mut();
        written.retain(|it| present.contains(it));
        let lineages = targets.iter().filter_map(|it| {
            Some(Lineage {
                service: ServiceTag::new(&it.service),
                version: it.software()?,
            })
        });
        let new: BTreeSet<_> = lineages.filter(|it| !written.contains(it)).collect();
        new.into_iter().collect()
    }

    /// Records that these versions were recorded.
    pub fn record_versions_written(&self, lineages: &[Lineage]) {
        let mut written = self.version_records.written.borrow_mut();
        written.extend(lineages);
        let mut services = self.version_records.services.borrow_mut();
        services.extend(lineages.iter().map(|it| it.service));
        drop(services);
        let line = self.journal.line("versions_recorded");
        drop(line.with("new", lineages.len()));
    }

    /// Takes the records that were read.
    pub fn record_versions(&self, stored: &[Record]) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let mut services = self.version_records.services.borrow_mut();
        for record in stored {
            services.insert(record.lineage.service);
            if record.counts() {
                let Lineage { service, version } = record.lineage;
                let at = now.saturating_sub(record.ended.unwrap_or(Duration::ZERO));
                state.registry.record_version(service, version, at);
            }
        }
    }

    /// Records that the store's records agree with these versions.
    pub fn end_version_comparison(&self, present: BTreeSet<Lineage>) {
        let line = self.journal.line("versions_recorded");
        drop(line.with("present", present.len()));
        let mut services = self.version_records.services.borrow_mut();
        services.extend(present.iter().map(|it| it.service));
        drop(services);
        self.version_records.compared.replace(Some(present));
    }
}
