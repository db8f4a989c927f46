//! Placers: which daemon is asked for an engine, what happens if it gives none that can be
//! used, and what it is told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use futures::StreamExt;
use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use gooseberry_relay::metrics::Metrics;
use gooseberry_runtime::control_stream;
use gooseberry_wire::fleet::Announcement;
use gooseberry_wire::fleet::Changes;
use gooseberry_wire::fleet::Contents;
use gooseberry_wire::fleet::ContentsRequest;
use gooseberry_wire::fleet::Exchange;
use gooseberry_wire::fleet::Fleet;
use gooseberry_wire::fleet::FleetClient;
use gooseberry_wire::fleet::Greeting;
use gooseberry_wire::fleet::Group;
use gooseberry_wire::fleet::Heartbeat;
use gooseberry_wire::fleet::Made;
use gooseberry_wire::fleet::Member;
use gooseberry_wire::fleet::Origin;
use gooseberry_wire::fleet::PROTOCOL_VERSION;
use gooseberry_wire::fleet::Unmade;
use gooseberry_wire::fleet::placement::Demand;
use gooseberry_wire::fleet::placement::End;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::NotPlaced;
use gooseberry_wire::fleet::placement::Placed;
use gooseberry_wire::fleet::placement::Placement;
use tarpc::client;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::client_address;
use crate::platform::complete_answer_to;
use crate::platform::is_ready_with;
use crate::platform::unused_ip;
use crate::platform::wait_until;

/// A stand-in for a placer. It is the strongest daemon, so it is the placer of all groups.
#[derive(Clone)]
struct Standin {
    address: SocketAddr,
    version: u32,
    /// The target that it names; it does not answer if there is none.
    target: Arc<Mutex<Option<CompactString>>>,
    asked: Arc<Mutex<Vec<Placement>>>,
    reports: Arc<Mutex<Vec<Finish>>>,
    /// Its listener and connections.
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Standin {
    async fn start(version: u32) -> Self {
        let listener = TcpListener::bind((unused_ip(), 8003)).await;
        let listener = listener.expect("the port is free");
        let standin = Self {
            address: listener.local_addr().expect("it is bound"),
            version,
            target: Arc::default(),
            asked: Arc::default(),
            reports: Arc::default(),
            tasks: Arc::default(),
        };
        let server = standin.clone();
        let accepting = async move {
            let counters = Metrics::new().expect("the names are unique");
            let mut incoming = control_stream::incoming(listener, counters.control_bytes());
            while let Some(Ok(transport)) = incoming.next().await {
                let channel = BaseChannel::with_defaults(transport);
                let requests = channel.execute(server.clone().serve());
                let serving = requests.for_each_concurrent(None, |request| request);
                server.tasks.lock().expect("not poisoned").spawn(serving);
            }
        };
        let mut tasks = standin.tasks.lock().expect("not poisoned");
        tasks.spawn(accepting);
        drop(tasks);
        standin
    }

    fn name_target(&self, target: &str) {
        *self.target.lock().expect("not poisoned") = Some(target.into());
    }

    fn asked(&self) -> Vec<Placement> {
        self.asked.lock().expect("not poisoned").clone()
    }

    fn reports(&self) -> Vec<Finish> {
        self.reports.lock().expect("not poisoned").clone()
    }

    fn heartbeat_to(&self, beat: u64) -> Heartbeat {
        let from = Member {
            name: "placer".into(),
            incarnation: 1,
            beat,
            address: self.address,
            strength: 10_000,
            is_leaving: false,
        };
        let greeting = Greeting {
            from,
            others: Vec::new(),
            through: 0,
            confirmed_ms: 60_000,
            waits: Vec::new(),
            suspects: Vec::new(),
            rate_limits: Vec::new(),
        };
        Heartbeat {
            exchange: Exchange {
                greeting,
                era: None,
                parts: Vec::new(),
            },
            announcement: Announcement {
                address: None,
                unreached: Vec::new(),
            },
        }
    }
}

impl Fleet for Standin {
    async fn greet(self, _: context::Context, greeting: Greeting) -> Greeting {
        self.heartbeat_to(greeting.from.beat).exchange.greeting
    }

    async fn changes(self, _: context::Context, _: u64) -> Changes {
        unreachable!("it announces nothing")
    }

    async fn make(self, _: context::Context, _: Group) -> Result<Made, Unmade> {
        Err(Unmade::Elsewhere)
    }

    async fn free(self, _: context::Context, _: CompactString, _: Vec<CompactString>) {}

    async fn chunks(self, _: context::Context, _: Vec<[u8; 32]>) -> Vec<Vec<u8>> {
        Vec::new()
    }

    async fn back_up_origin(self, _: context::Context, _: CompactString, _: Origin) {}

    async fn origin(self, _: context::Context, _: CompactString) -> Option<Origin> {
        None
    }

    async fn protocol_version(self, _: context::Context) -> u32 {
        self.version
    }

    async fn exchange(self, _: context::Context, message: Exchange) -> Exchange {
        self.heartbeat_to(message.greeting.from.beat).exchange
    }

    async fn contents(self, _: context::Context, _: ContentsRequest) -> Contents {
        unreachable!("it announces nothing")
    }

    async fn heartbeat(self, _: context::Context, message: Heartbeat) -> Heartbeat {
        self.heartbeat_to(message.exchange.greeting.from.beat)
    }

    async fn place(self, _: context::Context, request: Placement) -> Result<Placed, NotPlaced> {
        self.asked.lock().expect("not poisoned").push(request);
        let target = self.target.lock().expect("not poisoned").clone();
        let Some(target) = target else {
            sleep(Duration::from_secs(10)).await;
            return Err(NotPlaced::Elsewhere);
        };
        Ok(Placed {
            target,
            wait_ms: 1,
            cached_tokens: 2,
        })
    }

    async fn finished(self, _: context::Context, reports: Vec<Finish>) {
        self.reports.lock().expect("not poisoned").extend(reports);
    }
}

/// Starts a platform whose engines are few-slot ones, so that they are chosen by cost: two
/// more than that of other tests has.
async fn start_platform() -> (TestPlatform, Vec<Target>) {
    let platform = TestPlatform::start().await;
    let settings = SETTINGS.replace("\"slots\": 8", "\"slots\": 1");
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
    for _ in 0..2 {
        complete_answer_to(&stream_request(), &daemon).await;
    }
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
    let (_platform, _engines, daemon, placer) = start(PROTOCOL_VERSION - 1).await;
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
    let bad = [
        Placement {
            service: "plain".into(),
            ..good.clone()
        },
        Placement {
            group: 1,
            ..good.clone()
        },
        Placement {
            rank: 200,
            ..good.clone()
        },
        Placement {
            excluded: vec!["engine-1".into(); 17],
            ..good.clone()
        },
    ];
    for request in bad {
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
