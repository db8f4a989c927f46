//! Tests that a late answer is delivered with its flag when another daemon owns
//! the idempotency key.

#![allow(missing_docs, clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use gooseberry_connectors::http_client;
use gooseberry_standin::site;
use gooseberry_standin::target::Fault;
use gooseberry_wire::header;
use gooseberryctl::embedded::Embedded;
use gooseberryctl::explain;
use gooseberryctl::explain::RequestQuery;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

/// Returns an idempotency key that a daemon other than the first one owns.
async fn key_of_another_owner(embedded: &Embedded) -> String {
    let local = embedded.daemons[0].local();
    for number in 0.. {
        let key = format!("slot-{number}");
        let query = RequestQuery {
            workspace: "operations.dispatch".parse().unwrap(),
            pipeline: "booking".parse().unwrap(),
            key: Some(key.clone()),
            body: Bytes::new(),
        };
        let explanation = explain::fetch(local.operators, query).await.unwrap();
        if explanation.key.unwrap().owner.unwrap() != local.instance.as_str() {
            return key;
        }
    }
    unreachable!("the range has no end");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_comes_through_the_owner_of_its_key() {
    let embedded = Embedded::start(site::WADI_RUM).await.unwrap();
    let key = key_of_another_owner(&embedded).await;
    for listed in &embedded.targets {
        let slow = Duration::from_millis(1100);
        listed.target.set_fault(Fault::Slow(slow));
    }
    let callers = embedded.daemons[0].local().callers;
    let path = "/v1/workspaces/operations.dispatch/pipelines/booking";
    let credential = site::credential("operations.dispatch");
    let request = Request::post(format!("http://{callers}{path}"))
        .header("authorization", format!("Bearer {credential}"))
        .header(header::IDEMPOTENCY_KEY, key)
        .header(header::IDEMPOTENCY_ATTEMPT, 1)
        .header(header::TIMEOUT_MS, 300)
        .body(Full::new(Bytes::from("a slot")))
        .unwrap();
    let answer = http_client::new().request(request).await.unwrap();
    let (head, body) = answer.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    assert_eq!(head.status, 200, "{:?} {body:?}", head.headers);
    assert_eq!(header::text(&head.headers, header::LATE), Some("true"));
    assert_eq!(body, "service(a slot)");
    embedded.shut_down().await;
}
