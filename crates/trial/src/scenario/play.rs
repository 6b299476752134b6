//! Scripts against a fleet.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use dunlinward_kernel::id::Request;
use dunlinward_kernel::table::Spec;
use dunlinward_kernel::time::Instant;

use super::figure::{self, Figure};
use super::parse::{self, Error};
use super::script::{Command, Entity, Line, Relation, Routers, Script, Sent, Step, Value, Way};
use crate::fleet::{Fleet, WARM_UP};

/// What came of a script.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// A line for each expectation and figure shown.
    pub text: String,
    /// Expectations that did not hold.
    pub failed: usize,
}

/// Runs the script of a text.
///
/// # Errors
///
/// The first line that cannot be understood.
pub fn play(text: &str) -> Result<Outcome, Error> {
    let script = parse::parse(text)?;
    let mut player = Player::new(&script);
    for line in &script.lines {
        player.line(line);
    }
    Ok(player.end())
}

struct Player {
    fleet: Fleet,
    whole: Spec,
    names: BTreeMap<String, Request>,
    text: String,
    failed: usize,
}

impl Player {
    fn new(script: &Script) -> Self {
        let mut fleet = Fleet::new(script.trial.clone());
        fleet.verify = true;
        fleet.inject.watch.on = true;
        fleet.inject.repeatable_every = script.repeatable_every;
        fleet.inject.deadline = script.deadline;
        fleet.run(Instant::ZERO + WARM_UP);
        Self {
            fleet,
            whole: script.trial.spec(),
            names: BTreeMap::new(),
            text: String::new(),
            failed: 0,
        }
    }

    fn end(mut self) -> Outcome {
        for told in &self.fleet.inject.watch.told {
            let _ = writeln!(self.text, "violation: {told}");
        }
        Outcome {
            text: self.text,
            failed: self.failed,
        }
    }

    fn line(&mut self, line: &Line) {
        match &line.step {
            Step::At(moment, command) => {
                self.run(*moment);
                self.command(command);
            }
            Step::Run(moment) => self.run(*moment),
            Step::Expect(figure, relation, value) => {
                self.expect(line, figure, *relation, value);
            }
            Step::Print(figure) => {
                let measured = tell(&self.measure(figure));
                let _ = writeln!(self.text, "{}: {} {measured}", line.number, line.text);
            }
        }
    }

    fn run(&mut self, moment: Duration) {
        self.fleet.run(Instant::ZERO + WARM_UP + moment);
    }

    fn measure(&self, figure: &Figure) -> Value {
        let end = |name: &str| {
            let request = self.names.get(name)?;
            self.fleet.inject.ends.get(request).copied()
        };
        figure.measure(&self.fleet, end)
    }

    fn expect(&mut self, line: &Line, figure: &Figure, relation: Relation, value: &Value) {
        let measured = self.measure(figure);
        let wanted = match value {
            Value::Bound => Value::Number(figure::bound(&self.fleet)),
            other => other.clone(),
        };
        let _ = write!(self.text, "{}: {}: ", line.number, line.text);
        if holds(&measured, relation, &wanted) {
            self.text.push_str("ok\n");
            return;
        }
        self.failed += 1;
        let (measured, wanted) = (tell(&measured), tell(&wanted));
        let _ = writeln!(self.text, "FAILED: {measured} against {wanted}");
    }

    fn command(&mut self, command: &Command) {
        let fleet = &mut self.fleet;
        match command {
            Command::Cut(way, cut) => self.cut(*way, *cut),
            Command::Crash(routers) => self.each(*routers, Fleet::crash),
            Command::Restart(routers) => self.each(*routers, Fleet::restart),
            Command::Pause(router) => fleet.pause(*router),
            Command::Resume(router) => fleet.resume(*router),
            Command::Drain(router) => fleet.drain(*router),
            Command::Net { loss, doubles } => {
                fleet.net.loss = *loss;
                fleet.net.doubles = *doubles;
            }
            Command::Echoes(on) => fleet.inject.echoes = *on,
            Command::Manner(target, manner) => fleet.set_manner(*target, *manner),
            Command::Speed(target, speed) => fleet.set_speed(*target, *speed),
            Command::Leaving(target) => {
                let target = *target;
                fleet.reconfigure(|spec| spec.targets[target].leaving = true);
            }
            Command::Remove(entity) => self.remove(*entity),
            Command::Restore(entity) => self.restore(*entity),
            Command::AddTarget => {
                fleet.add_target();
            }
            Command::List { without, to } => {
                let to = routers(*to, fleet.trial.routers);
                fleet.list_without(without.clone(), &to);
            }
            Command::Load(on) => fleet.mute(!on),
            Command::Call(sent) => self.call(sent),
            Command::Leave(name) => {
                if let Some(request) = self.names.get(name) {
                    fleet.leave(*request);
                }
            }
            Command::Mark => fleet.mark(),
        }
    }

    fn each(&mut self, which: Routers, work: impl Fn(&mut Fleet, usize)) {
        for at in routers(which, self.fleet.trial.routers) {
            work(&mut self.fleet, at);
        }
    }

    fn cut(&mut self, way: Way, cut: bool) {
        match way {
            Way::Domain(domain) => {
                self.fleet.inject.watch.disturb(self.fleet.now);
                self.fleet.cut_domain(domain, cut);
            }
            Way::Between(a, b) => {
                self.fleet.cut_way(a, b, cut);
                self.fleet.cut_way(b, a, cut);
            }
            Way::OneWay(a, b) => self.fleet.cut_way(a, b, cut),
        }
    }

    fn call(&mut self, sent: &Sent) {
        let request = self
            .fleet
            .call_on(sent.router, sent.customer, sent.cost, sent.terms);
        self.names.insert(sent.name.clone(), request);
    }

    fn remove(&mut self, entity: Entity) {
        self.fleet.reconfigure(|spec| match entity {
            Entity::Customer(at) => {
                let name = format!("customer-{at}");
                spec.customers.retain(|row| *row.name != *name);
            }
            Entity::Service(at) => {
                let name = format!("service-{at}");
                spec.services.retain(|row| *row.name != *name);
            }
            Entity::Target(at) => {
                let name = format!("target-{at}");
                spec.targets.retain(|row| *row.name != *name);
            }
        });
    }

    fn restore(&mut self, entity: Entity) {
        let whole = &self.whole;
        self.fleet.reconfigure(|spec| match entity {
            Entity::Customer(at) => spec.customers.push(whole.customers[at].clone()),
            Entity::Service(at) => spec.services.push(whole.services[at].clone()),
            Entity::Target(at) => spec.targets.push(whole.targets[at].clone()),
        });
    }
}

fn routers(which: Routers, count: usize) -> Vec<usize> {
    match which {
        Routers::One(at) => vec![at],
        Routers::All => (0..count).collect(),
    }
}

fn holds(measured: &Value, relation: Relation, wanted: &Value) -> bool {
    match (measured, wanted) {
        (Value::Number(measured), Value::Number(wanted)) => match relation {
            Relation::Equal => (measured - wanted).abs() < f64::EPSILON,
            Relation::AtMost => measured <= wanted,
            Relation::AtLeast => measured >= wanted,
        },
        (Value::Word(measured), Value::Word(wanted)) => {
            relation == Relation::Equal && measured == wanted
        }
        _ => false,
    }
}

fn tell(value: &Value) -> String {
    match value {
        Value::Number(number) => format!("{}", (number * 1_000.0).round() / 1_000.0),
        Value::Bound => "bound".to_owned(),
        Value::Word(word) => word.clone(),
    }
}
