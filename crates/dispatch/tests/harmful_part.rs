//! Which part of a prompt terminates targets, among parts that many requests share.

use std::time::Duration;

use dunlinward_dispatch::cache::PartTag;
use dunlinward_dispatch::harmful_part::{
    Cases, Evidence, MAX_REPORTED, Report, Runs, SETTLE, Verdict,
};
use dunlinward_dispatch::prefix::{Part, Prompt};
use dunlinward_dispatch::target::Tag;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The part that terminates targets, and one that all requests share.
const HARMFUL: PartTag = 1;
const COMMON: PartTag = 2;

const MS: Duration = Duration::from_millis(1);

fn prompt(parts: &[PartTag]) -> Prompt {
    let own = PartTag::MAX;
    let parts = parts.iter().chain([&own]);
    Prompt {
        tokens: 100,
        answer_tokens: 10,
        parts: parts
            .map(|id| Part {
                id: *id,
                tokens: 10,
            })
            .collect(),
    }
}

fn report(target: u32, parts: &[(PartTag, Option<u32>)]) -> Report {
    let parts = parts.iter().map(|(part, age)| Evidence {
        part: *part,
        answered: age.map(|it| MS * it),
    });
    Report {
        target: Tag(target),
        parts: parts.collect(),
    }
}

/// Reports, each 250 ms after the one before; how many it takes until a part is harmful, and which.
/// Parts that were found are not sent any more.
fn found(reports: impl IntoIterator<Item = Vec<(PartTag, Option<u32>)>>) -> Vec<(usize, PartTag)> {
    let mut cases = Cases::new();
    let mut found: Vec<(usize, PartTag)> = Vec::new();
    for (number, mut parts) in (1..).zip(reports) {
        parts.retain(|(part, _)| found.iter().all(|it| it.1 != *part));
        let at = MS * 250 * number;
        cases.record(&report(number, &parts), at);
        for wait in [SETTLE, SETTLE * 2] {
            let harms = cases.evaluate(at + wait).harms;
            let number = usize::try_from(number).unwrap();
            found.extend(harms.into_iter().map(|it| (number, it.part)));
        }
    }
    found
}

#[test]
fn a_part_that_is_never_answered_is_found_beside_one_that_is() {
    let reports = (0..8).map(|number| {
        let other = (10 + number, None);
        vec![(HARMFUL, None), (COMMON, Some(30)), other]
    });
    assert_eq!(found(reports), [(4, HARMFUL)]);
}

#[test]
fn a_part_that_was_answered_before_it_became_harmful_is_found() {
    let reports =
        (0..8).map(|number| vec![(HARMFUL, Some(5_000 + number * 250)), (COMMON, Some(30))]);
    assert_eq!(found(reports), [(7, HARMFUL)]);
}

/// Targets crash by themselves too, and the common part is not answered meanwhile.
#[test]
fn a_harmful_part_is_found_though_an_answered_one_has_more_ends() {
    let reports = (0..8).map(|number| {
        let harmful = (HARMFUL, None);
        let common = (COMMON, Some(5_000 + number * 250));
        if number == 1 {
            vec![common]
        } else {
            vec![harmful, common]
        }
    });
    assert_eq!(found(reports), [(5, HARMFUL)]);
}

/// Guards against a new part being held that is in some runs of a part which has become harmful.
#[test]
fn a_new_part_is_not_held_in_place_of_an_answered_harmful_one() {
    let reports = (0..8).map(|number| {
        let mut parts = vec![(HARMFUL, Some(5_000 + number * 250))];
        parts.extend((number >= 2).then_some((50, None)));
        parts
    });
    assert_eq!(found(reports), [(7, HARMFUL)]);
}

#[test]
fn two_harmful_parts_are_both_found() {
    let reports =
        (0..16).map(|number| vec![(HARMFUL + 100 * (number % 2), None), (COMMON, Some(30))]);
    let found = found(reports);
    let parts: Vec<_> = found.iter().map(|it| it.1).collect();
    assert_eq!(parts, [HARMFUL, HARMFUL + 100]);
    assert!(found[1].0 <= 10, "{found:?}");
}

