//! Following the platform's list of instances.
//!
//! The list lags and has outages. Its last known state is kept over an outage;
//! whether a listed router is really alive is for the kernel to find out. Three
//! things come of it: the routers go to the kernel, their link addresses to the
//! links, and targets that are leaving to the configuration's tables.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use dunlinward_kernel::event::Event;
use dunlinward_kernel::key::Key;
use dunlinward_kernel::membership::Listed;
use dunlinward_platform::instances::{Instance, List, Role, State};
use dunlinward_wire::link;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::configuration::Keeper;
use crate::driver::Input;
use crate::links::Links;
use crate::settings::Peer;
use crate::stop::Stop;

/// Time between two looks at the list.
const LOOK: Duration = Duration::from_secs(1);

/// The thread that follows the list.
pub(crate) struct Follower {
    /// Name of this router.
    pub name: Arc<str>,
    /// Seed of the jitter.
    pub seed: u64,
    /// Peers known without the list.
    pub peers: Vec<Peer>,
    /// The list, if the settings name one.
    pub list: Option<Box<dyn List>>,
    /// The driver's inbox.
    pub driver: Sender<Input>,
    /// Links to peers.
    pub links: Arc<Links>,
    /// The configuration.
    pub keeper: Arc<Keeper>,
    /// When to end.
    pub stop: Arc<Stop>,
}

impl Follower {
    /// Follows until the sign to stop.
    pub fn run(&self) {
        let me = u64::from(Key::new(&self.name).number());
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ me);
        let mut last: Option<Vec<Instance>> = None;
        self.apply(&[]);
        let Some(platform) = &self.list else {
            return;
        };
        while !self.stop.given() {
            match platform.list() {
                Ok(instances) if last.as_ref() != Some(&instances) => {
                    self.apply(&instances);
                    last = Some(instances);
                }
                Ok(_) => {}
                Err(err) => log::warn!("the instance list cannot be read: {err}"),
            }
            let jitter = random.random_range(0.75..1.25);
            self.stop.sleep(LOOK.mul_f64(jitter));
        }
    }

    fn apply(&self, instances: &[Instance]) {
        let routers = || instances.iter().filter(|entry| entry.role == Role::Router);
        let targets = instances.iter().filter(|entry| entry.role == Role::Target);
        let unlisted: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|peer| routers().all(|entry| entry.name != peer.name))
            .collect();
        let mut links: Vec<link::Peer> = routers().map(router_link).collect();
        links.extend(unlisted.iter().map(|peer| peer_link(peer)));
        links.retain(|peer| peer.instance != self.name);
        self.links.list(&links);
        let mut listed: Vec<Listed> = routers().map(router_listed).collect();
        listed.extend(unlisted.iter().map(|peer| peer_listed(peer)));
        // A driver that is gone needs no list.
        let _ = self.driver.send(Input::Event(Event::Listed(listed)));
        let leaving: BTreeSet<Arc<str>> = targets
            .filter(|entry| entry.state == State::Leaving)
            .map(|entry| Arc::clone(&entry.name))
            .collect();
        self.keeper.leave(leaving);
    }
}

fn router_link(entry: &Instance) -> link::Peer {
    link::Peer {
        instance: Arc::clone(&entry.name),
        address: entry.address,
    }
}

fn peer_link(peer: &Peer) -> link::Peer {
    link::Peer {
        instance: Arc::clone(&peer.name),
        address: peer.address,
    }
}

fn router_listed(entry: &Instance) -> Listed {
    Listed {
        name: Arc::clone(&entry.name),
        domain: Arc::clone(&entry.failure_domain),
        leaving: entry.state == State::Leaving,
    }
}

fn peer_listed(peer: &Peer) -> Listed {
    Listed {
        name: Arc::clone(&peer.name),
        domain: Arc::clone(&peer.domain),
        leaving: false,
    }
}
