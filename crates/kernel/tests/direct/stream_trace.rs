//! The search for the versions of streams after all daemons were lost.

use std::collections::BTreeMap;

use compact_str::CompactString;
use compact_str::format_compact;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand::Demand;
use gooseberry_kernel::request::stream_origin::MEMORY;
use gooseberry_kernel::request::stream_trace::Finding;
use gooseberry_kernel::request::stream_trace::HeldPart;
use gooseberry_kernel::request::stream_trace::SURVEY_AGE_MAX;
use gooseberry_kernel::request::stream_trace::Step;
use gooseberry_kernel::request::stream_trace::Surveys;
use gooseberry_kernel::request::stream_trace::Trace;

/// Tokens of the last part of each prompt.
const READ: u32 = 300;
/// The largest number of tokens of an answer.
const WRITTEN_MAX: u32 = 80;

fn trace(id: &str, last_event: &str) -> Option<Trace> {
    let parts = [("shared", 700), (id, READ)];
    let demand = Demand::new(1_000, &parts, WRITTEN_MAX, None).expect("it is usable");
    let ids: Vec<CompactString> = parts
        .iter()
        .map(|(id, _)| CompactString::from(*id))
        .collect();
    Trace::new(&ids, &demand, last_event)
}

fn trace_of(id: &str, last_event: &str) -> Trace {
    trace(id, last_event).expect("the prompt is known")
}

fn held(id: &str, tokens: u32) -> HeldPart {
    HeldPart {
        id: id.into(),
        tokens,
    }
}

/// Returns what is found of a stream if targets of these versions hold these parts.
fn finding(trace: &Trace, answers: &[(&str, HeldPart)]) -> Finding {
    let service = name::Service::new("engine");
    let mut surveys = Surveys::default();
    assert_eq!(surveys.step(&service, trace, Millis(0)), Step::Begin);
    assert_eq!(surveys.step(&service, trace, Millis(5)), Step::Wait);
    let answers = answers.iter();
    let answers = answers.map(|(version, part)| (name::Version::new(version), vec![part.clone()]));
    surveys.end(&service, answers.collect());
    match surveys.step(&service, trace, Millis(10)) {
        Step::Ended(finding) => finding,
        step => panic!("{step:?}"),
    }
}

fn version(text: &str) -> Finding {
    Finding::Version(name::Version::new(text))
}

#[test]
fn the_targets_that_hold_a_stream_are_of_the_version_that_began_it() {
    let stream = trace_of("mine", "12");
    let at_v1 = ("v1", held("mine", READ + 30));
    let other = ("v2", held("another", READ + 30));
    assert_eq!(
        finding(&stream, &[at_v1.clone(), other.clone()]),
        version("v1")
    );
    let again = ("v1", held("mine", READ + 12));
    assert_eq!(finding(&stream, &[at_v1.clone(), again]), version("v1"));
    assert_eq!(finding(&stream, &[other]), Finding::NotFound);
    assert_eq!(finding(&stream, &[]), Finding::Unanswered);
}

/// A target of another version has read the prompt for an attempt that brought no event,
/// and the one that wrote the stream has left.
#[test]
fn a_target_that_has_only_read_a_prompt_did_not_write_its_stream() {
    let stream = trace_of("mine", "12");
    for tokens in [READ - 100, READ, READ + 11, READ + WRITTEN_MAX + 1] {
        let read = ("v2", held("mine", tokens));
        assert_eq!(
            finding(&stream, std::slice::from_ref(&read)),
            Finding::NotFound
        );
        let written = ("v1", held("mine", READ + 12));
        assert_eq!(finding(&stream, &[read, written]), version("v1"));
    }
}

#[test]
fn a_stream_that_two_versions_may_have_written_goes_on_at_none() {
    let stream = trace_of("mine", "12");
    let both = [
        ("v1", held("mine", READ + 40)),
        ("v2", held("mine", READ + 20)),
    ];
    assert_eq!(finding(&stream, &both), Finding::Ambiguous);
}

