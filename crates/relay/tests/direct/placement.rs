//! Placers: which daemon is asked for an engine, what happens if it gives none that can be
//! used, and what it is told.

use std::time::Duration;

use compact_str::CompactString;
use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::FleetClient;
use gooseberry_wire::fleet::PROTOCOL_VERSION;
use gooseberry_wire::fleet::placement::Demand;
use gooseberry_wire::fleet::placement::End;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::NotPlaced;
use gooseberry_wire::fleet::placement::Placement;
use tarpc::client;
use tarpc::context;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::placer_standin::Standin;
use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::complete_answer_to;
use crate::platform::is_ready_with;
use crate::platform::wait_until;

/// The version of the calls of a build that has none of placement.
const BEFORE_PLACEMENT: u32 = 2;

/// Starts a platform whose engines are few-slot ones, so that they are chosen by cost: two
/// more than that of other tests has.
async fn start_platform() -> (TestPlatform, Vec<Target>) {
    let platform = TestPlatform::start().await;
    let settings = SETTINGS.replace("\"slots\": 8", "\"slots\": 1, \"kv_token_bytes\": 100000");
    platform.store.put("op/config", &settings);
    let mut engines = platform.engines.to_vec();
    for name in ["engine-3", "engine-4"] {
        engines.push(Target::start(name).await);
    }
    (platform, engines)
}

async fn list_engines(platform: &TestPlatform, engines: &[Target], daemons: &[&Daemon]) {
    for engine in &engines[2..] {
        platform.list_target(engine, "engine", "ready");
    }
    wait_until("the daemons know all engines", || {
        daemons.iter().all(|daemon| is_ready_with(daemon, 10))
    })
    .await;
}

/// Starts a daemon whose placer is a stand-in of this version.
async fn start(version: u32) -> (TestPlatform, Vec<Target>, Daemon, Standin) {
    let (platform, engines) = start_platform().await;
    let placer = Standin::start(version).await;
    let daemon = platform.daemon(1, &[placer.address]).await;
    list_engines(&platform, &engines, &[&daemon]).await;
    wait_until("the daemon knows the placer", || {
        let now = daemon.context().now();
        daemon.context().state().members().live(now).len() == 2
    })
    .await;
    (platform, engines, daemon, placer)
}

fn is_usable(daemon: &Daemon, target: &str) -> bool {
    let now = daemon.context().now();
    let group = daemon
        .context()
        .state()
        .group(&name::Service::new("engine"), 0, now);
    let engines = group.expect("the engines are chosen by cost").engines;
    engines
        .iter()
        .any(|engine| engine.target.as_str() == target)
}

fn stream_request() -> ClientRequest {
    ClientRequest::new("/stream/").with_stage_pieces("")
}

