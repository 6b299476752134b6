//! Cost of the data path's decisions and of the messages between routers, by the size of the fleet.
//!
//! For each size, prints the bytes of each message, the bytes per second that a router sends
//! without packet headers, and the processor time of a request at the owner of its cell. The times
//! are of one thread on this machine, after a warm-up.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bincode::config::standard;
use dunlinward_dispatch::cache::Match;
use dunlinward_dispatch::cell::{self, Cell, ServiceTag};
use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::member::{Condition, Descriptor, Members};
use dunlinward_dispatch::membership::{Kind, Packet, Update};
use dunlinward_dispatch::message::{
    Content, CustomerTag, CustomerUse, Grant, Heartbeat, LoadReport, Message, Request, Return,
    TargetLoad, Views,
};
use dunlinward_dispatch::placement::{self, Candidate, Criteria, Policy};
use dunlinward_dispatch::prefix::{Part, Prompt};
use dunlinward_dispatch::queue_order::RouteTag;
use dunlinward_dispatch::reading::Reading;
use dunlinward_dispatch::region::Region;
use dunlinward_dispatch::registry::Registry;
use dunlinward_dispatch::share::Standing;
use dunlinward_dispatch::speed::Rating;
use dunlinward_dispatch::store::Position;
use dunlinward_dispatch::target::{State, Tag, Target};
use dunlinward_dispatch::usage::{Load, Peer};

/// Iterations per measurement.
const ITERATIONS: u32 = 2_000;

/// Heartbeats per second with the default settings: ten probes and as many answers, and three for
/// each of two views that are confirmed once per second.
const HEARTBEATS_PER_S: f64 = 26.0;

/// Load reports per second to each owner.
const REPORTS_PER_S: f64 = 1.0 / 0.3;

struct Size {
    routers: u32,
    targets: u32,
    customers: u32,
    /// Requests per second at one router.
    requests: f64,
}

const SIZES: [Size; 3] = [
    Size {
        routers: 9,
        targets: 9,
        customers: 16,
        requests: 13.0,
    },
    Size {
        routers: 59,
        targets: 140,
        customers: 30,
        requests: 21.0,
    },
    Size {
        routers: 350,
        targets: 600,
        customers: 350,
        requests: 17.7,
    },
];

fn main() {
    println!(
        "routers targets cells  hbeat  req grant read return load    cust  KB/s out  owner us  place us list us"
    );
    for size in SIZES {
        let bytes = Bytes::new(&size);
        println!(
            "{:7} {:7} {:5} {:6} {:4} {:5} {:4} {:6} {:4} {:7} {:9.1} {:9.1} {:9.1} {:7.0}",
            size.routers,
            size.targets,
            cells(&size),
            bytes.heartbeat,
            bytes.request,
            bytes.grant,
            bytes.read,
            bytes.returned,
            bytes.load_report,
            bytes.customer_report,
            bytes.kb_per_s(&size),
            owner(&size),
            place(&size),
            partition(&size),
        );
    }
}

fn cells(size: &Size) -> u16 {
    cell::count(count(size.targets), cell::TARGETS_PER_CELL)
}

fn count(number: u32) -> usize {
    usize::try_from(number).expect("counts are small")
}

/// Bytes of each message.
struct Bytes {
    heartbeat: usize,
    request: usize,
    grant: usize,
    read: usize,
    returned: usize,
    /// A router's load report to one owner.
    load_report: usize,
    /// One owner's report on customers to another.
    customer_report: usize,
}

impl Bytes {
    fn new(size: &Size) -> Self {
        let tag = Tag::new("i-1");
        let standing = Some(Standing {
            granted: 2_000_000,
            level: Some(1_500_000),
        });
        let returned = Return {
            tag,
            unread: 0,
            outcome: None,
            not_run: None,
            content: Some(ContentTag(u64::MAX / 5)),
            refusal: None,
        };
        Self {
            heartbeat: length(Content::Heartbeat(heartbeat())),
            request: length(Content::Request(request())),
            grant: length(Content::Grant(Grant {
                number: 70_000,
                tag,
                unread: 17_000,
                queued: 0,
                hit: true,
                fetch: Some(Tag(u32::MAX / 3)),
                standing,
            })),
            read: length(Content::Read {
                tag,
                unread: 17_000,
            }),
            returned: length(Content::Return(returned)),
            load_report: length(Content::LoadReport(load_report(size))),
            customer_report: length(Content::LoadReport(customer_report(size))),
        }
    }

    /// Kilobytes per second that a router sends: heartbeats, messages and reports about its
    /// requests, and its part of the reports between owners.
    fn kb_per_s(&self, size: &Size) -> f64 {
        let bytes = |it: usize| f64::from(u32::try_from(it).expect("a message fits in a datagram"));
        let heartbeats = HEARTBEATS_PER_S * bytes(self.heartbeat);
        let messages = bytes(self.request + self.grant + self.read + self.returned);
        let requests = size.requests * messages;
        let cells = f64::from(cells(size));
        let reports = REPORTS_PER_S * cells * bytes(self.load_report);
        let customer_reports = REPORTS_PER_S * cells * (cells - 1.0) * bytes(self.customer_report);
        let customer_reports = customer_reports / f64::from(size.routers);
        (heartbeats + requests + reports + customer_reports) / 1_024.0
    }
}

fn length(content: Content) -> usize {
    let message = Message {
        sender: Peer(u64::MAX / 3),
        content,
    };
    let bytes = bincode::serde::encode_to_vec(&message, standard());
    bytes.expect("messages can be encoded").len()
}

