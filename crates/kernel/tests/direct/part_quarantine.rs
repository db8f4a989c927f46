use std::collections::BTreeSet;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::name;
use gooseberry_kernel::request::part_quarantine::Part;
use gooseberry_kernel::request::part_quarantine::PartQuarantine;
use gooseberry_kernel::request::part_quarantine::Run;
use gooseberry_kernel::request::part_quarantine::Verdict;

const NOBODY: fn(Part) -> bool = |_| false;
const ANYBODY: fn(Part) -> bool = |_| true;

fn part(id: &str) -> Part {
    Part::of(&name::Service::new("s"), id)
}

fn parts(ids: &[&str]) -> Vec<Part> {
    ids.iter().map(|id| part(id)).collect()
}

fn is_free(quarantine: &mut PartQuarantine, ids: &[&str], now: Millis) -> bool {
    quarantine.verdict(&parts(ids), NOBODY, now) == Verdict::Free
}

/// Returns a quarantine that has seen runs end under the part "bad" of prompts that all
/// begin with "system", from 1 s on.
fn crashed(runs: u64) -> PartQuarantine {
    let mut quarantine = PartQuarantine::default();
    for run in 0..runs {
        let at = Millis(1_000 + run * 100);
        quarantine.record_crash(&parts(&["system", "bad"]), Run(run), at, at);
    }
    quarantine
}

#[test]
fn a_part_under_which_targets_end_is_refused_whatever_else_its_prompts_hold() {
    let now = Millis(2_000);
    let mut quarantine = crashed(2);
    assert!(is_free(&mut quarantine, &["system", "bad"], now));
    let mut quarantine = crashed(3);
    assert!(!is_free(&mut quarantine, &["other", "bad"], now));
    assert!(is_free(&mut quarantine, &["system", "good"], now));
    assert!(is_free(&mut quarantine, &["system"], now));
}

#[test]
fn requests_that_were_lost_beside_the_cause_are_not_refused() {
    let mut quarantine = PartQuarantine::default();
    for run in 0..5 {
        let at = Millis(1_000 + run * 100);
        quarantine.record_crash(&parts(&["system", "beside"]), Run(run), at, at);
        quarantine.record_crash(&parts(&["system", "bad"]), Run(run), at, at);
    }
    let at = Millis(1_600);
    quarantine.record_crash(&parts(&["system", "bad"]), Run(9), at, at);
    assert!(is_free(&mut quarantine, &["system", "beside"], at));
    assert!(!is_free(&mut quarantine, &["system", "bad"], at));
}

#[test]
fn an_answer_clears_a_part_for_a_while() {
    let mut quarantine = crashed(5);
    let now = Millis(2_000);
    quarantine.record_answer(&parts(&["bad"]), now);
    assert!(is_free(&mut quarantine, &["bad"], now));
    for run in 10..20 {
        quarantine.record_crash(&parts(&["bad"]), Run(run), now, now);
    }
    assert!(is_free(&mut quarantine, &["bad"], now));
    let later = now + Millis(61_000);
    for run in 20..23 {
        quarantine.record_crash(&parts(&["bad"]), Run(run), later, later);
    }
    assert!(!is_free(&mut quarantine, &["bad"], later));
}

/// Many requests are sent to a target before it is known that it has ended.
#[test]
fn a_run_counts_only_for_requests_that_were_sent_before_its_end() {
    let mut quarantine = crashed(4);
    for run in 0..4 {
        let late = Millis(2_000);
        quarantine.record_crash(&parts(&["late"]), Run(run), late, late);
    }
    let all = quarantine.evidence_for_message(Millis(2_000));
    assert!(all.iter().all(|evidence| evidence.part != part("late")));
}

