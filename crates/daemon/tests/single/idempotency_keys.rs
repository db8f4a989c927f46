//! Answers to requests with an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id::Digest;
use gooseberry_kernel::idempotency::Completion;
use gooseberry_kernel::idempotency::Decision;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::idempotency::RecordedAnswer;
use gooseberry_kernel::node::AdmittedRequest;
use gooseberry_kernel::node::Node;
use gooseberry_standin::platform::Platform;
use gooseberry_standin::target::Fault;
use gooseberryd::actor::Message;
use gooseberryd::idempotency;
use gooseberryd::pipeline::Job;

use crate::fleet::Fleet;
use crate::fleet::LEDGER_PATH;
use crate::fleet::daemon;
use crate::fleet::header_value;
use crate::fleet::request;
use crate::fleet::send;
use crate::fleet::status;

async fn post(fleet: &Fleet, key: &str, headers: &[&str]) -> String {
    let key = format!("Idempotency-Key: {key}");
    let all_headers = [&[key.as_str(), "Idempotency-Attempt: 1"], headers].concat();
    let bytes = request(LEDGER_PATH, "desk.trekkers", &all_headers, "a deposit");
    send(fleet.callers(), &bytes, false).await
}

fn set_fault(fleet: &Fleet, fault: &Fault) {
    for listed in &fleet.targets {
        listed.target.set_fault(fault.clone());
    }
}

fn deposit_runs(fleet: &Fleet) -> usize {
    let targets = fleet.targets.iter();
    let deposits = targets.flat_map(|listed| listed.target.journal());
    deposits.filter(|entry| entry.body == "a deposit").count()
}

/// Returns the status, error and outcome of an answer.
fn status_error_outcome(answer: &str) -> [&str; 3] {
    let label = header_value(answer, "gooseberry-error").unwrap_or("none");
    let outcome = header_value(answer, "gooseberry-outcome").unwrap_or("none");
    [status(answer), label, outcome]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_outcome_of_a_key_has_its_answer() {
    let fleet = Fleet::start().await;

    set_fault(&fleet, &Fault::Refuse);
    let refused = post(&fleet, "one", &[]).await;
    assert_eq!(status_error_outcome(&refused)[2], "not-run", "{refused}");
    assert_eq!(deposit_runs(&fleet), 0);

    set_fault(&fleet, &Fault::None);
    let served = post(&fleet, "one", &[]).await;
    assert_eq!(
        status_error_outcome(&served),
        ["200", "none", "run"],
        "a key is free after a refusal: {served}"
    );
    let replayed = post(&fleet, "one", &[]).await;
    assert_eq!(status_error_outcome(&replayed), ["200", "none", "run"]);
    assert_eq!(header_value(&replayed, "gooseberry-replayed"), Some("true"));
    let request_id = |answer| header_value(answer, "gooseberry-request").map(ToOwned::to_owned);
    assert_eq!(request_id(&replayed), request_id(&served));
    assert_eq!(deposit_runs(&fleet), 1);

    set_fault(&fleet, &Fault::Fail);
    let failed = post(&fleet, "two", &[]).await;
    assert_eq!(
        status_error_outcome(&failed),
        ["502", "target-failed", "unknown"]
    );
    set_fault(&fleet, &Fault::None);
    let unknown = post(&fleet, "two", &[]).await;
    assert_eq!(
        status_error_outcome(&unknown),
        ["409", "key-unknown", "unknown"]
    );
    assert_eq!(header_value(&unknown, "retry-after"), Some("5"));
    assert_eq!(deposit_runs(&fleet), 2);

    fleet.daemon.shut_down().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_request_waits_for_the_first_one_with_its_key() {
    let fleet = Arc::new(Fleet::start().await);
    let slow = Fault::Slow(Duration::from_secs(1));
    set_fault(&fleet, &slow);
    let first = fleet.clone();
    let first = tokio::spawn(async move { post(&first, "three", &[]).await });
    while deposit_runs(&fleet) == 0 {
        tokio::task::yield_now().await;
    }
    let timed_out = post(&fleet, "three", &["Gooseberry-Timeout-Ms: 50"]).await;
    assert_eq!(
        status_error_outcome(&timed_out),
        ["409", "key-busy", "unknown"]
    );
    assert_eq!(header_value(&timed_out, "retry-after"), Some("1"));
    let joined = post(&fleet, "three", &[]).await;
    let first = first.await.unwrap();
    assert_eq!(status_error_outcome(&first), ["200", "none", "run"]);
    assert_eq!(status_error_outcome(&joined), ["200", "none", "run"]);
    assert_eq!(
        header_value(&joined, "gooseberry-request"),
        header_value(&first, "gooseberry-request")
    );
    assert_eq!(deposit_runs(&fleet), 1);
    fleet.daemon.shut_down().await;
}

fn job(fleet: &Fleet, key: &str) -> impl Future<Output = Job> {
    let context = fleet.daemon.context().clone();
    let key = Key {
        workspace: "desk.trekkers".parse().unwrap(),
        pipeline: "booking-ledger".parse().unwrap(),
        text: key.to_owned(),
    };
    async move {
        let wanted = key.clone();
        let find = move |node: &Node, now| {
            let workspace = node.settings().workspace(&wanted.workspace).unwrap();
            let pipeline = node.settings().pipeline(workspace, &wanted.pipeline);
            AdmittedRequest {
                workspace: workspace.clone(),
                pipeline: pipeline.unwrap().clone(),
                deadline: now + Millis(5_000),
            }
        };
        Job {
            request: "0123456789abcdef0123456789abcdef".parse().unwrap(),
            admission: context.node.read(find).await.unwrap(),
            key: Some(key),
            digest: Digest::of(b"a deposit"),
            body: "a deposit".into(),
        }
    }
}

/// If a caller that hangs up between the decision about its key and the start of
/// the run stopped that run, the key would stay busy and be unknown later.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_run_though_its_caller_hangs_up_before_the_run_begins() {
    let fleet = Fleet::start().await;
    let context = fleet.daemon.context();
    let job = job(&fleet, "four").await;
    {
        let mut caller = Box::pin(idempotency::perform(context, job.clone(), true));
        let polled = futures::poll!(caller.as_mut());
        assert!(polled.is_pending());
        // The actor handles messages in order, so once this read returns, the
        // decision has been made.
        let now = context.node.read(|_, now| now).await.unwrap();
        assert!(now > Millis::ZERO);
    }
    let answer = idempotency::perform(context, job, false).await;
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!(deposit_runs(&fleet), 1);
    fleet.daemon.shut_down().await;
}

/// The run of a key begins a moment after its decision.
#[tokio::test]
async fn a_later_try_waits_for_a_run_that_has_been_decided_and_not_begun() {
    let fleet = Fleet::start().await;
    let context = fleet.daemon.context();
    let job = job(&fleet, "six").await;
    let key = job.key.clone().unwrap();
    let (begin_key, digest) = (key.clone(), job.digest);
    let decision = context
        .node
        .try_ask(move |reply| Message::BeginKey(begin_key, digest, true, reply));
    assert_eq!(decision.await.unwrap(), Decision::Run);
    let mut later = Box::pin(idempotency::perform(context, job, false));
    let waited = tokio::time::timeout(Duration::from_millis(100), later.as_mut()).await;
    assert!(waited.is_err(), "it is answered before the run has ended");
    let record = RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"ran".as_slice().into(),
    };
    let completion = Completion::Answered(record);
    context.node.tell(Message::EndKey(key, completion));
    assert_eq!(later.await.status().as_u16(), 200);
    fleet.daemon.shut_down().await;
}

