//! Parts of prompts that crash the targets which write answers on them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gooseberry_platform_standin::client::ClientRequest;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::target::Target;
use gooseberry_relay::daemon::Daemon;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::TestPlatform;
use crate::platform::client_address;
use crate::platform::wait_until;

/// How long after the fifth crash requests with the part may still reach targets.
const CONTACT: Duration = Duration::from_secs(3);
/// How many requests with the part may reach targets afterwards.
const ALLOWED: usize = 3;
const CERTAIN_CRASHES: u64 = 5;
/// How long requests are sent until the targets have crashed that often; they may do so
/// less often, if the part is found before.
const CRASHES_TIME: Duration = Duration::from_secs(9);

/// The number of the next request. No two are alike, or they would be quarantined by
/// their bodies.
static NEXT_REQUEST: AtomicUsize = AtomicUsize::new(0);

/// What is known of the crashes, by a task that runs as long as the test.
#[derive(Clone, Debug, Default)]
struct Watch {
    /// When the targets had crashed [`CERTAIN_CRASHES`] times.
    certain_at: Option<Instant>,
    /// How many requests with the part had reached targets [`CONTACT`] later.
    reached_by_then: Option<usize>,
}

impl Watch {
    fn update(&mut self, crashes: u64, targets: &[Target]) {
        if crashes >= CERTAIN_CRASHES {
            self.certain_at.get_or_insert_with(Instant::now);
        }
        if self.certain_at.is_some_and(|at| at.elapsed() >= CONTACT) {
            self.reached_by_then.get_or_insert(reached(targets));
        }
    }
}

/// Lists targets that have crashed as new runs, and watches their crashes.
fn watch(platform: &Arc<TestPlatform>) -> Arc<Mutex<Watch>> {
    let watch = Arc::new(Mutex::new(Watch::default()));
    let (platform, shared) = (platform.clone(), watch.clone());
    tokio::spawn(async move {
        let mut known = [0; 2];
        loop {
            for (known, target) in known.iter_mut().zip(&platform.engines) {
                let crashes = target.crashes();
                if crashes > *known {
                    *known = crashes;
                    let entry = target.entry("engine", "z-1", "ready");
                    let born = 1_700_000_000_000 + crashes;
                    let entry = entry.replacen('{', &format!("{{\"born\": {born}, "), 1);
                    platform
                        .store
                        .put(&format!("servers/{}", target.name), &entry);
                }
            }
            let crashes = known.iter().sum();
            shared
                .lock()
                .expect("not poisoned")
                .update(crashes, &platform.engines);
            sleep(Duration::from_millis(10)).await;
        }
    });
    watch
}

/// Returns how many requests with the part have reached targets since they were not to
/// any more, which is only so once the targets have crashed often enough.
fn reached_too_late(platform: &TestPlatform, watch: &Mutex<Watch>) -> usize {
    let before = watch.lock().expect("not poisoned").reached_by_then;
    before.map_or(0, |before| reached(&platform.engines) - before)
}

fn request(number: usize, middle: &str) -> ClientRequest {
    let parts = format!("system:50,{middle}:50,own-{number}:10");
    ClientRequest::new("/resume/")
        .body(&format!("{number}"))
        .with_stage_pieces("")
        .with("Prompt-Prefix", &parts)
}

/// One request that was sent, and whether its answer was complete.
struct Sent {
    is_bad: bool,
    at: Instant,
    answer: JoinHandle<Option<bool>>,
}

fn send(daemon: &Daemon, request: ClientRequest, is_bad: bool) -> Sent {
    let address = client_address(daemon);
    let answer = tokio::spawn(async move {
        let answer = request.send(address).await?;
        Some(answer.status == 200 && answer.is_complete)
    });
    Sent {
        is_bad,
        at: Instant::now(),
        answer,
    }
}

/// Returns how many requests with the part have reached targets.
fn reached(targets: &[Target]) -> usize {
    let received = targets.iter().flat_map(Target::received);
    let bad = received.filter(|request| request.header("Prompt-Prefix").contains("bad:"));
    bad.count()
}

/// Sends a request every 25 ms, one in four with the part, at the daemons in turn.
/// Returns those that were sent.
async fn send_for(daemons: &[Daemon], span: Duration) -> Vec<Sent> {
    let end = Instant::now() + span;
    let mut sent = Vec::new();
    for (turn, daemon) in daemons.iter().cycle().enumerate() {
        if Instant::now() >= end {
            break;
        }
        let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        // Each daemon gets requests of both kinds.
        let is_bad = turn % 4 == 1;
        let middle = if is_bad {
            "bad".to_owned()
        } else {
            format!("good-{}", turn % 12)
        };
        sent.push(send(daemon, request(number, &middle), is_bad));
        sleep(Duration::from_millis(25)).await;
    }
    sent
}

/// Returns the share of the sound requests and of the others that were served.
async fn served_shares(sent: Vec<Sent>, since: Instant) -> [f64; 2] {
    let (mut served, mut all) = ([0.0; 2], [0.0; 2]);
    for one in sent {
        let answer = one.answer.await.expect("no panic");
        if one.at >= since {
            let kind = usize::from(one.is_bad);
            all[kind] += 1.0;
            served[kind] += f64::from(u8::from(answer == Some(true)));
        }
    }
    [served[0] / all[0], served[1] / all[1]]
}

/// Starts a fleet and targets that crash on the part, and sends requests until that must
/// be known.
async fn crash_targets() -> (Arc<TestPlatform>, Vec<Daemon>, Arc<Mutex<Watch>>) {
    let platform = Arc::new(TestPlatform::start().await);
    let daemons = platform.fleet().await;
    let watch = watch(&platform);
    for target in &platform.engines {
        target.crash_on(Some("bad"));
    }
    let begun = Instant::now();
    let is_known = || {
        watch
            .lock()
            .expect("not poisoned")
            .reached_by_then
            .is_some()
    };
    while !is_known() && begun.elapsed() < CRASHES_TIME {
        send_for(&daemons, Duration::from_millis(500)).await;
    }
    (platform, daemons, watch)
}

#[tokio::test]
async fn requests_with_a_part_that_crashes_targets_stop_reaching_them_and_sound_ones_do_not() {
    let (platform, daemons, watch) = crash_targets().await;
    send_for(&daemons, CONTACT).await;
    let since = Instant::now();
    let sent = send_for(&daemons, Duration::from_secs(5)).await;
    let more = reached_too_late(&platform, &watch);
    assert!(
        more <= ALLOWED,
        "{more} requests with the part reached targets"
    );
    let [sound, bad] = served_shares(sent, since).await;
    assert!(sound >= 0.5, "{sound} of the sound requests were served");
    assert!(bad == 0.0, "{bad} of the others were served");
}

#[tokio::test]
async fn a_daemon_that_restarts_learns_of_the_part_from_its_peers() {
    let (platform, mut daemons, _watch) = crash_targets().await;
    // The store is away while the daemon starts again.
    let seeds = [daemons[1].context().boot.peer_address];
    daemons.remove(0).kill().await;
    platform.store.set_mode(store::Mode::Busy);
    daemons.push(platform.unready_daemon(4, &seeds).await);
    wait_until("the new daemon is ready", || {
        daemons[2].context().state().is_ready()
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    let before = reached(&platform.engines);
    send_for(&daemons[2..], Duration::from_secs(2)).await;
    let more = reached(&platform.engines) - before;
    assert!(
        more <= ALLOWED,
        "{more} requests with the part reached targets"
    );
}
