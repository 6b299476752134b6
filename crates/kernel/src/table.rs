//! The accepted configuration as dense tables.
//!
//! A [`Spec`] describes a configuration by names; [`Table::new`] converts it to
//! rows. A table built with [`Table::with_previous`] keeps the row of every known
//! name and only appends rows, so that indices stay valid over any number of
//! changes. Rows of removed names are kept with `live = false`.
//!
//! Shares apply within a [`crate::id::Pool`]: services that compete for the same
//! targets, which are the connected components of the graph of services and
//! targets. A customer has a separate account in each pool, so that a model service
//! and a plain service on other targets do not affect each other's shares.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::event::Class;
use crate::id::{Customer, Domain, Model, Pool, Service, Target};
use crate::key::Key;

/// A customer's entry in a [`Spec`].
#[derive(Clone, Debug)]
pub struct CustomerSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Its weight relative to other customers, at least 1.
    pub share: u32,
}

/// A service's entry in a [`Spec`].
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Default class for requests without one.
    pub class: Class,
    /// Time limit for an answer.
    pub timeout: Duration,
    /// Initial cost estimate for a request, in units.
    pub prior: u64,
}

/// A target's entry in a [`Spec`].
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Names of its services.
    pub services: Vec<Arc<str>>,
    /// Names of its loaded models.
    pub models: Vec<Arc<str>>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Limit on concurrent requests.
    pub slots: u32,
    /// Whether the configuration marks it as leaving.
    pub leaving: bool,
}

/// A complete configuration by names.
#[derive(Clone, Debug, Default)]
pub struct Spec {
    /// Number in the order of accepted configurations.
    pub revision: u64,
    /// Trade-off between utilisation (0) and a small fairness gap (1000).
    pub gap_permille: u32,
    /// Limit on a customer's queued requests at one router.
    pub queue_limit: usize,
    /// Time limit for a request in a queue.
    pub queue_timeout: Duration,
    /// Failure domains.
    pub domains: Vec<Arc<str>>,
    /// Customers.
    pub customers: Vec<CustomerSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Targets.
    pub targets: Vec<TargetSpec>,
}

/// A customer's row.
#[derive(Clone, Debug)]
pub struct CustomerRow {
    /// Its name.
    pub name: Arc<str>,
    /// Key for its name in messages between routers.
    pub key: Key,
    /// Its weight.
    pub share: u32,
    /// Whether it is in the current configuration.
    pub live: bool,
}

/// A service's row.
#[derive(Clone, Debug)]
pub struct ServiceRow {
    /// Its name.
    pub name: Arc<str>,
    /// Key for its name in messages between routers.
    pub key: Key,
    /// Default class for requests without one.
    pub class: Class,
    /// Time limit for an answer.
    pub timeout: Duration,
    /// Initial cost estimate for a request, in units.
    pub prior: u64,
    /// The pool of services that it competes with.
    pub pool: Pool,
    /// Its targets, in row order.
    pub targets: Vec<Target>,
    /// Whether it is in the current configuration.
    pub live: bool,
}

/// A target's row.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Its name.
    pub name: Arc<str>,
    /// Key for its name in messages between routers.
    pub key: Key,
    /// Its services.
    pub services: Vec<Service>,
    /// Its loaded models.
    pub models: Vec<Model>,
    /// Its failure domain.
    pub domain: Domain,
    /// Address of its listener.
    pub address: SocketAddr,
    /// Limit on concurrent requests.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Whether it is in the current configuration.
    pub live: bool,
}

impl TargetRow {
    /// Whether the target takes new work.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        self.live && !self.leaving
    }
}

/// Interned names of one kind, with their rows by name and by key.
#[derive(Clone, Debug)]
struct Interner {
    rows: Vec<Arc<str>>,
    by_name: HashMap<Arc<str>, usize>,
    by_key: HashMap<Key, usize>,
}

impl Interner {
    fn new() -> Self {
        Self {
            rows: Vec::new(),
            by_name: HashMap::new(),
            by_key: HashMap::new(),
        }
    }

