//! A configuration file as the kernel's tables want it.

use std::collections::BTreeSet;
use std::sync::Arc;

use dunlinward_config::Config;
use dunlinward_config::file::{Class, Kind, Service};
use dunlinward_kernel::event;
use dunlinward_kernel::table::{CustomerSpec, ServiceSpec, Spec, TargetSpec};

use crate::targets::CALL_UNITS;

/// Cost of a completion before anything was learned, in units.
const COMPLETION_UNITS: u64 = 512;

/// Steps of the weight between utilisation and the fairness gap.
const PERMILLE: f64 = 1000.0;

/// The tables of a file; targets named in `leaving` take no new work.
pub(super) fn new(config: &Config, revision: u64, leaving: &BTreeSet<Arc<str>>) -> Spec {
    Spec {
        revision,
        gap_permille: permille(config.fleet.gap_weight),
        queue_limit: config.limits.queue_per_customer as usize,
        queue_timeout: config.limits.queue_timeout(),
        domains: config.fleet.failure_domains.clone(),
        customers: customers(config),
        services: config.services.iter().map(service).collect(),
        targets: targets(config, leaving),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to 0 to 1000 before"
)]
fn permille(weight: f64) -> u32 {
    (weight.clamp(0.0, 1.0) * PERMILLE).round() as u32
}

fn customers(config: &Config) -> Vec<CustomerSpec> {
    let customer = |customer: &dunlinward_config::file::Customer| CustomerSpec {
        name: Arc::clone(&customer.name),
        share: customer.share,
    };
    config.customers.iter().map(customer).collect()
}

fn service(service: &Service) -> ServiceSpec {
    ServiceSpec {
        name: Arc::clone(&service.name),
        class: match service.class {
            Class::Quick => event::Class::Quick,
            Class::Long => event::Class::Long,
        },
        timeout: service.timeout(),
        prior: match service.kind {
            Kind::Model => COMPLETION_UNITS,
            Kind::Plain => CALL_UNITS,
        },
    }
}

fn targets(config: &Config, leaving: &BTreeSet<Arc<str>>) -> Vec<TargetSpec> {
    let target = |target: &dunlinward_config::file::Target| TargetSpec {
        name: Arc::clone(&target.name),
        services: target.services.clone(),
        models: target.models.clone(),
        domain: Arc::clone(&target.failure_domain),
        address: target.address,
        slots: target.slots,
        leaving: target.leaving || leaving.contains(&target.name),
    };
    config.targets.iter().map(target).collect()
}
