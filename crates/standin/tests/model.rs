//! The engine's model in virtual time, by snapshots of what happens when.

use std::fmt::Write as _;

use dunlinward_standin::engine::model::{Change, Engine, Event, Id, Kind, Page, Prompt, Settings};

/// Round numbers, so that the snapshots can be checked by hand.
fn settings() -> Settings {
    Settings {
        slots: 2,
        step_base: 1_000,
        step_slope: 100,
        prefill: 10,
        prefill_chunk: 64,
        cache_blocks: 8,
        notice_delay: 5_000,
        notice_loss: 0,
        notice_keep: 100,
        load_lag: 3_000,
        retention: 1_000_000,
    }
}

/// Advances until the engine is idle.
fn drain(engine: &mut Engine) -> Vec<Event> {
    let mut events = Vec::new();
    while let Some(at) = engine.next_event_at() {
        events.extend(engine.advance(at));
    }
    events
}

fn show(events: &[Event]) -> String {
    let mut text = String::new();
    for event in events {
        let what = match event.kind {
            Kind::FirstToken => "first".to_owned(),
            Kind::Token { index } => format!("token {index}"),
            Kind::Finished { usage } => format!(
                "finished prompt={} cached={} made={}",
                usage.prompt_tokens, usage.cached_tokens, usage.completion_tokens
            ),
        };
        writeln!(text, "{:>6} stream {} {what}", event.at, event.stream.0).unwrap();
    }
    text
}

fn show_page(page: &Page) -> String {
    let mut text = format!("first {} next {}\n", page.first, page.next);
    for notice in &page.events {
        let change = match notice.change {
            Change::Stored => "stored",
            Change::Evicted => "evicted",
        };
        writeln!(text, "{} {change} {:016x}", notice.seq, notice.block).unwrap();
    }
    text
}

fn indices(events: &[Event], id: Id) -> Vec<u32> {
    let tokens = events.iter().filter(|event| event.stream == id);
    tokens
        .filter_map(|event| match event.kind {
            Kind::FirstToken => Some(0),
            Kind::Token { index } => Some(index),
            Kind::Finished { .. } => None,
        })
        .collect()
}

#[test]
fn third_stream_waits_and_tokens_slow_with_the_batch() {
    let mut engine = Engine::new(settings(), 1);
    for member in 0..3 {
        engine.submit(0, Prompt::synthetic(0, 0, member, 20), 3);
    }
    assert_eq!(
        engine.true_load().running,
        1,
        "others join between iterations"
    );
    let mut events = engine.advance(1_500);
    assert_eq!(engine.true_load().running, 2);
    assert_eq!(engine.true_load().waiting, 1);
    events.extend(drain(&mut engine));
    insta::assert_snapshot!(show(&events));
}

#[test]
fn long_prompt_goes_in_chunks_beside_a_decoding_stream() {
    let mut engine = Engine::new(settings(), 1);
    engine.submit(0, Prompt::synthetic(0, 0, 1, 1), 5);
    engine.submit(0, Prompt::synthetic(0, 0, 2, 150), 2);
    insta::assert_snapshot!(show(&drain(&mut engine)));
}

#[test]
fn shared_prefix_is_paid_once() {
    let mut engine = Engine::new(settings(), 1);
    let mut events = Vec::new();
    for member in 0..2 {
        let now = events.last().map_or(0, |event: &Event| event.at);
        engine.submit(now, Prompt::synthetic(7, 48, member, 10), 1);
        events.extend(drain(&mut engine));
    }
    insta::assert_snapshot!(show(&events));
}

#[test]
fn evicted_prefix_is_paid_again() {
    let mut engine = Engine::new(settings(), 1);
    let prompt = Prompt::synthetic(0, 0, 1, 64);
    engine.submit(0, prompt.clone(), 1);
    drain(&mut engine);
    assert_eq!(engine.cached_tokens(&prompt), 64);
    engine.submit(10_000, Prompt::synthetic(0, 0, 2, 128), 1);
    drain(&mut engine);
    assert_eq!(engine.cached_tokens(&prompt), 0);
}

#[test]
fn cancel_frees_the_slot_for_the_next() {
    let mut engine = Engine::new(settings(), 1);
    let ids: Vec<Id> = (0..3)
        .map(|member| engine.submit(0, Prompt::synthetic(0, 0, member, 16), 4))
        .collect();
    let mut events = engine.advance(2_000);
    assert!(engine.cancel(2_000, ids[0]));
    assert!(!engine.cancel(2_000, ids[0]), "it stands still already");
    events.extend(drain(&mut engine));
    insta::assert_snapshot!(show(&events));
}

