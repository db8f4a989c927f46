//! The search for the versions of streams after all daemons were lost.

use compact_str::CompactString;
use compact_str::format_compact;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand::Demand;
use gooseberry_kernel::request::routing_table::Incarnation;
use gooseberry_kernel::request::stream_origin::MEMORY;
use gooseberry_kernel::request::stream_trace::Finding;
use gooseberry_kernel::request::stream_trace::HeldPart;
use gooseberry_kernel::request::stream_trace::Memory;
use gooseberry_kernel::request::stream_trace::PartTrace;
use gooseberry_kernel::request::stream_trace::Run;
use gooseberry_kernel::request::stream_trace::SURVEY_AGE_MAX;
use gooseberry_kernel::request::stream_trace::Step;
use gooseberry_kernel::request::stream_trace::Surveys;
use gooseberry_kernel::request::stream_trace::Trace;

/// Tokens of the last part of each prompt.
const READ: u32 = 300;
/// The largest number of tokens of an answer.
const WRITTEN_MAX: u32 = 80;

fn part_trace(id: &str, last_event: &str) -> Option<PartTrace> {
    part_trace_of(&[("shared", 700), (id, READ)], last_event)
}

fn part_trace_of(parts: &[(&str, u32)], last_event: &str) -> Option<PartTrace> {
    let demand = Demand::new(1_000, parts, WRITTEN_MAX, None).expect("it is usable");
    let ids: Vec<CompactString> = parts
        .iter()
        .map(|(id, _)| CompactString::from(*id))
        .collect();
    PartTrace::new(&ids, &demand, last_event)
}

/// The trace of a stream whose attempt has the name of its prompt's last part.
fn trace_of(id: &str, last_event: &str) -> Trace {
    Trace {
        attempt: name::Attempt::new(id),
        part: part_trace(id, last_event),
    }
}

/// A run of the target that is named like its version.
fn incarnation(version: &str) -> Incarnation {
    Incarnation {
        target: name::Target::new(version),
        started: 5,
        version: name::Version::new(version),
    }
}

fn memory(version: &str, parts: &[(&str, u32)], runs: &[(&str, u32)]) -> Memory {
    let part = |(id, tokens): &(&str, u32)| HeldPart {
        id: CompactString::from(*id),
        tokens: *tokens,
    };
    let run = |(attempt, events): &(&str, u32)| Run {
        attempt: name::Attempt::new(attempt),
        events: *events,
    };
    Memory {
        incarnation: incarnation(version),
        runs: runs.iter().map(run).collect(),
        parts: parts.iter().map(part).collect(),
    }
}

/// A target that holds these tokens of the part "mine", beside other parts.
fn holder(version: &str, tokens: u32) -> Memory {
    let parts = [("shared", 700), ("mine", tokens), ("another", READ + 30)];
    memory(version, &parts, &[("another", 9)])
}

/// Returns what is found of a stream if targets say this.
fn finding(trace: &Trace, memories: &[Memory]) -> Finding {
    let service = name::Service::new("engine");
    let mut surveys = Surveys::default();
    assert_eq!(surveys.step(&service, trace, Millis(0)), Step::Begin);
    assert_eq!(surveys.step(&service, trace, Millis(5)), Step::Wait);
    surveys.record(&service, memories.to_vec());
    surveys.end(&service);
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
    let other = memory("v2", &[("another", READ + 30)], &[]);
    let found = finding(&stream, &[holder("v1", READ + 30), other.clone()]);
    assert_eq!(found, version("v1"));
    let found = finding(&stream, &[holder("v1", READ + 30), holder("v1", READ + 12)]);
    assert_eq!(found, version("v1"));
    assert_eq!(finding(&stream, &[other]), Finding::NotFound);
    assert_eq!(finding(&stream, &[]), Finding::Unanswered);
}

/// A target of another version has read the prompt for an attempt that brought no event,
/// and the one that wrote the stream has left.
#[test]
fn a_target_that_has_only_read_a_prompt_is_not_taken_for_its_writer() {
    let stream = trace_of("mine", "12");
    for tokens in [READ - 100, READ, READ + 11, READ + WRITTEN_MAX + 1] {
        let found = finding(&stream, &[holder("v2", tokens)]);
        assert_eq!(found, Finding::NotFound);
    }
}

// An earlier answer of the session counted for the stream, though a target of another version
// had read its prompt, and had dropped the stream with its connection.
#[test]
fn an_answer_is_contradicted_by_a_reader_of_another_version() {
    let stream = trace_of("mine", "12");
    let answer = holder("v1", READ + 12);
    for tokens in [READ - 15, READ, READ + 11, READ + WRITTEN_MAX + 1] {
        let readers = [holder("v2", tokens), answer.clone()];
        assert_eq!(finding(&stream, &readers), Finding::Ambiguous);
        let same_version = [holder("v1", tokens), answer.clone()];
        assert_eq!(finding(&stream, &same_version), version("v1"));
    }
    // One that lacks a part of the prompt has not read it, and its answer is to another one.
    let of_other_prompt = |tokens| memory("v2", &[("mine", tokens)], &[]);
    for tokens in [READ - 16, READ, READ + 12] {
        let others = [of_other_prompt(tokens), answer.clone()];
        assert_eq!(finding(&stream, &others), version("v1"));
        let found = finding(&stream, &[of_other_prompt(tokens)]);
        assert_eq!(found, Finding::NotFound);
    }
    // Targets keep whole blocks, so a part that is shorter may be missing at a reader.
    let mut short = stream.clone();
    short.part = part_trace_of(&[("short", 15), ("mine", READ)], "12");
    let found = finding(&short, &[of_other_prompt(READ), answer]);
    assert_eq!(found, Finding::Ambiguous);
}

