//! Scripts from text, with errors that name the line.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use snafu::{OptionExt, Snafu, ensure};

use super::figure::Figure;
use super::script::{Command, Entity, Line, Relation, Routers, Script, Sent, Step, Value, Way};
use crate::inject::{Manner, Terms};
use crate::spec::Trial;

/// Why a script cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("line {line}: {reason}"))]
pub struct Error {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: Reason,
}

/// What is wrong with a line.
#[derive(Debug, Snafu)]
pub enum Reason {
    /// The script does not begin with its fleet.
    #[snafu(display("a script begins with one line `fleet ...`"))]
    Fleet,
    /// A line ends too early.
    #[snafu(display("{what} is missing"))]
    Missing {
        /// What was expected.
        what: &'static str,
    },
    /// A word was not expected.
    #[snafu(display("`{word}` is not {what}"))]
    Unknown {
        /// The word.
        word: String,
        /// What was expected.
        what: &'static str,
    },
    /// A line goes on after its end.
    #[snafu(display("`{word}` is too much"))]
    Rest {
        /// The first word too much.
        word: String,
    },
    /// A moment lies before the one of an earlier line.
    #[snafu(display("time runs forward only"))]
    Order,
    /// A name has a number that the fleet does not have.
    #[snafu(display("`{word}` is not in this fleet"))]
    Outside {
        /// The name.
        word: String,
    },
}

type Result<T, E = Reason> = std::result::Result<T, E>;

/// Reads a script.
///
/// # Errors
///
/// The first line that cannot be understood.
pub fn parse(text: &str) -> Result<Script, Error> {
    let mut lines = text
        .lines()
        .enumerate()
        .map(|(at, line)| (at + 1, line.split('#').next().unwrap_or("").trim()))
        .filter(|(_, line)| !line.is_empty());
    let (number, first) = lines.next().unwrap_or((1, ""));
    let mut script = fleet(first).map_err(|reason| Error {
        line: number,
        reason,
    })?;
    let mut reader = Reader {
        limits: Limits::new(&script.trial),
        now: Duration::ZERO,
    };
    for (number, text) in lines {
        let step = reader.step(text).map_err(|reason| Error {
            line: number,
            reason,
        })?;
        script.lines.push(Line {
            number,
            text: text.to_owned(),
            step,
        });
    }
    Ok(script)
}

fn fleet(text: &str) -> Result<Script> {
    let mut words = Words::new(text);
    ensure!(words.0.next() == Some("fleet"), FleetSnafu);
    let mut script = Script {
        trial: Trial::new(),
        repeatable_every: 0,
        deadline: None,
        lines: Vec::new(),
    };
    for word in words.0 {
        setting(&mut script, word)?;
    }
    Ok(script)
}

fn setting(script: &mut Script, word: &str) -> Result<()> {
    let (name, value) = word.split_once('=').unwrap_or((word, ""));
    let trial = &mut script.trial;
    match name {
        "routers" => trial.routers = positive(value)?,
        "targets" => trial.targets = positive(value)?,
        "slots" => trial.slots = positive(value)?,
        "customers" => trial.customers = positive(value)?,
        "backlogged" => trial.backlogged = whole(value)?,
        "domains" => trial.domains = positive(value)?,
        "services" => trial.services = positive(value)?,
        "seed" => trial.seed = whole(value)?,
        "skew" => trial.skew = whole(value)?,
        "light" => trial.light_permille = whole(value)?,
        "gap" => trial.gap_permille = whole(value)?,
        "speed" => trial.speed = positive(value)?,
        "round" => trial.round = span(value)?,
        "flood" => trial.flood = true,
        "repeatable" => script.repeatable_every = whole(value)?,
        "deadline" => script.deadline = Some(span(value)?),
        _ => {
            return UnknownSnafu {
                word,
                what: "a setting",
            }
            .fail();
        }
    }
    Ok(())
}

/// Words of a line.
struct Words<'a>(std::str::SplitWhitespace<'a>);

impl<'a> Words<'a> {
    fn new(text: &'a str) -> Self {
        Self(text.split_whitespace())
    }

