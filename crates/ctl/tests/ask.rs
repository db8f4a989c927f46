//! Tests the `status` and `explain` commands against running daemons.

#![allow(missing_docs, clippy::unwrap_used)]

use std::net::SocketAddr;

use gooseberry_standin::site;
use gooseberry_wire::operators::Explanation;
use gooseberry_wire::operators::Status;
use gooseberry_wire::platform::State;
use gooseberryctl::embedded::Embedded;
use gooseberryctl::explain;
use gooseberryctl::explain::RequestQuery;
use gooseberryctl::status;
use tokio::process::Command;

async fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let command = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"))
        .args(arguments)
        .output()
        .await
        .unwrap();
    let text = String::from_utf8(command.stdout).unwrap();
    (command.status.code(), text)
}

fn query(pipeline: &str, key: Option<&str>) -> RequestQuery {
    RequestQuery {
        workspace: "desk.trekkers".parse().unwrap(),
        pipeline: pipeline.parse().unwrap(),
        key: key.map(ToOwned::to_owned),
        body: "a route".into(),
    }
}

fn ranks(explanation: &Explanation) -> Vec<Option<usize>> {
    let targets = explanation.stages[0].targets.iter();
    targets.map(|target| target.rank).collect()
}

/// Waits until the daemon has the list revision that the platform has published.
async fn wait_for_list(embedded: &Embedded, daemon: SocketAddr) {
    let published = embedded.platform.list().revision;
    while status::fetch(daemon).await.unwrap().list_revision < published {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_explain_report_a_running_fleet() {
    let embedded = Embedded::start(site::HUARAZ).await.unwrap();
    let daemon = embedded.daemons[0].local().operators;
    let address = daemon.to_string();
    wait_for_list(&embedded, daemon).await;

    let (code, table) = run(&["status", &address]).await;
    assert_eq!(code, Some(0));
    assert!(table.contains("entry-1") && table.contains("rights hold"));
    let (code, json) = run(&["status", "--json", &address]).await;
    assert_eq!(code, Some(0));
    let status: Status = serde_json::from_str(&json).unwrap();
    assert_eq!(status.members.len(), 6);
    assert!(status.ready && status.holds_rights);

    let explanation = explain::fetch(daemon, query("stock-lookup", None));
    let explanation = explanation.await.unwrap();
    assert_eq!(explanation.refusal, None);
    assert_eq!(explanation.key, None);
    assert_eq!(
        ranks(&explanation),
        [None, None, None],
        "its pool has no caches"
    );
    let explanation = explain::fetch(daemon, query("route-briefing", None));
    let expected = [Some(1), Some(2), Some(3), Some(4)];
    assert_eq!(ranks(&explanation.await.unwrap()), expected);

    let explanation = explain::fetch(daemon, query("booking-ledger", None));
    assert_eq!(explanation.await.unwrap().refusal.unwrap(), "key-missing");
    let explanation = explain::fetch(daemon, query("booking-ledger", Some("deposit-7")));
    assert!(explanation.await.unwrap().key.unwrap().owner.is_some());

    let names = ["--workspace", "desk.nobody", "--pipeline", "stock-lookup"];
    let (code, _) = run(&[&["explain", &address][..], &names[..]].concat()).await;
    assert_eq!(code, Some(1));

    for index in 1..=3 {
        let id = format!("desk-ledger-{index}");
        embedded.platform.set_target_state(&id, State::Leaving);
    }
    wait_for_list(&embedded, daemon).await;
    let names = ["--workspace", "desk.guides", "--pipeline", "stock-lookup"];
    let (code, table) = run(&[&["explain", &address][..], &names[..]].concat()).await;
    assert_eq!(code, Some(4));
    assert!(table.contains("would be refused now: no-target"), "{table}");
    let (_, json) = run(&[&["explain", "--json", &address][..], &names[..]].concat()).await;
    let explanation: Explanation = serde_json::from_str(&json).unwrap();
    let mut targets = explanation.stages[0].targets.iter();
    assert!(targets.all(|target| target.out.as_deref() == Some("leaving")));

    embedded.daemons[0].begin_shut_down();
    let (code, table) = run(&["status", &address]).await;
    assert_eq!(code, Some(3), "{table}");
    embedded.shut_down().await;
}
