//! Several daemons: what one learns from another, and who gathers pieces.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::group;
use gooseberry_platform_standin::client::Client;
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

use crate::world::SETTINGS;
use crate::world::World;
use crate::world::front;
use crate::world::knows;
use crate::world::until;

fn peers(daemon: &Daemon) -> SocketAddr {
    daemon.context().boot.peers
}

fn hears(daemon: &Daemon, count: usize) -> bool {
    let now = daemon.context().now();
    daemon.context().state().members().live(now).len() == count
}

/// Starts three daemons that hear each other.
async fn trio(world: &World) -> [Daemon; 3] {
    let one = world.daemon(1, &[]).await;
    let two = world.daemon(2, &[peers(&one)]).await;
    let three = world.daemon(3, &[peers(&one)]).await;
    let daemons = [one, two, three];
    for daemon in &daemons {
        until("all are heard", || hears(daemon, 3)).await;
    }
    daemons
}

/// Parts the dispatcher of a service from the other daemons.
fn part_dispatcher(daemons: [Daemon; 3], service: &str) -> (Vec<Daemon>, Vec<Daemon>) {
    let service = name::Service::new(service);
    let dispatcher = {
        let context = daemons[0].context();
        let order = context.state().dispatchers(&service, context.now());
        order[0].unwrap_or(context.boot.peers)
    };
    let daemons = daemons.into_iter();
    daemons.partition(|daemon| peers(daemon) == dispatcher)
}

#[tokio::test]
async fn a_daemon_that_never_reached_the_store_learns_all_from_its_peers() {
    let world = World::start().await;
    let one = world.daemon(1, &[]).await;
    // From now on the store answers nobody; the one that knows passes it on.
    world.store.set(store::Mode::Silent);
    let other = world.unready_daemon(2, &[peers(&one)]).await;
    until("the other one knows", || knows(&other, 8)).await;
    let answer = Client::new("/read/").send(front(&other)).await;
    assert_eq!(answer.map(|one| one.status), Some(200));
}

#[tokio::test]
async fn daemons_find_each_other_by_a_seed_and_notice_a_death() {
    let world = World::start().await;
    let [one, two, three] = trio(&world).await;
    one.kill().await;
    for daemon in [&two, &three] {
        until("the death is noticed", || hears(daemon, 2)).await;
    }
}

