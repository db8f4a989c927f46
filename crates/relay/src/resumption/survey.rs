//! Asks the targets of a service which streams they hold in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use anyhow::ensure;
use futures::StreamExt;
use futures::stream;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_trace::Finding;
use gooseberry_kernel::request::stream_trace::HeldPart;
use gooseberry_kernel::request::stream_trace::Step;
use gooseberry_kernel::request::stream_trace::Trace;
use gooseberry_platform::prompt_memory;
use http::StatusCode;
use tokio::time::timeout;

use crate::context::Context;
use crate::exchange::Callee;
use crate::exchange::Exchange;

/// How long a target may take to list what it holds. Engines answer between two steps, in
/// some ten milliseconds; a client waits for the answer.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest list, in bytes. An entry has some thirty.
const LIST_MAX_BYTES: usize = 1 << 20;
/// How many targets are asked at the same time, which bounds the memory of their replies.
const CALLS_MAX: usize = 32;

/// A target that is asked.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Its name.
    pub name: name::Target,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The version of its software.
    pub version: name::Version,
}

/// Searches a stream in the memory of a service's targets.
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

/// Asks each target of a service that a stream may go on at.
async fn run(context: Arc<Context>, service: name::Service) {
    let begun = context.now();
    let holders = context.state().holders(&service, begun);
    let asked = holders.len();
    let calls = holders.into_iter().map(|holder| ask(&context, holder));
    let answers = stream::iter(calls).buffer_unordered(CALLS_MAX);
    let answers: Vec<_> = answers.filter_map(std::future::ready).collect().await;
    log::info!(
        service:% = service,
        asked,
        answered = answers.len(),
        parts = answers.iter().map(|(_, parts)| parts.len()).sum::<usize>(),
        took_ms = (context.now() - begun).0;
        "asked targets which streams they hold"
    );
    context.state().surveys().end(&service, answers);
    context.survey_ended.notify_waiters();
}

/// Returns the version of a target and what it holds, if it answers.
async fn ask(context: &Arc<Context>, holder: Holder) -> Option<(name::Version, Vec<HeldPart>)> {
    let listed = timeout(LIST_TIMEOUT, list(context, &holder)).await;
    let listed = listed.context("no answer in time").flatten();
    match listed {
        Ok(parts) => Some((holder.version, parts)),
        Err(error) => {
            log::debug!(target:% = holder.name; "a target did not list what it holds: {error:#}");
            None
        }
    }
}

async fn list(context: &Arc<Context>, holder: &Holder) -> anyhow::Result<Vec<HeldPart>> {
    let callee = Callee::of_stage(holder.name.clone(), holder.address);
    let request = prompt_memory::list_request(&holder.address.to_string(), &holder.name)?;
    let exchange = Exchange::begin(context, &callee, request).await;
    let mut exchange = exchange.map_err(|error| anyhow::anyhow!("{error}"))?;
    ensure!(
        exchange.status == StatusCode::OK,
        "status {}",
        exchange.status
    );
    let mut memory = context.reply_memory.reply();
    let body = exchange.read_all(LIST_MAX_BYTES, &mut memory).await;
    let body = body.map_err(|error| anyhow::anyhow!("{error}"))?;
    exchange.release(context, None);
    prompt_memory::read_list(&body)
}
