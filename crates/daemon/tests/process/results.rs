//! Each caller gets the complete answer to its own request or none.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use gooseberry_kernel::settings::TargetKind;
use gooseberry_standin::platform;
use gooseberry_standin::target;
use gooseberry_standin::target::Fault;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::fleet::Call;
use crate::fleet::FLEET_SETTINGS;
use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::load_generator;

async fn start() -> Fleet {
    Fleet::start_warm(FLEET_SETTINGS, 20).await
}

/// Makes requests of all pipelines. Both workspaces send the same bodies, so
/// that an answer to the wrong workspace is noticed.
fn mixed_request(number: usize) -> Call {
    let mut call = match number % 3 {
        0 => Call::new("read", format!("r-{}", number / 2)),
        1 => Call::new("brief", format!("b-{}", number / 2)),
        _ => Call::post(format!("p-{number}")),
    };
    call.workspace = ["one", "two"][number % 2];
    call
}

/// Sends requests while four of the targets have the faults one after another,
/// and checks each answer.
async fn check_answers_under_faults(fleet: &Fleet, faults: &[Fault]) {
    let fault = async {
        for fault in faults {
            for listed in &fleet.targets[..4] {
                listed.target.set_fault(fault.clone());
            }
            tokio::time::sleep(Duration::from_millis(1200)).await;
        }
    };
    let sent = load_generator::steady_load(fleet, 24, mixed_request, fault).await;
    let mut answered = 0;
    for request in &sent {
        let answer = request.result.as_ref().unwrap();
        if answer.status == 200 {
            assert_eq!(
                answer.body,
                request.call.expected_body(),
                "{:?}",
                request.call
            );
            answered += 1;
        }
        let is_post = request.call.key.is_some();
        let runs = if is_post {
            fleet.run_count(&request.call.body)
        } else {
            0
        };
        assert!(runs <= 1, "{:?} ran twice", request.call);
        if is_post && answer.outcome() == "not-run" {
            assert_eq!(runs, 0, "{:?} ran but was answered not-run", request.call);
        }
        if is_post && answer.status == 200 {
            assert_eq!(runs, 1, "{:?} was answered but not run", request.call);
        }
    }
    assert!(answered > 50, "{answered} of {}", sent.len());
    fleet.assert_invariants();
}

#[tokio::test]
async fn crossed_and_late_answers_do_not_reach_other_callers() {
    let fleet = start().await;
    let late = Fault::Slow(Duration::from_millis(700));
    check_answers_under_faults(&fleet, &[Fault::Cross, late, Fault::Cross, Fault::None]).await;
}

#[tokio::test]
async fn truncated_broken_failed_and_refused_replies_are_not_returned_as_answers() {
    let fleet = start().await;
    let faults = [
        Fault::Truncate,
        Fault::Break,
        Fault::Fail,
        Fault::Refuse,
        Fault::None,
    ];
    check_answers_under_faults(&fleet, &faults).await;
}

#[tokio::test]
async fn a_caller_that_hangs_up_leaks_no_answer_to_the_next() {
    let fleet = start().await;
    let slow = Fault::Slow(Duration::from_millis(200));
    for listed in &fleet.targets {
        listed.target.set_fault(slow.clone());
    }
    for round in 0..10 {
        let hang_ups = (0..9).map(|number| {
            let call = mixed_request(number + round * 100);
            let fleet = &fleet;
            async move {
                let sent = fleet.send(number % 3, &call);
                tokio::time::timeout(Duration::from_millis(40), sent)
                    .await
                    .ok();
            }
        });
        join_all(hang_ups).await;
        let call = Call::new("read", format!("stays-{round}"));
        assert_eq!(
            fleet.send_until_answered(round % 3, &call).await.body,
            call.expected_body()
        );
    }
    wait_until_idle(&fleet).await;
    // A post whose caller hung up has run to its end, and its answer is recorded.
    for number in [2, 5, 8] {
        let call = mixed_request(number).next_try();
        let answer = fleet.send(number % 3, &call).await.unwrap();
        let runs = fleet.run_count(&call.body);
        assert!(runs <= 1);
        assert_eq!(
            answer.status == 200,
            runs == 1,
            "{answer:?} after {runs} runs"
        );
    }
    fleet.assert_invariants();
}

/// Waits until no daemon has a request or a call in progress.
async fn wait_until_idle(fleet: &Fleet) {
    wait_until("nothing is in progress", async || {
        let mut in_progress = 0;
        for index in 0..3 {
            let status = fleet.status(index).await.unwrap();
            in_progress += status["requests"].as_u64().unwrap();
            in_progress += status["calls_in_flight"].as_u64().unwrap();
        }
        in_progress == 0
    })
    .await;
}

#[tokio::test]
async fn callers_that_hang_up_at_any_moment_leak_no_slot() {
    let fleet = start().await;
    for round in 0..100 {
        let hang_ups = (0..24).map(|number| {
            let call = Call::new("read", format!("leaves-{round}-{number}"));
            let caller_timeout = Duration::from_micros(200 + round * 40 + number);
            let fleet = &fleet;
            async move {
                let sent = fleet.send(0, &call);
                tokio::time::timeout(caller_timeout, sent).await.ok();
            }
        });
        join_all(hang_ups).await;
    }
    wait_until_idle(&fleet).await;
}

#[tokio::test]
async fn a_doubled_answer_is_not_the_answer_to_the_next_request() {
    let fleet = start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let doubled_answers = Arc::new(AtomicUsize::new(0));
    let count = doubled_answers.clone();
    let doubling_server = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_twice(stream, count.clone()));
        }
    });
    let entry = platform::live_target("ledger-twice", "desk.ledger", "a", address);
    fleet.platform.add_targets(vec![entry]);
    fleet.wait_until_settled().await;
    let read_request = |number| Call::new("read", format!("r-{number}"));
    let is_busy = async || doubled_answers.load(Ordering::Relaxed) > 100;
    let fault = wait_until("the target has answered twice", is_busy);
    let sent = load_generator::steady_load(&fleet, 24, read_request, fault).await;
    for request in &sent {
        let answer = request.result.as_ref().unwrap();
        // A refused caller must not get the answer to another request.
        if answer.status == 200 {
            assert_eq!(
                answer.body,
                request.call.expected_body(),
                "{:?}",
                request.call
            );
        }
    }
    doubling_server.abort();
}

/// Answers each request of a connection twice.
async fn answer_twice(stream: TcpStream, count: Arc<AtomicUsize>) {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut attempt, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await.unwrap_or(0) == 0 {
                return;
            }
            match line.trim_end().split_once(": ") {
                Some(("gooseberry-attempt", value)) => value.clone_into(&mut attempt),
                Some(("content-length", value)) => length = value.parse().unwrap(),
                None if line.trim_end().is_empty() => break,
                Some(_) | None => {}
            }
        }
        let mut body = vec![0; length];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        let body = target::output(TargetKind::Service, &body);
        let length = body.len();
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\ngooseberry-attempt: {attempt}\r\ncontent-length: {length}\r\n\r\n"
        )
        .into_bytes();
        answer.extend(body);
        for _ in 0..2 {
            if stream.write_all(&answer).await.is_err() {
                return;
            }
            tokio::task::yield_now().await;
        }
        count.fetch_add(1, Ordering::Relaxed);
    }
}
