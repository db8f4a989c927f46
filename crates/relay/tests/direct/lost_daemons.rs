//! Streams that clients resume after all daemons were lost, at targets that keep nothing of them
//! but their prompts.

use std::time::Duration;

use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::is_ready_with;
use crate::platform::wait_until;
use crate::versions::Engines;
use crate::versions::STREAMS;
use crate::versions::dropped_streams;
use crate::versions::request;
use crate::versions::resume;

/// For longer than this after their end, targets do not name the runs of streams.
const RUNS_FORGOTTEN: Duration = Duration::from_secs(1);

/// Has streams of version v1 lose their daemon.
async fn lose_streams(platform: &TestPlatform) -> (Engines, Vec<(usize, String)>) {
    let all = platform.engines.clone().map(|engine| (engine, "v1"));
    let engines = Engines { all: all.into() };
    let lost = platform.daemon(1, &[]).await;
    let streams = dropped_streams(&engines, lost).await;
    sleep(RUNS_FORGOTTEN).await;
    (engines, streams)
}

// A started daemon took the listed version for the only one after 30 s alone, longer than
// clients wait, so no stream went on.
#[tokio::test]
async fn streams_of_the_only_version_go_on_after_all_daemons_were_lost() {
    let platform = TestPlatform::start().await;
    let (engines, streams) = lose_streams(&platform).await;
    let started = platform.daemon(2, &[]).await;
    assert_eq!(resume(&engines, &started, &streams).await, (STREAMS, 0));
}

/// What the store still has of the version that began the streams and has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trace {
    /// All changes of the entries of its targets.
    Changes,
    /// That they were removed, but not what they were.
    Removals,
    /// Nothing.
    Nothing,
}

/// Returns how many streams went on after `leaving` of the two targets of their version have left,
/// at theirs, and at the other one that is listed. If `has_read`, its target has read their prompts
/// for attempts that brought no event.
async fn resume_elsewhere(trace: Trace, has_read: bool, leaving: usize) -> (usize, usize) {
    let platform = TestPlatform::start().await;
    let (mut engines, streams) = lose_streams(&platform).await;
    let newer = Target::start("engine-3").await;
    if has_read {
        newer.queue_modes(&[Mode::DisconnectWithin(1); STREAMS]);
        for number in 0..STREAMS {
            let client = request(number).with("Expect-Instance", &newer.name);
            client.send(newer.address).await;
        }
    }
    if trace == Trace::Removals {
        platform.store.compact_history();
    }
    for engine in &platform.engines[..leaving] {
        platform.store.remove(&format!("servers/{}", engine.name));
    }
    let entry = newer.entry("engine", "z-1", "ready");
    let entry = entry.replace("\"v1\"", "\"v2\"");
    platform.store.put("servers/engine-3", &entry);
    if trace == Trace::Nothing {
        platform.store.compact_history();
    }
    engines.all.push((newer, "v2"));
    let started = platform.unready_daemon(2, &[]).await;
    wait_until("the daemon is ready", || {
        is_ready_with(&started, 9 - leaving)
    })
    .await;
    resume(&engines, &started, &streams).await
}

// One listed version is no proof: streams of another one that has left must not go on there. The
// same holds beside another target of their version.
#[tokio::test]
async fn streams_of_a_version_that_left_do_not_go_on_at_the_only_one_listed() {
    let cases = [
        (Trace::Changes, true, 2),
        (Trace::Removals, true, 2),
        (Trace::Nothing, false, 2),
        (Trace::Changes, true, 1),
        (Trace::Removals, true, 1),
    ];
    let resumed =
        cases.map(|(trace, has_read, leaving)| resume_elsewhere(trace, has_read, leaving));
    assert_eq!(futures::future::join_all(resumed).await, [(0, 0); 5]);
}

/// Has streams of two versions lose all daemons, and returns how many go on at theirs, and how many
/// at the other one. If `earlier` is the first part of a prompt, targets of both versions in turn
/// hold an earlier answer of each stream's session to such a prompt. The targets `leaving` say that
/// they leave meanwhile.
async fn resume_at_two_versions(earlier: Option<&str>, leaving: &[usize]) -> (usize, usize) {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    // No target has been of another version, as far as the store's history tells.
    platform.store.compact_history();
    for number in (0..STREAMS).filter(|_| earlier.is_some()) {
        let (target, _) = &engines.all[number % 2];
        let first_part = earlier.unwrap_or_default();
        let prompt = format!("{first_part}{number}:50,b{number}:50");
        let client = request(number)
            .with("Prompt-Prefix", &prompt)
            .with("Expect-Instance", &target.name);
        let answer = client.send(target.address).await.expect("an answer");
        assert!(answer.is_complete);
    }
    let lost = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&lost, 10)).await;
    let streams = dropped_streams(&engines, lost).await;
    for index in leaving {
        engines.list(&platform, *index, "draining");
    }
    sleep(RUNS_FORGOTTEN).await;
    let started = platform.unready_daemon(2, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&started, 10)).await;
    resume(&engines, &started, &streams).await
}

// Beside two listed versions no stream went on whose targets kept nothing but its prompt.
#[tokio::test]
async fn streams_of_two_versions_go_on_after_all_daemons_were_lost() {
    assert_eq!(resume_at_two_versions(None, &[]).await, (STREAMS, 0));
}

// Targets that were leaving were not asked what they hold, so their streams did not go on at others
// of their version.
#[tokio::test]
async fn streams_of_leaving_targets_go_on_at_others_of_their_version() {
    assert_eq!(resume_at_two_versions(None, &[0, 1]).await, (STREAMS, 0));
}

// A target that held an earlier answer of the session, with the tokens of some other stream, was
// taken for the writer, while the one that had written the stream held no more than its prompt.
#[tokio::test]
async fn an_earlier_answer_of_a_session_is_not_taken_for_its_stream() {
    let to_other_prompts = resume_at_two_versions(Some("s"), &[]);
    let to_same_prompts = resume_at_two_versions(Some("a"), &[]);
    let (other, same) = futures::future::join(to_other_prompts, to_same_prompts).await;
    assert_eq!(other, (STREAMS, 0));
    assert_eq!(same.1, 0);
}

/// Guards against streams that are refused as the target that holds them is silent for a second.
#[tokio::test]
async fn a_stream_whose_holder_is_silent_for_a_second_goes_on_after_all_daemons_were_lost() {
    let platform = TestPlatform::start().await;
    let [first, second] = platform.engines.clone();
    let engines = Engines {
        all: vec![(first, "v1"), (second, "v2")],
    };
    engines.list(&platform, 1, "ready");
    let lost = platform.daemon(1, &[]).await;
    let streams = dropped_streams(&engines, lost).await;
    let started = platform.daemon(2, &[]).await;
    platform.engines[0].fall_silent(Duration::from_secs(1));
    let is_held = |(_, attempt): &(usize, String)| engines.versions(attempt) == ["v1"];
    let held: Vec<_> = streams.into_iter().filter(is_held).collect();
    assert!(!held.is_empty());
    let resumed = resume(&engines, &started, &held).await;
    assert_eq!(resumed, (held.len(), 0));
}