    fn intern(&mut self, name: &Arc<str>) -> usize {
        if let Some(row) = self.by_name.get(name) {
            return *row;
        }
        let row = self.rows.len();
        self.rows.push(Arc::clone(name));
        self.by_name.insert(Arc::clone(name), row);
        self.by_key.insert(Key::new(name), row);
        row
    }
}

/// An accepted configuration as dense rows.
#[derive(Clone, Debug)]
pub struct Table {
    /// Number in the order of accepted configurations.
    pub revision: u64,
    /// Trade-off between utilisation (0) and a small fairness gap (1000).
    pub gap_permille: u32,
    /// Limit on a customer's queued requests at one router.
    pub queue_limit: usize,
    /// Time limit for a request in a queue.
    pub queue_timeout: Duration,
    /// Customers by row.
    pub customers: Vec<CustomerRow>,
    /// Services by row.
    pub services: Vec<ServiceRow>,
    /// Targets by row.
    pub targets: Vec<TargetRow>,
    /// Bound of the pool indices, which are rows of services.
    pub pool_bound: usize,
    domain_names: Interner,
    model_names: Interner,
    customer_names: Interner,
    service_names: Interner,
    target_names: Interner,
}

impl Table {
    /// The table for a first configuration.
    #[must_use]
    pub fn new(spec: &Spec) -> Self {
        let empty = Self {
            revision: 0,
            gap_permille: 0,
            queue_limit: 0,
            queue_timeout: Duration::ZERO,
            customers: Vec::new(),
            services: Vec::new(),
            targets: Vec::new(),
            pool_bound: 0,
            domain_names: Interner::new(),
            model_names: Interner::new(),
            customer_names: Interner::new(),
            service_names: Interner::new(),
            target_names: Interner::new(),
        };
        Self::with_previous(&empty, spec)
    }

    /// The table for a later configuration; known names keep their rows.
    #[must_use]
    pub fn with_previous(previous: &Self, spec: &Spec) -> Self {
        let mut table = previous.clone();
        table.revision = spec.revision;
        table.gap_permille = spec.gap_permille;
        table.queue_limit = spec.queue_limit;
        table.queue_timeout = spec.queue_timeout;
        for domain in &spec.domains {
            table.domain_names.intern(domain);
        }
        table.fill_customers(spec);
        table.fill_services(spec);
        table.fill_targets(spec);
        table.assign_pools();
        table
    }

    fn fill_customers(&mut self, spec: &Spec) {
        for row in &mut self.customers {
            row.live = false;
        }
        for customer in &spec.customers {
            let row = CustomerRow {
                name: Arc::clone(&customer.name),
                key: Key::new(&customer.name),
                share: customer.share.max(1),
                live: true,
            };
            set_row(
                &mut self.customers,
                self.customer_names.intern(&customer.name),
                row,
            );
        }
    }

    fn fill_services(&mut self, spec: &Spec) {
        for row in &mut self.services {
            row.live = false;
            row.targets.clear();
        }
        for service in &spec.services {
            let row = ServiceRow {
                name: Arc::clone(&service.name),
                key: Key::new(&service.name),
                class: service.class,
                timeout: service.timeout,
                prior: service.prior,
                pool: Pool::new(0),
                targets: Vec::new(),
                live: true,
            };
            set_row(
                &mut self.services,
                self.service_names.intern(&service.name),
                row,
            );
        }
    }

    fn fill_targets(&mut self, spec: &Spec) {
        for row in &mut self.targets {
            row.live = false;
        }
        for target in &spec.targets {
            let row = TargetRow {
                name: Arc::clone(&target.name),
                key: Key::new(&target.name),
                services: self.services_of(target),
                models: target
                    .models
                    .iter()
                    .map(|model| Model::new(self.model_names.intern(model)))
                    .collect(),
                domain: Domain::new(self.domain_names.intern(&target.domain)),
                address: target.address,
                slots: target.slots,
                leaving: target.leaving,
                live: true,
            };
            let at = self.target_names.intern(&target.name);
            for service in &row.services {
                self.services[service.row()].targets.push(Target::new(at));
            }
            set_row(&mut self.targets, at, row);
        }
        for service in &mut self.services {
            service.targets.sort_unstable();
        }
    }

