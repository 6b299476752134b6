//! What a script is made of.

use std::collections::BTreeSet;
use std::time::Duration;

use super::figure::Figure;
use crate::inject::{Manner, Terms};
use crate::spec::Trial;

/// A whole script.
#[derive(Clone, Debug)]
pub struct Script {
    /// The fleet and its load.
    pub trial: Trial,
    /// Of how many requests of the load one may be repeated.
    pub repeatable_every: u64,
    /// When callers of the load give up.
    pub deadline: Option<Duration>,
    /// What happens, in order.
    pub lines: Vec<Line>,
}

/// One line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Its number in the file, from 1.
    pub number: usize,
    /// Its text.
    pub text: String,
    /// What it says.
    pub step: Step,
}

/// What one line says.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Run to a moment and do something.
    At(Duration, Command),
    /// Run to a moment.
    Run(Duration),
    /// Compare a figure.
    Expect(Figure, Relation, Value),
    /// Show a figure.
    Print(Figure),
}

/// How a figure must stand to a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relation {
    /// Equal.
    Equal,
    /// At most.
    AtMost,
    /// At least.
    AtLeast,
}

/// A value to compare with, or measured.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number; times are in seconds.
    Number(f64),
    /// The bound on the gap that the design states for this fleet.
    Bound,
    /// A word.
    Word(String),
}

/// One router or all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routers {
    /// One.
    One(usize),
    /// All.
    All,
}

/// What a cut lies between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A failure domain and the others.
    Domain(usize),
    /// Two routers, both ways.
    Between(usize, usize),
    /// One router to another, one way.
    OneWay(usize, usize),
}

/// Something that the configuration names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entity {
    /// A customer.
    Customer(usize),
    /// A service.
    Service(usize),
    /// A target.
    Target(usize),
}

/// A request that the script sends and follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Its name in the script.
    pub name: String,
    /// The router that takes it.
    pub router: usize,
    /// Its customer.
    pub customer: usize,
    /// Its cost in units.
    pub cost: u64,
    /// What its caller says of it.
    pub terms: Terms,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Cut a way, or join it again.
    Cut(Way, bool),
    /// Stop routers at once.
    Crash(Routers),
    /// Start crashed routers again, empty.
    Restart(Routers),
    /// Let a router stand still.
    Pause(usize),
    /// Let it go on.
    Resume(usize),
    /// Tell a router to drain.
    Drain(usize),
    /// Lose and double messages, in thousandths.
    Net {
        /// Messages lost.
        loss: u32,
        /// Messages doubled.
        doubles: u32,
    },
    /// Let answers come twice.
    Echoes(bool),
    /// Set how a target treats runs.
    Manner(usize, Manner),
    /// Set a target's speed, in units a second.
    Speed(usize, u64),
    /// Say in the configuration that a target is leaving.
    Leaving(usize),
    /// Take something out of the configuration.
    Remove(Entity),
    /// Put it back.
    Restore(Entity),
    /// Add a target.
    AddTarget,
    /// Give routers the instance list without some.
    List {
        /// Left out.
        without: BTreeSet<usize>,
        /// Who is told.
        to: Routers,
    },
    /// Let the load rest or go on.
    Load(bool),
    /// Send a request.
    Call(Sent),
    /// The caller of a request goes away.
    Leave(String),
    /// Start the figures of a time anew.
    Mark,
}
