//! A store that comes back from an older copy: what it wrote since is gone, and its
//! revisions are given out again.

use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_platform_standin::store;
use gooseberry_platform_standin::store::Backup;
use gooseberry_platform_standin::store::Store;
use gooseberry_relay::daemon::Daemon;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform::SETTINGS;
use crate::platform::TestPlatform;
use crate::platform::is_ready_with;
use crate::platform::start_daemon;
use crate::platform::wait_until;

/// How long acknowledged settings may take to be in force.
const SETTINGS_TIME: Duration = Duration::from_secs(3);
/// How long a target that leaves may still get requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// How many revisions are lost and given out again.
const LOST_REVISIONS: u64 = 40;

fn settings(version: u64) -> String {
    SETTINGS.replacen("\"version\": 1", &format!("\"version\": {version}"), 1)
}

fn version(daemon: &Daemon) -> u64 {
    let state = daemon.context().state();
    state.routing_table().map_or(0, |table| table.version)
}

fn usable_targets(daemon: &Daemon, service: &str) -> Vec<name::Target> {
    let state = daemon.context().state();
    let service = name::Service::new(service);
    let usable = state.stage_targets(&service, daemon.context().now());
    usable.into_iter().map(|target| target.name).collect()
}

/// Starts a daemon that reads the store, and one that reaches only the first.
async fn start_pair(platform: &TestPlatform) -> [Daemon; 2] {
    let unreachable_store = Store::start().await;
    unreachable_store.set_mode(store::Mode::Unresponsive);
    let first = platform.daemon(1, &[]).await;
    let seed = first.context().boot.peer_address;
    let second = start_daemon(2, &[seed], unreachable_store.address).await;
    wait_until("the second daemon knows all targets", || {
        is_ready_with(&second, 8)
    })
    .await;
    [first, second]
}

/// Has the store write what it will lose: version 2 of the settings, and other keys.
/// Waits until both daemons know it.
async fn write_lost_changes(platform: &TestPlatform, daemons: &[Daemon; 2]) {
    for number in 0..LOST_REVISIONS {
        platform.store.put(&format!("other/{number}"), "lost");
    }
    platform.store.put("op/config", &settings(2));
    for daemon in daemons {
        wait_until("the changes are known", || version(daemon) == 2).await;
    }
}

/// Has the store be away for a moment and come back from the copy.
async fn go_back(platform: &TestPlatform, backup: &Backup) {
    platform.store.set_mode(store::Mode::Busy);
    sleep(Duration::from_millis(300)).await;
    let _ = platform.store.restore(backup);
    platform.store.set_mode(store::Mode::Normal);
}

/// Returns how long it takes until a condition holds for all daemons, at most twice
/// the limit.
async fn time_until(
    daemons: &[Daemon; 2],
    limit: Duration,
    holds: impl Fn(&Daemon) -> bool,
) -> Duration {
    let begun = Instant::now();
    while !daemons.iter().all(&holds) && begun.elapsed() < 2 * limit {
        sleep(Duration::from_millis(10)).await;
    }
    begun.elapsed()
}

#[tokio::test]
async fn settings_are_in_force_in_time_after_the_store_went_back() {
    let platform = TestPlatform::start().await;
    let daemons = start_pair(&platform).await;
    let backup = platform.store.backup();
    write_lost_changes(&platform, &daemons).await;
    go_back(&platform, &backup).await;
    platform.store.put("op/config", &settings(3));
    let took = time_until(&daemons, SETTINGS_TIME, |daemon| version(daemon) == 3).await;
    assert!(took < SETTINGS_TIME, "the settings took {took:?}");
}

#[tokio::test]
async fn a_target_that_leaves_gets_no_requests_after_the_store_went_back() {
    let platform = TestPlatform::start().await;
    let daemons = start_pair(&platform).await;
    let backup = platform.store.backup();
    write_lost_changes(&platform, &daemons).await;
    go_back(&platform, &backup).await;
    platform.list_target(&platform.plain[0], "plain", "draining");
    let took = time_until(&daemons, DRAIN_TIME, |daemon| {
        usable_targets(daemon, "plain").len() == 1
    })
    .await;
    assert!(took < DRAIN_TIME, "the target was usable for {took:?}");
}

/// The copy does not know yet that the targets leave, that one of them is gone and that
/// a failure domain is out.
#[tokio::test]
async fn what_was_withdrawn_does_not_come_back_with_the_copy() {
    let platform = TestPlatform::start().await;
    let daemons = start_pair(&platform).await;
    let backup = platform.store.backup();
    platform.list_target(&platform.plain[0], "plain", "draining");
    platform.list_target(&platform.engines[0], "engine", "draining");
    platform.store.remove("servers/engine-1");
    platform.store.put("op/evacuate/z-2", "{}");
    write_lost_changes(&platform, &daemons).await;
    go_back(&platform, &backup).await;
    let begun = Instant::now();
    while begun.elapsed() < 2 * SETTINGS_TIME {
        for daemon in &daemons {
            assert_eq!(version(daemon), 2);
            assert_eq!(usable_targets(daemon, "plain"), []);
            assert_eq!(usable_targets(daemon, "engine"), []);
        }
        sleep(Duration::from_millis(10)).await;
    }
    // Operators and targets write again what was lost.
    platform.store.put("op/evacuate/z-2", "{}");
    platform.store.remove("op/evacuate/z-2");
    platform.list_target(&platform.plain[0], "plain", "draining");
    let took = time_until(&daemons, SETTINGS_TIME, |daemon| {
        usable_targets(daemon, "plain").len() == 1
    })
    .await;
    assert!(took < SETTINGS_TIME, "the domain was out for {took:?}");
}

/// The targets started after the copy was taken, and register again.
#[tokio::test]
async fn targets_that_the_copy_lacks_stay_usable_until_they_register_again() {
    let platform = TestPlatform::start().await;
    platform.store.remove("servers/plain-1");
    let backup = platform.store.backup();
    platform.list_target(&platform.plain[0], "plain", "ready");
    let daemons = start_pair(&platform).await;
    write_lost_changes(&platform, &daemons).await;
    go_back(&platform, &backup).await;
    let begun = Instant::now();
    let mut is_registered = false;
    while begun.elapsed() < SETTINGS_TIME {
        if begun.elapsed() > SETTINGS_TIME / 3 && !is_registered {
            platform.list_target(&platform.plain[0], "plain", "ready");
            is_registered = true;
        }
        for daemon in &daemons {
            assert_eq!(usable_targets(daemon, "plain").len(), 2);
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// A store that goes back several times within seconds, as in a series of drills.
#[tokio::test]
async fn settings_are_in_force_in_time_after_each_of_several_returns() {
    let platform = TestPlatform::start().await;
    let daemons = start_pair(&platform).await;
    let backup = platform.store.backup();
    write_lost_changes(&platform, &daemons).await;
    for number in 3..8 {
        let _ = platform.store.restore(&backup);
        platform.store.put("op/config", &settings(number));
        let took = time_until(&daemons, SETTINGS_TIME, |daemon| version(daemon) == number).await;
        assert!(took < SETTINGS_TIME, "version {number} took {took:?}");
    }
}
