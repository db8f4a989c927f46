//! The metrics of a daemon.

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::node::INVARIANTS;
use gooseberry_kernel::retry_policy::Reason;

use crate::fleet::Fleet;
use crate::fleet::LEDGER_PATH;
use crate::fleet::STOCK_PATH;
use crate::fleet::get;
use crate::fleet::header_value;
use crate::fleet::request;
use crate::fleet::send;
use crate::fleet::status;
use crate::fleet::wait_until;

#[tokio::test(flavor = "multi_thread")]
async fn each_request_is_counted_once() {
    let fleet = Fleet::start().await;
    let requests = "gooseberry_requests_total ";
    let before = fleet.metric(requests).await;
    let key = ["Idempotency-Key: deposit-7", "Idempotency-Attempt: 1"];
    let cases = [
        (request(STOCK_PATH, "desk.trekkers", &[], "7 tents"), "200"),
        (
            request(LEDGER_PATH, "desk.trekkers", &key, "a deposit"),
            "200",
        ),
        (
            request(LEDGER_PATH, "desk.trekkers", &key, "a deposit"),
            "200",
        ),
        (
            request(LEDGER_PATH, "desk.trekkers", &key, "another"),
            "422",
        ),
        (
            request(LEDGER_PATH, "desk.trekkers", &[], "a deposit"),
            "400",
        ),
        (request(STOCK_PATH, "desk.guides", &[], "7 tents"), "401"),
    ];
    let mut replayed = Vec::new();
    for (bytes, expected) in &cases {
        let answer = send(fleet.callers(), bytes, false).await;
        assert_eq!(status(&answer), *expected, "{answer}");
        replayed.push(header_value(&answer, "gooseberry-replayed") == Some("true"));
    }
    assert_eq!(replayed, [false, false, true, false, false, false]);
    let labels = |pipeline| {
        format!(
            "gooseberry_answers_total{{late=\"false\",pipeline=\"{pipeline}\",workspace=\"desk.trekkers\"}}"
        )
    };
    for (line, expected) in [
        (requests.to_owned(), before + 6),
        ("gooseberry_abandoned_total ".to_owned(), 0),
        (labels("stock-lookup"), 1),
        (labels("booking-ledger"), 2),
        (refusals("key-mismatch"), 1),
        (refusals("key-missing"), 1),
        (refusals("bad-credential"), 1),
        (refusals("internal"), 0),
    ] {
        assert_eq!(fleet.metric(&line).await, expected, "{line}");
    }
    fleet.daemon.shut_down().await;
}

fn refusals(kind: &str) -> String {
    format!("gooseberry_refusals_total{{kind=\"{kind}\"}}")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_label_value_is_exported_from_the_start() {
    let fleet = Fleet::start().await;
    let text = get(fleet.daemon.local().operators, "/metrics").await;
    assert_eq!(
        header_value(&text, "content-type"),
        Some("text/plain; version=0.0.4")
    );
    let labels = Kind::ALL.iter().map(|kind| refusals(kind.row().label));
    let reasons = Reason::ALL.iter().map(|reason| reason.label());
    let reasons = reasons.map(|label| format!("gooseberry_retries_total{{reason=\"{label}\"}}"));
    let violations = INVARIANTS
        .map(|name| format!("gooseberry_invariant_violations_total{{invariant=\"{name}\"}} 0"));
    let gauges = [
        "gooseberry_abandoned_total ",
        "gooseberry_calls_in_flight 0",
        "gooseberry_calls_queued 0",
        "gooseberry_list_revision ",
        "gooseberry_members 1",
        "gooseberry_owned_targets ",
        "gooseberry_platform_age_ms ",
        "gooseberry_platform_calls_total ",
        "gooseberry_pool_calls_in_flight{pool=\"desk.ledger\"} 0",
        "gooseberry_pool_calls_limit{pool=\"desk.ledger\"} ",
        "gooseberry_ready 1",
        "gooseberry_refused_documents 0",
        "gooseberry_rights_held 1",
        "gooseberry_settings_revision ",
        "gooseberry_uptime_seconds ",
    ];
    for line in labels
        .chain(reasons)
        .chain(violations)
        .chain(gauges.map(ToOwned::to_owned))
    {
        assert!(
            text.lines()
                .any(|metric_line| metric_line.starts_with(&line)),
            "{line}\n{text}"
        );
    }
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn latency_and_cost_are_counted_by_stage() {
    let fleet = Fleet::start().await;
    let labels = "pipeline=\"stock-lookup\",stage=\"read\"";
    let latency = format!("gooseberry_request_seconds_count{{{labels},team=\"desk\"}}");
    let before = fleet.metric(&latency).await;
    let stock = request(STOCK_PATH, "desk.trekkers", &[], "7 tents");
    assert_eq!(status(&send(fleet.callers(), &stock, false).await), "200");
    assert_eq!(fleet.metric(&latency).await, before + 1);
    let cost = format!(
        "gooseberry_stage_target_ms_total{{{labels},use=\"useful\",workspace=\"desk.trekkers\"}}"
    );
    assert!(fleet.metric(&cost).await > 0, "the stand-in works for 5 ms");
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_document_is_counted_and_the_old_one_stays_in_force() {
    let fleet = Fleet::start().await;
    fleet.platform.put("/teams/desk", "{ \"pools\": 3 }");
    let revision = fleet.platform.settings().revision;
    wait_until("the document is read", async || {
        fleet.metric("gooseberry_settings_revision ").await >= revision
    })
    .await;
    assert_eq!(fleet.metric("gooseberry_refused_documents ").await, 1);
    let status_page = get(fleet.daemon.local().operators, "/v1/status").await;
    assert!(status_page.contains("line 1: $.pools: expected an object"));
    let stock = request(STOCK_PATH, "desk.trekkers", &[], "7 tents");
    assert_eq!(status(&send(fleet.callers(), &stock, false).await), "200");
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_is_counted_as_abandoned() {
    let fleet = Fleet::start().await;
    let abandoned = "gooseberry_abandoned_total ";
    let before = fleet.metric(abandoned).await;
    for listed in &fleet.targets {
        let slow = std::time::Duration::from_secs(1);
        listed
            .target
            .set_fault(gooseberry_standin::target::Fault::Slow(slow));
    }
    let stock = request(STOCK_PATH, "desk.trekkers", &[], "7 tents");
    let mut stream = tokio::net::TcpStream::connect(fleet.callers())
        .await
        .unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, &stock)
        .await
        .unwrap();
    wait_until("the request is in progress", async || {
        fleet.metric("gooseberry_requests_in_progress ").await > 0
    })
    .await;
    drop(stream);
    wait_until("the abandoned request is counted", async || {
        fleet.metric(abandoned).await > before
    })
    .await;
    assert_eq!(fleet.metric(abandoned).await, before + 1);
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn each_metric_is_documented() {
    let fleet = Fleet::start().await;
    let text = get(fleet.daemon.local().operators, "/metrics").await;
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/OPERATING.md")).unwrap();
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for name in names.filter_map(|line| line.split(' ').next()) {
        assert!(page.contains(&format!("`{name}`")), "{name}");
    }
    fleet.daemon.shut_down().await;
}
