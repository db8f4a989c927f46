//! How targets are chosen by prefix, load, failure domain and failures.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::published_list::Lifecycle;
use gooseberry_kernel::route::AttemptResult;
use policy_site::READY;

fn chosen(node: &mut Node, prefix: u64, now: Millis) -> id::Target {
    let choice = node.choose_target(&policy_site::query(prefix), now);
    choice.unwrap().target.id
}

fn reply(target: &id::Target, percent: u32) -> AttemptResult {
    AttemptResult {
        target: target.clone(),
        pool: policy_site::query(0).pool,
        load_percent: Some(percent),
        latency: Some(Millis(100)),
        failure: None,
        digest: id::Digest([1; 32]),
        crashes: 0,
    }
}

fn failed(target: &id::Target, kind: Kind) -> AttemptResult {
    AttemptResult {
        latency: None,
        failure: Some(kind),
        ..reply(target, 10)
    }
}

#[test]
fn a_prefix_keeps_its_target_while_that_has_room() {
    let mut node = policy_site::node("adaptive", 20);
    let first = chosen(&mut node, 7, READY);
    for _ in 0..50 {
        node.record_reply(&reply(&first, 60), READY);
        assert_eq!(chosen(&mut node, 7, READY), first);
    }
    node.record_reply(&reply(&first, 90), READY);
    assert_ne!(chosen(&mut node, 7, READY), first);
}

#[test]
fn calls_without_a_reply_count_as_load() {
    let mut node = policy_site::node("adaptive", 20);
    let mut targets: Vec<_> = (0..10).map(|_| chosen(&mut node, 7, READY)).collect();
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), 5, "two calls fill each cold target");
}

#[test]
fn a_failing_target_is_avoided_probed_and_restored() {
    let mut node = policy_site::node("adaptive", 20);
    let first = chosen(&mut node, 7, READY);
    node.record_reply(&failed(&first, Kind::TargetFailed), READY);
    assert_ne!(chosen(&mut node, 7, READY + Millis(999)), first);
    let first_probe_at = READY + Millis(1000);
    assert_eq!(chosen(&mut node, 7, first_probe_at), first, "the probe");
    assert_ne!(
        chosen(&mut node, 7, first_probe_at),
        first,
        "one probe at a time"
    );
    node.record_reply(&failed(&first, Kind::TargetFailed), first_probe_at);
    let too_early = first_probe_at + Millis(1999);
    assert_ne!(
        chosen(&mut node, 7, too_early),
        first,
        "the penalty doubles"
    );
    let second_probe_at = first_probe_at + Millis(2000);
    assert_eq!(chosen(&mut node, 7, second_probe_at), first);
    node.record_reply(&reply(&first, 10), second_probe_at);
    assert_eq!(chosen(&mut node, 7, second_probe_at), first);
}

#[test]
fn failing_targets_are_used_when_there_are_no_others() {
    let mut node = policy_site::node("adaptive", 1);
    let only = chosen(&mut node, 7, READY);
    node.record_reply(&failed(&only, Kind::TargetFailed), READY);
    assert_eq!(chosen(&mut node, 7, READY), only);
}

#[test]
fn a_slow_target_comes_last() {
    let mut node = policy_site::node("adaptive", 20);
    let first = chosen(&mut node, 7, READY);
    for index in 0..20 {
        for _ in 0..20 {
            let target = policy_site::target(index);
            let mut reply = reply(&target, 10);
            let latency = if target == first { 1000 } else { 100 };
            reply.latency = Some(Millis(latency));
            node.record_reply(&reply, READY);
        }
    }
    assert_ne!(chosen(&mut node, 7, READY), first);
}

#[test]
fn a_retry_goes_to_another_failure_domain() {
    let mut node = policy_site::node("adaptive", 20);
    for prefix in 0..50 {
        let mut query = policy_site::query(prefix);
        let first = node.choose_target(&query, READY).unwrap().target;
        query.tried.push(first.id.clone());
        let second = node.choose_target(&query, READY).unwrap().target;
        assert_ne!(first.domain, second.domain);
    }
}

#[test]
fn without_a_prefix_the_local_failure_domain_comes_first_while_it_has_room() {
    let mut node = policy_site::node("adaptive", 21);
    let mut query = policy_site::query(0);
    query.pool = id::Pool::new("desk.ledger").unwrap();
    let choose = |node: &mut Node| node.choose_target(&query, READY).unwrap().target;
    let mut local_choices = Vec::new();
    for _ in 0..14 {
        local_choices.push(choose(&mut node));
    }
    assert!(
        local_choices
            .iter()
            .all(|target| target.domain.as_str() == "huaraz")
    );
    let remote_choice = choose(&mut node);
    assert_ne!(remote_choice.domain.as_str(), "huaraz");
}

#[test]
fn a_target_that_reported_leaving_is_excluded_until_a_newer_list_and_the_timeout() {
    let mut node = policy_site::node("adaptive", 1);
    let target = policy_site::target(0);
    let signal = gooseberry_kernel::concurrency_limit::TargetSignal::Refused(Some(
        gooseberry_kernel::concurrency_limit::ReportedState::Leaving,
    ));
    let digest = id::Digest([1; 32]);
    node.finish_call(&target, policy_site::attempt(1), signal, digest, READY);
    let is_chosen = |node: &mut Node, now| {
        node.tick(now);
        node.choose_target(&policy_site::query(0), now).is_ok()
    };
    assert!(!is_chosen(&mut node, READY + Millis(60_000)));
    node.apply_published_list_now(&policy_site::list(2, 1), READY + Millis(60_000));
    assert!(is_chosen(&mut node, READY + Millis(60_000)));
    node.finish_call(
        &target,
        policy_site::attempt(2),
        signal,
        digest,
        READY + Millis(60_000),
    );
    assert!(!is_chosen(&mut node, READY + Millis(119_999)));
    let mut list = policy_site::list(3, 1);
    for entry in &mut list.targets {
        entry.state = Lifecycle::Leaving;
    }
    node.apply_published_list_now(&list, READY + Millis(120_000));
    assert!(!is_chosen(&mut node, READY + Millis(300_000)));
}

#[test]
fn no_target_is_chosen_when_all_were_tried() {
    let mut node = policy_site::node("adaptive", 2);
    let mut query = policy_site::query(0);
    query.tried = vec![policy_site::target(0), policy_site::target(1)];
    assert_eq!(
        node.choose_target(&query, READY).unwrap_err().kind,
        Kind::NoTarget
    );
}