#[test]
fn a_stream_without_a_known_prompt_has_no_trace() {
    assert_eq!(trace("", "12"), None);
    let demand = Demand::new(1_000, &[], WRITTEN_MAX, None).expect("it is usable");
    assert_eq!(Trace::new(&[], &demand, "12"), None);
    assert_eq!(Trace::new(&["mine".into()], &demand, "12"), None);
    // An id that does not count the events still shows that one was received.
    for last_event in ["", "x12", "0", "-3"] {
        assert_eq!(trace_of("mine", last_event).tokens_min, READ + 1);
    }
}

/// All daemons of a fleet were lost. Their clients resume 400 streams within five seconds,
/// of which a tenth are held by no target any more. The targets are asked a few times, and
/// no stream is taken for one of another version.
#[test]
fn a_wave_of_resumed_streams_is_answered_by_a_few_surveys() {
    const STREAMS: u64 = 400;
    const SURVEY_MS: u64 = 40;
    let service = name::Service::new("engine");
    let id = |stream: u64| format_compact!("part-{stream}");
    let version_of = |stream: u64| format_compact!("v{}", stream % 2);
    let is_lost = |stream: u64| stream % 10 == 9;
    let mut held_by: BTreeMap<CompactString, Vec<HeldPart>> = BTreeMap::new();
    for stream in (0..STREAMS).filter(|stream| !is_lost(*stream)) {
        let part = held(&id(stream), READ + 20);
        held_by.entry(version_of(stream)).or_default().push(part);
    }
    let mut surveys = Surveys::default();
    let mut begun = 0;
    let mut running_until = None;
    let mut waiting: Vec<(u64, u64)> = Vec::new();
    let mut found = 0;
    let mut longest_wait = 0;
    for now in 0..8_000 {
        if running_until == Some(now) {
            running_until = None;
            let answers = held_by.iter();
            let answers =
                answers.map(|(version, parts)| (name::Version::new(version), parts.clone()));
            surveys.end(&service, answers.collect());
        }
        if now % 12 == 0 && now / 12 < STREAMS {
            waiting.push((now / 12, now));
        }
        waiting.retain(|(stream, since)| {
            let step = surveys.step(&service, &trace_of(&id(*stream), "3"), Millis(now));
            match step {
                Step::Wait => return true,
                Step::Begin => {
                    begun += 1;
                    running_until = Some(now + SURVEY_MS);
                    return true;
                }
                Step::Ended(Finding::Version(version)) => {
                    assert_eq!(version.as_str(), version_of(*stream));
                    assert!(!is_lost(*stream));
                    found += 1;
                }
                Step::Ended(finding) => {
                    assert_eq!(finding, Finding::NotFound);
                    assert!(is_lost(*stream));
                }
            }
            longest_wait = longest_wait.max(now - since);
            false
        });
    }
    assert!(waiting.is_empty());
    assert_eq!(found, STREAMS * 9 / 10);
    assert!(longest_wait <= SURVEY_MS, "{longest_wait}");
    let surveys_max = 5_000 / SURVEY_AGE_MAX.0 + 1;
    assert!(begun <= surveys_max, "{begun}");
}

#[test]
fn surveys_are_forgotten_with_the_streams_that_they_show() {
    let service = name::Service::new("engine");
    let stream = trace_of("mine", "1");
    let mut surveys = Surveys::default();
    assert_eq!(surveys.step(&service, &stream, Millis(0)), Step::Begin);
    surveys.expire(MEMORY);
    assert_eq!(surveys.step(&service, &stream, MEMORY), Step::Wait);
    let answer = (name::Version::new("v1"), vec![held("mine", READ + 1)]);
    surveys.end(&service, vec![answer]);
    assert_eq!(
        surveys.step(&service, &stream, MEMORY),
        Step::Ended(version("v1"))
    );
    surveys.expire(MEMORY);
    assert_eq!(surveys.step(&service, &stream, MEMORY), Step::Begin);
}
