//! Streams of a service whose targets run several versions of their software.

use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::BREAK_OFF;
use crate::platform::BREAKS;
use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::distinct;
use crate::platform::is_ready_with;
use crate::platform::wait_until;

/// The number of streams, each with another prompt, so that they begin at different
/// targets.
pub const STREAMS: usize = 12;

/// Two engines of each of two versions.
pub struct Engines {
    pub all: Vec<(Target, &'static str)>,
}

impl Engines {
    pub async fn start(platform: &TestPlatform) -> Self {
        let [first, second] = platform.engines.clone();
        let third = Target::start("engine-3").await;
        let fourth = Target::start("engine-4").await;
        let all = vec![(first, "v1"), (second, "v2"), (third, "v1"), (fourth, "v2")];
        let engines = Self { all };
        for index in 0..engines.all.len() {
            engines.list(platform, index, "ready");
        }
        engines
    }

    fn remove(&self, platform: &TestPlatform, index: usize) {
        let (target, _) = &self.all[index];
        platform.store.remove(&format!("servers/{}", target.name));
    }

    pub fn list(&self, platform: &TestPlatform, index: usize, state: &str) {
        let (target, version) = &self.all[index];
        let entry = target.entry("engine", "z-1", state);
        let entry = entry.replace("\"v1\"", &format!("\"{version}\""));
        platform
            .store
            .put(&format!("servers/{}", target.name), &entry);
    }

    fn break_streams(&self) {
        for (target, _) in &self.all {
            target.queue_modes(&BREAK_OFF.repeat(STREAMS));
        }
    }

    pub fn clear_modes(&self) {
        for (target, _) in &self.all {
            target.clear_modes();
        }
    }

    /// Returns the versions of the targets that ran an attempt; the one that began
    /// its stream is the first.
    pub fn versions(&self, attempt: &str) -> Vec<&'static str> {
        let mut runs = Vec::new();
        for (target, version) in &self.all {
            let received = target.received().into_iter();
            let of_attempt = received
                .filter(|request| request.has_run && request.header("Attempt-Id") == attempt);
            runs.extend(of_attempt.map(|run| (run.header("Last-Event-Id").to_owned(), *version)));
        }
        runs.sort_unstable();
        runs.into_iter().map(|(_, version)| version).collect()
    }
}

pub fn request(number: usize) -> ClientRequest {
    ClientRequest::new("/resume/")
        .with_stage_pieces("")
        .with("Prompt-Prefix", &format!("a{number}:50,b{number}:50"))
        .body(&format!("prompt {number}"))
}

/// Sends streams that all break off after two events; returns their numbers and attempts.
async fn broken_streams(engines: &Engines, daemon: &Daemon) -> Vec<(usize, String)> {
    engines.break_streams();
    // At the same time, since targets soon no longer name the runs.
    let sending = (0..STREAMS).map(async |number| {
        let client = distinct(request(number));
        let answer = client.send(client_address(daemon)).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.is_complete), (200, false));
        (number, client.attempt)
    });
    let attempts = futures::future::join_all(sending).await;
    engines.clear_modes();
    attempts
}

/// Resumes each stream, and returns how many went on at a target of their version,
/// and how many at one of another version.
pub async fn resume(
    engines: &Engines,
    daemon: &Daemon,
    streams: &[(usize, String)],
) -> (usize, usize) {
    let (mut same, mut other) = (0, 0);
    for (number, attempt) in streams {
        let client = request(*number)
            .with("Last-Event-Id", "2")
            .with("Resumes", attempt);
        let answer = client.send(client_address(daemon)).await;
        let answer = answer.expect("an answer");
        if answer.status != 200 {
            continue;
        }
        assert!(answer.body.starts_with("id: 3\n"), "{}", answer.body);
        let began_at = engines.versions(attempt)[0];
        if engines.versions(&client.attempt) == [began_at] {
            same += 1;
        } else {
            other += 1;
        }
    }
    (same, other)
}

