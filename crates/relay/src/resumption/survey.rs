//! Asks the targets of a service which streams they have written.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::ensure;
use futures::StreamExt;
use futures::stream;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Incarnation;
use gooseberry_kernel::request::stream_trace::Finding;
use gooseberry_kernel::request::stream_trace::Memory;
use gooseberry_kernel::request::stream_trace::Step;
use gooseberry_kernel::request::stream_trace::Trace;
use gooseberry_platform::prompt_memory;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange;
use crate::exchange::Callee;

/// How long a target may take to answer both calls. Engines answer between two steps, in
/// some ten milliseconds; a client waits for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long those are waited for that were silent, when they are asked again: sound targets may
/// be silent for a second or so, and clients wait for two.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// The largest answer, in bytes. An entry has some thirty.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// How many targets are asked at the same time, which bounds the memory of their replies.
const CALLS_MAX: usize = 32;

/// A target that is asked.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Its run, as the list has it.
    pub incarnation: Incarnation,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// Searches a stream in what a service's targets say.
pub(super) async fn find(
    context: &Arc<Context>,
    service: &name::Service,
    trace: &Trace,
) -> Finding {
    loop {
        let ended = context.survey_ended.notified();
        let now = context.now();
        let step = context.state().surveys().step(service, trace, now);
        match step {
            Step::Ended(finding) => return finding,
            // Others wait for it, also if the client of this request leaves.
            Step::Begin => {
                tokio::spawn(run(context.clone(), service.clone()));
            }
            Step::Wait => {}
        }
        ended.await;
    }
}

/// Asks each target of a service that may hold a stream.
async fn run(context: Arc<Context>, service: name::Service) {
    let begun = context.now();
    let holders = context.state().holders(&service, begun);
    let asked = holders.len();
    let calls = holders
        .into_iter()
        .map(|holder| ask(&context, holder, ANSWER_TIMEOUT));
    let answers = stream::iter(calls).buffer_unordered(CALLS_MAX);
    let mut memories = Vec::new();
    let mut silent = Vec::new();
    for answer in answers.collect::<Vec<_>>().await {
        match answer {
            Answer::Memory(memory) => memories.push(memory),
            Answer::Silent(holder) => silent.push(holder),
            Answer::Failed => {}
        }
    }
    log::info!(
        service:% = service,
        asked,
        answered = memories.len(),
        silent = silent.len(),
        runs = memories.iter().map(|memory| memory.runs.len()).sum::<usize>(),
        parts = memories.iter().map(|memory| memory.parts.len()).sum::<usize>(),
        took_ms = (context.now() - begun).0;
        "asked targets which streams they have written"
    );
    context.state().surveys().record(&service, memories);
    context.survey_ended.notify_waiters();
    let calls = silent
        .into_iter()
        .map(|holder| ask(&context, holder, LATE_ANSWER_TIMEOUT));
    let mut answers = stream::iter(calls).buffer_unordered(CALLS_MAX);
    while let Some(answer) = answers.next().await {
        if let Answer::Memory(memory) = answer {
            log::info!(
                service:% = service,
                target:% = memory.incarnation.target,
                took_ms = (context.now() - begun).0;
                "a silent target said later which streams it has written"
            );
            context.state().surveys().record(&service, vec![memory]);
            context.survey_ended.notify_waiters();
        }
    }
    context.state().surveys().end(&service);
    context.survey_ended.notify_waiters();
}

/// What comes of asking a target.
enum Answer {
    /// What it says.
    Memory(Memory),
    /// It did not answer in time.
    Silent(Holder),
    /// It cannot be reached, or its answer cannot be read.
    Failed,
}

/// Asks a target which streams it has written.
async fn ask(context: &Arc<Context>, holder: Holder, limit: Duration) -> Answer {
    let error = match timeout(limit, read_memory(context, &holder)).await {
        Ok(Ok(memory)) => return Answer::Memory(memory),
        Ok(Err(error)) => error,
        Err(_) => {
            log::info!(target:% = holder.incarnation.target; "a target did not say in time which streams it has written");
            return Answer::Silent(holder);
        }
    };
    log::info!(target:% = holder.incarnation.target; "a target did not say which streams it has written: {error:#}");
    Answer::Failed
}

/// Reads what a target says. Its report comes first, since it soon no longer names the runs
/// that have ended with their connections. A target that has started again does not say what
/// the listed run has held.
async fn read_memory(context: &Arc<Context>, holder: &Holder) -> anyhow::Result<Memory> {
    let host = holder.address.to_string();
    let Incarnation {
        target, started, ..
    } = &holder.incarnation;
    let request = prompt_memory::runs_request(&host, target)?;
    let callee = Callee::of_call(target.clone(), holder.address);
    let report = exchange::call(context, &callee, request, ANSWER_MAX_BYTES).await?;
    let told = prompt_memory::read_start(&report)?.filter(|_| *started > 0);
    ensure!(
        told.is_none_or(|told| told == *started),
        "it has started again, at {}",
        told.unwrap_or_default()
    );
    let runs = prompt_memory::read_runs(&report)?;
    let parts = prompt_memory::list_request(&host, target)?;
    let parts = exchange::call(context, &callee, parts, ANSWER_MAX_BYTES).await?;
    let parts = prompt_memory::read_list(&parts)?;
    Ok(Memory {
        incarnation: holder.incarnation.clone(),
        runs,
        parts,
    })
}
