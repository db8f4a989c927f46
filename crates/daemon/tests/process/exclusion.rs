//! Excluded failure domains and leaving targets get no new calls.

use std::time::Duration;
use std::time::Instant;

use gooseberry_standin::platform;
use gooseberry_standin::target::Fault;
use gooseberry_standin::target::Plan;
use gooseberry_wire::platform::State;

use crate::fleet::Call;
use crate::fleet::FLEET_SETTINGS;
use crate::fleet::Fleet;
use crate::fleet::ListedTarget;
use crate::fleet::wait_until;
use crate::load_generator;

/// The time after which an excluded or leaving target gets no new calls.
const EXCLUSION_TIME_MAX: Duration = Duration::from_secs(3);

async fn start() -> Fleet {
    let plan = Plan {
        work: Duration::from_millis(60),
        is_fragile: true,
        ..Plan::default()
    };
    let fleet = Fleet::start(FLEET_SETTINGS, plan).await;
    fleet.warm_up().await;
    fleet
}

fn brief_request(number: usize) -> Call {
    Call::new("brief", format!("brief-{number}"))
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Returns the number of calls that the targets began between two times.
fn count_begun(targets: &[&ListedTarget], from: Instant, to: Instant) -> usize {
    let journals = targets.iter().map(|listed| listed.target.journal());
    let entries = journals.flatten();
    entries
        .filter(|entry| entry.began > from && entry.began < to)
        .count()
}

#[tokio::test]
async fn an_excluded_failure_domain_gets_no_new_calls_and_returns_slowly() {
    let fleet = start().await;
    let is_excluded = |listed: &&ListedTarget| listed.domain == "a";
    let excluded: Vec<&ListedTarget> = fleet.targets.iter().filter(is_excluded).collect();
    let fault = async {
        let started = Instant::now();
        pause(500).await;
        // A failing target causes retries, while the platform is slow and later
        // serves an old list.
        fleet.targets[1].target.set_fault(Fault::Fail);
        let old = fleet.platform.list();
        fleet
            .platform
            .set_fault(platform::Fault::Slow(Duration::from_millis(400)));
        let published = Instant::now();
        fleet
            .platform
            .put("/fleet", &FLEET_SETTINGS.replace("[]", "[\"a\"]"));
        pause(1500).await;
        fleet
            .platform
            .set_fault(platform::Fault::Lagging(Box::new(old)));
        pause(3500).await;
        assert_eq!(
            count_begun(&excluded, published + EXCLUSION_TIME_MAX, Instant::now()),
            0
        );
        assert!(count_begun(&excluded, started, published) > 0);
        fleet.targets[1].target.set_fault(Fault::None);
        fleet.platform.set_fault(platform::Fault::None);
        // The targets of the readmitted domain have restarted and are cold.
        for listed in &excluded {
            listed.target.make_cold();
        }
        let readmitted_at = Instant::now();
        fleet.platform.put("/fleet", FLEET_SETTINGS);
        wait_until("the domain works again", async || {
            count_begun(&excluded, readmitted_at, Instant::now()) > 30
                && excluded.iter().all(|listed| listed.target.is_warm())
        })
        .await;
    };
    load_generator::steady_load(&fleet, 30, brief_request, fault).await;
    assert_eq!(fleet.overruns(), 0);
    fleet.assert_invariants();
}

#[tokio::test]
async fn a_target_that_the_list_says_is_leaving_gets_nothing_new() {
    let fleet = start().await;
    let leaving = &fleet.targets[0];
    let fault = async {
        pause(500).await;
        let old = (fleet.platform.list(), fleet.platform.settings());
        let published = Instant::now();
        fleet.platform.set_target_state(&leaving.id, State::Leaving);
        let fault = platform::Fault::Contradicting(Box::new(old));
        fleet.platform.set_fault(fault);
        pause(5000).await;
        assert_eq!(
            count_begun(&[leaving], published + EXCLUSION_TIME_MAX, Instant::now()),
            0
        );
    };
    load_generator::steady_load(&fleet, 30, brief_request, fault).await;
    assert!(!leaving.target.journal().is_empty());
    fleet.assert_invariants();
}

#[tokio::test]
async fn a_target_that_says_it_is_leaving_is_not_asked_again() {
    let fleet = start().await;
    let leaving = &fleet.targets[0];
    let fault = async {
        pause(500).await;
        leaving.target.set_fault(Fault::Leave);
        pause(3000).await;
        // From now on the target would run any call again.
        leaving.target.set_fault(Fault::None);
        let since = Instant::now();
        pause(2000).await;
        assert_eq!(count_begun(&[leaving], since, Instant::now()), 0);
    };
    load_generator::steady_load(&fleet, 30, brief_request, fault).await;
    fleet.assert_invariants();
}
