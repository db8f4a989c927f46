//! Callers that send requests while a fault is injected.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use gooseberry_standin::target::CallRecord;
use gooseberry_wire::header;

use crate::fleet::Call;
use crate::fleet::CallerAnswer;
use crate::fleet::Fleet;

/// How long a caller waits before it hangs up and retries.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The most tries of a caller with one key.
const TRIES_PER_KEY: u32 = 14;

/// One try of a caller and its answer, if one came in time.
#[derive(Debug)]
pub struct Try {
    pub call: Call,
    pub ended: Instant,
    pub answer: Option<CallerAnswer>,
}

/// Sends each key to one daemon after the other until it is answered, while the
/// fault runs, and returns every try.
pub async fn send_keys(fleet: &Fleet, keys: usize, fault: impl Future<Output = ()>) -> Vec<Try> {
    let callers = (0..keys).map(|number| send_key(fleet, number));
    let (tries, ()) = tokio::join!(join_all(callers), fault);
    tries.into_iter().flatten().collect()
}

async fn send_key(fleet: &Fleet, number: usize) -> Vec<Try> {
    let gap = Duration::from_millis(150);
    tokio::time::sleep(gap * u32::try_from(number % 20).unwrap()).await;
    let mut call = Call::post(format!("key-{number}"));
    let mut tries = Vec::new();
    for round in 0..TRIES_PER_KEY {
        let index = (number + round as usize) % fleet.daemons.len();
        let sent = tokio::time::timeout(CALLER_TIMEOUT, fleet.send(index, &call)).await;
        let answer = sent.ok().and_then(Result::ok);
        let is_not_run = answer
            .as_ref()
            .is_some_and(|answer| answer.outcome() == "not-run");
        let is_answered = answer.as_ref().is_some_and(|answer| answer.status == 200);
        tries.push(Try {
            call: call.clone(),
            ended: Instant::now(),
            answer,
        });
        if is_answered {
            break;
        }
        // If every try so far was answered "not run", the key is still new and
        // keeps its attempt number.
        if !is_not_run {
            call = call.next_try();
        }
        tokio::time::sleep(gap).await;
    }
    tries
}

/// Fails if a key ran twice, a caller got another caller's answer, or a try was
/// answered "not run" although a target had begun with its key.
pub fn assert_at_most_once(fleet: &Fleet, tries: &[Try]) {
    let journals = fleet.targets.iter().map(|listed| listed.target.journal());
    let runs_of_all_targets: Vec<CallRecord> = journals.flatten().collect();
    for attempt in tries {
        let body = attempt.call.body.as_bytes();
        let runs: Vec<&CallRecord> = runs_of_all_targets
            .iter()
            .filter(|run| run.body == body)
            .collect();
        assert!(runs.len() <= 1, "{} ran twice: {runs:?}", attempt.call.body);
        let Some(answer) = &attempt.answer else {
            continue;
        };
        if answer.status == 200 {
            assert_eq!(answer.body, attempt.call.expected_body());
            assert_eq!(
                runs.len(),
                1,
                "{} was answered but not run",
                attempt.call.body
            );
        }
        if answer.outcome() == "not-run" {
            let request = header::text(&answer.headers, header::REQUEST).unwrap();
            let is_before =
                |run: &&CallRecord| run.began < attempt.ended || run.attempt.starts_with(request);
            let contradicting_run = runs.iter().find(|run| is_before(run));
            assert!(
                contradicting_run.is_none(),
                "{attempt:?} was answered not-run, but ran: {contradicting_run:?}"
            );
        }
    }
}

/// Returns the number of callers that got their answer.
pub fn count_answered(tries: &[Try]) -> usize {
    let is_answered = |attempt: &&Try| {
        attempt
            .answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200)
    };
    tries.iter().filter(is_answered).count()
}

/// One request of a steady load and its result.
#[derive(Debug)]
pub struct Sent {
    pub call: Call,
    pub result: anyhow::Result<CallerAnswer>,
}

/// Has each caller send requests one after the other until the fault has run.
/// A caller whose daemon shuts down goes on with the next daemon.
pub async fn steady_load(
    fleet: &Fleet,
    callers: usize,
    call: impl Fn(usize) -> Call,
    fault: impl Future<Output = ()>,
) -> Vec<Sent> {
    let is_over = Cell::new(false);
    let count = Cell::new(0);
    let run_caller = async |mut index: usize| {
        let mut sent = Vec::new();
        while !is_over.get() {
            count.set(count.get() + 1);
            let call = call(count.get());
            let sending = fleet.send(index % fleet.daemons.len(), &call);
            let result = tokio::time::timeout(CALLER_TIMEOUT * 4, sending).await;
            let result = result.map_err(Into::into).flatten();
            if is_refused_in_shutdown(&result) {
                index += 1;
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            sent.push(Sent { call, result });
        }
        sent
    };
    let all_callers = join_all((0..callers).map(run_caller));
    let end_load = async {
        fault.await;
        is_over.set(true);
    };
    let (sent, ()) = tokio::join!(all_callers, end_load);
    sent.into_iter().flatten().collect()
}

/// Returns whether the daemon refused the request or the connection because it
/// is shutting down.
pub fn is_refused_in_shutdown(result: &anyhow::Result<CallerAnswer>) -> bool {
    match result {
        Ok(answer) => answer.error() == "shutting-down",
        Err(error) => error
            .downcast_ref::<hyper_util::client::legacy::Error>()
            .is_some_and(hyper_util::client::legacy::Error::is_connect),
    }
}
