//! Retries that can still be answered in time, against late ones, on drawn loads in virtual time.

use std::collections::HashSet;

use dunlinward_dispatch::content::ContentTag;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

const END: Duration = Duration::from_secs(20);

/// Delay after which half of the refused clients retry: their retries are on time.
const SHORT_DELAY: Duration = Duration::from_millis(40);

/// Delay of the others, one objective.
const LONG_DELAY: Duration = OBJECTIVE;

/// Time for prefill at an engine, as a fraction of the objective.
const PREFILL_BUDGET: f64 = 0.9;

/// Number of the router that receives all requests.
const ROUTER: Peer = Peer(1);

/// Requests per second of the customer beyond its share; all customers request 1.2 times the
/// capacity.
const FLOOD: u64 = 110;

/// Ratio of that customer's first attempts that its router refuses without asking the owner.
const CROWDED: f64 = 0.4;

/// Customers with little load, and the requests per second of each.
const SMALL: (usize, u64) = (8, 4);

/// A client's request, with its retry.
#[derive(Clone, Copy, Debug)]
struct Client {
    customer: usize,
    first_attempt: Duration,
    /// When this attempt arrived.
    arrived: Duration,
    is_retry: bool,
    /// Time after which it retries.
    delay: Duration,
    /// Whether its timeout tells the router when the first attempt was made.
    tells: bool,
    /// Whether the router refuses the first attempt itself, because its processor is used up. The
    /// owner does not know of that refusal.
    crowded: bool,
}

/// Answers that clients got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Answers {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Clients whose answers are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Group {
    /// Of the customer beyond its share, and answered at their first attempt.
    First,
    /// Of that customer; refused once, and back in time.
    OnTime,
    /// The same, but back late.
    Late,
    /// Of customers with little load.
    Small,
}

/// An owner and one router, whose clients retry once.
struct Clients {
    settings: Settings,
    owner: State,
    usage: Usage,
    requests: HashMap<u64, Client>,
    /// Requests that wait for a place.
    waiting: HashSet<u64>,
    prefill_until: HashMap<Tag, Duration>,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    random: Pcg64Mcg,
    answers: HashMap<Group, Answers>,
}

impl Clients {
    fn new(load_policy: LoadPolicy, seed: u64) -> Self {
        let mut settings = Settings {
            load_policy,
            ..settings()
        };
        // The engines here prefill at exactly their nominal rate, so that the default budget, which
        // is 1.3 times the objective, would make first attempts late as well.
        settings.policy.prefill_budget = PREFILL_BUDGET;
        let mut owner = State::new(&settings, Peer(u64::MAX));
        owner.table = Some(Rc::new(table()));
        owner.registry.apply_list(targets(), Duration::ZERO);
        let mut clients = Self {
            settings,
            owner,
            usage: Usage::new(),
            requests: HashMap::new(),
            waiting: HashSet::new(),
            prefill_until: HashMap::new(),
            events: BTreeMap::new(),
            next: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            answers: HashMap::new(),
        };
        let arrivals: Vec<_> = (0..=SMALL.0).flat_map(|it| clients.draw(it)).collect();
        for client in arrivals {
            clients.start(client);
        }
        clients.schedule(REPORT_INTERVAL, Event::Report);
        clients.schedule(MIN_PASS_INTERVAL, Event::Pass);
        clients
    }

    /// Draws the requests of a customer, so that they are the same under each policy.
    fn draw(&mut self, customer: usize) -> Vec<Client> {
        let rate = if customer == 0 { FLOOD } else { SMALL.1 };
        let mean = 1_000_000 / rate;
        let mut at = Duration::ZERO;
        let mut drawn = Vec::new();
        while at < END {
            at += Duration::from_micros(self.random.random_range(0..2 * mean));
            let prompt = self.random.random_bool(0.5);
            drawn.push(Client {
                customer,
                first_attempt: at,
                arrived: at,
                is_retry: false,
                delay: if prompt { SHORT_DELAY } else { LONG_DELAY },
                tells: self.random.random_bool(0.5),
                crowded: customer == 0 && self.random.random_bool(CROWDED),
            });
        }
        drawn
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn start(&mut self, client: Client) {
        if client.crowded && !client.is_retry {
            self.retry(client, client.arrived);
            return;
        }
        let number = self.next + 1;
        self.requests.insert(number, client);
        self.waiting.insert(number);
        self.schedule(client.arrived, Event::Request(number));
        let timeout = OBJECTIVE.mul_f64(self.settings.queue_policy.first_wait);
        self.schedule(client.arrived + timeout, Event::Timeout(number));
    }

    fn run(mut self) -> HashMap<Group, Answers> {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > END + 3 * SECOND {
                break;
            }
            self.handle(event, now);
        }
        self.answers
    }