    fn next(&mut self, what: &'static str) -> Result<&'a str> {
        self.0.next().context(MissingSnafu { what })
    }

    fn end(mut self) -> Result<()> {
        match self.0.next() {
            None => Ok(()),
            Some(word) => RestSnafu { word }.fail(),
        }
    }
}

/// How many there are of what a script can name.
struct Limits {
    routers: usize,
    targets: usize,
    customers: usize,
    services: usize,
    domains: usize,
}

impl Limits {
    const fn new(trial: &Trial) -> Self {
        Self {
            routers: trial.routers,
            targets: trial.targets,
            customers: trial.customers,
            services: trial.services,
            domains: trial.domains,
        }
    }
}

struct Reader {
    limits: Limits,
    now: Duration,
}

impl Reader {
    fn step(&mut self, text: &str) -> Result<Step> {
        let mut words = Words::new(text);
        let step = match words.next("a step")? {
            "at" => Step::At(self.moment(&mut words)?, self.command(&mut words)?),
            "run" => Step::Run(self.moment(&mut words)?),
            "expect" => Step::Expect(
                self.figure(&mut words)?,
                relation(&mut words)?,
                value(words.next("a value")?),
            ),
            "print" => Step::Print(self.figure(&mut words)?),
            word => {
                return UnknownSnafu {
                    word,
                    what: "a step: at, run, expect or print",
                }
                .fail();
            }
        };
        words.end()?;
        Ok(step)
    }

    fn moment(&mut self, words: &mut Words<'_>) -> Result<Duration> {
        let moment = span(words.next("a time")?)?;
        ensure!(moment >= self.now, OrderSnafu);
        self.now = moment;
        Ok(moment)
    }

    fn command(&mut self, words: &mut Words<'_>) -> Result<Command> {
        let word = words.next("a command")?;
        Ok(match word {
            "cut" => Command::Cut(self.way(words)?, true),
            "join" => Command::Cut(self.way(words)?, false),
            "crash" => Command::Crash(self.routers(words)?),
            "restart" => Command::Restart(self.routers(words)?),
            "pause" => Command::Pause(self.router(words)?),
            "resume" => Command::Resume(self.router(words)?),
            "drain" => Command::Drain(self.router(words)?),
            "net" => net(words)?,
            "echoes" => Command::Echoes(switch(words)?),
            "load" => Command::Load(switch(words)?),
            "accept" => Command::Manner(self.target(words)?, Manner::Runs),
            "refuse" => Command::Manner(self.target(words)?, Manner::Refuses),
            "decline" => Command::Manner(self.target(words)?, Manner::Declines),
            "lose" => Command::Manner(self.target(words)?, Manner::Loses),
            "speed" => Command::Speed(self.target(words)?, positive(words.next("a speed")?)?),
            "leaving" => Command::Leaving(self.target(words)?),
            "remove" => Command::Remove(self.entity(words)?),
            "restore" => Command::Restore(self.entity(words)?),
            "add" => self.add(words)?,
            "list" => self.list(words)?,
            "call" => Command::Call(self.call(words)?),
            "leave" => Command::Leave(words.next("a request")?.to_owned()),
            "mark" => Command::Mark,
            _ => {
                return UnknownSnafu {
                    word,
                    what: "a command",
                }
                .fail();
            }
        })
    }

    fn way(&self, words: &mut Words<'_>) -> Result<Way> {
        let first = words.next("a way")?;
        if first == "way" {
            return Ok(Way::OneWay(self.router(words)?, self.router(words)?));
        }
        if first.starts_with("domain-") {
            return index(first, "domain-", self.limits.domains).map(Way::Domain);
        }
        let from = index(first, "router-", self.limits.routers)?;
        Ok(Way::Between(from, self.router(words)?))
    }

    fn routers(&self, words: &mut Words<'_>) -> Result<Routers> {
        match words.next("a router")? {
            "all" => Ok(Routers::All),
            word => index(word, "router-", self.limits.routers).map(Routers::One),
        }
    }

    fn router(&self, words: &mut Words<'_>) -> Result<usize> {
        index(words.next("a router")?, "router-", self.limits.routers)
    }

    fn target(&self, words: &mut Words<'_>) -> Result<usize> {
        index(words.next("a target")?, "target-", self.limits.targets)
    }

    fn entity(&self, words: &mut Words<'_>) -> Result<Entity> {
        let word = words.next("a customer, service or target")?;
        match word.split('-').next() {
            Some("customer") => {
                index(word, "customer-", self.limits.customers).map(Entity::Customer)
            }
            Some("service") => index(word, "service-", self.limits.services).map(Entity::Service),
            _ => index(word, "target-", self.limits.targets).map(Entity::Target),
        }
    }

    fn add(&mut self, words: &mut Words<'_>) -> Result<Command> {
        let word = words.next("`target`")?;
        ensure!(
            word == "target",
            UnknownSnafu {
                word,
                what: "`target`"
            }
        );
        self.limits.targets += 1;
        Ok(Command::AddTarget)
    }

    /// `list all [to WHO]` or `list without A,B [to WHO]`.
    fn list(&self, words: &mut Words<'_>) -> Result<Command> {
        let without = match words.next("`all`, `none` or `without`")? {
            "all" => BTreeSet::new(),
            "none" => (0..self.limits.routers).collect(),
            "without" => words
                .next("routers")?
                .split(',')
                .map(|word| index(word, "router-", self.limits.routers))
                .collect::<Result<_>>()?,
            word => {
                return UnknownSnafu {
                    word,
                    what: "`all`, `none` or `without`",
                }
                .fail();
            }
        };
        let to = match words.0.next() {
            None => Routers::All,
            Some("to") => self.routers(words)?,
            Some(word) => return RestSnafu { word }.fail(),
        };
        Ok(Command::List { without, to })
    }