// After a loss of all daemons, targets that keep no more than prompts were no proof at all.
#[test]
fn the_readers_of_a_prompt_are_told_by_their_version() {
    let stream = trace_of("mine", "12");
    let service = name::Service::new("engine");
    let reader_in = |stream: &Trace, memories: &[Memory], listed: &[Incarnation]| {
        let mut surveys = Surveys::default();
        surveys.step(&service, stream, Millis(0));
        surveys.record(&service, memories.to_vec());
        surveys.end(&service);
        let reader = surveys.only_reader(&service, stream, listed)?;
        let undecided: Vec<_> = reader.undecided.iter().map(ToString::to_string).collect();
        Some((reader.version.to_string(), undecided.join(" ")))
    };
    let listed = ["v1", "v2"].map(incarnation);
    let reader = |memories: &[Memory]| reader_in(&stream, memories, &listed);
    let v1 = |undecided: &str| Some(("v1".to_owned(), undecided.to_owned()));
    // Engines keep whole blocks of 16 tokens.
    let both = [holder("v1", READ - 15), holder("v2", READ - 16)];
    assert_eq!(reader(&both), v1(""));
    assert_eq!(reader(&[holder("v1", READ - 16)]), None);
    assert_eq!(reader(&[holder("v1", READ), holder("v2", READ - 15)]), None);
    assert_eq!(reader(&[]), None);
    // One of another version has not answered, has started again, or keeps no part so short.
    assert_eq!(reader(&both[..1]), v1("v2"));
    let mut again = listed.clone();
    again[1].started += 1;
    assert_eq!(reader_in(&stream, &both, &again), v1("v2"));
    let mut short = stream.clone();
    short.part = part_trace_of(&[("shared", 700), ("mine", 15)], "12");
    let short_parts = [holder("v1", 15), memory("v2", &[("shared", 700)], &[])];
    assert_eq!(reader_in(&short, &short_parts, &listed), v1("v2"));
    // Others of the same version need not be ruled out.
    assert_eq!(reader_in(&stream, &both[..1], &listed[..1]), v1(""));
}

/// The connections of the daemons were closed: the targets have dropped what they had
/// written, and their reports still name the runs.
#[test]
fn a_target_that_has_made_events_for_the_attempt_wrote_its_stream() {
    let stream = trace_of("mine", "12");
    let dropped = |version, events| {
        let parts = [("shared", 700), ("mine", READ - 7)];
        memory(version, &parts, &[("mine", events)])
    };
    assert_eq!(finding(&stream, &[dropped("v1", 11)]), version("v1"));
    let found = finding(&stream, &[dropped("v1", 11), dropped("v2", 0)]);
    assert_eq!(found, version("v1"));
    assert_eq!(finding(&stream, &[dropped("v2", 0)]), Finding::NotFound);
    let unknown_prompt = Trace {
        part: None,
        ..stream
    };
    assert_eq!(finding(&unknown_prompt, &[dropped("v1", 1)]), version("v1"));
}

#[test]
fn a_stream_that_two_versions_may_have_written_goes_on_at_none() {
    let stream = trace_of("mine", "12");
    let run = memory("v2", &[], &[("mine", 3)]);
    for second in [holder("v2", READ + 20), run] {
        let found = finding(&stream, &[holder("v1", READ + 40), second]);
        assert_eq!(found, Finding::Ambiguous);
    }
}

#[test]
fn a_stream_without_a_known_prompt_has_no_trace() {
    assert_eq!(part_trace("", "12"), None);
    let demand = Demand::new(1_000, &[], WRITTEN_MAX, None).expect("it is usable");
    assert_eq!(PartTrace::new(&[], &demand, "12"), None);
    assert_eq!(PartTrace::new(&["mine".into()], &demand, "12"), None);
    // An id that does not count the events still shows that one was received.
    for last_event in ["", "x12", "0", "-3"] {
        let trace = part_trace("mine", last_event);
        assert_eq!(trace.map(|part| part.tokens_min), Some(READ + 1));
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
    let mut memories = ["v0", "v1"].map(|version| memory(version, &[("shared", 700)], &[]));
    for stream in (0..STREAMS).filter(|stream| !is_lost(*stream)) {
        let part = HeldPart {
            id: id(stream),
            tokens: READ + 20,
        };
        memories[usize::from(stream % 2 == 1)].parts.push(part);
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
            surveys.record(&service, memories.to_vec());
            surveys.end(&service);
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
    surveys.record(&service, vec![memory("v1", &[], &[("mine", 1)])]);
    surveys.end(&service);
    assert_eq!(
        surveys.step(&service, &stream, MEMORY),
        Step::Ended(version("v1"))
    );
    // An old one shows nothing but runs: another target may have written a stream since.
    surveys.record(&service, vec![holder("v1", READ + 1)]);
    surveys.end(&service);
    let step = surveys.step(&service, &stream, MEMORY);
    assert_eq!(step, Step::Begin);
    surveys.record(&service, vec![holder("v1", READ + 1)]);
    surveys.end(&service);
    let step = surveys.step(&service, &stream, MEMORY + SURVEY_AGE_MAX);
    assert_eq!(step, Step::Ended(version("v1")));
    surveys.expire(MEMORY + MEMORY);
    let step = surveys.step(&service, &stream, MEMORY + MEMORY);
    assert_eq!(step, Step::Begin);
}
