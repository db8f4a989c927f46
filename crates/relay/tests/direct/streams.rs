//! Event streams: complete, broken and resumed ones.

use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::request::retry_budget::RetryBudgetLimits;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::STREAM_EVENTS;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::is_ready_with;
use crate::platform::start_daemon_with;
use crate::platform::start_one;
use crate::platform::wait_until;

/// Returns a complete stream.
pub fn all_events() -> String {
    let events = (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n"));
    events.collect()
}

/// Has all engines handle their next request in this mode.
fn queue_mode(platform: &TestPlatform, mode: Mode) {
    for engine in &platform.engines {
        engine.queue_modes(&[mode]);
    }
}

/// Sends a request whose first engine handles it in this mode; the other one is sound.
async fn answer_of_stalled(
    platform: &TestPlatform,
    daemon: &Daemon,
    client: &ClientRequest,
    mode: Mode,
) -> Answer {
    queue_mode(platform, mode);
    let clear_modes = async {
        wait_until("an engine has the request", || {
            platform.runs(&client.attempt) > 0
        })
        .await;
        platform.engines.iter().for_each(Target::clear_modes);
    };
    tokio::join!(answer_to(client, daemon), clear_modes).0
}

/// Returns the value of a metric of the daemon; 0 if it is missing.
fn metric(daemon: &Daemon, name: &str) -> u64 {
    let text = daemon.context().metrics.text().expect("it is encoded");
    let text = String::from_utf8_lossy(&text);
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    value.map_or(0, |value| value.trim().parse().expect("it is a count"))
}

#[tokio::test]
async fn a_stream_that_pauses_for_too_long_counts_as_late() {
    let (platform, daemon) = start_one().await;
    // The first event of all of them is on time; the route allows pauses of 300 ms.
    queue_mode(&platform, Mode::PauseBefore(3, 500));
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    assert!(answer_to(&client, &daemon).await.is_complete);
    let late = |label: &str| {
        let name = format!("gooseberry_relay_streams_total{{late=\"{label}\"}}");
        metric(&daemon, &name)
    };
    assert_eq!((late("gap"), late("no")), (1, 0));
    for engine in &platform.engines {
        engine.clear_modes();
    }
    // Neither malformed headers nor a malformed load make a difference.
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let client = client.with("Token-Counts", "many").with("Length-Hint", "?");
    platform
        .engines
        .iter()
        .for_each(|engine| engine.add_headers(&[("Server-Load", "1,0,8,x")]));
    assert!(answer_to(&client, &daemon).await.is_complete);
    assert_eq!((late("gap"), late("no")), (1, 1));
    let gaps = "gooseberry_relay_seconds_count{form=\"stream\",point=\"gap\"}";
    assert_eq!(metric(&daemon, gaps), 2);
    let token_counts = |engine: &Target| {
        let seen = engine.received();
        seen.iter()
            .any(|seen| seen.header("Token-Counts") == "many")
    };
    assert!(
        platform.engines.iter().any(token_counts),
        "it is forwarded unchanged"
    );
}

#[tokio::test]
async fn a_pause_over_a_resume_counts() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let answer = answer_of_stalled(&platform, &daemon, &client, Mode::PauseBefore(3, 3_000)).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    assert_eq!(platform.runs(&client.attempt), 2);
    assert_eq!(
        metric(&daemon, "gooseberry_relay_streams_total{late=\"gap\"}"),
        1
    );
}

#[tokio::test]
async fn a_stream_is_forwarded_unchanged() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
    assert!(answer.header("Response-Seal").starts_with("seal-engine-"));
    assert_eq!(platform.runs(&client.attempt), 1);
}

#[tokio::test]
async fn a_broken_non_resumable_stream_is_cut_after_a_complete_event() {
    let (platform, daemon) = start_one().await;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::DisconnectWithin(3)]);
    }
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let answer = answer_to(&client, &daemon).await;
    assert!(
        !answer.is_complete,
        "the stream looks complete: {}",
        answer.body
    );
    assert_eq!(
        answer.body,
        "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"
    );
    assert_eq!(platform.runs(&client.attempt), 1);
}

#[tokio::test]
async fn a_broken_resumable_stream_continues_at_another_target_without_gaps_or_repeats() {
    let (platform, daemon) = start_one().await;
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    // Both engines break off within event 3, whichever is first, so the request
    // runs at both, and then once more at one that has written events.
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::DisconnectWithin(3)]);
    }
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(platform.runs(&client.attempt), 3);
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let first = platform.engines.iter().position(|engine| {
        let seen = engine.received();
        seen.first()
            .is_some_and(|seen| seen.header("Last-Event-Id").is_empty())
    });
    platform.engines[first.expect("one engine was first")]
        .queue_modes(&[Mode::DisconnectWithin(4)]);
    let answer = answer_to(&client, &daemon).await;
    assert!(answer.is_complete);
    assert_eq!(answer.body, all_events());
}