    fn handle(&mut self, event: Event, now: Duration) {
        match event {
            Event::Request(number) => self.request(number, now),
            Event::Timeout(number) => self.time_out(number, now),
            Event::PrefillEnd(number, grant) => self.end_prefill(number, grant, now),
            Event::Return(_, returned) => {
                self.usage.end(returned.tag);
                self.owner.return_place(ROUTER, &returned, now);
            }
            Event::Pass => {
                let pass = self.owner.process_queue(&self.settings, now);
                for (_, grant) in pass.peers {
                    self.accept(grant, now);
                }
                self.schedule(now + MIN_PASS_INTERVAL, Event::Pass);
            }
            Event::Report => {
                self.owner
                    .usage
                    .apply_report(ROUTER, self.usage.own_loads(), now);
                self.owner.prune(now);
                self.schedule(now + REPORT_INTERVAL, Event::Report);
            }
            Event::Arrival(_) | Event::Grant(_) | Event::Withdrawal(_) => {}
        }
    }

    fn request(&mut self, number: u64, now: Duration) {
        let client = self.requests[&number];
        let content = client.first_attempt.as_micros();
        let content = u64::try_from(content).expect("less than a minute") * 100;
        let content = content + u64::try_from(client.customer).expect("a few customers");
        let told = client.is_retry && client.tells;
        let wish = PlaceRequest {
            content: Some(ContentTag(content)),
            is_retry: told,
            first_attempt: if told {
                client.first_attempt
            } else {
                client.arrived
            },
            ..place_request(client.customer, client.arrived, self.random.random())
        };
        let asker = asker(ROUTER.0, number);
        let answer = self.owner.answer(&self.settings, asker, wish, now);
        if let Content::Grant(grant) = answer {
            self.accept(grant, now);
        }
    }

    fn accept(&mut self, grant: Grant, now: Duration) {
        let number = grant.number;
        if !self.waiting.remove(&number) {
            self.owner.withdraw(ROUTER, number, now);
            return;
        }
        self.owner.confirm(ROUTER, &[number], now);
        self.usage.begin(grant.tag, grant.unread);
        let until = self.prefill_until.entry(grant.tag).or_default();
        *until = now.max(*until) + Duration::from_secs_f64(to_f64(grant.unread) / PREFILL_RATE);
        let end = *until;
        self.schedule(end, Event::PrefillEnd(number, grant));
    }

    fn end_prefill(&mut self, number: u64, grant: Grant, now: Duration) {
        let client = self.requests[&number];
        let in_time = now <= client.first_attempt + OBJECTIVE;
        let answers = self.answers_of(client);
        answers.in_time += u32::from(in_time);
        answers.late += u32::from(!in_time);
        self.usage.end_prefill(grant.tag, grant.unread);
        self.owner
            .end_prefill_for(ROUTER, grant.tag, grant.unread, now);
        let returned = Return {
            tag: grant.tag,
            unread: 0,
            outcome: None,
            not_run: None,
            content: None,
            refusal: None,
        };
        self.schedule(now + GENERATION_TIME, Event::Return(number, returned));
    }

    fn time_out(&mut self, number: u64, now: Duration) {
        if !self.waiting.remove(&number) {
            return;
        }
        let client = self.requests[&number];
        self.owner.withdraw(ROUTER, number, now);
        if client.is_retry {
            self.answers_of(client).refused += 1;
            return;
        }
        self.retry(client, now);
    }

    fn retry(&mut self, client: Client, now: Duration) {
        self.start(Client {
            arrived: now + client.delay,
            is_retry: true,
            ..client
        });
    }

    fn answers_of(&mut self, client: Client) -> &mut Answers {
        let group = match client.customer {
            0 if !client.is_retry => Group::First,
            0 if client.delay == SHORT_DELAY => Group::OnTime,
            0 => Group::Late,
            _ => Group::Small,
        };
        self.answers.entry(group).or_default()
    }
}

