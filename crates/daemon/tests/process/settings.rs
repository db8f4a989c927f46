//! Accepted settings are in force everywhere within 7 s and never revert.

use std::time::Duration;
use std::time::Instant;

use gooseberry_standin::platform;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::target::Plan;

use crate::fleet::Call;
use crate::fleet::FLEET_SETTINGS;
use crate::fleet::Fleet;
use crate::fleet::TEAM_SETTINGS;
use crate::fleet::wait_until;

/// The time within which accepted settings are in force on each reachable daemon.
const ADOPTION_TIME_MAX: Duration = Duration::from_secs(7);

/// The most calls per second that four daemons, each with two long polls, may
/// make to a faulty platform.
const CALLS_PER_SECOND_MAX: u64 = 100;

/// Publishes the team's settings with one more pipeline, named by its number.
fn publish(platform: &Platform, number: u32) {
    platform.put("/teams/desk", &team_settings(number));
}

fn team_settings(number: u32) -> String {
    let pipeline = format!(
        "\"pipelines\": {{ \"extra-{number}\": {{ \"deadline_ms\": 5000, \"stages\": \
         [{{ \"name\": \"read\", \"pool\": \"ledger\" }}] }},"
    );
    let text = TEAM_SETTINGS.replace("\"pipelines\": {", &pipeline);
    let allowed = format!("\"pipelines\": [\"extra-{number}\", \"post\"");
    text.replace("\"pipelines\": [\"post\"", &allowed)
}

/// Returns whether a daemon knows the extra pipeline, according to its answer.
async fn knows_pipeline(fleet: &Fleet, index: usize, number: u32) -> bool {
    let name: &'static str = ["extra-0", "extra-1", "extra-2", "extra-3"][number as usize];
    let answer = fleet.send(index, &Call::new(name, "x")).await;
    answer.is_ok_and(|answer| answer.error() != "no-pipeline" && answer.error() != "not-ready")
}

/// Waits until the extra pipeline is in force on each daemon, and fails if that
/// takes [`ADOPTION_TIME_MAX`] or longer.
async fn wait_until_in_force(fleet: &Fleet, number: u32, since: Instant) {
    for index in 0..fleet.daemons.len() {
        wait_until("the settings are in force", async || {
            knows_pipeline(fleet, index, number).await
        })
        .await;
    }
    let took = since.elapsed();
    assert!(took < ADOPTION_TIME_MAX, "in force only after {took:?}");
}

/// Fails if a daemon loses the extra pipeline within the time.
async fn assert_never_reverts(fleet: &Fleet, number: u32, span: Duration) {
    let started = Instant::now();
    while started.elapsed() < span {
        for index in 0..fleet.daemons.len() {
            assert!(
                knows_pipeline(fleet, index, number).await,
                "daemon {index} reverted"
            );
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn settings_never_revert_when_the_platform_is_down_stale_or_contradicts() {
    let mut fleet = Fleet::start_default().await;
    let old = (fleet.platform.list(), fleet.platform.settings());
    let old = Box::new(old);
    publish(&fleet.platform, 1);
    wait_until_in_force(&fleet, 1, Instant::now()).await;
    let faults = [
        platform::Fault::Down,
        platform::Fault::Stale(old.clone()),
        platform::Fault::Contradicting(old),
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        fleet.platform.set_fault(fault);
        let calls = fleet.platform.calls();
        let since = Instant::now();
        // A fresh daemon adopts the higher revision of peers and platform.
        let fresh = fleet.start_daemon(&format!("fresh-{number}"), "b");
        assert_others_never_revert(&fleet, fresh).await;
        let calls = fleet.platform.calls() - calls;
        let seconds = since.elapsed().as_secs();
        println!("{calls} calls in {seconds} s");
        assert!(
            calls < CALLS_PER_SECOND_MAX * seconds,
            "{calls} calls in {seconds} s"
        );
        fleet.daemons[fresh].kill();
        fleet.daemons.remove(fresh);
    }
    fleet.platform.set_fault(platform::Fault::None);
    publish(&fleet.platform, 2);
    wait_until_in_force(&fleet, 2, Instant::now()).await;
    fleet.assert_invariants();
}

/// Checks all daemons except a fresh one, which may have no settings yet.
async fn assert_others_never_revert(fleet: &Fleet, fresh: usize) {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2) {
        for index in (0..fleet.daemons.len()).filter(|index| *index != fresh) {
            assert!(
                knows_pipeline(fleet, index, 1).await,
                "daemon {index} reverted"
            );
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_fresh_daemon_at_a_stale_platform_learns_from_its_peers() {
    let mut fleet = Fleet::start_default().await;
    let index = fleet.start_daemon("entry-4", "b");
    fleet.publish_daemons();
    fleet.wait_until_settled().await;
    let old = (fleet.platform.list(), fleet.platform.settings());
    publish(&fleet.platform, 1);
    wait_until_in_force(&fleet, 1, Instant::now()).await;
    // The daemon restarts under the same list while the platform serves old
    // settings.
    fleet
        .platform
        .set_fault(platform::Fault::Stale(Box::new(old)));
    let since = Instant::now();
    fleet.restart(index);
    wait_until_in_force(&fleet, 1, since).await;
    assert_never_reverts(&fleet, 1, Duration::from_secs(1)).await;
    fleet.assert_invariants();
}

#[tokio::test]
async fn settings_reach_daemons_that_are_cut_off_from_the_platform() {
    let fleet = Fleet::start_with_separate_platform_ports(FLEET_SETTINGS, Plan::default()).await;
    for platform_port in &fleet.platform_ports[1..] {
        platform_port.set_fault(platform::Fault::Down);
    }
    let since = Instant::now();
    publish(&fleet.platform, 1);
    wait_until_in_force(&fleet, 1, since).await;
    fleet
        .platform
        .set_fault(platform::Fault::Slow(Duration::from_secs(1)));
    let since = Instant::now();
    publish(&fleet.platform, 2);
    wait_until_in_force(&fleet, 2, since).await;
    fleet.assert_invariants();
}

#[tokio::test]
async fn two_operators_and_a_bad_subtree_leave_the_newest_good_one_in_force() {
    let fleet = Fleet::start_default().await;
    let since = Instant::now();
    for round in 0..20 {
        let team = if round % 2 == 0 {
            "{ \"pools\": 7 }"
        } else {
            "{"
        };
        fleet.platform.put("/teams/other", team);
        publish(&fleet.platform, round % 3);
    }
    publish(&fleet.platform, 3);
    wait_until_in_force(&fleet, 3, since).await;
    for index in 0..3 {
        for number in 0..3 {
            assert!(
                !knows_pipeline(&fleet, index, number).await,
                "an older one is in force"
            );
        }
    }
    fleet.platform.put("/teams/desk", "{ \"pools\": 7 }");
    fleet.wait_until_settled().await;
    assert_never_reverts(&fleet, 3, Duration::from_secs(1)).await;
    fleet.assert_invariants();
}
