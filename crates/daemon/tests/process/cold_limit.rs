//! A target in cold start never gets more calls at a time than its cold limit.

use std::time::Duration;

use gooseberry_standin::platform;
use gooseberry_standin::target::Plan;

use crate::fleet::Call;
use crate::fleet::FLEET_SETTINGS;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::load_generator;

fn read_request(number: usize) -> Call {
    Call::new("read", format!("read-{number}"))
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts targets that stay cold and take nearly the longest allowed call time.
async fn start() -> Fleet {
    let plan = Plan {
        work: Duration::from_millis(1200),
        warm_after: usize::MAX,
        ..Plan::default()
    };
    // A call takes longer than the wait of a new owner, so the new owner has to
    // count the calls that the former one still has at the target.
    let document = FLEET_SETTINGS.replace("\"freshness_ms\": 800", "\"freshness_ms\": 500");
    Fleet::start_with_separate_platform_ports(&document, plan).await
}

fn check(fleet: &Fleet) {
    let runs: usize = fleet
        .targets
        .iter()
        .map(|listed| listed.target.journal().len())
        .sum();
    assert!(runs > 10, "only {runs} calls ran");
    assert_eq!(fleet.overruns(), 0);
    fleet.assert_invariants();
}

#[tokio::test]
async fn the_cold_limit_holds_while_owners_are_killed_and_replaced() {
    let mut fleet = start().await;
    fleet.start_daemon("entry-4", "a");
    fleet.start_daemon("entry-5", "b");
    let fault = async {
        pause(2500).await;
        for (old, new) in [(0, 3), (1, 4)] {
            fleet.daemons[old].kill();
            fleet.platform.change_list(|list| {
                let gone = fleet.daemons[old].id.as_str();
                list.instances.retain(|instance| instance.id != gone);
                list.instances.push(fleet.daemons[new].list_entry());
            });
            pause(3500).await;
        }
    };
    load_generator::steady_load(&fleet, 30, read_request, fault).await;
    check(&fleet);
}

#[tokio::test]
async fn the_cold_limit_holds_while_owners_are_paused_and_the_list_moves() {
    let fleet = start().await;
    let fault = async {
        pause(2000).await;
        for index in [0, 1] {
            let id = fleet.daemons[index].id.as_str();
            fleet.daemons[index].pause();
            pause(300).await;
            fleet.platform.remove_instance(id);
            pause(1500).await;
            fleet.daemons[index].resume();
            pause(200).await;
            fleet
                .platform
                .add_instance(fleet.daemons[index].list_entry());
            pause(1000).await;
        }
    };
    load_generator::steady_load(&fleet, 30, read_request, fault).await;
    check(&fleet);
}

#[tokio::test]
async fn the_cold_limit_holds_under_a_cut_and_a_contradicting_list() {
    let fleet = start().await;
    let fault = async {
        pause(2000).await;
        let old = (fleet.platform.list(), fleet.platform.settings());
        fleet.isolate(0).await;
        fleet.platform.remove_instance("entry-1");
        let fault = platform::Fault::Contradicting(Box::new(old));
        fleet.platform.set_fault(fault);
        // Long enough that the next owner sends calls while the isolated one still
        // has calls in flight.
        pause(5000).await;
        fleet.end_isolation().await;
        fleet.platform.add_instance(fleet.daemons[0].list_entry());
        pause(2000).await;
    };
    load_generator::steady_load(&fleet, 60, read_request, fault).await;
    check(&fleet);
}

#[tokio::test]
async fn a_target_that_turned_cold_without_warning_is_not_overrun_again() {
    let plan = Plan {
        work: Duration::from_millis(60),
        ..Plan::default()
    };
    let fleet = Fleet::start(FLEET_SETTINGS, plan).await;
    fleet.warm_up().await;
    let cold = &fleet.targets[0].target;
    let fault = async {
        pause(1000).await;
        cold.crash();
        let before = cold.journal().len();
        wait_until("it works again", async || {
            cold.journal().len() > before + 20
        })
        .await;
    };
    load_generator::steady_load(&fleet, 30, read_request, fault).await;
    assert_eq!(cold.crashes(), 1);
    check(&fleet);
}
