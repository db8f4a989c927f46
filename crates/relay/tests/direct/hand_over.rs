//! Paused streams, and what becomes of them at two targets at once.

use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::endless::Bytes;
use gooseberry_platform_standin::endless::EndlessTarget;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::STREAM_EVENTS;

use crate::partitions::Fleet;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::start_one;
use crate::platform::wait_until;
use crate::streams::all_events;
use crate::streams::answer_beside;
use crate::streams::answer_of_paused;

/// Guards against a target that is given up while it is the only one left for a stream.
#[tokio::test]
async fn a_paused_stream_goes_on_at_a_target_that_takes_long_to_begin() {
    let client = ClientRequest::new("/long/").with_stage_pieces("1");
    let first = Mode::PauseBefore(3, 60_000);
    let (platform, answer) = answer_of_paused(&client, first, Mode::PauseBefore(3, 1_900)).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
    assert_eq!(platform.runs(&client.attempt), 2);
}

/// Guards against streams that end as the second target fails, for which the first one was left.
#[tokio::test]
async fn a_paused_stream_goes_on_after_the_next_target_has_accepted_it_and_failed() {
    let (platform, daemon) = start_one().await;
    platform.engines[1].share_modes(&platform.engines[0]);
    let client = ClientRequest::new("/long/").with_stage_pieces("1");
    let client = client.with("Deadline-Ms", "8000");
    let first = Mode::PauseBefore(3, 60_000);
    let others = [Mode::EndWithin(3, 400), Mode::Normal];
    let answer = answer_beside(&platform, &daemon, &client, first, &others).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
}

/// Guards against streams that are never ended though another target has said that they are
/// complete.
#[tokio::test]
async fn a_stream_that_pauses_after_its_last_event_ends_at_another_target() {
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let first = Mode::PauseBefore(STREAM_EVENTS + 1, 60_000);
    let (_, answer) = answer_of_paused(&client, first, Mode::Normal).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
}

/// Guards against a search that is given up when the paused target ends its stream too early.
#[tokio::test]
async fn a_paused_stream_that_ends_within_an_event_goes_on_at_the_target_that_has_it() {
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let first = Mode::EndWithin(3, 1_700);
    let (_, answer) = answer_of_paused(&client, first, Mode::PauseBefore(3, 600)).await;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
}

/// Guards against an event that is complete but not passed on, since there is no memory for it.
#[tokio::test]
async fn a_paused_stream_that_goes_on_without_memory_lacks_no_event() {
    let platform = TestPlatform::start().await;
    for engine in &platform.engines {
        platform.store.remove(&format!("servers/{}", engine.name));
    }
    // Only its last bytes exceed the part of a reply that needs no memory.
    let long_event = format!("id: 3\ndata: {}\n\n", "x".repeat(64 << 10));
    let bytes = Bytes {
        first: "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s\r\n\r\n\
                id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n",
        repeated: long_event.leak(),
        pause: Duration::from_millis(1_900),
    };
    let first = EndlessTarget::start("long-1", bytes).await;
    platform
        .store
        .put("servers/long-1", &first.entry("engine", "z-1"));
    let daemon = platform.unready_daemon(1, &[]).await;
    wait_until("the daemon is ready", || {
        daemon.context().state().is_ready()
    })
    .await;
    // Another reply of its target has the whole share of the memory.
    let target = name::Target::new("long-1");
    let mut memory = daemon.context().reply_memory.reply(&target);
    let sizes = (1..).map(|count| count * 1024);
    let largest = sizes.take_while(|size| memory.grow(*size)).last();
    assert!(largest > Some(64 << 10));
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let add_other = async {
        wait_until("the first engine has the request", || {
            !first.sent().is_empty()
        })
        .await;
        platform.engines[1].queue_modes(&[Mode::NotRunAfter(600)]);
        platform.list_target(&platform.engines[1], "engine", "ready");
    };
    let answer = tokio::join!(answer_to(&client, &daemon), add_other).0;
    let ids = answer.body.lines().filter(|line| line.starts_with("id:"));
    let ids: Vec<&str> = ids.collect();
    assert!(
        ["id: 1", "id: 2", "id: 3", "id: 4", "id: 5"].starts_with(&ids),
        "{ids:?}"
    );
}

/// Guards against peers that are not asked again after a refusal.
#[tokio::test]
async fn a_paused_stream_at_a_daemon_that_is_cut_off_is_tried_again_through_a_peer() {
    let fleet = Fleet::start().await;
    fleet.cut_off_until_known(0).await;
    let platform = &fleet.platform;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::PauseBefore(3, 60_000)]);
    }
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let refuse_once = async {
        wait_until("an engine has the request", || {
            platform.runs(&client.attempt) > 0
        })
        .await;
        for engine in &platform.engines {
            engine.clear_modes();
            engine.queue_modes(&[Mode::NotRun]);
        }
    };
    let answer = tokio::join!(answer_to(&client, &fleet.daemons[0]), refuse_once).0;
    assert_eq!((answer.is_complete, answer.body), (true, all_events()));
}
