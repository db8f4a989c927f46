//! How an owner uses the platform's reports of cold targets, and how daemons
//! pass them on.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::cold_reports::ColdReport;
use gooseberry_kernel::cold_reports::ColdReports;
use gooseberry_kernel::cold_reports::REPORT_TTL;
use gooseberry_kernel::cold_reports::REPORTS_MAX;
use gooseberry_kernel::concurrency_limit::ReportedState;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Node;
use policy_site::READY;

const WARM: TargetSignal = TargetSignal::Answered(Some(ReportedState::Warm));

/// Warms the first target up with calls and returns the time afterwards.
fn warm(node: &mut Node) -> Millis {
    let mut now = READY;
    for round in 0..20 {
        let numbers = (0..16).map(|index| round * 16 + index + 1);
        let mut sent = Vec::new();
        for number in numbers {
            let call = policy_site::call(0, number, now + Millis(9000));
            if node.start_call(&call, now).is_ok() {
                sent.push(call);
            }
        }
        now = now + Millis(50);
        for call in sent {
            node.finish_call(&call.target, call.attempt, WARM, call.digest, now);
        }
    }
    now
}

fn limit(node: &Node, now: Millis) -> u16 {
    node.in_flight_and_limit(&policy_site::target(0), now)
        .unwrap()
        .1
}

fn cold(age: u64) -> Vec<ColdReport> {
    vec![ColdReport {
        target: policy_site::target(0),
        age: Millis(age),
    }]
}

#[test]
fn a_report_newer_than_the_last_answer_resets_the_target_to_its_cold_limit() {
    let mut node = policy_site::node("adaptive", 1);
    let now = warm(&mut node);
    assert!(limit(&node, now) > 2, "{}", limit(&node, now));
    // This report is older than the last answer, so it has no effect.
    let asked_at = now + Millis(100);
    node.apply_cold_reports(&cold(200), asked_at, asked_at);
    assert!(limit(&node, asked_at) > 2);
    node.apply_cold_reports(&cold(50), asked_at, asked_at);
    assert_eq!(limit(&node, asked_at), 2);
}

#[test]
fn a_report_passed_on_by_peers_never_becomes_newer() {
    let mut first = ColdReports::default();
    let mut second = ColdReports::default();
    let mut now = Millis(20_000);
    assert_eq!(first.merge(&cold(100), now).len(), 1);
    assert_eq!(second.merge(&first.reports(now), now).len(), 1);
    for _ in 0..100 {
        // Each exchange takes 5 ms; ages count back from when it was started.
        let asked_at = now;
        now = now + Millis(5);
        assert!(first.merge(&second.reports(now), asked_at).is_empty());
        assert!(second.merge(&first.reports(now), asked_at).is_empty());
    }
    first.expire(now + REPORT_TTL);
    assert!(first.reports(now + REPORT_TTL).is_empty());
}

#[test]
fn the_newest_reports_are_kept_when_there_are_too_many() {
    let mut received = ColdReports::default();
    let report = |number: u64| ColdReport {
        target: id::Target::new(&format!("llm-{number}")).unwrap(),
        age: Millis(number),
    };
    let reports: Vec<ColdReport> = (0..100).map(report).collect();
    received.merge(&reports, REPORT_TTL);
    let kept = received.reports(REPORT_TTL);
    assert_eq!(kept.len(), REPORTS_MAX);
    assert!(kept.iter().all(|report| report.age.0 < 32));
}
