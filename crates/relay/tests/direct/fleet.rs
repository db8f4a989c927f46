//! Several daemons: what peers exchange, and how dispatchers are replaced.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::group;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::FleetClient;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Member;
use gooseberry_wire::fleet::Process;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::is_ready_with;
use crate::platform::start_one;
use crate::platform::wait_until;

fn peer_address(daemon: &Daemon) -> SocketAddr {
    daemon.context().boot.peer_address
}

fn has_live_members(daemon: &Daemon, count: usize) -> bool {
    let now = daemon.context().now();
    daemon.context().state().members().live(now).len() == count
}

async fn start_three(platform: &TestPlatform) -> [Daemon; 3] {
    let daemons = platform.fleet().await;
    daemons.try_into().expect("a fleet has three daemons")
}

/// Splits the daemons into the dispatcher of a service and the others.
fn split_off_dispatcher(daemons: [Daemon; 3], service: &str) -> (Vec<Daemon>, Vec<Daemon>) {
    let service = name::Service::new(service);
    let dispatcher = {
        let context = daemons[0].context();
        let order = context.state().dispatchers(&service, context.now());
        order[0].unwrap_or(context.boot.peer_address)
    };
    let daemons = daemons.into_iter();
    daemons.partition(|daemon| peer_address(daemon) == dispatcher)
}

