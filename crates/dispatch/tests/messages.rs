//! Plausibility of messages: values that a router of another version may send, and values that no
//! router sends.

use std::time::Duration;

use dunlinward_dispatch::cell::{Cell, ServiceTag};
use dunlinward_dispatch::content::ContentTag;
use dunlinward_dispatch::member::Descriptor;
use dunlinward_dispatch::membership::{Kind, Packet, Update};
use dunlinward_dispatch::message::{
    Content, CustomerTag, CustomerUse, Grant, Heartbeat, LoadReport, Request, Return, TargetLoad,
    Views,
};
use dunlinward_dispatch::prefix::{Part, Prompt};
use dunlinward_dispatch::queue_order::RouteTag;
use dunlinward_dispatch::region::Region;
use dunlinward_dispatch::share::Standing;
use dunlinward_dispatch::target::Tag;
use dunlinward_dispatch::usage::{Load, Peer};

fn request() -> Request {
    Request {
        number: 7,
        cell: Cell {
            service: ServiceTag::new("pool"),
            region: Region::default(),
            index: 0,
        },
        content: Some(ContentTag(u64::MAX)),
        prompt: Some(Prompt {
            tokens: 10,
            answer_tokens: 5,
            parts: vec![Part { id: 0, tokens: 10 }],
        }),
        customer: Some(CustomerTag(5)),
        cost: 20,
        objective: Duration::from_secs(2),
        waited: Duration::ZERO,
        max_wait: Duration::from_millis(120),
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

fn grant() -> Grant {
    Grant {
        number: 7,
        tag: Tag::new("i-1"),
        unread: 10,
        queued: 0,
        hit: true,
        fetch: None,
        standing: Some(Standing {
            granted: 20,
            level: Some(30),
        }),
    }
}

fn load(unread: u64) -> Content {
    let tag = Tag::new("i-1");
    let load = Load { running: 1, unread };
    Content::LoadReport(LoadReport {
        loads: vec![TargetLoad { tag, load }],
        ..LoadReport::default()
    })
}

fn customer_use(granted: u64) -> Content {
    let customer_use = CustomerUse {
        tag: CustomerTag(5),
        asked: 20,
        granted,
    };
    Content::LoadReport(LoadReport {
        customers: vec![customer_use],
        ..LoadReport::default()
    })
}

fn returned(unread: u64) -> Content {
    Content::Return(Return {
        tag: Tag::new("i-1"),
        unread,
        outcome: None,
        not_run: Some(7),
        content: None,
        refusal: None,
    })
}

#[test]
fn messages_in_range_are_plausible() {
    let contents = [
        Content::Request(request()),
        Content::Grant(grant()),
        Content::Withdraw(u64::MAX),
        load(2_000_000),
        customer_use(100_000_000),
        returned(0),
    ];
    for content in contents {
        assert!(content.plausible(), "{content:?}");
    }
}

/// Sums of such times or token counts overflow; after the first of these messages, a router no
/// longer received any.
#[test]
fn messages_out_of_range_are_not_plausible() {
    let max_duration = Duration::MAX;
    let max_tokens = u64::MAX;
    let requests = [
        Request {
            max_wait: max_duration,
            remaining: max_duration,
            ..request()
        },
        Request {
            objective: max_duration,
            ..request()
        },
        Request {
            waited: max_duration,
            ..request()
        },
        Request {
            cost: max_tokens,
            ..request()
        },
        Request {
            withheld: max_tokens,
            ..request()
        },
        Request {
            prompt: Some(Prompt {
                tokens: max_tokens,
                ..Prompt::default()
            }),
            ..request()
        },
        Request {
            prompt: Some(Prompt {
                answer_tokens: max_tokens,
                ..Prompt::default()
            }),
            ..request()
        },
        Request {
            prompt: Some(Prompt {
                parts: vec![Part {
                    id: 0,
                    tokens: max_tokens,
                }],
                ..Prompt::default()
            }),
            ..request()
        },
    ];
    let contents = requests.into_iter().map(Content::Request).chain([
        Content::Grant(Grant {
            unread: max_tokens,
            queued: 0,
            ..grant()
        }),
        Content::Read {
            tag: Tag::new("i-1"),
            unread: max_tokens,
        },
        load(max_tokens),
        customer_use(max_tokens),
        returned(max_tokens),
    ]);
    for content in contents {
        assert!(!content.plausible(), "{content:?}");
    }
}

fn heartbeat(era: u64) -> Content {
    let card = Descriptor {
        address: ([127, 0, 0, 1], 1).into(),
        peer: Peer(1),
        domain: "a".into(),
        millicores: 1,
    };
    let packet = Packet {
        sender: Update::new(card),
        digest: 0,
        kind: Kind::Gossip,
        updates: Vec::new(),
    };
    let views = Views {
        configuration: 0,
        configuration_read: None,
        registry_read: None,
        registry_digest: 0,
        registry_position: None,
        quarantine: None,
        evacuations: 0,
        era: Some(era),
        leaving: 0,
    };
    Content::Heartbeat(Heartbeat { packet, views })
}

/// With such an era, all answers of the store would count as dating from before its last restore.
#[test]
fn an_era_that_no_store_reaches_is_not_plausible() {
    assert!(heartbeat(1_000).plausible());
    assert!(!heartbeat(u64::MAX).plausible());
    assert!(!heartbeat(1 << 40).plausible());
}
