//! The accepted configuration as dense tables.
//!
//! The edge describes a configuration by names ([`Spec`]); [`Table::new`] turns
//! it into rows. A table made [`Table::with_previous`] keeps the row of every
//! name it has seen before and only adds rows, so that indices stay valid over
//! any number of changes. Rows whose name is gone are kept with `live = false`.
//!
//! Shares apply within a [`crate::id::Pool`]: the services that compete for the
//! same targets, found as the connected components of services and targets. A
//! customer's account is kept for each pool apart, so a model service and a
//! plain service on other targets lend each other nothing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::event::Class;
use crate::id::{Customer, Domain, Model, Pool, Service, Target};
use crate::key::Key;

/// A customer as the edge describes it.
#[derive(Clone, Debug)]
pub struct CustomerSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Its weight against other customers, at least 1.
    pub share: u32,
}

/// A service as the edge describes it.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Arc<str>,
    /// The class of requests that name none.
    pub class: Class,
    /// How long an answer may take.
    pub timeout: Duration,
    /// Cost of a request in units before anything was learned.
    pub prior: u64,
}

/// A target as the edge describes it.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Names of the services it runs.
    pub services: Vec<Arc<str>>,
    /// Names of the models it has loaded.
    pub models: Vec<Arc<str>>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether the configuration says that it is leaving.
    pub leaving: bool,
}

/// A whole configuration by names.
#[derive(Clone, Debug, Default)]
pub struct Spec {
    /// Its place in the order of accepted configurations.
    pub revision: u64,
    /// Between utilisation first (0) and the fairness gap first (1000).
    pub gap_permille: u32,
    /// Requests a customer may have queued at one router.
    pub queue_limit: usize,
    /// How long a request may wait in a queue.
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
    /// Its name between routers.
    pub key: Key,
    /// Its weight.
    pub share: u32,
    /// Whether the configuration still has it.
    pub live: bool,
}

/// A service's row.
#[derive(Clone, Debug)]
pub struct ServiceRow {
    /// Its name.
    pub name: Arc<str>,
    /// Its name between routers.
    pub key: Key,
    /// The class of requests that name none.
    pub class: Class,
    /// How long an answer may take.
    pub timeout: Duration,
    /// Cost of a request in units before anything was learned.
    pub prior: u64,
    /// The competition it belongs to.
    pub pool: Pool,
    /// Targets that run it, in row order.
    pub targets: Vec<Target>,
    /// Whether the configuration still has it.
    pub live: bool,
}

/// A target's row.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Its name.
    pub name: Arc<str>,
    /// Its name between routers.
    pub key: Key,
    /// The services it runs.
    pub services: Vec<Service>,
    /// The models it has loaded.
    pub models: Vec<Model>,
    /// Its failure domain.
    pub domain: Domain,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether the configuration still has it.
    pub live: bool,
}

impl TargetRow {
    /// Whether the target may be given new work.
    #[must_use]
    pub const fn open(&self) -> bool {
        self.live && !self.leaving
    }
}

/// Rows of one kind, found by name or key.
#[derive(Clone, Debug)]
struct Names {
    rows: Vec<Arc<str>>,
    by_name: HashMap<Arc<str>, usize>,
    by_key: HashMap<Key, usize>,
}

