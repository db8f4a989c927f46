//! The memory that results take at targets: queries how much is used, and frees
//! results that nobody reads any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::BatchSpec;
use gooseberry_kernel::stage::batch_queue::BatchCall;
use gooseberry_kernel::stage::batch_queue::TargetReport;
use gooseberry_platform::stage_call;
use tokio::time::timeout;

use crate::context::Context;
use crate::dispatcher::ResultOwner;
use crate::dispatcher::call::RESPONSE_MAX_BYTES;
use crate::dispatcher::service_dispatch::PendingGroup;
use crate::dispatcher::service_dispatch::dispatch_of;
use crate::exchange;
use crate::exchange::Callee;
use crate::pool::Lane;

/// How long a target may take to report its memory use.
const USAGE_QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a target may take to free results.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Queries targets for their memory use and whether they are working on a call,
/// so that the queue takes results and calls of other dispatchers into account.
pub(super) async fn query_usage(
    context: &Arc<Context>,
    service: &name::Service,
    spec: BatchSpec,
    targets: &[name::Target],
) {
    let queries = targets
        .iter()
        .map(|target| query_target(context, spec, target));
    let reports = futures::future::join_all(queries).await;
    let now = context.now();
    let mut services = context.dispatcher.lock();
    let queue = &mut dispatch_of(&mut services, service).queue;
    for report in reports.into_iter().flatten() {
        queue.apply_report(&report, spec.result_ttl, now);
        log::info!(
            service:% = service,
            target:% = report.target,
            bytes = report.kept_bytes,
            is_busy = report.is_busy;
            "a target reported its memory use"
        );
    }
}

/// Queries one target; the calls that a target with a rate limit takes are left for
/// pieces.
async fn query_target(
    context: &Arc<Context>,
    spec: BatchSpec,
    target: &name::Target,
) -> Option<TargetReport> {
    let address = context.state().address(target)?;
    if context.state().has_rate_limit(target) {
        return None;
    }
    let request = stage_call::memory_report_request(&address.to_string(), target).ok()?;
    let query = timeout(USAGE_QUERY_TIMEOUT, async {
        let callee = Callee::of_call(target.clone(), address);
        let body = exchange::call(context, &callee, request, RESPONSE_MAX_BYTES).await?;
        stage_call::read_memory_report(&body)
    });
    let report = match query.await.context("no reply in time").flatten() {
        Ok(report) => report,
        Err(error) => {
            log::info!(target:% = target; "a target did not report its memory use: {error:#}");
            return None;
        }
    };
    Some(TargetReport {
        target: target.clone(),
        kept_bytes: spec.result_capacity_bytes.saturating_sub(report.free_bytes),
        is_busy: report.is_busy,
    })
}

/// Releases results through the daemon that dispatched them, since it tracks
/// the memory use of the targets; through this daemon if that one is gone.
///
/// A target may have memory for the results of less than two calls, so results
/// that are not released would keep it idle until they expire.
pub(crate) fn release_results(context: &Arc<Context>, owner: ResultOwner) {
    let free_here = |context: &Arc<Context>, owner: &ResultOwner| {
        let dispatcher = &context.dispatcher;
        dispatcher.free(context, &owner.service, &owner.handles);
    };
    let is_here = owner.address == context.boot.peer_address;
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
                "the dispatcher of the results is unreachable; they are freed from here"
            );
            free_here(&context, &owner);
        }
    });
}

/// Tells a target to free results.
pub(super) async fn free_at_target(
    context: &Arc<Context>,
    target: name::Target,
    address: SocketAddr,
    handles: &[name::Handle],
) {
    let callee = Callee {
        lane: Some(Lane::Frees),
        ..Callee::of_call(target, address)
    };
    let Ok(request) = stage_call::free_request(handles, &address.to_string(), &callee.target)
    else {
        return;
    };
    let freeing = exchange::call(context, &callee, request, RESPONSE_MAX_BYTES);
    let freed = timeout(FREE_TIMEOUT, freeing).await;
    if let Err(error) = freed.context("no reply in time").flatten() {
        log::info!(target:% = callee.target, results = handles.len(); "the target did not free the results, which expire there: {error:#}");
    }
}

/// Releases the inputs of a call that is still running, as its target must have
/// fetched them by now, if other groups may be waiting for their memory.
///
/// A target fetches the inputs when it starts on a call. That is as soon as the
/// call arrives, unless another daemon has calls at the target too; in that
/// case the inputs are released only after the group has completed. So are
/// those of a group whose pieces are split over several calls, and those whose
/// service has no backlog: with its inputs, a piece that fails can be retried.
pub(super) fn release_inputs(context: &Arc<Context>, service: &name::Service, call: &BatchCall) {
    let mut input_owners = Vec::new();
    for part in &call.parts {
        let is_unsplit = |pending: &&mut PendingGroup| {
            let all = pending.results.piece_count();
            pending.ticket == part.ticket && all == part.group.pieces.len()
        };
        let owners = {
            let mut services = context.dispatcher.lock();
            let dispatch = dispatch_of(&mut services, service);
            if !dispatch.is_sole_dispatcher_at(&call.target) {
                return;
            }
            let pending = dispatch.pending.iter_mut().find(is_unsplit);
            pending.map_or_else(Vec::new, |pending| pending.input_owners.clone())
        };
        if !owners.iter().any(|owner| has_backlog(context, owner)) {
            continue;
        }
        let mut services = context.dispatcher.lock();
        let dispatch = dispatch_of(&mut services, service);
        if let Some(pending) = dispatch.pending.iter_mut().find(is_unsplit) {
            pending.are_inputs_freed = true;
            input_owners.append(&mut pending.input_owners);
        }
    }
    for owner in input_owners {
        release_results(context, owner);
    }
}

/// Returns whether groups wait at the service that computed some results.
fn has_backlog(context: &Context, owner: &ResultOwner) -> bool {
    if owner.address == context.boot.peer_address {
        let mut services = context.dispatcher.lock();
        let queue = &dispatch_of(&mut services, &owner.service).queue;
        return queue.waiting_pieces() > 0;
    }
    let now = context.now();
    context.state().has_backlog(&owner.service, now)
}