    fn services_of(&self, target: &TargetSpec) -> Vec<Service> {
        target
            .services
            .iter()
            .filter_map(|name| self.service(name))
            .collect()
    }

    /// Assigns services that share a live target to the same pool.
    fn assign_pools(&mut self) {
        let mut root: Vec<usize> = (0..self.services.len()).collect();
        for target in self.targets.iter().filter(|target| target.live) {
            for pair in target.services.windows(2) {
                let (a, b) = (
                    find_root(&root, pair[0].row()),
                    find_root(&root, pair[1].row()),
                );
                root[a.max(b)] = a.min(b);
            }
        }
        // A pool's index is the row of its first service, so pools need no table.
        for at in 0..root.len() {
            self.services[at].pool = Pool::new(find_root(&root, at));
        }
        self.pool_bound = root.len();
    }

    /// The customer with a name, live or not.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<Customer> {
        self.customer_names
            .by_name
            .get(name)
            .copied()
            .map(Customer::new)
    }

    /// The service with a name, live or not.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Service> {
        self.service_names
            .by_name
            .get(name)
            .copied()
            .map(Service::new)
    }

    /// The target with a name, live or not.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<Target> {
        self.target_names
            .by_name
            .get(name)
            .copied()
            .map(Target::new)
    }

    /// The model with a name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<Model> {
        self.model_names.by_name.get(name).copied().map(Model::new)
    }

    /// The model with a key.
    #[must_use]
    pub fn model_by_key(&self, key: Key) -> Option<Model> {
        self.model_names.by_key.get(&key).copied().map(Model::new)
    }

    /// The key of a model.
    #[must_use]
    pub fn model_key(&self, model: Model) -> Key {
        Key::new(&self.model_names.rows[model.row()])
    }

    /// The key of a pool, which is that of its first service.
    #[must_use]
    pub fn pool_key(&self, pool: Pool) -> Key {
        self.services[pool.row()].key
    }

    /// The pool with a key.
    #[must_use]
    pub fn pool_by_key(&self, key: Key) -> Option<Pool> {
        self.service_by_key(key).map(|service| self.pool(service))
    }

    /// The failure domain with a name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<Domain> {
        self.domain_names
            .by_name
            .get(name)
            .copied()
            .map(Domain::new)
    }

    /// The name of a failure domain.
    #[must_use]
    pub fn domain_name(&self, domain: Domain) -> &Arc<str> {
        &self.domain_names.rows[domain.row()]
    }

    /// Number of failure domains in this and all previous tables.
    #[must_use]
    pub fn domain_count(&self) -> usize {
        self.domain_names.rows.len()
    }

    /// The customer with a key.
    #[must_use]
    pub fn customer_by_key(&self, key: Key) -> Option<Customer> {
        self.customer_names
            .by_key
            .get(&key)
            .copied()
            .map(Customer::new)
    }

    /// The service with a key.
    #[must_use]
    pub fn service_by_key(&self, key: Key) -> Option<Service> {
        self.service_names
            .by_key
            .get(&key)
            .copied()
            .map(Service::new)
    }

    /// The target with a key.
    #[must_use]
    pub fn target_by_key(&self, key: Key) -> Option<Target> {
        self.target_names.by_key.get(&key).copied().map(Target::new)
    }

    /// The share of a customer.
    #[must_use]
    pub fn share(&self, customer: Customer) -> u64 {
        u64::from(self.customers[customer.row()].share)
    }

    /// The pool of a service.
    #[must_use]
    pub fn pool(&self, service: Service) -> Pool {
        self.services[service.row()].pool
    }

    /// Whether a target has a service and, if given, a model.
    #[must_use]
    pub fn serves(&self, target: Target, service: Service, model: Option<Model>) -> bool {
        let row = &self.targets[target.row()];
        row.services.contains(&service) && model.is_none_or(|model| row.models.contains(&model))
    }
}

fn set_row<T>(rows: &mut Vec<T>, at: usize, row: T) {
    if at < rows.len() {
        rows[at] = row;
    } else {
        rows.push(row);
    }
}

fn find_root(root: &[usize], mut at: usize) -> usize {
    while root[at] != at {
        at = root[at];
    }
    at
}