fn descriptor(number: u32) -> Descriptor {
    let [_, _, high, low] = number.to_be_bytes();
    Descriptor {
        address: ([10, 1, high, low], 7400).into(),
        peer: Peer(u64::from(number) * 0x9e37_79b9),
        domain: "hall-a".into(),
        millicores: 250,
    }
}

fn heartbeat() -> Heartbeat {
    let packet = Packet {
        sender: Update::new(descriptor(1)),
        digest: u32::MAX / 3,
        kind: Kind::Probe(u64::MAX / 3),
        updates: Vec::new(),
    };
    let reading = Reading {
        reader: u32::MAX / 3,
        number: 50,
        age_ms: 700,
    };
    let views = Views {
        configuration: 50,
        configuration_read: Some(reading),
        registry_read: Some(reading),
        registry_digest: u64::MAX / 3,
        registry_position: Some(Position {
            era: 0,
            offset: 1_000_000,
        }),
        quarantine: Some(0),
        evacuations: 0,
        era: None,
        leaving: 0,
    };
    Heartbeat { packet, views }
}

fn prompt() -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        tokens: 17_000,
        answer_tokens: 120,
        parts: vec![
            part(u32::MAX / 5, 700),
            part(u32::MAX / 7, 12_600),
            part(0, 3_700),
        ],
    }
}

fn request() -> Request {
    Request {
        number: 70_000,
        cell: first_cell(),
        content: Some(ContentTag(u64::MAX / 5)),
        prompt: Some(prompt()),
        customer: Some(CustomerTag(u32::MAX / 3)),
        cost: 17_240,
        objective: Duration::from_millis(800),
        waited: Duration::from_micros(300),
        max_wait: Duration::from_millis(160),
        remaining: Duration::from_secs(12),
        is_retry: false,
        since_first_attempt: Duration::ZERO,
        demand_counted: false,
        failed: false,
        avoid: Vec::new(),
        withheld: 0,
        route: RouteTag::new("chat"),
    }
}

fn first_cell() -> Cell {
    Cell {
        service: ServiceTag::new("pool"),
        region: Region::default(),
        index: 0,
    }
}

/// A router's load report to one owner: its requests of a second, spread over the cells.
fn load_report(size: &Size) -> LoadReport {
    let cells = f64::from(cells(size));
    let loads = (0u32..).take_while(|it| f64::from(*it) < size.requests / cells);
    let loads = loads.map(|number| TargetLoad {
        tag: Tag::new(&format!("i-{number}")),
        load: Load {
            running: 1,
            unread: 4_000,
        },
    });
    // Places that are used are listed in two reports, 0.3 s apart.
    let accepted = (70_000u64..).zip(0u32..);
    let accepted = accepted.take_while(|(_, it)| f64::from(*it) < size.requests * 0.6 / cells);
    LoadReport {
        loads: loads.collect(),
        accepted: accepted.map(|(number, _)| number).collect(),
        ..LoadReport::default()
    }
}

/// One owner's report to another: a tenth of the customers is backlogged, and a few are large.
fn customer_report(size: &Size) -> LoadReport {
    let customers = (0..size.customers / 10 + 10).map(|number| CustomerUse {
        tag: CustomerTag(number.wrapping_mul(2_654_435_761)),
        asked: 20_000,
        granted: 18_000,
    });
    LoadReport {
        customers: customers.collect(),
        ..LoadReport::default()
    }
}

fn targets(size: &Size) -> Vec<Target> {
    let targets = (0..size.targets).map(|number| Target {
        id: format!("i-{number}").into(),
        service: "pool".into(),
        address: ([10, 1, 0, 1], 80).into(),
        domain: "hall-a".into(),
        born: None,
        slots: 64,
        state: State::Ready,
        cold_left: Duration::ZERO,
        version: None,
    });
    targets.collect()
}

/// Microseconds to find the owner of a cell.
fn owner(size: &Size) -> f64 {
    let mut members = Members::new(descriptor(0));
    for number in 1..size.routers {
        members.upsert(&descriptor(number), Condition::Healthy, Duration::ZERO);
    }
    let now = Duration::from_secs(5);
    microseconds(|| members.owner(black_box(first_cell()), now))
}

/// Microseconds to choose a target in a cell for a request.
fn place(size: &Size) -> f64 {
    let prompt = prompt();
    let targets = targets(size);
    let cell = targets.into_iter().take(cell::TARGETS_PER_CELL).zip(0u32..);
    let candidates: Vec<_> = cell
        .map(|(target, number)| Candidate {
            target: Arc::new(target),
            load: Load {
                running: number % 30,
                unread: u64::from(number % 7) * 1_000,
            },
            local: false,
            assumed_cached: number % 9 == 0,
            prefix_match: Some(Match {
                reported: 700,
                expected: 700,
            }),
            rating: Rating::MEDIAN,
        })
        .collect();
    let criteria = Criteria {
        prompt: Some(&prompt),
        objective: Duration::from_millis(800),
        rate: 32_000.0,
        fetch_seconds: Some(2.4e-6),
        capacity_share: 1.0,
        miss_capacity_scale: 1.0,
        waited: Duration::ZERO,
        allow_fetch: true,
        allow_miss: false,
        allow_replica: false,
        tie_breaker: 1,
    };
    let policy = Policy::default();
    microseconds(|| placement::choose(&policy, &criteria, black_box(&candidates)))
}

/// Microseconds to apply a new list of targets and partition it into cells.
fn partition(size: &Size) -> f64 {
    let targets = targets(size);
    let mut registry = Registry::new();
    let mut now = Duration::ZERO;
    microseconds(|| {
        now += Duration::from_millis(1);
        registry.apply_list(targets.clone(), now)
    })
}

fn microseconds<T>(mut run: impl FnMut() -> T) -> f64 {
    black_box(run());
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(run());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}
