//! A graceful shutdown cuts no request in progress.

use std::time::Duration;

use gooseberry_standin::target::Fault;
use gooseberry_wire::platform::State;

use crate::fleet::Call;
use crate::fleet::CallerAnswer;
use crate::fleet::FLEET_SETTINGS;
use crate::fleet::Fleet;
use crate::fleet::TEAM_SETTINGS;
use crate::fleet::wait_until;
use crate::load_generator;

async fn start() -> Fleet {
    Fleet::start_warm(FLEET_SETTINGS, 40).await
}

fn mixed_request(number: usize) -> Call {
    match number % 3 {
        0 => Call::new("read", format!("read-{number}")),
        1 => Call::new("brief", format!("brief-{number}")),
        _ => Call::post(format!("post-{number}")),
    }
}

/// Shuts one daemon down under load while `list_update` changes the published
/// list, and checks that no request was cut.
async fn shut_down(fleet: &Fleet, list_update: impl Future<Output = ()>) {
    let fault = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.daemons[0].terminate();
        let ended = wait_until("the daemon has ended", async || {
            fleet.daemons[0].exit_code().is_some()
        });
        tokio::join!(ended, list_update);
        tokio::time::sleep(Duration::from_millis(300)).await;
    };
    let sent = load_generator::steady_load(fleet, 24, mixed_request, fault).await;
    let log = fleet.daemons[0].log();
    assert_eq!(fleet.daemons[0].exit_code(), Some(0), "{log}");
    let mut answered = 0;
    for request in sent
        .iter()
        .filter(|request| !load_generator::is_refused_in_shutdown(&request.result))
    {
        let answer = request.result.as_ref();
        let answer = answer.unwrap_or_else(|error| panic!("{:?} was cut: {error:?}", request.call));
        // A request may be refused while ownership moves, but only before it runs.
        assert!(
            answer.status == 200 || answer.outcome() == "not-run",
            "{request:?}"
        );
        if answer.status == 200 {
            assert_eq!(answer.body, request.call.expected_body());
            answered += 1;
        }
    }
    assert!(answered * 2 > sent.len(), "{answered} of {}", sent.len());
    fleet.assert_invariants();
}

#[tokio::test]
async fn a_shutdown_under_load_cuts_nothing() {
    let fleet = start().await;
    let list_update = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.platform.set_instance_state("entry-1", State::Leaving);
    };
    shut_down(&fleet, list_update).await;
}

#[tokio::test]
async fn a_shutdown_without_a_list_update_cuts_nothing() {
    let fleet = start().await;
    shut_down(&fleet, async {}).await;
}

/// Guards against requests that are cut without an answer at the end of a shutdown.
#[tokio::test]
async fn a_second_signal_ends_at_once_and_says_what_was_cut() {
    let fleet = start().await;
    let slow = TEAM_SETTINGS.replace("\"longest_call_ms\": 1500", "\"longest_call_ms\": 30000");
    fleet.platform.put("/teams/desk", &slow);
    fleet.wait_until_settled().await;
    for listed in &fleet.targets {
        listed
            .target
            .set_fault(Fault::Slow(Duration::from_secs(30)));
    }
    let call = Call::new("brief", "long");
    let signals = async {
        wait_until("the request runs", async || fleet.run_count("long") == 1).await;
        fleet.daemons[0].terminate();
        let is_logged = async || fleet.daemons[0].log().contains("shutting down");
        wait_until("the shutdown has begun", is_logged).await;
        assert_eq!(fleet.daemons[0].exit_code(), None);
        fleet.daemons[0].terminate();
        wait_until("the daemon has ended", async || {
            fleet.daemons[0].exit_code().is_some()
        })
        .await;
    };
    let (answer, ()) = tokio::join!(fleet.send(0, &call), signals);
    let is_unknown = |answer: &CallerAnswer| answer.outcome() == "unknown";
    assert!(answer.as_ref().is_ok_and(is_unknown), "{answer:?}");
    assert_eq!(fleet.daemons[0].exit_code(), Some(3));
    let is_logged = async || fleet.daemons[0].log().contains("the shutdown cut 1");
    wait_until("the log says what was cut", is_logged).await;
}
