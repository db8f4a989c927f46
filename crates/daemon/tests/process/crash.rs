//! A request that crashes its targets is stopped; the others are served.

use std::time::Duration;

use gooseberry_standin::target::Fault;
use gooseberry_standin::target::Plan;

use crate::fleet::Call;
use crate::fleet::FLEET;
use crate::fleet::Fleet;
use crate::fleet::LIMIT;
use crate::storm;

/// The most crashes that one request may cause over the whole fleet: the
/// number that quarantines it, and one more at each other daemon meanwhile.
const CRASHES_MAX: usize = 6;

#[tokio::test]
async fn a_request_that_crashes_targets_is_stopped_and_others_are_served() {
    let plan = Plan {
        work: Duration::from_millis(30),
        ..Plan::default()
    };
    let fleet = Fleet::start(FLEET, plan).await;
    fleet.warm_up().await;
    for one in &fleet.targets {
        one.target.set_fault(Fault::CrashOn("poison".to_owned()));
    }
    let poison = Call::new("read", "poison");
    let crashes = || -> usize { fleet.targets.iter().map(|one| one.target.crashes()).sum() };
    let fault = async {
        // Its caller sends it again and again, through each daemon.
        let begun = std::time::Instant::now();
        let mut stopped = [false; 3];
        let mut round = 0;
        while stopped != [true; 3] {
            assert!(begun.elapsed() < LIMIT, "{} crashes", crashes());
            let told = fleet.send(round % 3, &poison).await.unwrap();
            assert_ne!(told.status, 200);
            stopped[round % 3] = told.error() == "quarantined";
            round += 1;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let before = crashes();
        assert!(before <= CRASHES_MAX, "{before} crashes");
        for round in 0..9 {
            let told = fleet.send(round % 3, &poison).await.unwrap();
            assert_eq!((told.status, told.outcome()), (422, "not-run"));
            assert!(told.headers.contains_key("retry-after"));
        }
    };
    let innocent = |number| Call::new("brief", format!("innocent-{number}"));
    let sent = storm::steady(&fleet, 9, innocent, fault).await;
    let before = crashes();
    for one in &sent {
        let told = one.result.as_ref().unwrap();
        assert_ne!(told.error(), "quarantined", "{:?}", one.call);
        if told.status == 200 {
            assert_eq!(told.body, one.call.expected());
        } else {
            // Its targets were down, so it is told when to come back.
            assert!(told.headers.contains_key("retry-after"), "{one:?}");
            let again = fleet.answered(0, &one.call).await;
            assert_eq!(again.body, one.call.expected());
        }
    }
    // The request that crashed targets stays stopped, and nobody else suffers.
    let quiet = async { tokio::time::sleep(Duration::from_secs(2)).await };
    for one in &storm::steady(&fleet, 9, innocent, quiet).await {
        let told = one.result.as_ref().unwrap();
        assert_eq!(told.status, 200, "{one:?}");
    }
    assert_eq!(crashes(), before);
    fleet.assert_invariants();
}
