//! The `status` and `explain` commands against running daemons.

#![allow(missing_docs, clippy::unwrap_used)]

use std::net::SocketAddr;

use gooseberry_standin::site;
use gooseberry_wire::operators::Explanation;
use gooseberry_wire::operators::Status;
use gooseberry_wire::platform::State;
use gooseberryctl::embedded::Embedded;
use gooseberryctl::explain;
use gooseberryctl::explain::Question;
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

fn question(pipeline: &str, key: Option<&str>) -> Question {
    Question {
        workspace: "desk.trekkers".parse().unwrap(),
        pipeline: pipeline.parse().unwrap(),
        key: key.map(ToOwned::to_owned),
        body: "a route".into(),
    }
}

fn ranks(explanation: &Explanation) -> Vec<Option<usize>> {
    let targets = explanation.stages[0].targets.iter();
    targets.map(|one| one.rank).collect()
}

/// Waits until the daemon has read the list of the platform.
async fn caught_up(embedded: &Embedded, daemon: SocketAddr) {
    let published = embedded.platform.list().revision;
    while status::fetch(daemon).await.unwrap().list_revision < published {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_state_and_ways() {
    let embedded = Embedded::start(site::HUARAZ).await.unwrap();
    let daemon = embedded.daemons[0].local().operators;
    let address = daemon.to_string();
    caught_up(&embedded, daemon).await;

    let (code, table) = run(&["status", &address]).await;
    assert_eq!(code, Some(0));
    assert!(table.contains("entry-1") && table.contains("rights hold"));
    let (code, json) = run(&["status", "--json", &address]).await;
    assert_eq!(code, Some(0));
    let status: Status = serde_json::from_str(&json).unwrap();
    assert_eq!(status.members.len(), 6);
    assert!(status.ready && status.holds_rights);

    let found = explain::fetch(daemon, question("stock-lookup", None));
    let found = found.await.unwrap();
    assert_eq!(found.refusal, None);
    assert_eq!(found.key, None);
    assert_eq!(ranks(&found), [None, None, None], "its pool has no caches");
    let found = explain::fetch(daemon, question("route-briefing", None));
    let expected = [Some(1), Some(2), Some(3), Some(4)];
    assert_eq!(ranks(&found.await.unwrap()), expected);

    let found = explain::fetch(daemon, question("booking-ledger", None));
    assert_eq!(found.await.unwrap().refusal.unwrap(), "key-missing");
    let found = explain::fetch(daemon, question("booking-ledger", Some("deposit-7")));
    assert!(found.await.unwrap().key.unwrap().owner.is_some());

    let names = ["--workspace", "desk.nobody", "--pipeline", "stock-lookup"];
    let (code, _) = run(&[&["explain", &address][..], &names[..]].concat()).await;
    assert_eq!(code, Some(1));

    for index in 1..=3 {
        let id = format!("desk-ledger-{index}");
        embedded.platform.set_target_state(&id, State::Leaving);
    }
    caught_up(&embedded, daemon).await;
    let names = ["--workspace", "desk.guides", "--pipeline", "stock-lookup"];
    let (code, table) = run(&[&["explain", &address][..], &names[..]].concat()).await;
    assert_eq!(code, Some(4));
    assert!(table.contains("would be refused now: no-target"), "{table}");
    let (_, json) = run(&[&["explain", "--json", &address][..], &names[..]].concat()).await;
    let found: Explanation = serde_json::from_str(&json).unwrap();
    let mut targets = found.stages[0].targets.iter();
    assert!(targets.all(|one| one.out.as_deref() == Some("leaving")));

    embedded.daemons[0].begin_shut_down();
    let (code, table) = run(&["status", &address]).await;
    assert_eq!(code, Some(3), "{table}");
    embedded.shut_down().await;
}
