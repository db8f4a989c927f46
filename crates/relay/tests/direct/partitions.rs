//! Daemons that are cut off from all targets, while clients, the store and their peers
//! reach them.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use gooseberry_kernel::name;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::partition::Gateway;
use gooseberry_platform_standin::partition::Partition;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::start_daemon;
use crate::platform::unused_ip;
use crate::platform::wait_until;

/// How long after the beginning of a partition its clients have to be served like others.
const CONTACT: Duration = Duration::from_secs(3);
/// How many rounds of requests are sent before the partition and when it is judged.
const ROUNDS: usize = 12;
/// The port of the first proxy of a daemon.
const FIRST_GATEWAY_PORT: u16 = 9_000;
/// After how many rounds of greetings all daemons know what each says of itself.
const GREETINGS: u64 = 12;
/// The kinds of requests of a round.
const PATHS: [&str; 5] = ["/once/", "/read/", "/stream/", "/resume/", "/staged/"];

/// Three daemons, each behind proxies of its own.
pub struct Fleet {
    pub platform: TestPlatform,
    pub daemons: Vec<Daemon>,
    /// Engines beside those of the platform.
    more_engines: Vec<Target>,
    gateways: Vec<Vec<Gateway>>,
}

impl Fleet {
    pub async fn start() -> Self {
        Self::start_with(0).await
    }

    /// Starts a fleet with this number of engines beside those of the platform.
    async fn start_with(more_engines: usize) -> Self {
        let platform = TestPlatform::start().await;
        let mut fleet = Self {
            platform,
            daemons: Vec::new(),
            more_engines: Vec::new(),
            gateways: Vec::new(),
        };
        for number in 0..more_engines {
            let engine = Target::start(&format!("engine-{}", number + 3)).await;
            fleet.platform.list_target(&engine, "engine", "ready");
            fleet.more_engines.push(engine);
        }
        for number in 1..=3 {
            fleet.add_daemon(number).await;
        }
        // They meet only now, or one would have read the addresses of another one's proxies.
        for daemon in &fleet.daemons {
            for peer in &fleet.daemons {
                let peer = peer.context().state().members().me().clone();
                let now = daemon.context().now();
                daemon.context().state().members().update_direct(peer, now);
            }
        }
        wait_until("all daemons have greeted each other", || {
            let has_greeted = |daemon: &Daemon| {
                let beat = daemon.context().state().members().me().beat;
                beat >= GREETINGS
            };
            fleet.daemons.iter().all(has_greeted)
        })
        .await;
        fleet
    }

    async fn add_daemon(&mut self, number: u8) {
        let platform = &self.platform;
        let all = [
            &platform.plain,
            &platform.engines,
            &platform.first,
            &platform.second,
        ];
        let targets = all.into_iter().flatten().chain(&self.more_engines);
        let ip = unused_ip();
        let start = |(port, target): (u16, &Target)| {
            let address = (ip, port).into();
            let gateway = Gateway::start(address, target.address).expect("the address is free");
            (gateway, target.address)
        };
        let gateways: Vec<(Gateway, SocketAddr)> =
            (FIRST_GATEWAY_PORT..).zip(targets).map(start).collect();
        let replacements = gateways.iter();
        let replacements = replacements.map(|(gateway, target)| (*target, gateway.address));
        let store = platform.store.view(replacements.collect()).await;
        let daemon = start_daemon(number, &[], store).await;
        wait_until("the daemon knows all targets", || {
            daemon.context().state().listed_count() == self.target_count()
        })
        .await;
        self.daemons.push(daemon);
        let gateways = gateways.into_iter().map(|(gateway, _)| gateway);
        self.gateways.push(gateways.collect());
    }

    fn target_count(&self) -> usize {
        8 + self.more_engines.len()
    }

    /// Cuts a daemon off from all targets, or ends that.
    pub fn cut_off(&self, daemon: usize, partition: Partition) {
        for gateway in &self.gateways[daemon] {
            gateway.set(partition);
        }
    }

    /// Cuts a daemon off from all targets, and waits until it knows.
    pub async fn cut_off_until_known(&self, daemon: usize) {
        self.cut_off(daemon, Partition::Silent);
        let services = ["plain", "engine", "first", "second"].map(name::Service::new);
        let cut = &self.daemons[daemon];
        // The first request that fails has the links checked.
        ClientRequest::new("/read/").send(client_address(cut)).await;
        wait_until("the daemon knows that it reaches no target", || {
            let state = cut.context().state();
            services.iter().all(|service| state.is_link_down(service))
        })
        .await;
    }

    /// Returns the daemon that dispatches for a service.
    fn dispatcher(&self, service: &str) -> usize {
        let service = name::Service::new(service);
        let is_first = |daemon: &Daemon| {
            let now = daemon.context().now();
            daemon.context().state().is_first_dispatcher(&service, now)
        };
        let found = self.daemons.iter().position(is_first);
        found.expect("one daemon is the first choice")
    }