#[tokio::test]
async fn a_broken_stream_goes_on_only_at_a_target_of_its_version() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 10)).await;
    for (_, attempt) in broken_streams(&engines, &daemon).await {
        let versions = engines.versions(&attempt);
        assert_eq!(versions, [versions[0]; BREAKS], "{attempt}");
    }
}

#[tokio::test]
async fn a_client_resumes_its_stream_only_at_targets_of_the_version_that_began_it() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let first = platform.unready_daemon(1, &[]).await;
    let seeds = [first.context().boot.peer_address];
    let others = [2, 3, 4].map(|number| platform.unready_daemon(number, &seeds));
    let others = futures::future::join_all(others).await;
    for daemon in others.iter().chain([&first]) {
        wait_until("the daemons know each other", || {
            let now = daemon.context().now();
            let members = daemon.context().state().members().live(now).len();
            members == 4 && is_ready_with(daemon, 10)
        })
        .await;
    }
    let attempts = broken_streams(&engines, &first).await;
    // The daemon that passed the streams on is lost, and one target of each version
    // leaves, so that streams have to move.
    first.kill().await;
    engines.list(&platform, 0, "draining");
    engines.list(&platform, 1, "draining");
    for daemon in &others {
        wait_until("the targets leave", || {
            let service = gooseberry_kernel::name::Service::new("engine");
            let now = daemon.context().now();
            daemon.context().state().stage_targets(&service, now).len() == 2
        })
        .await;
    }
    let (same, other) = resume(&engines, &others[0], &attempts).await;
    assert_eq!((same, other), (STREAMS, 0));
}

#[tokio::test]
async fn a_stream_of_unknown_version_is_refused_at_once_while_versions_differ() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 10)).await;
    for client in [
        request(0)
            .with("Last-Event-Id", "2")
            .with("Resumes", "gone"),
        request(0).with("Last-Event-Id", "2"),
    ] {
        let answer = client.send(client_address(&daemon)).await;
        assert_eq!(answer.map(|answer| answer.status), Some(503));
        assert!(engines.versions(&client.attempt).is_empty());
    }
}

#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 10)).await;
    let attempts = broken_streams(&engines, &daemon).await;
    engines.list(&platform, 0, "draining");
    engines.list(&platform, 2, "draining");
    wait_until("the targets leave", || {
        let service = gooseberry_kernel::name::Service::new("engine");
        let now = daemon.context().now();
        daemon.context().state().stage_targets(&service, now).len() == 2
    })
    .await;
    let began_at_first = attempts
        .iter()
        .filter(|(_, attempt)| engines.versions(attempt)[0] == "v1");
    let count = began_at_first.count();
    assert!((1..STREAMS).contains(&count), "{count}");
    let (same, other) = resume(&engines, &daemon, &attempts).await;
    assert_eq!((same, other), (STREAMS - count, 0));
}

/// All daemons are lost, and the last targets of the version that began the streams have
/// left by the time they are back, so that they find targets of one version alone.
#[tokio::test]
async fn a_started_daemon_does_not_take_the_listed_version_for_the_one_that_began_a_stream() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    engines.remove(&platform, 1);
    engines.remove(&platform, 3);
    let lost = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&lost, 8)).await;
    let attempts = broken_streams(&engines, &lost).await;
    lost.kill().await;
    for (index, state) in [(1, "ready"), (3, "ready")] {
        engines.list(&platform, index, state);
    }
    engines.remove(&platform, 0);
    engines.remove(&platform, 2);
    let started = platform.unready_daemon(2, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&started, 8)).await;
    let (same, other) = resume(&engines, &started, &attempts).await;
    assert_eq!((same, other), (0, 0));
}

/// All daemons are lost while targets of two versions serve. What the targets have in
/// memory shows which of them began a stream.
#[tokio::test]
async fn streams_go_on_at_their_version_after_all_daemons_were_lost() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let lost = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&lost, 10)).await;
    let attempts = broken_streams(&engines, &lost).await;
    lost.kill().await;
    let started = platform.unready_daemon(2, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&started, 10)).await;
    let (same, other) = resume(&engines, &started, &attempts).await;
    assert_eq!((same, other), (STREAMS, 0));
}