#[tokio::test]
async fn pieces_are_made_though_their_dispatcher_dies() {
    let world = World::start().await;
    let daemons = trio(&world).await;
    // A daemon that is not the dispatcher itself serves the clients.
    let (dead, alive) = part_dispatcher(daemons, "first");
    for target in &world.first {
        target.then(&[Mode::Slow(900)]);
    }
    let address = front(&alive[0]);
    let waiting = tokio::spawn(async move {
        let client = Client::new("/staged/").generates("1,1");
        client.with("Deadline-Ms", "8000").send(address).await
    });
    until("the dispatcher has sent a call", || {
        world.first.iter().any(|target| !target.seen().is_empty())
    })
    .await;
    for daemon in dead {
        daemon.kill().await;
    }
    let answer = waiting.await.expect("it did not panic").expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

/// Found in a day's logs: after the death of a dispatcher the service with the
/// least room stood nearly still until its results had aged out.
#[tokio::test]
async fn results_of_a_dead_dispatcher_are_given_up() {
    let world = World::start().await;
    let daemons = trio(&world).await;
    let (dead, alive) = part_dispatcher(daemons, "first");
    for engine in &world.engines {
        engine.then(&[Mode::Slow(400)]);
    }
    let address = front(&alive[0]);
    let waiting = tokio::spawn(async move {
        let client = Client::new("/long/").generates("3");
        client.with("Deadline-Ms", "8000").send(address).await
    });
    until("an engine has the request", || {
        world.engines.iter().any(|engine| !engine.seen().is_empty())
    })
    .await;
    for daemon in dead {
        daemon.kill().await;
    }
    let answer = waiting.await.expect("it did not panic").expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    until("the results are given up", || {
        let freed = world.first.iter().map(|target| target.freed().len());
        freed.sum::<usize>() == 3
    })
    .await;
}

/// The daemon that has a request is the only one that knows of its results. A
/// daemon that is killed within a test still frees them, so a peer of the test
/// stands for it: it has pieces made and is not heard again.
#[tokio::test]
async fn results_of_requests_that_ended_with_their_daemon_are_given_up() {
    let world = World::start().await;
    let daemon = world.daemon(1, &[]).await;
    let peer = Member {
        name: "d-2".into(),
        incarnation: 7,
        beat: 1,
        address: ([127, 0, 0, 1], 9).into(),
        strength: 1,
        is_leaving: false,
    };
    let asker = Process {
        address: peer.address,
        incarnation: peer.incarnation,
    };
    let counters = daemon.context().metrics.control_bytes();
    let link = control_stream::connect(peers(&daemon), counters).await;
    let client = FleetClient::new(tarpc::client::Config::default(), link.expect("a link"));
    let client = client.spawn();
    let greeting = Greeting {
        from: peer,
        others: Vec::new(),
        through: 0,
        confirmed_ms: 0,
        waits: Vec::new(),
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
    let group = Group::new(&service, &group, asker.into(), Millis::ZERO);
    let made = client.make(context(), group).await.expect("a reply");
    assert_eq!(made.map(|made| made.handles.len()), Ok(3));
    let freed = || world.first.iter().map(|target| target.freed().len());
    until("the results are given up", || freed().sum::<usize>() == 3).await;
}

/// Two daemons that dispatch for one service at once send more and smaller
/// calls, so the one that leaves keeps only what its targets work on.
#[tokio::test]
async fn groups_that_wait_at_a_leaving_dispatcher_go_to_the_next_one() {
    let world = World::start().await;
    let slow = SETTINGS.replace("\"call_ms\": 40", "\"call_ms\": 1500");
    world.store.put("op/config", &slow);
    let daemons = trio(&world).await;
    let (leaving, staying) = part_dispatcher(daemons, "first");
    let address = front(&staying[0]);
    let send = || async move {
        let client = Client::new("/long/").generates("1");
        client.with("Deadline-Ms", "8000").send(address).await
    };
    for target in &world.first {
        target.then(&[Mode::Slow(4_000)]);
    }
    let mut slow = Vec::new();
    for calls in 1..=2 {
        slow.push(tokio::spawn(send()));
        until("a target has a call", || {
            let busy = |target: &&Target| !target.seen().is_empty();
            world.first.iter().filter(busy).count() == calls
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
    until("the third request waits", is_waiting).await;
    for daemon in leaving {
        tokio::spawn(async move { daemon.shut_down().await });
    }
    let answer = waiting.await.expect("it did not panic").expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert!(slow.iter().all(|slow| !slow.is_finished()));
}

#[tokio::test]
async fn a_key_that_was_taken_away_is_refused_by_a_daemon_without_the_store() {
    let world = World::start().await;
    let one = world.daemon(1, &[]).await;
    let two = world.daemon(2, &[peers(&one)]).await;
    until("they hear each other", || hears(&one, 2) && hears(&two, 2)).await;
    // Both lose the store; the first gets the change before the second can.
    world.store.set(store::Mode::Busy);
    let revoked = SETTINGS
        .replacen("\"version\": 1", "\"version\": 2", 1)
        .replace("\"key-1\", ", "");
    world.store.put("op/config", &revoked);
    let entries = gooseberry_kernel::fleet::mirror::Changes {
        entries: vec![gooseberry_kernel::fleet::mirror::Entry {
            key: "op/config".into(),
            value: Some(revoked.into_bytes()),
            revision: gooseberry_kernel::fleet::mirror::Revision(1_000),
        }],
        through: gooseberry_kernel::fleet::mirror::Revision(1_000),
        is_whole: false,
    };
    let now = one.context().now();
    one.context().state().adopt(entries, "test", now);
    crate::world::until_status(&two, || Client::new("/once/"), 401).await;
}
