//! The outcome "not-run" is never reported for a request that ran, not even for
//! an idempotent one.

use gooseberry_standin::site;
use gooseberry_standin::target::Fault;

use crate::fleet::Fleet;
use crate::fleet::STOCK_PATH;
use crate::fleet::header_value;
use crate::fleet::request;
use crate::fleet::send;

const BRIEFING_PATH: &str = "/v1/workspaces/desk.trekkers/pipelines/route-briefing";

/// Returns how often targets of the pool ran an input that contains the text.
fn runs(fleet: &Fleet, pool: &str, text: &str) -> usize {
    let holds = |body: &[u8]| String::from_utf8_lossy(body).contains(text);
    let in_pool = fleet.targets.iter().filter(|listed| listed.pool == pool);
    let journals = in_pool.flat_map(|listed| listed.target.journal());
    journals.filter(|entry| holds(&entry.body)).count()
}

async fn outcome(fleet: &Fleet, path: &str, body: &str) -> String {
    let sent = request(path, "desk.trekkers", &[], body);
    let answer = send(fleet.callers(), &sent, false).await;
    let outcome_label = header_value(&answer, "gooseberry-outcome");
    outcome_label.unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_before_a_refusal_at_another_target_is_not_reported_as_not_run() {
    let fleet = Fleet::start().await;
    let ledgers = fleet
        .targets
        .iter()
        .filter(|listed| listed.pool == "desk.ledger");
    for (index, listed) in ledgers.enumerate() {
        let fault = if index == 0 {
            Fault::Fail
        } else {
            Fault::Refuse
        };
        listed.target.set_fault(fault);
    }
    let mut ran = 0;
    for number in 0..60 {
        let body = format!("trip-{number}-tents");
        let outcome_label = outcome(&fleet, STOCK_PATH, &body).await;
        let count = runs(&fleet, "desk.ledger", &body);
        assert!(
            outcome_label != "not-run" || count == 0,
            "{body} ran {count} times"
        );
        ran += count;
    }
    assert!(ran > 0, "some of them have to reach the target that fails");
    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_first_stages_ran_is_not_reported_as_not_run() {
    let fleet = Fleet::start().await;
    assert_eq!(site::HUARAZ.groups[0].pool, "desk.llm");
    for listed in fleet
        .targets
        .iter()
        .filter(|listed| listed.pool == "desk.llm")
    {
        listed.target.set_fault(Fault::Refuse);
    }
    let outcome_label = outcome(&fleet, BRIEFING_PATH, "to the lake").await;
    assert!(runs(&fleet, "desk.encoder", "to the lake") > 0);
    assert_eq!(outcome_label, "unknown");
    fleet.daemon.shut_down().await;
}
