//! The stand-ins and routers of a demonstration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dunlinward_config::Config;
use dunlinward_config::file::Target;
use dunlinward_config::revision::{Apply, Record, STREAM};
use dunlinward_router::Router;
use dunlinward_router::state::Snapshot;
use dunlinward_wire::Key;
use snafu::{ResultExt, ensure};

use super::deployment::is_engine;
use super::{Error, PlatformSnafu, RecordSnafu, RouterSnafu, Settings, UnsettledSnafu};
use crate::instances::{self, Instance, Role, State};
use crate::{Server, engine, log, plain};

/// The secret that the demonstration's routers share.
const FLEET_KEY: &[u8] = b"a key for demonstrations only, no secret at all";

/// Longest wait for the fleet to settle.
const SETTLE: Duration = Duration::from_secs(30);

/// Pause between two looks whether it has.
const POLL: Duration = Duration::from_millis(20);

/// Time of an engine's iteration, in microseconds: with all slots in use, a
/// token comes about every 60 ms.
const STEP_BASE: u64 = 40_000;
const STEP_SLOPE: u64 = 1_250;

/// Time that a plain service takes for a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// A running fleet; it stops when dropped.
pub struct Fleet {
    /// The configuration with the addresses that were bound.
    pub config: Config,
    /// The routers.
    pub routers: Vec<Router>,
    /// The log service.
    pub log: Server,
    /// The instance list.
    pub instances: Server,
    /// The targets by name.
    pub targets: BTreeMap<Arc<str>, Server>,
    agent: ureq::Agent,
}

impl Fleet {
    /// Starts everything and waits until the routers know the
    /// configuration and each other.
    ///
    /// # Errors
    ///
    /// When something does not start or the fleet does not settle.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        let config = settings.deployment.config()?;
        let targets = targets(&config, settings.seed)?;
        let config = config.with_addresses(|target| {
            targets
                .get(&target.name)
                .map_or(target.address, Server::address)
        });
        let mut fleet = Self {
            config,
            routers: Vec::new(),
            log: log::start(log::Settings::default())?,
            instances: instances::start(instances::Settings::default())?,
            targets,
            agent: ureq::Agent::config_builder().proxy(None).build().into(),
        };
        for target in &fleet.config.targets {
            fleet.list(&listed(target))?;
        }
        for number in 0..settings.routers {
            let router = fleet.start_router(number)?;
            fleet.routers.push(router);
        }
        fleet.publish()?;
        fleet.settle()?;
        Ok(fleet)
    }

    /// Where the routers take callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Router::callers_address).collect()
    }

    /// Engines with their number of slots.
    pub fn engines(&self) -> impl Iterator<Item = (SocketAddr, u32)> {
        let engines = self.config.targets.iter();
        engines
            .filter(|target| is_engine(&self.config, &target.services))
            .map(|target| (target.address, target.slots))
    }

    /// Calls a stand-in's path and reads its JSON.
    pub(super) fn get<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let url = format!("http://{address}{path}");
        let text = self.agent.get(url).call().ok()?;
        let text = text.into_body().read_to_string().ok()?;
        serde_json::from_str(&text).ok()
    }

    /// Stops the routers and then what they use.
    pub fn stop(self) {
        self.routers.into_iter().for_each(Router::stop);
    }

    /// Starts a router in the next failure domain and puts it into the list.
    fn start_router(&self, number: usize) -> Result<Router, Error> {
        let domains = &self.config.fleet.failure_domains;
        let domain = &domains[number % domains.len()];
        let name: Arc<str> = format!("router-{}", number + 1).into();
        let key = Key::new(FLEET_KEY).expect("the key is long enough");
        let settings = dunlinward_router::Settings::new(Arc::clone(&name), Arc::clone(domain), key)
            .with_log(self.log.address())
            .with_instances(self.instances.address())
            .with_seed(number as u64);
        let router = dunlinward_router::start(settings).context(RouterSnafu)?;
        self.list(&Instance {
            name,
            role: Role::Router,
            address: router.link_address(),
            failure_domain: Arc::clone(domain),
            state: State::Live,
        })?;
        Ok(router)
    }

    fn list(&self, instance: &Instance) -> Result<(), Error> {
        let url = format!("http://{}/admin/instances", self.instances.address());
        let body = serde_json::to_string(instance).expect("an instance is plain data");
        let sent = self.agent.put(&url).send(body);
        sent.context(PlatformSnafu { url })?;
        Ok(())
    }

    /// Publishes the configuration as an operator does.
    fn publish(&self) -> Result<(), Error> {
        let record = Record::Apply(Apply {
            id: "demo".into(),
            base: None,
            author: "demo".into(),
            text: self.config.to_text().context(RecordSnafu)?.into(),
        });
        let url = format!("http://{}/streams/{STREAM}/records", self.log.address());
        let record = record.encode().context(RecordSnafu)?;
        let sent = self.agent.post(&url).send(record);
        sent.context(PlatformSnafu { url })?;
        Ok(())
    }

    /// Waits until every router has the configuration and knows every other:
    /// before that, several hand out the same slots.
    fn settle(&self) -> Result<(), Error> {
        let until = Instant::now() + SETTLE;
        while !self.routers.iter().all(|router| self.is_settled(router)) {
            ensure!(Instant::now() < until, UnsettledSnafu { time: SETTLE });
            std::thread::sleep(POLL);
        }
        Ok(())
    }

    fn is_settled(&self, router: &Router) -> bool {
        let configured = router.revision().is_some();
        let live = |state: Snapshot| state.instances.iter().filter(|other| other.live).count();
        configured && router.status().map(live) == Some(self.routers.len())
    }
}

fn listed(target: &Target) -> Instance {
    Instance {
        name: Arc::clone(&target.name),
        role: Role::Target,
        address: target.address,
        failure_domain: Arc::clone(&target.failure_domain),
        state: State::Live,
    }
}

fn targets(config: &Config, seed: u64) -> Result<BTreeMap<Arc<str>, Server>, Error> {
    let mut servers = BTreeMap::new();
    for (target, number) in config.targets.iter().zip(0..) {
        let server = if is_engine(config, &target.services) {
            engine::start(engine_settings(target, seed + number))?
        } else {
            plain::start(plain::Settings {
                service_time: SERVICE_TIME,
                slots: target.slots as usize,
                ..plain::Settings::default()
            })?
        };
        servers.insert(Arc::clone(&target.name), server);
    }
    Ok(servers)
}

fn engine_settings(target: &Target, seed: u64) -> engine::Settings {
    engine::Settings {
        model: engine::model::Settings {
            slots: target.slots as usize,
            step_base: STEP_BASE,
            step_slope: STEP_SLOPE,
            ..engine::model::Settings::default()
        },
        seed,
        check_fence: target.checks_fence,
        ..engine::Settings::default()
    }
}
