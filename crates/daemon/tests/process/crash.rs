//! A request that crashes its targets is quarantined; others are served.

use std::time::Duration;

use gooseberry_standin::target::Fault;
use gooseberry_standin::target::Plan;

use crate::fleet::Call;
use crate::fleet::FLEET_SETTINGS;
use crate::fleet::Fleet;
use crate::fleet::WAIT_TIMEOUT;
use crate::load_generator;

/// The most crashes that one request may cause in the whole fleet: the number
/// that quarantines it, and one more at each other daemon until it hears of that.
const CRASHES_MAX: usize = 6;

#[tokio::test]
async fn a_request_that_crashes_targets_is_stopped_and_others_are_served() {
    let plan = Plan {
        work: Duration::from_millis(30),
        ..Plan::default()
    };
    let fleet = Fleet::start(FLEET_SETTINGS, plan).await;
    fleet.warm_up().await;
    for listed in &fleet.targets {
        listed.target.set_fault(Fault::CrashOn("poison".to_owned()));
    }
    let crashing_request = Call::new("read", "poison");
    let crashes = || -> usize {
        fleet
            .targets
            .iter()
            .map(|listed| listed.target.crashes())
            .sum()
    };
    let fault = async {
        // The caller retries it at each daemon in turn.
        let started = std::time::Instant::now();
        let mut stopped = [false; 3];
        let mut round = 0;
        while stopped != [true; 3] {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{} crashes", crashes());
            let answer = fleet.send(round % 3, &crashing_request).await.unwrap();
            assert_ne!(answer.status, 200);
            stopped[round % 3] = answer.error() == "quarantined";
            round += 1;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let before = crashes();
        assert!(before <= CRASHES_MAX, "{before} crashes");
        for round in 0..9 {
            let answer = fleet.send(round % 3, &crashing_request).await.unwrap();
            assert_eq!((answer.status, answer.outcome()), (422, "not-run"));
            assert!(answer.headers.contains_key("retry-after"));
        }
    };
    let healthy_request = |number| Call::new("brief", format!("innocent-{number}"));
    let sent = load_generator::steady_load(&fleet, 9, healthy_request, fault).await;
    let before = crashes();
    for request in &sent {
        let answer = request.result.as_ref().unwrap();
        assert_ne!(answer.error(), "quarantined", "{:?}", request.call);
        if answer.status == 200 {
            assert_eq!(answer.body, request.call.expected_body());
        } else {
            // Its targets were down, so the refusal has a retry time.
            assert!(answer.headers.contains_key("retry-after"), "{request:?}");
            let retried = fleet.send_until_answered(0, &request.call).await;
            assert_eq!(retried.body, request.call.expected_body());
        }
    }
    // The request stays quarantined, and all others are served.
    let no_fault = async { tokio::time::sleep(Duration::from_secs(2)).await };
    for request in &load_generator::steady_load(&fleet, 9, healthy_request, no_fault).await {
        let answer = request.result.as_ref().unwrap();
        assert_eq!(answer.status, 200, "{request:?}");
    }
    assert_eq!(crashes(), before);
    fleet.assert_invariants();
}