#[tokio::test]
async fn a_daemon_that_cannot_reach_the_store_gets_its_contents_from_peers() {
    let platform = TestPlatform::start().await;
    let first = platform.daemon(1, &[]).await;
    // From now on the store answers no one, so the peer must provide its contents.
    platform.store.set_mode(store::Mode::Unresponsive);
    let second = platform.unready_daemon(2, &[peer_address(&first)]).await;
    wait_until("the second daemon knows all targets", || {
        is_ready_with(&second, 8)
    })
    .await;
    let answer = answer_to(&ClientRequest::new("/read/"), &second).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn daemons_discover_peers_through_a_seed_and_detect_a_killed_one() {
    let platform = TestPlatform::start().await;
    let [first, second, third] = start_three(&platform).await;
    first.kill().await;
    for daemon in [&second, &third] {
        wait_until("the killed daemon is no longer live", || {
            has_live_members(daemon, 2)
        })
        .await;
    }
}

/// Sends a request through a daemon that is not the dispatcher of its first stage, kills
/// the dispatcher once a target of `busy` has got a request, and checks that the answer
/// is whole. Returns the daemons that are left.
async fn kill_dispatcher(
    platform: &TestPlatform,
    busy: &[Target; 2],
    request: ClientRequest,
) -> Vec<Daemon> {
    let daemons = start_three(platform).await;
    let (dispatcher, others) = split_off_dispatcher(daemons, "first");
    let address = client_address(&others[0]);
    let request = request.with("Deadline-Ms", "8000");
    let waiting = tokio::spawn(async move { request.send(address).await });
    wait_until("a target has got a request", || {
        busy.iter().any(|target| !target.received().is_empty())
    })
    .await;
    for daemon in dispatcher {
        daemon.kill().await;
    }
    let answer = waiting.await.expect("the task did not panic");
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    others
}

#[tokio::test]
async fn a_request_succeeds_though_its_dispatcher_is_killed() {
    let platform = TestPlatform::start().await;
    for target in &platform.first {
        target.queue_modes(&[Mode::Delayed(900)]);
    }
    let request = ClientRequest::new("/staged/").with_stage_pieces("1,1");
    kill_dispatcher(&platform, &platform.first, request).await;
}

/// Results of a dispatcher that was killed must be freed by another daemon.
/// Otherwise they take up the targets' memory until they expire, and a service
/// with little memory makes nearly no progress.
#[tokio::test]
async fn results_of_a_killed_dispatcher_are_freed() {
    let platform = TestPlatform::start().await;
    for engine in &platform.engines {
        engine.queue_modes(&[Mode::Delayed(400)]);
    }
    let request = ClientRequest::new("/long/").with_stage_pieces("3");
    let _others = kill_dispatcher(&platform, &platform.engines, request).await;
    wait_until("the results are freed", || {
        let freed = platform
            .first
            .iter()
            .map(|target| target.freed_handles().len());
        freed.sum::<usize>() == 3
    })
    .await;
}

/// Only the daemon that handles a request releases its results, so the dispatcher
/// must free them if that daemon is gone. A daemon that is killed within this test
/// process would still release them, so a simulated peer takes its place: it
/// sends a group and is then silent.
#[tokio::test]
async fn results_of_requests_of_a_killed_daemon_are_freed() {
    let (platform, daemon) = start_one().await;
    let peer = Member {
        name: "d-2".into(),
        incarnation: 7,
        beat: 1,
        address: ([127, 0, 0, 1], 9).into(),
        strength: 1,
        is_leaving: false,
    };
    let origin = Process {
        address: peer.address,
        incarnation: peer.incarnation,
    };
    let counters = daemon.context().metrics.control_bytes();
    let connection = control_stream::connect(peer_address(&daemon), counters).await;
    let client = FleetClient::new(
        tarpc::client::Config::default(),
        connection.expect("a connection"),
    );
    let client = client.spawn();
    let greeting = Greeting {
        from: peer,
        others: Vec::new(),
        through: 0,
        confirmed_ms: 0,
        waits: Vec::new(),
        rate_limits: Vec::new(),
        suspects: Vec::new(),
    };
    let context = tarpc::context::current;
    client.greet(context(), greeting).await.expect("a reply");
    let group = group::Group {
        attempt: name::Attempt::new("abandoned"),
        stage: 0,
        pieces: vec![0, 1, 2],
        source: group::Source::Key("key".to_owned()),
        result_bytes: 1_000,
        rank: Rank(0),
        on_time_deadline: Millis(5_000),
        deadline: Millis(5_000),
        inputs_expire_at: Millis(60_000),
        preferred_domain: None,
        is_first: true,
        late_extra: Millis::ZERO,
    };
    let service = name::Service::new("first");
    let group = Group::new(&service, &group, origin.into(), Millis::ZERO);
    let made = client.make(context(), group).await.expect("a reply");
    assert_eq!(made.map(|made| made.handles.len()), Ok(3));
    let freed = || {
        platform
            .first
            .iter()
            .map(|target| target.freed_handles().len())
    };
    wait_until("the results are freed", || freed().sum::<usize>() == 3).await;
}

/// Two daemons that dispatch for one service at once send more and smaller calls,
/// so a leaving dispatcher keeps only the groups that its targets work on.
#[tokio::test]
async fn groups_queued_at_a_leaving_dispatcher_move_to_the_next_one() {
    let platform = TestPlatform::start().await;
    let slow_settings = SETTINGS.replace("\"call_ms\": 40", "\"call_ms\": 1500");
    platform.store.put("op/config", &slow_settings);
    let daemons = start_three(&platform).await;
    let (leaving, staying) = split_off_dispatcher(daemons, "first");
    let address = client_address(&staying[0]);
    let send = || async move {
        let client = ClientRequest::new("/long/").with_stage_pieces("1");
        client.with("Deadline-Ms", "8000").send(address).await
    };
    for target in &platform.first {
        target.queue_modes(&[Mode::Delayed(4_000)]);
    }
    let mut in_progress = Vec::new();
    for calls in 1..=2 {
        in_progress.push(tokio::spawn(send()));
        wait_until("a target has a call", || {
            let busy = |target: &&Target| !target.received().is_empty();
            platform.first.iter().filter(busy).count() == calls
        })
        .await;
    }
    let waiting = tokio::spawn(send());
    let is_waiting = || {
        let now = leaving[0].context().now();
        let waits = leaving[0]
            .context()
            .dispatcher
            .waits(leaving[0].context(), now);
        waits.iter().any(|wait| wait.late_wait > Millis(1_500))
    };
    wait_until("the third request waits", is_waiting).await;
    for daemon in leaving {
        tokio::spawn(async move { daemon.shut_down().await });
    }
    let answer = waiting
        .await
        .expect("the task did not panic")
        .expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert!(in_progress.iter().all(|request| !request.is_finished()));
}

#[tokio::test]
async fn a_revoked_key_is_refused_by_a_daemon_that_cannot_reach_the_store() {
    let platform = TestPlatform::start().await;
    let first = platform.daemon(1, &[]).await;
    let second = platform.daemon(2, &[peer_address(&first)]).await;
    wait_until("the daemons know each other", || {
        has_live_members(&first, 2) && has_live_members(&second, 2)
    })
    .await;
    // Neither daemon can reach the store. The first one gets the change directly,
    // and the second must get it from the first.
    platform.store.set_mode(store::Mode::Busy);
    let revoked = SETTINGS
        .replacen("\"version\": 1", "\"version\": 2", 1)
        .replace("\"key-1\", ", "");
    platform.store.put("op/config", &revoked);
    let entries = gooseberry_kernel::fleet::mirror::Changes {
        entries: vec![gooseberry_kernel::fleet::mirror::Entry {
            key: "op/config".into(),
            value: Some(revoked.into_bytes()),
            revision: gooseberry_kernel::fleet::mirror::Revision(1_000),
        }],
        outlines: Vec::new(),
        through: gooseberry_kernel::fleet::mirror::Revision(1_000),
        is_whole: false,
    };
    let now = first.context().now();
    let era = first.context().state().replica().position().era;
    let contents = gooseberry_kernel::fleet::replica::Contents::of(era, entries);
    first
        .context()
        .state()
        .apply_contents(contents, "test", now);
    crate::platform::wait_for_status(&second, || ClientRequest::new("/once/"), 401).await;
}
