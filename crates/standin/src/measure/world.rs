//! One router between stand-ins, inside this process.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dunlinward_config::key::Digest;
use dunlinward_config::revision::{Apply, Record, STREAM};
use dunlinward_router::Router;
use dunlinward_wire::Key;
use snafu::{ResultExt, ensure};
use ureq::Agent;

use super::{Error, PlatformSnafu, RecordSnafu, RouterSnafu, UnsettledSnafu};
use crate::{Server, instances, log};

/// The secret of the measured router.
const FLEET_KEY: &[u8] = b"a key for measurements only, no secret at all";

/// The bearer key of the only customer.
pub(super) const CUSTOMER_KEY: &str = "key-alpha";

/// The only model.
pub(super) const MODEL: &str = "essay";

/// Longest wait for a configuration in force.
const SETTLE: Duration = Duration::from_secs(20);

/// Pause between two looks.
const POLL: Duration = Duration::from_millis(10);

/// Longest time for one call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A target to route to, with a service of the same name.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name, and its service's.
    pub name: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its slots.
    pub slots: usize,
}

/// A router and the platform that it needs; all stop when dropped.
pub struct World {
    /// The router.
    pub router: Router,
    log: Server,
    _list: Server,
}

impl World {
    /// Starts a router with a configuration in force.
    ///
    /// # Errors
    ///
    /// When something does not start.
    ///
    /// # Panics
    ///
    /// Never: the secret is long enough.
    pub fn new(targets: &[Target]) -> Result<Self, Error> {
        let log = log::start(log::Settings::default())?;
        let list = instances::start(instances::Settings::default())?;
        let key = Key::new(FLEET_KEY).expect("the key is long enough");
        let settings = dunlinward_router::Settings::new("router-1", "hall-a", key)
            .with_log(log.address())
            .with_instances(list.address());
        let router = dunlinward_router::start(settings).context(RouterSnafu)?;
        let world = Self {
            router,
            log,
            _list: list,
        };
        world.publish(text(targets))?;
        world.settle()?;
        Ok(world)
    }

    fn publish(&self, text: String) -> Result<(), Error> {
        let record = Record::Apply(Apply {
            id: "measure".into(),
            base: None,
            author: "measure".into(),
            text: text.into(),
        });
        let record = record.encode().context(RecordSnafu)?;
        let url = format!("http://{}/streams/{STREAM}/records", self.log.address());
        let sent = agent().post(&url).send(record);
        sent.context(PlatformSnafu { url })?;
        Ok(())
    }

    fn settle(&self) -> Result<(), Error> {
        let until = Instant::now() + SETTLE;
        while self.router.revision().is_none() {
            let seconds = SETTLE.as_secs();
            ensure!(Instant::now() < until, UnsettledSnafu { seconds });
            std::thread::sleep(POLL);
        }
        Ok(())
    }
}

/// An agent that shows every status.
pub(super) fn agent() -> Agent {
    Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .into()
}

fn text(targets: &[Target]) -> String {
    let digest = Digest::new(CUSTOMER_KEY);
    let mut text = format!(
        "[fleet]\nname = \"measure\"\nregion = \"dk-east\"\nfailure_domains = [\"hall-a\"]\n\
         [[customer]]\nname = \"alpha\"\nshare = 1\nkey_sha256 = [\"{digest}\"]\n"
    );
    for target in targets {
        let (name, address, slots) = (target.name, target.address, target.slots);
        write!(
            text,
            "[[service]]\nname = \"{name}\"\nkind = \"model\"\nclass = \"quick\"\n\
             models = [\"{MODEL}\"]\ntimeout_ms = 20000\n\
             [[target]]\nname = \"{name}\"\nservices = [\"{name}\"]\n\
             failure_domain = \"hall-a\"\naddress = \"{address}\"\nslots = {slots}\n\
             models = [\"{MODEL}\"]\n"
        )
        .expect("a string takes any text");
    }
    text
}
