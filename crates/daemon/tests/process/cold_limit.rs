//! A target in cold start gets no more work than it bears.

use std::time::Duration;

use gooseberry_standin::platform;
use gooseberry_standin::target::Plan;

use crate::fleet::Call;
use crate::fleet::FLEET;
use crate::fleet::Fleet;
use crate::fleet::until;
use crate::storm;

fn read(number: usize) -> Call {
    Call::new("read", format!("read-{number}"))
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts targets that stay cold and work nearly as long as a call may.
async fn start() -> Fleet {
    let plan = Plan {
        work: Duration::from_millis(1200),
        warm_after: usize::MAX,
        ..Plan::default()
    };
    // A call outlasts the wait of a new owner, so the places must be counted.
    let document = FLEET.replace("\"freshness_ms\": 800", "\"freshness_ms\": 500");
    Fleet::behind_doors(&document, plan).await
}

fn check(fleet: &Fleet) {
    let runs: usize = fleet
        .targets
        .iter()
        .map(|one| one.target.journal().len())
        .sum();
    assert!(runs > 10, "only {runs} calls ran");
    assert_eq!(fleet.overruns(), 0);
    fleet.assert_invariants();
}

#[tokio::test]
async fn the_cold_limit_holds_while_owners_are_killed_and_replaced() {
    let mut fleet = start().await;
    fleet.launch("entry-4", "a");
    fleet.launch("entry-5", "b");
    let fault = async {
        pause(2500).await;
        for (old, new) in [(0, 3), (1, 4)] {
            fleet.daemons[old].kill();
            fleet.platform.change_list(|list| {
                let gone = fleet.daemons[old].id.as_str();
                list.instances.retain(|one| one.id != gone);
                list.instances.push(fleet.daemons[new].listed());
            });
            pause(3500).await;
        }
    };
    storm::steady(&fleet, 30, read, fault).await;
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
            fleet.daemons[index].wake();
            pause(200).await;
            fleet.platform.add_instance(fleet.daemons[index].listed());
            pause(1000).await;
        }
    };
    storm::steady(&fleet, 30, read, fault).await;
    check(&fleet);
}

#[tokio::test]
async fn the_cold_limit_holds_under_a_cut_and_a_contradicting_list() {
    let fleet = start().await;
    let fault = async {
        pause(2000).await;
        let old = (fleet.platform.list(), fleet.platform.settings());
        fleet.cut_off(0).await;
        fleet.platform.remove_instance("entry-1");
        let fault = platform::Fault::Contradicting(Box::new(old));
        fleet.platform.set_fault(fault);
        // Long enough that the next owner sends, while this one still has work.
        pause(5000).await;
        fleet.heal().await;
        fleet.platform.add_instance(fleet.daemons[0].listed());
        pause(2000).await;
    };
    storm::steady(&fleet, 60, read, fault).await;
    check(&fleet);
}

#[tokio::test]
async fn a_target_that_turned_cold_without_warning_is_not_overrun_again() {
    let plan = Plan {
        work: Duration::from_millis(60),
        ..Plan::default()
    };
    let fleet = Fleet::start(FLEET, plan).await;
    fleet.warm_up().await;
    let cold = &fleet.targets[0].target;
    let fault = async {
        pause(1000).await;
        cold.crash();
        let before = cold.journal().len();
        until("it works again", async || {
            cold.journal().len() > before + 20
        })
        .await;
    };
    storm::steady(&fleet, 30, read, fault).await;
    assert_eq!(cold.crashes(), 1);
    check(&fleet);
}