fn answers(load_policy: LoadPolicy, seed: u64) -> HashMap<Group, Answers> {
    Clients::new(load_policy, seed).run()
}

/// The policy under which retries that are on time count as first attempts.
fn policy_on() -> LoadPolicy {
    LoadPolicy {
        intake_utilization: 0.75,
        ..LoadPolicy::OFF
    }
}

/// Guards against retries that are refused a second time although they could be answered in time,
/// and against late ones, or retries of a customer beyond its share, that are served instead of
/// customers with little load.
#[test]
fn retries_on_time_are_served_before_late_ones() {
    for seed in 0..6 {
        let off = answers(LoadPolicy::OFF, seed);
        let on = answers(policy_on(), seed);
        for group in [Group::First, Group::OnTime, Group::Late, Group::Small] {
            println!(
                "seed {seed}: {group:?}: {:?} to {:?}",
                off[&group], on[&group]
            );
        }
        let (on_time, before) = (on[&Group::OnTime], off[&Group::OnTime]);
        assert!(on_time.in_time > before.in_time, "seed {seed}");
        assert!(on_time.refused < before.refused, "seed {seed}");
        assert!(
            on[&Group::Late].late <= off[&Group::Late].late,
            "seed {seed}"
        );
        let flooding = |all: &HashMap<Group, Answers>| {
            all[&Group::First].in_time + all[&Group::OnTime].in_time
        };
        assert!(flooding(&on) > flooding(&off), "seed {seed}");
        let small = |all: &HashMap<Group, Answers>| all[&Group::Small].in_time;
        assert!(small(&on) * 100 >= small(&off) * 99, "seed {seed}");
    }
}

/// Decision for one retry: whether it stays a retry, and when it counts as arrived.
fn classify(load_policy: LoadPolicy, refused: Option<u64>, told: Option<u64>) -> (bool, Duration) {
    let clients = Clients::new(load_policy, 0);
    let mut owner = clients.owner;
    let now = 10 * SECOND;
    let content = ContentTag(1);
    if let Some(age) = refused {
        owner
            .refused_contents
            .insert(content, now.saturating_sub(Duration::from_millis(age)));
    }
    let mut wish = PlaceRequest {
        content: Some(content),
        is_retry: told.is_some(),
        first_attempt: now.saturating_sub(Duration::from_millis(told.unwrap_or_default())),
        ..place_request(0, now, 0)
    };
    owner.classify(&clients.settings, &mut wish, now);
    (wish.is_retry, now.saturating_sub(wish.arrived))
}

/// The objective is 300 ms, so a retry is on time up to 75 ms after the first attempt.
#[test]
fn a_retry_is_on_time_for_a_quarter_of_its_objective() {
    let ms = Duration::from_millis;
    let on = policy_on();
    let scheduled = LoadPolicy {
        schedule_returns: true,
        ..LoadPolicy::OFF
    };
    for policy in [on, scheduled] {
        // The time of the first attempt is known.
        assert_eq!(classify(policy, None, Some(75)), (false, ms(75)));
        assert_eq!(classify(policy, None, Some(76)), (true, ms(0)));
        // It precedes the refusal, so it decides.
        assert_eq!(classify(policy, Some(20), Some(76)), (true, ms(0)));
        // Only the owner's record of the refusal is known.
        assert_eq!(classify(policy, Some(75), None), (false, ms(75)));
        assert_eq!(classify(policy, Some(76), None), (true, ms(0)));
        assert_eq!(classify(policy, Some(20), Some(0)), (false, ms(20)));
        // Nothing is known of its first attempt.
        assert_eq!(classify(policy, None, Some(0)), (true, ms(0)));
        assert_eq!(classify(policy, None, None), (false, ms(0)));
    }
}

/// Guards against other decisions than before while the features that it belongs to are off.
#[test]
fn every_retry_stays_one_while_the_rule_is_off() {
    let off = LoadPolicy::OFF;
    for (refused, told) in [(None, Some(10)), (Some(10), None), (Some(10), Some(10))] {
        assert_eq!(classify(off, refused, told), (true, Duration::ZERO));
    }
}
