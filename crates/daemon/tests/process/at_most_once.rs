//! A request that is not idempotent runs at most once, whatever fails.

use std::time::Duration;

use futures::future::join_all;
use gooseberry_standin::platform;
use gooseberry_standin::target::Fault;
use gooseberry_standin::target::Plan;

use crate::fleet::Call;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::load_generator;

/// The fleet settings with a `horizon_ms` that is longer than all tries of a test,
/// so that its keys may still be retried in the last one.
const LONG_HORIZON_SETTINGS: &str = r#"{ "freshness_ms": 800, "exchange_ms": 100, "horizon_ms": 40000,
  "dropped_memory_ms": 4000, "readers": 1, "out": [] }"#;

/// The number of keys that the callers of a test send.
const KEY_COUNT: usize = 40;

async fn start() -> Fleet {
    let plan = Plan {
        work: Duration::from_millis(30),
        ..Plan::default()
    };
    let fleet = Fleet::start_with_separate_platform_ports(LONG_HORIZON_SETTINGS, plan).await;
    fleet.warm_up().await;
    fleet
}

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

fn check(fleet: &Fleet, tries: &[load_generator::Try]) {
    load_generator::assert_at_most_once(fleet, tries);
    fleet.assert_invariants();
    let answered = load_generator::count_answered(tries);
    println!(
        "{answered} of {KEY_COUNT} keys answered in {} tries",
        tries.len()
    );
    assert!(
        answered * 2 > KEY_COUNT,
        "only {answered} keys were answered"
    );
}

#[tokio::test]
async fn concurrent_and_later_tries_of_a_key_get_one_answer() {
    let fleet = start().await;
    for listed in &fleet.targets {
        listed
            .target
            .set_fault(Fault::Slow(Duration::from_millis(300)));
    }
    let first = Call::post("deposit");
    let retry = first.next_try();
    let fleet = &fleet;
    let sends = (0..12).map(|number| {
        let call = if number == 0 { &first } else { &retry };
        async move {
            // The first attempt has to arrive before the later ones.
            pause(if number == 0 { 0 } else { 100 }).await;
            fleet.send(number % 3, call).await.unwrap()
        }
    });
    let answers = join_all(sends).await;
    for answer in &answers {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, first.expected_body());
    }
    let mut other_request = retry.clone();
    other_request.body = "another deposit".to_owned();
    for index in 0..3 {
        let later = fleet.send(index, &retry).await.unwrap();
        assert!(later.status == 200 && later.is_replayed(), "{later:?}");
        let refused = fleet.send(index, &other_request).await.unwrap();
        assert_eq!(refused.status, 422);
        assert_eq!(refused.error(), "key-mismatch");
    }
    assert_eq!(fleet.run_count("deposit"), 1);
    assert_eq!(fleet.run_count("another deposit"), 0);
    fleet.assert_invariants();
}

#[tokio::test]
async fn a_key_whose_owner_was_killed_stays_unknown() {
    let mut fleet = start().await;
    for listed in &fleet.targets {
        listed
            .target
            .set_fault(Fault::Slow(Duration::from_millis(700)));
    }
    let call = Call::post("deposit");
    let owner = fleet.key_owner(&call);
    let entry_daemon = (owner + 1) % 3;
    let kill_owner = async {
        wait_until("the deposit runs", async || fleet.run_count("deposit") == 1).await;
        fleet.daemons[owner].kill();
    };
    let (answer, ()) = tokio::join!(fleet.send(entry_daemon, &call), kill_owner);
    let answer = answer.unwrap();
    assert_eq!((answer.status, answer.outcome()), (409, "unknown"));
    let domain = fleet.daemons[owner].domain.clone();
    fleet.daemons.remove(owner);
    fleet.start_daemon("entry-4", &domain);
    fleet.publish_daemons();
    for round in 0..40 {
        if let Ok(answer) = fleet.send(round % 3, &call.next_try()).await {
            assert_ne!(answer.status, 200, "{answer:?}");
            assert_eq!(answer.outcome(), "unknown", "{answer:?}");
        }
        pause(100).await;
    }
    assert_eq!(fleet.run_count("deposit"), 1);
}

#[tokio::test]
async fn keys_run_once_while_a_daemon_is_killed_and_replaced() {
    let mut fleet = start().await;
    fleet.start_daemon("entry-4", "a");
    let fault = async {
        pause(700).await;
        fleet.daemons[0].kill();
        pause(700).await;
        fleet.platform.change_list(|list| {
            list.instances.retain(|instance| instance.id != "entry-1");
            list.instances.push(fleet.daemons[3].list_entry());
        });
    };
    let tries = load_generator::send_keys(&fleet, KEY_COUNT, fault).await;
    check(&fleet, &tries);
}

#[tokio::test]
async fn keys_run_once_while_a_daemon_is_paused_and_resumed() {
    let fleet = start().await;
    let fault = async {
        for _ in 0..2 {
            pause(500).await;
            fleet.daemons[0].pause();
            pause(600).await;
            fleet.platform.remove_instance("entry-1");
            pause(1200).await;
            fleet.daemons[0].resume();
            pause(300).await;
            fleet.platform.add_instance(fleet.daemons[0].list_entry());
        }
    };
    let tries = load_generator::send_keys(&fleet, KEY_COUNT, fault).await;
    check(&fleet, &tries);
}

#[tokio::test]
async fn keys_run_once_while_a_daemon_is_partitioned() {
    let fleet = start().await;
    let fault = async {
        pause(500).await;
        fleet.isolate(0).await;
        pause(800).await;
        fleet.platform.remove_instance("entry-1");
        pause(1500).await;
        fleet.end_isolation().await;
        pause(300).await;
        fleet.platform.add_instance(fleet.daemons[0].list_entry());
    };
    let tries = load_generator::send_keys(&fleet, KEY_COUNT, fault).await;
    check(&fleet, &tries);
}

#[tokio::test]
async fn keys_run_once_while_daemons_are_replaced_gracefully() {
    let mut fleet = start().await;
    fleet.start_daemon("entry-4", "a");
    let fault = async {
        pause(700).await;
        fleet.platform.add_instance(fleet.daemons[3].list_entry());
        pause(500).await;
        fleet.daemons[0].terminate();
        wait_until("it has ended", async || {
            fleet.daemons[0].exit_code().is_some()
        })
        .await;
        fleet.platform.remove_instance("entry-1");
    };
    let tries = load_generator::send_keys(&fleet, KEY_COUNT, fault).await;
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
    check(&fleet, &tries);
}

#[tokio::test]
async fn keys_run_once_under_two_faults_at_once() {
    let mut fleet = start().await;
    fleet.start_daemon("entry-4", "a");
    let fault = async {
        pause(500).await;
        let old = (fleet.platform.list(), fleet.platform.settings());
        fleet.daemons[0].pause();
        fleet.platform.change_list(|list| {
            list.instances.retain(|instance| instance.id != "entry-1");
            list.instances.push(fleet.daemons[3].list_entry());
        });
        let fault = platform::Fault::Contradicting(Box::new(old));
        fleet.platform.set_fault(fault);
        pause(700).await;
        fleet.daemons[1].kill();
        pause(300).await;
        fleet.platform.set_fault(platform::Fault::Down);
        fleet.daemons[0].resume();
        pause(1000).await;
        fleet.platform.set_fault(platform::Fault::None);
        fleet.platform.remove_instance("entry-2");
    };
    let tries = load_generator::send_keys(&fleet, KEY_COUNT, fault).await;
    load_generator::assert_at_most_once(&fleet, &tries);
    fleet.assert_invariants();
}
