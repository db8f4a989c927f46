//! A call whose send deadline passes before its body is written must not run.

#![allow(missing_docs, clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use gooseberry_connectors::target::Call;
use gooseberry_connectors::target::Client;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::id;
use gooseberry_kernel::settings;
use gooseberry_standin::target::Plan;
use gooseberry_standin::target::Target;

fn call(target: &Target, number: u16, send_by: Instant) -> Call {
    Call {
        kind: settings::TargetKind::Service,
        address: target.address(),
        attempt: id::Attempt {
            request: id::Request(7),
            stage: 0,
            number,
        },
        workspace: id::Workspace::new("desk.porters").unwrap(),
        timeout_ms: 1000,
        priority: 5,
        max_answer_bytes: 1 << 20,
        send_by,
        body: format!("deposit-{number}").into(),
    }
}

#[tokio::test]
async fn a_call_past_its_send_deadline_does_not_run() {
    let target = Target::start(Plan::default()).await.unwrap();
    let client = Client::default();
    let far_deadline = Instant::now() + Duration::from_secs(60);
    assert!(
        client
            .call(&call(&target, 1, far_deadline))
            .await
            .result
            .is_ok()
    );
    // The first goes over the pooled connection, the others over new ones.
    for number in 2..6 {
        let reply = client.call(&call(&target, number, Instant::now())).await;
        let failure = reply.result.unwrap_err();
        assert_eq!(failure.kind, Kind::NoRight);
        assert_eq!(failure.outcome, Outcome::NotRun);
    }
    assert!(
        client
            .call(&call(&target, 6, far_deadline))
            .await
            .result
            .is_ok()
    );
    let ran: Vec<_> = target
        .journal()
        .into_iter()
        .map(|entry| entry.body)
        .collect();
    assert_eq!(ran, ["deposit-1", "deposit-6"]);
}
