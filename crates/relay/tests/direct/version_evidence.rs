//! Streams that clients resume at a daemon that knows less of the targets' versions than the
//! daemon that began them.

use std::net::SocketAddr;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_origin::MEMORY;
use gooseberry_platform_standin::client::Answer;
use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::partition::Gateway;
use gooseberry_platform_standin::partition::Partition;
use gooseberry_platform_standin::target::Mode;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::time::sleep;

use crate::platform::BREAK_OFF;
use crate::platform::BREAKS;
use crate::platform::TestPlatform;
use crate::platform::answer_to;
use crate::platform::distinct;
use crate::platform::start_daemon;
use crate::platform::unused_ip;
use crate::platform::wait_until;

/// How old the confirmation of a daemon's list is at most when it is cut off.
const FRESH: Millis = Millis(300);

/// A platform whose engines are all of version v1, and one of v2 that is not listed yet.
struct Release {
    platform: TestPlatform,
    newer: Target,
}

impl Release {
    async fn prepare() -> Self {
        Self {
            platform: TestPlatform::start().await,
            newer: Target::start("engine-3").await,
        }
    }

    /// Lists the newer engine, and the others as leaving.
    fn begin(&self) {
        let entry = self.newer.entry("engine", "z-1", "ready");
        let entry = entry.replace("\"v1\"", "\"v2\"");
        self.platform.store.put("servers/engine-3", &entry);
        for engine in &self.platform.engines {
            self.platform.list_target(engine, "engine", "draining");
        }
    }

    /// Returns how often an attempt ran at engines of v1, and how often at that of v2.
    fn runs(&self, attempt: &str) -> (usize, usize) {
        let count = |target: &Target| {
            let received = target.received().into_iter();
            let of_attempt = received
                .filter(|request| request.has_run && request.header("Attempt-Id") == attempt);
            of_attempt.count()
        };
        let older = self.platform.engines.iter().map(count).sum();
        (older, count(&self.newer))
    }
}

pub fn usable_engines(daemon: &Daemon) -> usize {
    let now = daemon.context().now();
    let service = name::Service::new("engine");
    daemon.context().state().stage_targets(&service, now).len()
}

async fn wait_for_release(daemon: &Daemon) {
    wait_until("the release is known", || usable_engines(daemon) == 1).await;
}

/// Returns a request that resumes the stream of an attempt after two events.
pub fn resumed(path: &str, attempt: &str) -> ClientRequest {
    ClientRequest::new(path)
        .with_stage_pieces(if path == "/long/" { "1" } else { "" })
        .with("Last-Event-Id", "2")
        .with("Resumes", attempt)
}

/// Has the newer engine begin a stream through a daemon and break it off; returns its attempt.
async fn broken_stream(release: &Release, daemon: &Daemon) -> String {
    release.newer.queue_modes(&BREAK_OFF);
    let client = distinct(ClientRequest::new("/resume/").with_stage_pieces(""));
    let answer = answer_to(&client, daemon).await;
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert_eq!(release.runs(&client.attempt), (0, BREAKS));
    release.newer.clear_modes();
    client.attempt
}

#[tokio::test]
async fn a_resumed_stream_that_waits_does_not_go_on_at_a_version_that_joins_meanwhile() {
    let release = Release::prepare().await;
    let daemon = release.platform.daemon(1, &[]).await;
    sleep(Duration::from_millis(MEMORY.0)).await;
    for target in &release.platform.first {
        target.queue_modes(&[Mode::Delayed(500)]);
    }
    let client = resumed("/long/", "of-a-daemon-that-was-lost");
    let releasing = async {
        let stages = &release.platform.first;
        wait_until("its stage runs", || {
            stages.iter().any(|target| !target.received().is_empty())
        })
        .await;
        release.begin();
        wait_for_release(&daemon).await;
    };
    let (answer, ()) = futures::future::join(answer_to(&client, &daemon), releasing).await;
    assert_eq!(release.runs(&client.attempt), (0, 0), "{answer:?}");
    assert_eq!(answer.status, 503);
}

/// Cuts a daemon off from the store and its peers, and has the newer engine begin a stream
/// through another one. Returns the stream's attempt.
async fn stream_behind_a_cut(release: &Release, behind: &Daemon, store: &Gateway) -> String {
    let current = release.platform.daemon(1, &[]).await;
    sleep(Duration::from_millis(MEMORY.0)).await;
    wait_until("the list was just confirmed", || {
        let now = behind.context().now();
        let age = behind.context().state().confirmed_age(now);
        age.is_some_and(|age| age <= FRESH)
    })
    .await;
    store.set(Partition::Silent);
    release.begin();
    wait_for_release(&current).await;
    broken_stream(release, &current).await
}

/// Starts a daemon that no other one knows and that reads the store through a proxy.
pub async fn lone_daemon(platform: &TestPlatform) -> (Daemon, Gateway) {
    let address = SocketAddr::from((unused_ip(), 9_100));
    let gateway = Gateway::start(address, platform.store.address);
    let gateway = gateway.expect("the port is free");
    let daemon = start_daemon(2, &[], gateway.address).await;
    wait_until("the daemon is ready", || usable_engines(&daemon) == 2).await;
    (daemon, gateway)
}

#[tokio::test]
async fn a_daemon_that_is_cut_off_does_not_take_the_version_it_knows_for_that_of_a_stream() {
    let release = Release::prepare().await;
    let (behind, store) = lone_daemon(&release.platform).await;
    let attempt = stream_behind_a_cut(&release, &behind, &store).await;
    let client = resumed("/resume/", &attempt);
    let answer = answer_to(&client, &behind).await;
    assert_eq!(usable_engines(&behind), 2, "the release is not known yet");
    assert_eq!(release.runs(&client.attempt), (0, 0), "{answer:?}");
    assert_eq!(answer.status, 503);
}

#[tokio::test]
async fn a_daemon_whose_list_is_behind_learns_of_a_version_before_it_resumes_its_streams() {
    let release = Release::prepare().await;
    let (behind, store) = lone_daemon(&release.platform).await;
    let attempt = stream_behind_a_cut(&release, &behind, &store).await;
    let client = resumed("/resume/", &attempt);
    // The connection of its watch stays silent for some time more.
    store.set(Partition::None);
    let answer: Answer = answer_to(&client, &behind).await;
    let (older, _) = release.runs(&client.attempt);
    assert_eq!(older, 0, "{answer:?}");
    assert_eq!(answer.status, 200);
}