#[tokio::test]
async fn a_client_that_sends_last_event_id_gets_the_remaining_events() {
    let (platform, daemon) = start_one().await;
    queue_mode(&platform, Mode::PauseBefore(4, 3_000));
    let broken = ClientRequest::new("/resume/").with_stage_pieces("");
    let broken = broken.with("Deadline-Ms", "900");
    let answer = answer_to(&broken, &daemon).await;
    assert!(!answer.is_complete);
    assert!(answer.body.ends_with("event 3\n\n"), "{}", answer.body);
    platform.engines.iter().for_each(Target::clear_modes);
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let client = client
        .with("Last-Event-Id", "3")
        .with("Resumes", &broken.attempt);
    let answer = answer_to(&client, &daemon).await;
    assert!(answer.is_complete);
    assert!(answer.body.starts_with("id: 4\n"), "{}", answer.body);
}

#[tokio::test]
async fn a_stream_without_a_reply_times_out_at_its_deadline() {
    let (platform, daemon) = start_one().await;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::NoAnswer]);
    }
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let client = client.with("Deadline-Ms", "400");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!(answer.status, 504);
    assert_eq!(answer.header("Retry-After"), "");
}

#[tokio::test]
async fn a_stalled_stream_that_sends_bytes_now_and_then_is_resumed() {
    // Bytes that complete no event restarted the limit on pauses, up to the deadline.
    for mode in [
        Mode::StallWithin(3, 200),
        Mode::StallWithComments(3, 200),
        Mode::StallWithComments(1, 200),
    ] {
        let (platform, daemon) = start_one().await;
        let client = ClientRequest::new("/resume/").with_stage_pieces("");
        let answer = answer_of_stalled(&platform, &daemon, &client, mode).await;
        assert!(answer.is_complete, "{mode:?}: {}", answer.body);
        assert_eq!(answer.body.replace(": wait\n\n", ""), all_events());
        assert_eq!(platform.runs(&client.attempt), 2);
    }
}

#[tokio::test]
async fn a_stalled_stream_that_cannot_be_resumed_ends_at_its_deadline() {
    for interval_ms in [0, 50] {
        let (platform, daemon) = start_one().await;
        queue_mode(&platform, Mode::StallWithComments(3, interval_ms));
        let client = ClientRequest::new("/stream/").with_stage_pieces("");
        let client = client.with("Deadline-Ms", "600");
        let began = Instant::now();
        assert!(!answer_to(&client, &daemon).await.is_complete);
        assert!(began.elapsed() < Duration::from_secs(3), "{interval_ms}");
    }
}

#[tokio::test]
async fn a_slow_stream_that_no_other_target_may_go_on_with_is_not_cut() {
    let (platform, daemon) = start_one().await;
    // Both engines are slow, and the route allows two attempts.
    queue_mode(&platform, Mode::PauseBefore(3, 1_700));
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    assert_eq!(platform.runs(&client.attempt), 2);
}

/// Guards against streams that are given up for silence though they cannot go on elsewhere.
#[tokio::test]
async fn a_paused_stream_that_no_other_target_can_take_is_not_cut() {
    let platform = TestPlatform::start().await;
    let other = &platform.engines[1];
    let entry = other.entry("engine", "z-1", "ready");
    let entry = entry.replace("\"v1\"", "\"v2\"");
    platform.store.put("servers/engine-2", &entry);
    let daemon = platform.daemon(1, &[]).await;
    queue_mode(&platform, Mode::PauseBefore(3, 1_900));
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    assert_eq!(platform.runs(&client.attempt), 1);
    let retries = "gooseberry_relay_retries_total{reason=\"broken-stream\"}";
    assert_eq!(metric(&daemon, retries), 0);
}

const PAUSE: Mode = Mode::PauseBefore(3, 1_900);

/// Has the engine with a stream handle it in the first mode, and the other targets handle what
/// they are sent then in the second one.
pub async fn answer_of_paused(
    client: &ClientRequest,
    first: Mode,
    others: Mode,
) -> (TestPlatform, Answer) {
    let (platform, daemon) = start_one().await;
    let answer = answer_beside(&platform, &daemon, client, first, &[others; 8]).await;
    (platform, answer)
}

/// Has the engine with a stream handle it in the first mode, and each target of engines and
/// stages handle what it is sent then in the other ones, one after the other.
pub async fn answer_beside(
    platform: &TestPlatform,
    daemon: &Daemon,
    client: &ClientRequest,
    first: Mode,
    others: &[Mode],
) -> Answer {
    queue_mode(platform, first);
    let set_others = async {
        wait_until("an engine has the request", || {
            platform.runs(&client.attempt) > 0
        })
        .await;
        for target in platform.engines.iter().chain(&platform.first) {
            target.clear_modes();
            target.queue_modes(others);
        }
    };
    tokio::join!(answer_to(client, daemon), set_others).0
}

const BREAK: Mode = Mode::DisconnectWithin(3);