#[test]
fn parts_that_always_occur_together_are_found_one_end_later() {
    let reports = (0..8).map(|_| vec![(HARMFUL, None), (HARMFUL + 1, None)]);
    let found = found(reports);
    assert_eq!(found[0].0, 5, "{found:?}");
}

#[test]
fn a_new_part_in_some_of_the_crashed_runs_is_released() {
    let reports = (0..6).map(|number| {
        let mut parts = vec![(HARMFUL, None)];
        parts.extend((number % 3 != 2).then_some((50, None)));
        parts
    });
    assert_eq!(found(reports), [(4, HARMFUL)]);
}

/// A failure domain terminates: many targets at once, and each part is at a few of them.
#[test]
fn no_part_is_harmful_when_a_failure_domain_terminates() {
    let mut cases = Cases::new();
    for number in 0..100 {
        let parts = [(10 + number % 16, None), (COMMON, None)];
        let parts = if number % 4 == 0 {
            &parts[..]
        } else {
            &parts[..1]
        };
        cases.record(&report(number, parts), MS * number);
    }
    for at in [200, 400] {
        assert_eq!(cases.evaluate(MS * at), Verdict::default());
    }
}

#[test]
fn a_part_of_all_prompts_is_not_held_when_a_failure_domain_terminates() {
    for answered in [None, Some(500)] {
        let mut cases = Cases::new();
        for number in 0..16 {
            let parts = [(COMMON, answered), (10 + number, None)];
            cases.record(&report(number, &parts), MS * 4 * number);
        }
        for at in [100, 200, 300] {
            assert_eq!(cases.evaluate(MS * at), Verdict::default());
        }
    }
}

#[test]
fn reports_hold_the_parts_of_interrupted_runs_and_the_age_of_answers() {
    let mut runs = Runs::new();
    runs.record_answer(&prompt(&[COMMON]), MS * 10);
    runs.record_interrupted(Tag(1), &prompt(&[COMMON, HARMFUL]), MS * 20);
    runs.record_interrupted(Tag(2), &prompt(&[7]), MS * 20);
    assert_eq!(runs.resolve(Tag(2), false, MS * 30), []);
    let expected = report(1, &[(HARMFUL, None), (COMMON, Some(20))]);
    assert_eq!(runs.resolve(Tag(1), true, MS * 30), [expected]);
    assert_eq!(runs.resolve(Tag(1), true, MS * 30), []);
}

#[test]
fn long_prompts_are_reported_in_several_messages() {
    let mut runs = Runs::new();
    let parts: Vec<PartTag> = (0..300).collect();
    runs.record_interrupted(Tag(1), &prompt(&parts), MS);
    let reports = runs.resolve(Tag(1), true, MS);
    let lengths: Vec<_> = reports.iter().map(|it| it.parts.len()).collect();
    assert_eq!(lengths, [MAX_REPORTED, MAX_REPORTED, 44]);
}

/// A drawn load: requests of one common and one of some documents run at targets; each router knows
/// its own answers.
struct Load {
    routers: usize,
    targets: u32,
    /// Sound requests and harmful ones a second.
    sound: u32,
    harmful: u32,
    /// Targets that crash by themselves in a minute.
    crashes: u32,
    seed: u64,
}

/// Terminations under the harmful part, and innocent parts that were held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcome {
    ends: usize,
    innocent: usize,
}

#[derive(Clone)]
struct Run {
    router: usize,
    prompt: Prompt,
    begun: Duration,
    end: Duration,
}

const STEP: Duration = Duration::from_millis(1);
const TIME: Duration = Duration::from_secs(20);
const DOCUMENTS: u32 = 200;

