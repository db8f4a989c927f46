//! Tests that the metrics count each request exactly once, also if the daemon
//! that received it forwards it to another daemon that owns its key.

#![allow(missing_docs, clippy::unwrap_used)]

use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_standin::site;
use gooseberry_standin::target::Fault;
use gooseberry_wire::header;
use gooseberryctl::embedded::Embedded;
use gooseberryd::daemon::Daemon;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

/// Sends a request and returns the error label of the response, if any.
async fn post(daemon: &Daemon, pipeline: &str, key: &str, body: &str) -> Option<String> {
    let callers = daemon.local().callers;
    let path = format!("/v1/workspaces/desk.trekkers/pipelines/{pipeline}");
    let credential = site::credential("desk.trekkers");
    let request = Request::post(format!("http://{callers}{path}"))
        .header("authorization", format!("Bearer {credential}"))
        .header(header::IDEMPOTENCY_KEY, key)
        .header(header::IDEMPOTENCY_ATTEMPT, 1)
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let answer = http_client::new().request(request).await.unwrap();
    let (head, body) = answer.into_parts();
    body.collect().await.unwrap();
    header::text(&head.headers, header::ERROR).map(ToOwned::to_owned)
}

/// Returns the sum over all daemons of the metric lines that start with `name`.
fn total(embedded: &Embedded, name: &str) -> u64 {
    let mut total = 0;
    for daemon in &embedded.daemons {
        let text = String::from_utf8(daemon.context().metrics.encode()).unwrap();
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next());
        total += values
            .map(|value| value.parse::<u64>().unwrap())
            .sum::<u64>();
    }
    total
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_counted_once_over_entry_and_owner() {
    let embedded = Embedded::start(site::HUARAZ).await.unwrap();
    let mut refused = 0;
    let mut sent = 0;
    for fault in [Fault::None, Fault::Fail] {
        for listed in &embedded.targets {
            listed.target.set_fault(fault.clone());
        }
        for (index, daemon) in embedded.daemons.iter().enumerate() {
            let key = format!("{fault:?}-{index}");
            // The same request twice, the same key with another body, and a
            // request of another pipeline.
            for (pipeline, body) in [
                ("booking-ledger", "a deposit"),
                ("booking-ledger", "a deposit"),
                ("booking-ledger", "another"),
                ("stock-lookup", "tents"),
            ] {
                sent += 1;
                refused += u64::from(post(daemon, pipeline, &key, body).await.is_some());
            }
        }
    }
    assert!(refused >= 18, "each other body and each failure: {refused}");
    assert_eq!(total(&embedded, "gooseberry_requests_total "), sent);
    assert_eq!(total(&embedded, "gooseberry_refusals_total{"), refused);
    assert_eq!(
        total(&embedded, "gooseberry_answers_total{"),
        sent - refused
    );
    assert_eq!(total(&embedded, "gooseberry_abandoned_total "), 0);
    embedded.shut_down().await;
}