impl Names {
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

/// An accepted configuration, dense.
#[derive(Clone, Debug)]
pub struct Table {
    /// Its place in the order of accepted configurations.
    pub revision: u64,
    /// Between utilisation first (0) and the fairness gap first (1000).
    pub gap_permille: u32,
    /// Requests a customer may have queued at one router.
    pub queue_limit: usize,
    /// How long a request may wait in a queue.
    pub queue_timeout: Duration,
    /// Customers by row.
    pub customers: Vec<CustomerRow>,
    /// Services by row.
    pub services: Vec<ServiceRow>,
    /// Targets by row.
    pub targets: Vec<TargetRow>,
    /// Number of pools.
    pub pools: usize,
    domain_names: Names,
    model_names: Names,
    customer_names: Names,
    service_names: Names,
    target_names: Names,
}

impl Table {
    /// The table of a first configuration.
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
            pools: 0,
            domain_names: Names::new(),
            model_names: Names::new(),
            customer_names: Names::new(),
            service_names: Names::new(),
            target_names: Names::new(),
        };
        Self::with_previous(&empty, spec)
    }

    /// The table of a later configuration, in which known names keep their rows.
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
        table.join_pools();
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
            put(
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
            put(
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
            put(&mut self.targets, at, row);
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

    /// Gives services that share a live target the same pool.
    fn join_pools(&mut self) {
        let mut root: Vec<usize> = (0..self.services.len()).collect();
        for target in self.targets.iter().filter(|target| target.live) {
            for pair in target.services.windows(2) {
                let (a, b) = (find(&root, pair[0].row()), find(&root, pair[1].row()));
                root[a.max(b)] = a.min(b);
            }
        }
        // A pool's index is the first service in it, so it needs no table of its own.
        for at in 0..root.len() {
            self.services[at].pool = Pool::new(find(&root, at));
        }
        self.pools = root.len();
    }

    /// The customer of a name, live or not.
    #[must_use]
    pub fn customer(&self, name: &str) -> Option<Customer> {
        self.customer_names
            .by_name
            .get(name)
            .copied()
            .map(Customer::new)
    }

    /// The service of a name, live or not.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Service> {
        self.service_names
            .by_name
            .get(name)
            .copied()
            .map(Service::new)
    }

    /// The target of a name, live or not.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<Target> {
        self.target_names
            .by_name
            .get(name)
            .copied()
            .map(Target::new)
    }

    /// The model of a name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<Model> {
        self.model_names.by_name.get(name).copied().map(Model::new)
    }

    /// The model of a key from another router.
    #[must_use]
    pub fn model_by_key(&self, key: Key) -> Option<Model> {
        self.model_names.by_key.get(&key).copied().map(Model::new)
    }

    /// The key of a model.
    #[must_use]
    pub fn model_key(&self, model: Model) -> Key {
        Key::new(&self.model_names.rows[model.row()])
    }

    /// The key of a pool: that of its first service.
    #[must_use]
    pub fn pool_key(&self, pool: Pool) -> Key {
        self.services[pool.row()].key
    }

    /// The pool of a key from another router.
    #[must_use]
    pub fn pool_by_key(&self, key: Key) -> Option<Pool> {
        self.service_by_key(key).map(|service| self.pool(service))
    }

    /// The failure domain of a name.
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

    /// Number of failure domains ever named.
    #[must_use]
    pub fn domains(&self) -> usize {
        self.domain_names.rows.len()
    }

    /// The customer of a key from another router.
    #[must_use]
    pub fn customer_by_key(&self, key: Key) -> Option<Customer> {
        self.customer_names
            .by_key
            .get(&key)
            .copied()
            .map(Customer::new)
    }

    /// The service of a key from another router.
    #[must_use]
    pub fn service_by_key(&self, key: Key) -> Option<Service> {
        self.service_names
            .by_key
            .get(&key)
            .copied()
            .map(Service::new)
    }

    /// The target of a key from another router.
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

    /// Whether a target runs a service and, if one is named, has the model.
    #[must_use]
    pub fn serves(&self, target: Target, service: Service, model: Option<Model>) -> bool {
        let row = &self.targets[target.row()];
        row.services.contains(&service) && model.is_none_or(|model| row.models.contains(&model))
    }
}

fn put<T>(rows: &mut Vec<T>, at: usize, row: T) {
    if at < rows.len() {
        rows[at] = row;
    } else {
        rows.push(row);
    }
}

fn find(root: &[usize], mut at: usize) -> usize {
    while root[at] != at {
        at = root[at];
    }
    at
}