/// Plays a load. `naive` holds each part after as many ends as the real decision needs, whatever
/// was answered.
fn play(load: &Load, naive: bool) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(load.seed);
    let mut routers = vec![Runs::new(); load.routers];
    let mut targets: Vec<(u32, Vec<Run>)> = (0..load.targets).map(|it| (it, Vec::new())).collect();
    let mut cases = Cases::new();
    let mut counts: std::collections::HashMap<PartTag, usize> = std::collections::HashMap::new();
    let mut held: Vec<PartTag> = Vec::new();
    let mut outcome = Outcome::default();
    let mut settle = None;
    let mut now = Duration::ZERO;
    while now < TIME {
        now += STEP;
        let arrivals = [(load.sound, false), (load.harmful, true)];
        for (rate, harmful) in arrivals {
            if random.random_range(0..1_000) >= rate {
                continue;
            }
            let document = 10
                + random
                    .random_range(0..DOCUMENTS)
                    .min(random.random_range(0..DOCUMENTS));
            let mut parts = vec![COMMON, document];
            parts.extend(harmful.then_some(HARMFUL));
            if parts.iter().any(|it| held.contains(it)) {
                continue;
            }
            let target = random.random_range(0..load.targets);
            let length = if harmful {
                80
            } else {
                random.random_range(300..4_000)
            };
            targets[target as usize].1.push(Run {
                router: random.random_range(0..load.routers),
                prompt: prompt(&parts),
                begun: now + MS * 50,
                end: now + MS * length,
            });
        }
        for target in &mut targets {
            let done: Vec<_> = target.1.extract_if(.., |it| it.end <= now).collect();
            let harmful = done
                .iter()
                .any(|it| it.prompt.parts.iter().any(|it| it.id == HARMFUL));
            let crash = random.random_range(0..60_000 * load.targets) < load.crashes;
            if !harmful && !crash {
                for run in done {
                    routers[run.router].record_answer(&run.prompt, now);
                }
                continue;
            }
            outcome.ends += usize::from(harmful);
            let mut all = std::mem::take(&mut target.1);
            all.extend(done);
            let ended = Tag(target.0);
            target.0 += load.targets;
            for run in &all {
                if now.saturating_sub(run.begun) < dunlinward_dispatch::harmful_part::FRESH {
                    routers[run.router].record_interrupted(ended, &run.prompt, now);
                    for part in run.prompt.shared() {
                        *counts.entry(part.id).or_default() += 1;
                    }
                }
            }
            for router in &mut routers {
                for report in router.resolve(ended, true, now) {
                    cases.record(&report, now);
                    settle.get_or_insert(now + SETTLE);
                }
            }
        }
        if settle.is_some_and(|it| it <= now) {
            let verdict = cases.evaluate(now);
            settle = verdict.query.map(|_| now + SETTLE);
            if let Some(part) = verdict.query {
                for router in &routers {
                    cases.record_answer(router.evidence(part, now), now);
                }
            }
            held.extend(verdict.harms.into_iter().map(|it| it.part));
        }
        if naive {
            held = counts
                .iter()
                .filter(|it| *it.1 >= 4)
                .map(|it| *it.0)
                .collect();
        }
    }
    outcome.innocent = held.iter().filter(|it| **it != HARMFUL).count();
    outcome
}

/// Errors of both kinds, with a threshold on counts alone as the yardstick.
#[test]
fn drawn_loads_end_few_targets_and_hold_no_innocent_part() {
    let mut yardstick = 0;
    for (routers, targets, sound) in [(9, 12, 120), (64, 60, 400), (300, 300, 900)] {
        for (harmful, crashes) in [(7, 0), (7, 30), (0, 30), (0, 120)] {
            for seed in 0..5 {
                let load = Load {
                    routers,
                    targets,
                    sound,
                    harmful,
                    crashes,
                    seed,
                };
                let outcome = play(&load, false);
                let case =
                    format!("{routers} routers, {harmful}/s, {crashes} crashes, seed {seed}");
                println!("{case}: {outcome:?}");
                assert!(outcome.ends <= 8, "{case}: {outcome:?}");
                assert_eq!(outcome.innocent, 0, "{case}: {outcome:?}");
            }
            let load = Load {
                routers,
                targets,
                sound,
                harmful,
                crashes,
                seed: 0,
            };
            yardstick += play(&load, true).innocent;
        }
    }
    println!("innocent parts held by counts alone: {yardstick}");
    assert!(yardstick > 0);
}
