//! Who reads the log, and how the others learn.
//!
//! Of the live routers of a failure domain the [`READERS`] with the greatest
//! rendezvous weights read the log; the log so has a few readers however many
//! routers there are. A reader that finds a new revision tells the live routers
//! of its failure domain at once. Every other router asks a random peer now and
//! then, which mends what was lost, serves one that started empty, and brings a
//! configuration into a failure domain that cannot reach the log itself. A
//! reader whose log is away asks as well. The readers may all be cut off from the
//! log while others are not, and stay the readers; so every router looks at the
//! log itself now and then, every [`LOOK`], which at 350 routers is 35 reads a
//! second.
//!
//! A router that knows of no other live one is its own reader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dunlinward_config::revision::{Schedule, Stated, due_by_count};
use dunlinward_kernel::key::Key;
use dunlinward_kernel::rendezvous;
use dunlinward_platform::log::{Log, Page, Query};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Keeper;
use crate::envelope::Envelope;
use crate::links::Links;
use crate::state::State;
use crate::stop::Stop;

/// Routers of a failure domain that read the log.
const READERS: usize = 2;

/// How long a read waits for a new record.
const WAIT: Duration = Duration::from_millis(500);

/// Pause after the log could not be read.
const AWAY: Duration = Duration::from_millis(500);

/// Time between two looks at the log of a router that is not a reader.
const LOOK: Duration = Duration::from_secs(10);

/// Time between two questions to peers while a configuration is in force.
const ASK: Duration = Duration::from_secs(2);

/// Time between two questions to peers while none is.
const ASK_EMPTY: Duration = Duration::from_millis(200);

/// Pause after a statement that could not be appended.
const RESTATE_PAUSE: Duration = Duration::from_secs(5);

/// The object whose rendezvous weights choose the readers.
const OBJECT: &str = "configuration";

/// The thread that follows the configuration.
pub(crate) struct Reader {
    /// Beginning of the ids of statements.
    pub prefix: Arc<str>,
    /// This router.
    pub me: Key,
    /// The log, if the settings name one.
    pub log: Option<Box<dyn Log>>,
    /// The stream of configurations.
    pub stream: Arc<str>,
    /// How long the log keeps records.
    pub retention: Duration,
    /// Seed of the jitter.
    pub seed: u64,
    /// Where records go.
    pub keeper: Arc<Keeper>,
    /// Links to peers.
    pub links: Arc<Links>,
    /// What the driver publishes.
    pub state: Arc<State>,
    /// When to end.
    pub stop: Arc<Stop>,
}

struct Memory {
    random: Pcg64Mcg,
    begun: Instant,
    stated: Stated,
    stated_to: u64,
    restated: Option<Instant>,
    asked: Option<Instant>,
    looked: Option<Instant>,
}

impl Reader {
    /// Follows until the sign to stop.
    pub fn run(&self) {
        let mut memory = Memory {
            random: Pcg64Mcg::seed_from_u64(self.seed ^ u64::from(self.me.number())),
            begun: Instant::now(),
            stated: Stated {
                at: Duration::ZERO,
                live: false,
            },
            stated_to: 0,
            restated: None,
            asked: None,
            looked: None,
        };
        while !self.stop.given() {
            let pause = self.turn(&mut memory);
            let jitter = memory.random.random_range(0.75..1.25);
            self.stop.sleep(pause.mul_f64(jitter));
        }
    }

    /// One turn; gives the pause until the next.
    fn turn(&self, memory: &mut Memory) -> Duration {
        let rank = self.rank();
        let Some(log) = self.log.as_deref().filter(|_| rank < READERS) else {
            self.look(memory);
            return self.ask(memory);
        };
        let query = Query::new(self.keeper.next()).with_wait(WAIT);
        match log.read(&self.stream, query) {
            Ok(page) => {
                self.take(&page);
                self.restate(log, &page, rank, memory);
                Duration::ZERO
            }
            Err(err) => {
                log::warn!("the log cannot be read: {err}");
                self.ask(memory).min(AWAY)
            }
        }
    }

    /// Looks at the log, when it is time, as a router that is not a reader.
    fn look(&self, memory: &mut Memory) {
        let early = memory.looked.is_some_and(|at| at.elapsed() < LOOK);
        let Some(log) = self.log.as_deref().filter(|_| !early) else {
            return;
        };
        memory.looked = Some(Instant::now());
        match log.read(&self.stream, Query::new(self.keeper.next())) {
            Ok(page) => self.take(&page),
            Err(err) => log::debug!("the log cannot be read: {err}"),
        }
    }

    fn take(&self, page: &Page) {
        let before = self.keeper.revision();
        let records = page.records.iter();
        let records = records.map(|record| (record.offset, record.data.as_str()));
        self.keeper.read(page.first, records);
        if self.keeper.revision() == before {
            return;
        }
        let Some(text) = self.keeper.statement("peer") else {
            return;
        };
        for peer in self.state.live().iter().filter(|key| **key != self.me) {
            self.links
                .send(*peer, &Envelope::Configuration(text.clone()));
        }
    }

    /// Asks a random peer, when it is time; gives the pause until the next look.
    fn ask(&self, memory: &mut Memory) -> Duration {
        let revision = self.keeper.revision();
        let every = if revision.is_some() { ASK } else { ASK_EMPTY };
        if memory.asked.is_some_and(|at| at.elapsed() < every / 2) {
            return every / 2;
        }
        memory.asked = Some(Instant::now());
        let peers = self.links.peers();
        if !peers.is_empty() {
            let peer = peers[memory.random.random_range(0..peers.len())];
            self.links.send(peer, &Envelope::Ask(revision));
        }
        every
    }

    /// Place of this router in the order of readers, from 0.
    fn rank(&self) -> usize {
        let object = Key::new(OBJECT);
        let own = (rendezvous::weight(self.me, object), self.me);
        let live = self.state.live();
        let greater = live
            .iter()
            .filter(|key| (rendezvous::weight(**key, object), **key) > own);
        greater.count()
    }

    /// Writes the accepted revision down again before the log forgets it. A
    /// reader that missed records leaves that to others: it cannot know what
    /// those records accepted.
    fn restate(&self, log: &dyn Log, page: &Page, rank: usize, memory: &mut Memory) {
        let now = memory.begun.elapsed();
        let stated_to = self.keeper.stated_to();
        if stated_to > memory.stated_to {
            memory.stated_to = stated_to;
            memory.stated = Stated {
                at: now,
                live: self.keeper.next() >= page.next,
            };
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let schedule = Schedule::new(self.retention).with_rank(rank);
        let by_count = due_by_count(&(page.first..page.next), stated_to);
        let paused = memory
            .restated
            .is_some_and(|at| at.elapsed() < RESTATE_PAUSE);
        if paused || !(by_count || schedule.is_due(now, memory.stated)) {
            return;
        }
        let id = format!("{}-{}", self.prefix, now.as_micros());
        let Some(text) = self.keeper.restatement(&id) else {
            return;
        };
        memory.restated = Some(Instant::now());
        if let Err(err) = log.append(&self.stream, &text) {
            log::warn!("the accepted revision could not be stated: {err}");
        }
    }
}