    fn call(&self, words: &mut Words<'_>) -> Result<Sent> {
        let name = words.next("a name")?.to_owned();
        let router = self.router(words)?;
        let customer = index(
            words.next("a customer")?,
            "customer-",
            self.limits.customers,
        )?;
        let mut sent = Sent {
            name,
            router,
            customer,
            cost: 100,
            terms: Terms::default(),
        };
        for word in words.0.by_ref() {
            match word.split_once('=') {
                Some(("cost", value)) => sent.cost = positive(value)?,
                Some(("deadline", value)) => sent.terms.deadline = Some(span(value)?),
                None if word == "repeatable" => sent.terms.repeatable = true,
                _ => {
                    return UnknownSnafu {
                        word,
                        what: "`cost=`, `deadline=` or `repeatable`",
                    }
                    .fail();
                }
            }
        }
        Ok(sent)
    }

    fn figure(&self, words: &mut Words<'_>) -> Result<Figure> {
        let word = words.next("a figure")?;
        if let Some(reason) = word.strip_prefix("refused/") {
            return Ok(Figure::Refused(Some(reason.to_owned())));
        }
        match word {
            "runs" => self.target(words).map(Figure::Runs),
            "drained" => self.router(words).map(Figure::Drained),
            "end" => Ok(Figure::End(words.next("a request")?.to_owned())),
            _ => Figure::plain(word).context(UnknownSnafu {
                word,
                what: "a figure",
            }),
        }
    }
}

fn relation(words: &mut Words<'_>) -> Result<Relation> {
    match words.next("a relation")? {
        "=" => Ok(Relation::Equal),
        "<=" => Ok(Relation::AtMost),
        ">=" => Ok(Relation::AtLeast),
        word => UnknownSnafu {
            word,
            what: "a relation: =, <= or >=",
        }
        .fail(),
    }
}

fn value(word: &str) -> Value {
    if word == "bound" {
        return Value::Bound;
    }
    if let Ok(number) = word.parse() {
        return Value::Number(number);
    }
    match span(word) {
        Ok(span) => Value::Number(span.as_secs_f64()),
        Err(_) => Value::Word(word.to_owned()),
    }
}

fn net(words: &mut Words<'_>) -> Result<Command> {
    let (mut loss, mut doubles) = (0, 0);
    for word in words.0.by_ref() {
        match word.split_once('=') {
            Some(("loss", value)) => loss = whole(value)?,
            Some(("doubles", value)) => doubles = whole(value)?,
            _ => {
                return UnknownSnafu {
                    word,
                    what: "`loss=` or `doubles=`, in thousandths",
                }
                .fail();
            }
        }
    }
    Ok(Command::Net { loss, doubles })
}

fn switch(words: &mut Words<'_>) -> Result<bool> {
    match words.next("`on` or `off`")? {
        "on" => Ok(true),
        "off" => Ok(false),
        word => UnknownSnafu {
            word,
            what: "`on` or `off`",
        }
        .fail(),
    }
}

fn index(word: &str, prefix: &str, count: usize) -> Result<usize> {
    let number = word.strip_prefix(prefix).and_then(|rest| rest.parse().ok());
    let number: usize = number.context(UnknownSnafu {
        word,
        what: "a name that fits here",
    })?;
    ensure!(number < count, OutsideSnafu { word });
    Ok(number)
}

fn whole<T: FromStr>(word: &str) -> Result<T> {
    word.parse().ok().context(UnknownSnafu {
        word,
        what: "a number",
    })
}

fn positive<T: FromStr + Default + PartialEq>(word: &str) -> Result<T> {
    let number: T = whole(word)?;
    ensure!(
        number != T::default(),
        UnknownSnafu {
            word,
            what: "a number above zero"
        }
    );
    Ok(number)
}

/// A time: a number with `ms`, `s` or `m`.
fn span(word: &str) -> Result<Duration> {
    let wrong = UnknownSnafu {
        word,
        what: "a time with ms, s or m",
    };
    let at = word.find(|c: char| c.is_ascii_alphabetic());
    let (digits, unit) = word.split_at(at.unwrap_or(word.len()));
    let number: f64 = digits.parse().ok().context(wrong)?;
    let seconds = match unit {
        "ms" => number / 1_000.0,
        "s" => number,
        "m" => number * 60.0,
        _ => return wrong.fail(),
    };
    Duration::try_from_secs_f64(seconds).ok().context(wrong)
}