/// Has streams begin that pause after two events, and kills the daemon, so that the targets
/// drop them with their connections. Returns their numbers and attempts.
pub async fn dropped_streams(engines: &Engines, lost: Daemon) -> Vec<(usize, String)> {
    for (target, _) in &engines.all {
        target.queue_modes(&[Mode::PauseBefore(3, 10_000); STREAMS]);
    }
    let clients: Vec<ClientRequest> = (0..STREAMS).map(request).collect();
    let address = client_address(&lost);
    let answers = clients.iter().map(|client| client.send(address));
    let answers = futures::future::join_all(answers);
    let killing = async {
        wait_until("all streams have begun", || {
            let began = |client: &ClientRequest| !engines.versions(&client.attempt).is_empty();
            clients.iter().all(began)
        })
        .await;
        sleep(Duration::from_millis(300)).await;
        lost.kill().await;
    };
    let (answers, ()) = futures::future::join(answers, killing).await;
    for answer in answers {
        assert!(answer.expect("an answer").body.ends_with("event 2\n\n"));
    }
    engines.clear_modes();
    let attempts = clients.into_iter().map(|client| client.attempt);
    attempts.enumerate().collect()
}

/// The connections of the killed daemons were closed, so the targets have dropped their
/// streams. They still say which ones they worked on.
#[tokio::test]
async fn streams_that_were_dropped_with_their_daemons_go_on_at_their_version() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let lost = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&lost, 10)).await;
    let streams = dropped_streams(&engines, lost).await;
    let started = platform.unready_daemon(2, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&started, 10)).await;
    let (same, other) = resume(&engines, &started, &streams).await;
    assert_eq!((same, other), (STREAMS, 0));
}

/// The targets have run out of memory for the streams: these are refused, and nothing runs.
#[tokio::test]
async fn streams_without_a_trace_are_refused_after_all_daemons_were_lost() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let lost = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&lost, 10)).await;
    let attempts = broken_streams(&engines, &lost).await;
    lost.kill().await;
    for number in 0..STREAMS {
        for (target, _) in &engines.all {
            target.forget_part(&format!("b{number}"));
        }
    }
    // The targets no longer name the runs, either.
    sleep(Duration::from_secs(1)).await;
    let started = platform.unready_daemon(2, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&started, 10)).await;
    let began = Instant::now();
    let (same, other) = resume(&engines, &started, &attempts).await;
    assert_eq!((same, other), (0, 0));
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
}

/// Of a fleet all of whose daemons were started again, one asks the targets for all of
/// them.
#[tokio::test]
async fn a_fleet_asks_its_targets_once_which_streams_they_hold() {
    let platform = TestPlatform::start().await;
    let engines = Engines::start(&platform).await;
    let lost = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || is_ready_with(&lost, 10)).await;
    let attempts = broken_streams(&engines, &lost).await;
    lost.kill().await;
    let first = platform.unready_daemon(1, &[]).await;
    let seeds = [first.context().boot.peer_address];
    let others = [2, 3].map(|number| platform.unready_daemon(number, &seeds));
    let others = futures::future::join_all(others).await;
    for daemon in others.iter().chain([&first]) {
        wait_until("the daemons know each other", || {
            let now = daemon.context().now();
            let members = daemon.context().state().members().live(now).len();
            members == 3 && is_ready_with(daemon, 10)
        })
        .await;
    }
    let (early, late) = attempts.split_at(STREAMS / 2);
    for (daemon, attempts) in others.iter().zip([early, late]) {
        let (same, other) = resume(&engines, daemon, attempts).await;
        assert_eq!((same, other), (attempts.len(), 0));
    }
    for (target, _) in &engines.all {
        assert_eq!(target.list_requests(), 1);
    }
}