fn count_of(daemon: &Daemon, end: &str) -> String {
    let text = daemon.context().metrics.text().expect("metrics");
    let text = String::from_utf8(text).expect("it is text");
    let name = format!("gooseberry_relay_placements_total{{end=\"{end}\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    value.unwrap_or("0").to_owned()
}

#[tokio::test]
async fn the_target_that_the_placer_names_gets_the_request_and_each_end_is_reported_once() {
    let (_platform, engines, daemon, placer) = start(PROTOCOL_VERSION).await;
    for engine in &engines {
        placer.name_target(&engine.name);
        complete_answer_to(&stream_request(), &daemon).await;
        assert_eq!(engine.received().len(), 1);
    }
    assert_eq!(placer.asked()[0].demand.prompt_tokens, 100);
    assert_eq!(count_of(&daemon, "placed"), "4");
    placer.name_target("engine-4");
    engines[3].queue_modes(&[Mode::DisconnectWithin(3), Mode::NotRun]);
    answer_to(&stream_request(), &daemon).await;
    answer_to(&stream_request(), &daemon).await;
    engines[3].queue_modes(&[Mode::NoAnswer]);
    let (client, address) = (stream_request(), client_address(&daemon));
    let abandoned = tokio::spawn(async move { client.send(address).await });
    wait_until("the target has the request", || {
        engines[3].received().len() == 4
    })
    .await;
    abandoned.abort();
    // The request that was not run was placed twice, at a target that it excluded then.
    wait_until("all ends are reported", || placer.reports().len() == 8).await;
    assert_eq!(placer.asked().len(), 8);
    assert_eq!(placer.asked()[6].excluded, ["engine-4"]);
    let reports = placer.reports();
    let ends: Vec<End> = reports.iter().map(|report| report.end).collect();
    let complete = [End::Complete; 4];
    assert_eq!(ends[..4], complete);
    let last = [End::Broken, End::NotRun, End::NotRun, End::Abandoned];
    assert_eq!(ends[4..], last);
    let first = &reports[0];
    assert_eq!((first.events, first.target.as_str()), (5, "engine-1"));
    assert!(
        first
            .first_ms
            .is_some_and(|first_ms| first_ms < first.took_ms)
    );
    sleep(Duration::from_millis(300)).await;
    assert_eq!(placer.reports().len(), 8);
}

#[tokio::test]
async fn a_silent_placer_delays_one_request_and_a_killed_one_none() {
    let (_platform, _engines, daemon, placer) = start(PROTOCOL_VERSION).await;
    let begun = Instant::now();
    let (client, address) = (stream_request(), client_address(&daemon));
    let first = tokio::spawn(async move { client.send(address).await });
    wait_until("the placer did not answer", || {
        count_of(&daemon, "no-answer") == "1"
    })
    .await;
    complete_answer_to(&stream_request(), &daemon).await;
    let first = first.await.expect("the task did not panic");
    assert!(first.expect("an answer").is_complete);
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(placer.asked().len(), 1);
    assert_eq!(count_of(&daemon, "no-answer"), "1");
    placer.tasks.lock().expect("not poisoned").abort_all();
    sleep(Duration::from_millis(500)).await;
    let begun = Instant::now();
    complete_answer_to(&stream_request(), &daemon).await;
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(count_of(&daemon, "placed"), "0");
}

#[tokio::test]
async fn a_placer_of_the_former_build_is_not_asked() {
    let (_platform, _engines, daemon, placer) = start(BEFORE_PLACEMENT).await;
    placer.name_target("engine-1");
    complete_answer_to(&stream_request(), &daemon).await;
    assert_eq!(placer.asked().len(), 0);
    assert_eq!(count_of(&daemon, "local"), "1");
}

/// A placer may not know yet that an engine leaves, or may be wrong altogether.
#[tokio::test]
async fn a_target_that_this_daemon_cannot_use_is_not_used() {
    let (platform, engines, daemon, placer) = start(PROTOCOL_VERSION).await;
    platform.list_target(&engines[3], "engine", "draining");
    wait_until("the daemon knows that a target leaves", || {
        !is_usable(&daemon, "engine-4")
    })
    .await;
    for target in ["engine-4", "unknown", "plain-1", ""] {
        placer.name_target(target);
        complete_answer_to(&stream_request(), &daemon).await;
    }
    assert_eq!(engines[3].received().len(), 0);
    assert_eq!(count_of(&daemon, "unusable"), "4");
    wait_until("the placer knows", || placer.reports().len() == 3).await;
    let reports = placer.reports();
    assert!(reports.iter().all(|report| report.end == End::NotRun));
}

#[tokio::test]
async fn the_results_of_the_stages_give_the_preferred_domain() {
    let (_platform, engines, daemon, placer) = start(PROTOCOL_VERSION).await;
    placer.name_target(&engines[0].name);
    let client = ClientRequest::new("/staged/").with_stage_pieces("1,1");
    complete_answer_to(&client, &daemon).await;
    let asked = placer.asked();
    assert!(asked[0].preferred_domain.is_some());
}

#[tokio::test]
async fn daemons_place_the_requests_of_each_other() {
    let (platform, engines) = start_platform().await;
    let daemons = platform.fleet().await;
    list_engines(&platform, &engines, &daemons.iter().collect::<Vec<_>>()).await;
    for daemon in &daemons {
        for part in ["x:50,y:50", "z:50,y:50"] {
            let client = stream_request().with("Prompt-Prefix", part);
            complete_answer_to(&client, daemon).await;
        }
        assert_eq!(count_of(daemon, "placed"), "2");
    }
}

/// A malformed message must neither end the daemon nor get an engine.
#[tokio::test]
async fn a_placer_refuses_what_it_cannot_place() {
    let (platform, engines) = start_platform().await;
    let daemon = platform.daemon(1, &[]).await;
    list_engines(&platform, &engines, &[&daemon]).await;
    let counters = daemon.context().metrics.control_bytes();
    let transport = control_stream::connect(daemon.context().boot.peer_address, counters).await;
    let transport = transport.expect("the daemon listens");
    let peer = FleetClient::new(client::Config::default(), transport).spawn();
    let good = Placement {
        service: "engine".into(),
        group: 0,
        attempt: "a".into(),
        route: "r".into(),
        rank: 0,
        demand: Demand {
            prompt_tokens: 100,
            parts: vec![(1, 50)],
            max_output_tokens: 10,
            output_hint: None,
        },
        affinity: Some(1),
        gap_ms: 300,
        left_ms: 1_000,
        preferred_domain: None,
        excluded: vec!["engine-1".into(), "engine-2".into(), "engine-3".into()],
    };
    let place = async |request| {
        peer.place(context::current(), request)
            .await
            .expect("a reply")
    };
    let [mut unknown_service, mut unknown_group, mut malformed] = [(); 3].map(|()| good.clone());
    unknown_service.service = "plain".into();
    unknown_group.group = 1;
    malformed.rank = 200;
    for request in [unknown_service, unknown_group, malformed] {
        assert_eq!(place(request).await, Err(NotPlaced::Elsewhere));
    }
    let report = Finish {
        service: "engine".into(),
        group: 0,
        attempt: CompactString::default(),
        target: "engine-4".into(),
        first_ms: Some(5),
        events: 1,
        took_ms: 1,
        longest_gap_ms: 0,
        slowness_percent: Some(0),
        end: End::Complete,
    };
    for count in [1, 300] {
        let reports = vec![report.clone(); count];
        peer.finished(context::current(), reports)
            .await
            .expect("a reply");
    }
    let placed = place(good.clone()).await.map(|placed| placed.target);
    assert_eq!(placed, Ok("engine-4".into()));
    platform.list_target(&engines[3], "engine", "draining");
    wait_until("the placer knows that the target leaves", || {
        !is_usable(&daemon, "engine-4")
    })
    .await;
    assert_eq!(place(good).await, Err(NotPlaced::NoEngine));
}
