//! Requests that a peer sends for a daemon which reaches no target.

use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::partition::Partition;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::STREAM_EVENTS;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::partitions::Fleet;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::wait_until;

/// Starts a fleet whose first daemon reaches no target.
async fn cut_fleet() -> Fleet {
    let fleet = Fleet::start().await;
    fleet.cut_off_until_known(0).await;
    fleet
}

/// Returns how often targets have executed an attempt.
fn executed(targets: &[Target], attempt: &str) -> usize {
    let received = targets.iter().flat_map(Target::received);
    let executed = received.filter(|request| request.has_run);
    let of_attempt = executed.filter(|request| request.header("Attempt-Id") == attempt);
    of_attempt.count()
}

#[tokio::test]
async fn an_answer_that_a_peer_passes_on_is_that_of_the_target() {
    let fleet = cut_fleet().await;
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let answer = answer_to(&client, &fleet.daemons[0]).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let events = (1..=STREAM_EVENTS).map(|event| format!("id: {event}\ndata: event {event}\n\n"));
    assert_eq!(answer.body, events.collect::<String>());
    assert!(answer.header("Response-Seal").starts_with("seal-engine-"));
    assert_eq!(answer.header("gooseberry-detour-outcome"), "");
    let client = ClientRequest::new("/once/").body("the body");
    let answer = answer_to(&client, &fleet.daemons[0]).await;
    assert_eq!(answer.status, 200);
    let received = fleet.platform.plain.iter().flat_map(Target::received);
    let mut received = received.filter(|one| one.header("Attempt-Id") == client.attempt);
    let request = received.next().expect("it has reached a target");
    assert_eq!(
        (&request.path[..], &request.body[..]),
        ("/once/", &b"the body"[..])
    );
    assert_eq!(request.header("gooseberry-detour-call"), "");
    assert_eq!(request.header("Tenant"), "w-1");
    let left: u64 = request.header("Deadline-Ms").parse().expect("a number");
    assert!((1_000..=1_500).contains(&left), "{left}");
}

#[tokio::test]
async fn a_refusal_that_a_peer_passes_on_means_that_nothing_has_run() {
    let fleet = cut_fleet().await;
    for target in &fleet.platform.plain {
        target.queue_modes(&[Mode::NotRun; 20]);
    }
    for path in ["/once/", "/read/"] {
        let client = ClientRequest::new(path);
        let answer = answer_to(&client, &fleet.daemons[0]).await;
        assert_eq!(answer.status, 503, "{path}");
        assert_eq!(executed(&fleet.platform.plain, &client.attempt), 0);
    }
}

#[tokio::test]
async fn a_request_whose_target_breaks_off_at_a_peer_runs_once_and_is_not_called_unrun() {
    let fleet = cut_fleet().await;
    for target in &fleet.platform.plain {
        target.queue_modes(&[Mode::Disconnect; 4]);
    }
    let client = ClientRequest::new("/once/");
    let answer = answer_to(&client, &fleet.daemons[0]).await;
    assert_eq!(answer.status, 502);
    assert_eq!(executed(&fleet.platform.plain, &client.attempt), 1);
}

#[tokio::test]
async fn a_request_whose_peer_is_killed_runs_once_and_is_not_called_unrun() {
    let mut fleet = cut_fleet().await;
    for target in &fleet.platform.plain {
        target.queue_modes(&[Mode::Delayed(600); 4]);
    }
    let client = ClientRequest::new("/once/");
    let daemon = client_address(&fleet.daemons[0]);
    let peers = fleet.daemons.split_off(1);
    let sending = client.send(daemon);
    let killing = async {
        sleep(Duration::from_millis(300)).await;
        for peer in peers {
            peer.kill().await;
        }
    };
    let (answer, ()) = futures::future::join(sending, killing).await;
    assert_eq!(answer.map(|answer| answer.status), Some(502));
    assert_eq!(executed(&fleet.platform.plain, &client.attempt), 1);
}

/// Guards against peers that end without a word on the requests that their targets have.
#[tokio::test]
async fn a_request_whose_peers_stop_is_answered_and_is_not_called_unrun() {
    let fleet = cut_fleet().await;
    for engine in &fleet.platform.engines {
        engine.queue_modes(&[Mode::NoAnswer; 4]);
    }
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let sending = client.send(client_address(&fleet.daemons[0]));
    let stopping = async {
        let has_run = || executed(&fleet.platform.engines, &client.attempt) == 1;
        wait_until("a target has it", has_run).await;
        futures::future::join_all(fleet.daemons[1..].iter().map(Daemon::shut_down)).await;
    };
    let (answer, ()) = futures::future::join(sending, stopping).await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (502, true));
    assert_eq!(executed(&fleet.platform.engines, &client.attempt), 1);
}