/// A caller that hangs up may send its key again at once. If the later try were
/// decided first, its key would be unknown although the first try runs.
#[tokio::test]
async fn a_later_try_of_a_key_does_not_overtake_the_first_one() {
    let fleet = Fleet::start().await;
    let context = fleet.daemon.context();
    let job = job(&fleet, "five").await;
    let key = job.key.clone().unwrap();
    let digest = job.digest;
    {
        let mut caller = Box::pin(idempotency::perform(context, job, true));
        assert!(futures::poll!(caller.as_mut()).is_pending());
    }
    // This test has one thread, so no task has run since the caller hung up.
    let later = context
        .node
        .try_ask(|reply| Message::BeginKey(key, digest, false, reply));
    assert_eq!(later.await.unwrap(), Decision::AwaitRunning);
    fleet.daemon.shut_down().await;
}

/// A daemon that has just started may own a key before it has read the settings.
/// An earlier try of the key may have run at its former owner, so the answer must
/// not say that the request did not run.
#[tokio::test]
async fn an_owner_without_settings_does_not_say_that_a_key_did_not_run() {
    let platform = Platform::start().await.unwrap();
    let daemon = daemon(&platform).await;
    let head = [
        "Gooseberry-Workspace: desk.trekkers",
        "Gooseberry-Pipeline: booking-ledger",
        "Gooseberry-Timeout-Ms: 5000",
        "Gooseberry-Request: 0123456789abcdef0123456789abcdef",
        &format!("Gooseberry-Digest: {}", Digest::of(b"a deposit")),
        "Idempotency-Key: six",
        "Idempotency-Attempt: 2",
    ];
    let forwarded = request(idempotency::PATH, "desk.trekkers", &head, "a deposit");
    let answer = send(daemon.local().data, &forwarded, false).await;
    assert_eq!(
        status_error_outcome(&answer),
        ["503", "not-ready", "unknown"],
        "{answer}"
    );
    assert_eq!(header_value(&answer, "retry-after"), Some("1"));
    daemon.shut_down().await;
}
