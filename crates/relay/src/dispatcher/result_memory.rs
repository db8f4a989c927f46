//! What stage targets keep: asking for it, and giving it up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::name;
use gooseberry_kernel::request::table::Pieces;
use gooseberry_kernel::stage::queue::Told;
use gooseberry_platform::pieces;
use tokio::time::timeout;

use crate::context::Context;
use crate::dispatcher::ResultOwner;
use crate::dispatcher::call::ANSWER_MAX_BYTES;
use crate::dispatcher::service_dispatch::dispatch_of;
use crate::exchange::Callee;
use crate::exchange::Exchange;

/// How long a target may take to say what it keeps.
const USAGE_QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a target may take to hear which results are freed.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks targets what they keep and whether they work, so that what another
/// daemon dispatched counts.
pub(super) async fn query_usage(
    context: &Arc<Context>,
    service: &name::Service,
    limits: Pieces,
    targets: &[name::Target],
) {
    let queries = targets
        .iter()
        .map(|target| query_target(context, limits, target));
    let reports = futures::future::join_all(queries).await;
    let now = context.now();
    let mut services = context.dispatcher.lock();
    let queue = &mut dispatch_of(&mut services, service).queue;
    for report in reports.into_iter().flatten() {
        queue.note_told(&report, limits.kept, now);
        log::info!(
            service:% = service,
            target:% = report.target,
            bytes = report.kept_bytes,
            is_busy = report.is_busy;
            "a target told what it keeps"
        );
    }
}

async fn query_target(
    context: &Arc<Context>,
    limits: Pieces,
    target: &name::Target,
) -> Option<Told> {
    let address = context.state().address(target)?;
    let callee = Callee::of_stage(target.clone(), address);
    let request = pieces::ask_room(&address.to_string(), target).ok()?;
    let query = timeout(USAGE_QUERY_TIMEOUT, async {
        let mut exchange = Exchange::begin(context, &callee, request).await.ok()?;
        let body = exchange.read_all(ANSWER_MAX_BYTES).await.ok()?;
        exchange.release(context, None);
        pieces::read_told(&body).ok()
    });
    let report = query.await.ok().flatten()?;
    Some(Told {
        target: target.clone(),
        kept_bytes: limits.room_bytes.saturating_sub(report.room_bytes),
        is_busy: report.is_busy,
    })
}

/// Gives up results through the daemon that dispatched them, which counts what
/// targets keep; through this one if that daemon is gone.
///
/// A target may have room for less than two calls, so results that nobody gave
/// up would keep it idle until they age out.
pub(crate) fn release_results(context: &Arc<Context>, owner: ResultOwner) {
    let free_here = |context: &Arc<Context>, owner: &ResultOwner| {
        let dispatcher = &context.dispatcher;
        dispatcher.free(context, &owner.service, &owner.handles);
    };
    let is_here = owner.address == context.boot.peers;
    let now = context.now();
    if is_here || !context.state().members().is_live(owner.address, now) {
        free_here(context, &owner);
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        if context.peers.free(&owner).await.is_err() {
            log::info!(
                service:% = owner.service,
                dispatcher:% = owner.address,
                results = owner.handles.len();
                "a dispatcher was not reached; its results are given up here"
            );
            free_here(&context, &owner);
        }
    });
}

pub(super) async fn free_at_target(
    context: &Arc<Context>,
    target: name::Target,
    address: SocketAddr,
    handles: &[name::Handle],
) {
    let callee = Callee::of_stage(target, address);
    let Ok(request) = pieces::free(handles, &address.to_string(), &callee.target) else {
        return;
    };
    let freed = timeout(FREE_TIMEOUT, async {
        let mut exchange = Exchange::begin(context, &callee, request).await?;
        exchange.read_all(ANSWER_MAX_BYTES).await?;
        exchange.release(context, None);
        Ok::<_, crate::exchange::Error>(())
    });
    // Results that are not freed age out at their makers.
    if !matches!(freed.await, Ok(Ok(()))) {
        log::debug!(target:% = callee.target, results = handles.len(); "results were not freed");
    }
}