/// Nothing was answered yet, so that all prompts seem to be at fault.
#[test]
fn a_shared_part_that_was_found_by_mistake_is_tried_soon_and_cleared() {
    let mut quarantine = PartQuarantine::default();
    let at = Millis(1_000);
    for (run, last) in [(0, "a"), (1, "b"), (2, "c"), (3, "d")] {
        quarantine.record_crash(&parts(&["system", last]), Run(run), at, at);
    }
    assert!(!is_free(&mut quarantine, &["system", "new"], at));
    let soon = Millis(1_600);
    // A prompt with another suspected part would tell nothing.
    let verdict = quarantine.verdict(&parts(&["system", "a"]), ANYBODY, soon);
    assert_eq!(verdict, Verdict::Quarantined(part("system")));
    let verdict = quarantine.verdict(&parts(&["system", "new"]), ANYBODY, soon);
    assert_eq!(verdict, Verdict::Trial(part("system")));
    // One request is tried at a time.
    assert!(!is_free(&mut quarantine, &["system", "new"], soon));
    quarantine.record_answer(&parts(&["system", "new"]), soon);
    assert!(is_free(&mut quarantine, &["system", "a"], soon));
}

#[test]
fn a_part_in_quarantine_is_tried_twice_and_then_refused_while_requests_come() {
    let mut quarantine = crashed(5);
    let mut trials = Vec::new();
    for second in 2..2_000 {
        let now = Millis(second * 1_000);
        if let Verdict::Trial(part) = quarantine.verdict(&parts(&["x", "bad"]), ANYBODY, now) {
            trials.push(second);
            quarantine.record_crash(&[part], Run(1_000 + second), now, now);
        }
        quarantine.expire(now);
    }
    assert_eq!(trials, [12, 312]);
    // Once no request has had it for long, it is forgotten.
    quarantine.expire(Millis(2_600_000));
    assert!(is_free(&mut quarantine, &["bad"], Millis(2_600_000)));
}

#[test]
fn evidence_of_several_daemons_adds_up_in_any_order() {
    let now = Millis(5_000);
    let mut views: Vec<PartQuarantine> = (0..5)
        .map(|run| {
            let mut quarantine = PartQuarantine::default();
            quarantine.record_crash(&parts(&["system", "bad"]), Run(run % 3), now, now);
            quarantine
        })
        .collect();
    for round in 0..50 {
        let (from, to) = (round % 5, (round * 3 + round / 5) % 5);
        let evidence = views[from].evidence_for_message(now);
        views[to].merge(&evidence, now);
        views[to].merge(&evidence, now);
    }
    for view in &mut views {
        assert!(!is_free(view, &["bad"], now));
        assert!(is_free(view, &["system"], now));
    }
}

/// It has seen no crash itself, and is told only of the newest ones.
#[test]
fn a_daemon_that_has_just_started_learns_only_of_the_part_at_fault() {
    let mut quarantine = PartQuarantine::default();
    for run in 0..60 {
        let at = Millis(1_000 + run * 100);
        if run < 4 {
            quarantine.record_crash(&parts(&["system", "beside"]), Run(run), at, at);
        }
        quarantine.record_crash(&parts(&["system", "bad"]), Run(run), at, at);
    }
    let now = Millis(8_000);
    let mut fresh = PartQuarantine::default();
    for _ in 0..10 {
        fresh.merge(&quarantine.evidence_for_message(now), now);
    }
    assert!(!is_free(&mut fresh, &["bad"], now));
    assert!(is_free(&mut fresh, &["beside"], now));
    assert!(is_free(&mut fresh, &["system"], now));
}

/// The result of a simulated minute.
struct Minute {
    crashes: usize,
    /// Requests with the part that were sent later than 3 s after the fifth crash.
    sent_too_late: usize,
    /// Sound requests from 6 s after the fifth crash on, and those that were refused.
    sound: usize,
    refused: usize,
}