#[tokio::test]
async fn a_target_stops_when_the_client_of_a_detour_leaves() {
    let fleet = cut_fleet().await;
    for engine in &fleet.platform.engines {
        engine.queue_modes(&[Mode::NoAnswer]);
    }
    let client = ClientRequest::new("/stream/").with_stage_pieces("");
    let sending = client.send(client_address(&fleet.daemons[0]));
    assert!(timeout(Duration::from_millis(300), sending).await.is_err());
    wait_until("the target has noticed", || {
        let engines = fleet.platform.engines.iter();
        engines.map(Target::abandoned).sum::<usize>() == 1
    })
    .await;
}

#[tokio::test]
async fn a_target_that_leaves_gets_no_more_requests_from_either_daemon_of_a_detour() {
    let fleet = cut_fleet().await;
    let [leaving, _] = &fleet.platform.plain;
    leaving.add_headers(&[("Server-Leaving", "1")]);
    let send = async || {
        for daemon in &fleet.daemons {
            for _ in 0..10 {
                let answer = answer_to(&ClientRequest::new("/read/"), daemon).await;
                assert_eq!(answer.status, 200);
            }
        }
    };
    send().await;
    let before = leaving.received().len();
    assert!(before > 0);
    send().await;
    assert_eq!(leaving.received().len(), before);
}

#[tokio::test]
async fn requests_reach_the_only_daemon_that_is_not_cut_off() {
    let fleet = cut_fleet().await;
    // Peers that have lost their targets a moment ago may still be asked.
    fleet.cut_off(1, Partition::RefuseNew);
    for number in 0..20 {
        let client = ClientRequest::new(["/once/", "/read/"][number % 2]);
        let answer = answer_to(&client, &fleet.daemons[0]).await;
        assert_eq!(answer.status, 200, "request {number}");
        assert_eq!(executed(&fleet.platform.plain, &client.attempt), 1);
    }
}

#[tokio::test]
async fn requests_go_to_targets_again_when_a_partition_has_ended() {
    let fleet = cut_fleet().await;
    fleet.cut_off(0, Partition::None);
    let daemon = &fleet.daemons[0];
    wait_until("the daemon reaches the targets", || {
        let state = daemon.context().state();
        !state.is_link_down(&name::Service::new("plain"))
    })
    .await;
    // No peer can send it.
    fleet.cut_off(1, Partition::RefuseNew);
    fleet.cut_off(2, Partition::RefuseNew);
    let answer = answer_to(&ClientRequest::new("/once/"), daemon).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_request_is_refused_in_time_if_no_daemon_reaches_a_target() {
    let fleet = Fleet::start().await;
    for daemon in 0..3 {
        fleet.cut_off_until_known(daemon).await;
    }
    let client = ClientRequest::new("/once/");
    let answer = answer_to(&client, &fleet.daemons[0]).await;
    assert_eq!(answer.status, 503);
    assert_eq!(executed(&fleet.platform.plain, &client.attempt), 0);
}

#[tokio::test]
async fn sound_targets_that_are_silent_for_a_second_keep_their_requests() {
    let fleet = Fleet::start().await;
    for engine in &fleet.platform.engines {
        engine.queue_modes(&[Mode::Delayed(1_300); 20]);
    }
    let sending = (0..6).map(async |number| {
        let client = ClientRequest::new("/resume/").with_stage_pieces("");
        let answer = answer_to(&client, &fleet.daemons[number % 3]).await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(executed(&fleet.platform.engines, &client.attempt), 1);
    });
    futures::future::join_all(sending).await;
}

/// Its connection lives on, and its target answers after 1.5 s.
#[tokio::test]
async fn a_request_goes_on_at_its_target_if_the_detour_is_refused() {
    let fleet = Fleet::start().await;
    let queue = |modes: &[Mode]| {
        for engine in &fleet.platform.engines {
            engine.clear_modes();
            engine.queue_modes(modes);
        }
    };
    queue(&[Mode::Delayed(1_500)]);
    let client = ClientRequest::new("/resume/").with_stage_pieces("");
    let cutting_off = async {
        wait_until("a target has the request", || {
            fleet.platform.runs(&client.attempt) == 1
        })
        .await;
        queue(&[Mode::NotRun; 20]);
        fleet.cut_off(0, Partition::RefuseNew);
    };
    let sending = answer_to(&client, &fleet.daemons[0]);
    let (answer, ()) = futures::future::join(sending, cutting_off).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(executed(&fleet.platform.engines, &client.attempt), 1);
    assert!(
        fleet.platform.runs(&client.attempt) > 1,
        "no peer was asked"
    );
}