/// Guards against broken streams that are given up at the first refusal, or as their last target
/// fails.
#[tokio::test]
async fn a_broken_stream_goes_on_after_refusals_and_failures_of_the_next_target() {
    let unmade = Mode::Unmade("error");
    for (path, pieces, others) in [
        ("/resume/", "", &[Mode::NotRun, Mode::NotRun][..]),
        ("/resume/", "", &[Mode::Error]),
        ("/resume/", "", &[Mode::DisconnectWithin(4), Mode::Normal]),
        ("/long/", "1", &[unmade, unmade, unmade]),
    ] {
        let (platform, daemon) = start_one().await;
        platform.engines[1].share_modes(&platform.engines[0]);
        let client = ClientRequest::new(path).with_stage_pieces(pieces);
        let answer = answer_beside(&platform, &daemon, &client, BREAK, others).await;
        assert_eq!(answer.body, all_events(), "{others:?}");
        assert!(answer.is_complete, "{others:?}");
    }
}

/// Guards against broken streams that are given up while the retry budget is used up.
#[tokio::test]
async fn a_broken_stream_waits_for_the_retry_budget() {
    let platform = TestPlatform::start().await;
    // The first retry has been saved up some seconds after the start.
    let limits = RetryBudgetLimits {
        retries_per_thousand: 0,
        slack_retries: 4,
        window: Millis(6_000),
    };
    let daemon = start_daemon_with(1, &[], platform.store.address, limits).await;
    wait_until("the daemon is ready", || is_ready_with(&daemon, 8)).await;
    let client = ClientRequest::new("/long/").with_stage_pieces("1");
    let client = client.with("Deadline-Ms", "8000");
    let answer = answer_beside(&platform, &daemon, &client, BREAK, &[]).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
}

/// Guards against streams that are closed for silence before another target has them.
#[tokio::test]
async fn a_paused_stream_that_the_next_target_does_not_take_goes_on_at_the_first() {
    for mode in [Mode::NotRun, Mode::NoAnswer, Mode::Error, Mode::Unsigned] {
        let client = ClientRequest::new("/resume/").with_stage_pieces("");
        let (_, answer) = answer_of_paused(&client, PAUSE, mode).await;
        assert_eq!(answer.body, all_events(), "{mode:?}");
        assert!(answer.is_complete, "{mode:?}");
    }
}

/// Guards against streams that are closed for silence before their stages have run again.
#[tokio::test]
async fn a_paused_stream_whose_stages_are_refused_goes_on_at_its_target() {
    for mode in [Mode::Unmade("error"), Mode::NoAnswer] {
        let client = ClientRequest::new("/long/").with_stage_pieces("1");
        let (platform, answer) = answer_of_paused(&client, PAUSE, mode).await;
        assert_eq!(answer.body, all_events(), "{mode:?}");
        assert!(answer.is_complete, "{mode:?}");
        assert_eq!(platform.runs(&client.attempt), 1);
    }
}

/// Guards against stages of a stream that goes on being late by the time limit on its first event.
#[tokio::test]
async fn a_stream_that_breaks_off_late_gets_its_stages_again() {
    let platform = TestPlatform::start().await;
    let settings = SETTINGS.replace("\"target_latency_ms\": 2000", "\"target_latency_ms\": 400");
    platform.store.put("op/config", &settings);
    // The first event is due within 2.4 s, and the fifth comes after 3 s.
    let interval = Duration::from_millis(600);
    let engines = [
        Target::start_engine("engine-1", "v1", STREAM_EVENTS, interval).await,
        Target::start_engine("engine-2", "v1", STREAM_EVENTS, interval).await,
    ];
    for engine in &engines {
        platform.list_target(engine, "engine", "ready");
        engine.queue_modes(&[Mode::DisconnectWithin(STREAM_EVENTS)]);
    }
    let daemon = platform.daemon(1, &[]).await;
    let client = ClientRequest::new("/long/").with_stage_pieces("1");
    let clear_modes = async {
        let is_sent = || engines.iter().any(|engine| !engine.received().is_empty());
        wait_until("an engine has the request", is_sent).await;
        engines.iter().for_each(Target::clear_modes);
    };
    let answer = tokio::join!(answer_to(&client, &daemon), clear_modes).0;
    assert_eq!(answer.body.matches("id: ").count(), 5, "{}", answer.body);
    assert!(answer.is_complete, "{}", answer.body);
}

/// Guards against a limit on silence after which a stream ends without a use to anyone.
#[tokio::test]
async fn a_stream_that_pauses_for_long_at_its_last_target_is_not_cut() {
    let (platform, daemon) = start_one().await;
    queue_mode(&platform, Mode::PauseBefore(3, 5_000));
    let client = ClientRequest::new("/long/").with_stage_pieces("1");
    let client = client.with("Deadline-Ms", "8000");
    let answer = answer_to(&client, &daemon).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
}