/// Simulates a minute in which a tenth of the requests crash their targets.
///
/// Daemons tell eight others every 300 ms what they know, and all others when they find
/// a part. An answer begins 200 ms after its request, and a crash breaks off what its
/// target runs.
fn simulate(daemons: usize, targets: u64, per_second: u64, seed: u64) -> Minute {
    let mut views = vec![PartQuarantine::default(); daemons];
    // What runs: daemon, parts, target, when it was sent, whether it crashes its target.
    let mut running: Vec<(usize, Vec<Part>, u64, u64, bool)> = Vec::new();
    let mut runs = vec![0; usize::try_from(targets).expect("it fits")];
    let mut fifth: Option<u64> = None;
    let mut minute = Minute {
        crashes: 0,
        sent_too_late: 0,
        sound: 0,
        refused: 0,
    };
    let mut number = seed << 32;
    let mut draw = move |bound: u64| {
        number += 1;
        hash::mix(number, 7) % bound
    };
    for ms in (0..60_000).step_by(10) {
        let now = Millis(ms);
        for _ in 0..per_second / 100 + u64::from(draw(100) < per_second % 100) {
            let daemon = usize::try_from(draw(daemons as u64)).expect("it fits");
            let is_bad = draw(10) == 0;
            let middle = if is_bad {
                "bad".to_owned()
            } else {
                format!("m{}", draw(300))
            };
            let prompt = parts(&[&format!("system-{}", draw(3)), &middle]);
            let is_late = |after: u64| fifth.is_some_and(|fifth| ms > fifth + after);
            minute.sound += usize::from(!is_bad && is_late(6_000));
            match views[daemon].verdict(&prompt, |_| daemon == 0, now) {
                Verdict::Quarantined(_) => {
                    minute.refused += usize::from(!is_bad && is_late(6_000));
                    continue;
                }
                Verdict::Free | Verdict::Trial(_) => {}
            }
            minute.sent_too_late += usize::from(is_bad && is_late(3_000));
            running.push((daemon, prompt, draw(targets), ms, is_bad));
        }
        let due: Vec<_> = running.extract_if(.., |one| one.3 + 200 <= ms).collect();
        let crashed: BTreeSet<u64> = due.iter().filter(|one| one.4).map(|one| one.2).collect();
        for (daemon, prompt, target, _, _) in &due {
            if !crashed.contains(target) {
                views[*daemon].record_answer(prompt, now);
            }
        }
        let lost = running.extract_if(.., |one| crashed.contains(&one.2));
        let lost = lost.chain(due.into_iter().filter(|one| crashed.contains(&one.2)));
        let mut finders = BTreeSet::new();
        for (daemon, prompt, target, sent_at, _) in lost.collect::<Vec<_>>() {
            let run = Run(hash::mix(
                target,
                runs[usize::try_from(target).expect("it fits")],
            ));
            let found = views[daemon].record_crash(&prompt, run, Millis(sent_at), now);
            if !found.is_empty() {
                finders.insert(daemon);
            }
        }
        for target in crashed {
            runs[usize::try_from(target).expect("it fits")] += 1;
            minute.crashes += 1;
            if minute.crashes == 5 {
                fifth = Some(ms);
            }
        }
        let is_round = ms % 300 == 0;
        for from in 0..daemons {
            if !is_round && !finders.contains(&from) {
                continue;
            }
            let evidence = views[from].evidence_for_message(now);
            let count = if finders.contains(&from) { daemons } else { 8 };
            for other in 1..=count.min(daemons - 1) {
                let step = usize::try_from(ms / 300).expect("it fits") * 8;
                let to = (from + 1 + (step + other) % (daemons - 1)) % daemons;
                views[to].merge(&evidence, now);
            }
        }
    }
    minute
}

#[test]
fn fleets_of_any_size_find_the_part_in_time_and_serve_the_others() {
    for (daemons, targets, per_second) in [(3, 4, 30), (7, 18, 70), (63, 60, 200), (295, 240, 300)]
    {
        for seed in 0..3 {
            let minute = simulate(daemons, targets, per_second, seed);
            assert!(minute.crashes >= 3, "{} crashes", minute.crashes);
            assert!(
                minute.sent_too_late <= 3,
                "{daemons} daemons, seed {seed}: {} requests, {} crashes",
                minute.sent_too_late,
                minute.crashes
            );
            assert!(
                2 * minute.refused <= minute.sound,
                "{daemons} daemons, seed {seed}: {} of {} refused",
                minute.refused,
                minute.sound
            );
        }
    }
}
