//! A graceful shutdown cuts no request.

use std::time::Duration;

use gooseberry_standin::target::Fault;
use gooseberry_standin::target::Plan;
use gooseberry_wire::platform::State;

use crate::fleet::Call;
use crate::fleet::FLEET;
use crate::fleet::Fleet;
use crate::fleet::TEAM;
use crate::fleet::Told;
use crate::fleet::until;
use crate::storm;

async fn start() -> Fleet {
    let plan = Plan {
        work: Duration::from_millis(40),
        ..Plan::default()
    };
    let fleet = Fleet::start(FLEET, plan).await;
    fleet.warm_up().await;
    fleet
}

fn mixed(number: usize) -> Call {
    match number % 3 {
        0 => Call::new("read", format!("read-{number}")),
        1 => Call::new("brief", format!("brief-{number}")),
        _ => Call::post(format!("post-{number}")),
    }
}

/// Shuts one daemon down under load, and checks that nothing was cut.
async fn shut_down(fleet: &Fleet, list: impl Future<Output = ()>) {
    let fault = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.daemons[0].terminate();
        let ended = until("the daemon has ended", async || {
            fleet.daemons[0].exit_code().is_some()
        });
        tokio::join!(ended, list);
        tokio::time::sleep(Duration::from_millis(300)).await;
    };
    let sent = storm::steady(fleet, 24, mixed, fault).await;
    let log = fleet.daemons[0].log();
    assert_eq!(fleet.daemons[0].exit_code(), Some(0), "{log}");
    let mut answered = 0;
    for one in sent.iter().filter(|one| !storm::is_elsewhere(&one.result)) {
        let told = one.result.as_ref();
        let told = told.unwrap_or_else(|error| panic!("{:?} was cut: {error:?}", one.call));
        // A right that moves may refuse a request, but only before it runs.
        assert!(told.status == 200 || told.outcome() == "not-run", "{one:?}");
        if told.status == 200 {
            assert_eq!(told.body, one.call.expected());
            answered += 1;
        }
    }
    assert!(answered * 2 > sent.len(), "{answered} of {}", sent.len());
    fleet.assert_invariants();
}

#[tokio::test]
async fn a_shutdown_under_load_cuts_nothing() {
    let fleet = start().await;
    let list = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.platform.set_instance_state("entry-1", State::Leaving);
    };
    shut_down(&fleet, list).await;
}

#[tokio::test]
async fn a_shutdown_that_the_list_never_hears_of_cuts_nothing() {
    let fleet = start().await;
    shut_down(&fleet, async {}).await;
}

#[tokio::test]
async fn a_second_signal_ends_at_once_and_says_what_was_cut() {
    let fleet = start().await;
    let slow = TEAM.replace("\"longest_call_ms\": 1500", "\"longest_call_ms\": 30000");
    fleet.platform.put("/teams/desk", &slow);
    fleet.settled().await;
    for one in &fleet.targets {
        one.target.set_fault(Fault::Slow(Duration::from_secs(30)));
    }
    let call = Call::new("brief", "long");
    let signals = async {
        until("the request runs", async || fleet.runs("long") == 1).await;
        fleet.daemons[0].terminate();
        let is_told = async || fleet.daemons[0].log().contains("shutting down");
        until("the shutdown has begun", is_told).await;
        assert_eq!(fleet.daemons[0].exit_code(), None);
        fleet.daemons[0].terminate();
        until("the daemon has ended", async || {
            fleet.daemons[0].exit_code().is_some()
        })
        .await;
    };
    let (told, ()) = tokio::join!(fleet.send(0, &call), signals);
    // The cut request may still hear that its fate is not known.
    let is_true = |told: &Told| told.outcome() == "unknown";
    assert!(told.as_ref().map_or(true, is_true), "{told:?}");
    assert_eq!(fleet.daemons[0].exit_code(), Some(3));
    let is_told = async || fleet.daemons[0].log().contains("the shutdown cut 1");
    until("the log says what was cut", is_told).await;
}