    /// Sends rounds of requests to a daemon, in which each waits for the one before;
    /// returns how many of them were served, by path.
    async fn serve_rounds(&self, daemon: usize, rounds: usize) -> Vec<(&'static str, usize)> {
        let address = client_address(&self.daemons[daemon]);
        let paths = PATHS.map(async |path| {
            let mut served = 0;
            for _ in 0..rounds {
                served += usize::from(self.is_served(path, address).await);
            }
            (path, served)
        });
        join_all(paths).await
    }

    async fn is_served(&self, path: &str, daemon: SocketAddr) -> bool {
        let client = match path {
            "/once/" | "/read/" => ClientRequest::new(path),
            "/staged/" => ClientRequest::new(path).with_stage_pieces("2,2"),
            _ => ClientRequest::new(path).with_stage_pieces(""),
        };
        let answer = client.send(daemon).await;
        let runs = self.platform.runs(&client.attempt);
        if path == "/once/" {
            assert!(runs <= 1, "{} ran {runs} times", client.attempt);
        }
        if let Some(answer) = answer.as_ref().filter(|answer| answer.status == 503) {
            assert_eq!(runs, 0, "{} ran and is refused: {answer:?}", client.attempt);
        }
        answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
    }

    /// Judges the daemons while one is cut off: of what the others serve, it must serve
    /// two thirds.
    async fn check_cut(&self, cut: usize, partition: Partition) {
        for daemon in 0..self.daemons.len() {
            self.serve_rounds(daemon, ROUNDS).await;
        }
        self.cut_off(cut, partition);
        let end = tokio::time::Instant::now() + CONTACT;
        while tokio::time::Instant::now() < end {
            self.serve_rounds(cut, 1).await;
            sleep(Duration::from_millis(50)).await;
        }
        let other = (cut + 1) % self.daemons.len();
        let served = self.serve_rounds(cut, ROUNDS).await;
        let served_by_other = self.serve_rounds(other, ROUNDS).await;
        for ((path, served), (_, by_other)) in served.into_iter().zip(served_by_other) {
            assert_eq!(by_other, ROUNDS, "{path} at a daemon that is not cut off");
            assert!(
                3 * served >= 2 * by_other,
                "{path} at a daemon that is cut off, {partition:?}: {served} of {ROUNDS}"
            );
        }
    }
}

#[tokio::test]
async fn a_daemon_whose_connections_to_all_targets_fall_silent_serves_like_others() {
    let fleet = Fleet::start().await;
    fleet.check_cut(0, Partition::Silent).await;
}

#[tokio::test]
async fn a_daemon_whose_connections_to_all_targets_are_reset_serves_like_others() {
    let fleet = Fleet::start().await;
    fleet.check_cut(0, Partition::Reset).await;
}

#[tokio::test]
async fn a_daemon_that_can_make_no_new_connections_to_targets_serves_like_others() {
    let fleet = Fleet::start().await;
    fleet.check_cut(0, Partition::RefuseNew).await;
}

#[tokio::test]
async fn a_dispatcher_that_reaches_no_target_does_not_stop_the_stages_of_others() {
    let fleet = Fleet::start().await;
    let cut = fleet.dispatcher("first");
    fleet.check_cut(cut, Partition::Silent).await;
}

#[tokio::test]
async fn connections_that_a_partition_resets_put_no_part_of_prompts_in_quarantine() {
    let fleet = Fleet::start_with(6).await;
    let engines = fleet.platform.engines.iter().chain(&fleet.more_engines);
    for engine in engines {
        engine.queue_modes(&[Mode::Delayed(1_500); 40]);
    }
    let send = async |daemon: usize, number: usize| {
        let parts = format!("system:50,shared:50,own-{daemon}-{number}:10");
        let client = ClientRequest::new("/stream/")
            .body(&format!("{daemon}-{number}"))
            .with_stage_pieces("")
            .with("Prompt-Prefix", &parts);
        client.send(client_address(&fleet.daemons[daemon])).await
    };
    let waiting = (0..2 * 16).map(|number| send(number % 2, number));
    let cut = async {
        sleep(Duration::from_millis(500)).await;
        // The proxies stop to listen one after the other, which a partition does at once.
        for partition in [Partition::RefuseNew, Partition::Reset] {
            fleet.cut_off(0, partition);
            fleet.cut_off(1, partition);
            sleep(Duration::from_millis(50)).await;
        }
    };
    let (answers, ()) = futures::future::join(join_all(waiting), cut).await;
    let statuses = answers.into_iter().flatten().map(|answer| answer.status);
    assert_eq!(statuses.filter(|status| *status == 200).count(), 0);
    for engine in fleet.platform.engines.iter().chain(&fleet.more_engines) {
        engine.clear_modes();
    }
    for daemon in [2, 0, 1] {
        for number in 100..106 {
            let answer = send(daemon, number).await;
            let status = answer.map(|answer| answer.status);
            assert_eq!(status, Some(200), "daemon {daemon}, request {number}");
        }
    }
}