#[test]
fn resume_makes_each_token_once() {
    let mut engine = Engine::new(settings(), 1);
    let id = engine.submit(0, Prompt::synthetic(0, 0, 1, 16), 6);
    let mut events = engine.advance(4_000);
    engine.cancel(4_000, id);
    events.extend(engine.advance(50_000));
    let before = indices(&events, id).len();
    assert!((1..6).contains(&before), "cancelled midway, had {before}");
    assert!(engine.resume(50_000, id));
    events.extend(drain(&mut engine));
    assert_eq!(indices(&events, id), [0, 1, 2, 3, 4, 5]);
    insta::assert_snapshot!(show(&events));
}

#[test]
fn cancel_and_resume_within_an_iteration_make_no_token_twice() {
    let mut engine = Engine::new(settings(), 1);
    let id = engine.submit(0, Prompt::synthetic(0, 0, 1, 16), 6);
    let mut events = engine.advance(3_000);
    engine.cancel(3_000, id);
    engine.resume(3_000, id);
    events.extend(drain(&mut engine));
    assert_eq!(indices(&events, id), [0, 1, 2, 3, 4, 5]);
}

#[test]
fn stopped_stream_is_forgotten_after_the_retention() {
    let mut engine = Engine::new(settings(), 1);
    let id = engine.submit(0, Prompt::synthetic(0, 0, 1, 16), 6);
    engine.advance(3_000);
    engine.cancel(3_000, id);
    engine.advance(1_002_999);
    assert_eq!(engine.generated(id), Some(2));
    engine.advance(1_003_000);
    assert_eq!(engine.generated(id), None);
    assert!(!engine.resume(1_003_000, id));
}

#[test]
fn import_continues_where_the_export_stood() {
    let mut from = Engine::new(settings(), 1);
    let mut to = Engine::new(settings(), 2);
    let id = from.submit(0, Prompt::synthetic(0, 0, 1, 64), 5);
    let before = from.advance(4_000);
    let export = from.export(4_000, id).expect("it runs");
    assert_eq!(from.true_load().running, 0);
    let moved = to.import(4_000, export);
    let after = drain(&mut to);
    let all = [indices(&before, id), indices(&after, moved)].concat();
    assert_eq!(all, [0, 1, 2, 3, 4]);
    insta::assert_snapshot!(format!("{}--- moved\n{}", show(&before), show(&after)));
}

#[test]
fn cache_events_come_late() {
    let mut engine = Engine::new(settings(), 1);
    engine.submit(0, Prompt::synthetic(0, 0, 1, 128), 1);
    engine.advance(20_000);
    engine.submit(20_000, Prompt::synthetic(0, 0, 2, 32), 1);
    engine.advance(24_000);
    let early = show_page(&engine.cache_events(24_000, 0));
    let late = show_page(&engine.cache_events(40_000, 6));
    insta::assert_snapshot!(format!("{early}--- later, from 6\n{late}"));
}

#[test]
fn cache_events_have_seeded_gaps() {
    let lossy = Settings {
        notice_loss: 300,
        ..settings()
    };
    let page = |seed| {
        let mut engine = Engine::new(lossy.clone(), seed);
        engine.submit(0, Prompt::synthetic(0, 0, 1, 128), 1);
        engine.advance(100_000);
        engine.cache_events(100_000, 0)
    };
    assert_eq!(page(3), page(3));
    assert_ne!(page(3), page(5));
    insta::assert_snapshot!(show_page(&page(3)));
}

#[test]
fn load_is_reported_late() {
    let mut engine = Engine::new(settings(), 1);
    for member in 0..3 {
        engine.submit(1_000, Prompt::synthetic(0, 0, member, 16), 100);
    }
    let seen: Vec<String> = [1_000, 3_999, 4_000, 9_000]
        .into_iter()
        .map(|now| {
            engine.advance(now);
            format!("{now} {:?}", engine.load(now))
        })
        .collect();
    insta::assert_snapshot!(seen.join("\n"));
}

#[test]
fn wedged_engine_stands_still_and_goes_on() {
    let mut engine = Engine::new(settings(), 1);
    let id = engine.submit(0, Prompt::synthetic(0, 0, 1, 16), 2);
    engine.set_wedged(0, true);
    assert_eq!(engine.next_event_at(), None);
    assert_eq!(engine.advance(1_000_000), []);
    engine.set_wedged(1_000_000, false);
    let events = drain(&mut engine);
    assert_eq!(indices(&events, id), [0, 1]);
    assert_eq!(events[0].at, 1_000_000);
}

#[test]
fn text_prompts_share_blocks_exactly_where_their_words_agree() {
    let words = |tail: &str| format!("{} {tail}", "same ".repeat(32));
    let one = Prompt::from_text(&words(&"one ".repeat(16)));
    let two = Prompt::from_text(&words(&"two ".repeat(20)));
    assert_eq!((one.tokens, one.blocks.len()), (48, 3));
    assert_eq!((two.tokens, two.blocks.len()), (52, 3));
    assert_eq!(one.blocks[..2], two.blocks[..2]);
    assert_ne!(one.blocks[2], two.blocks[2]);
    assert_ne!(one.blocks[0], one.blocks[1], "keys chain");
}
