//! The inputs of calls that are still running: their memory can be reclaimed for other
//! calls, and a piece that fails needs them again.

use std::sync::Arc;

use gooseberry_kernel::name;
use gooseberry_kernel::stage::batch_queue::BatchCall;
use gooseberry_kernel::stage::batch_queue::Ticket;
use gooseberry_wire::fleet::Unmade;

use crate::context::Context;
use crate::dispatcher::ResultOwner;
use crate::dispatcher::result_memory::release_results;
use crate::dispatcher::service_dispatch::PendingGroup;
use crate::dispatcher::service_dispatch::dispatch_of;

/// Marks the inputs of a call that is still running as reclaimable, as its target must have
/// fetched them by now, if other groups may be waiting for their memory. An owner of a
/// former build cannot mark them; they are released there.
///
/// A target fetches the inputs when it starts on a call. That is as soon as the
/// call arrives, unless another daemon has calls at the target too; in that
/// case the inputs are released only after the group has completed. So are
/// those of a group whose pieces are split over several calls, and those whose
/// service has no backlog.
pub(super) fn release_inputs(context: &Arc<Context>, service: &name::Service, call: &BatchCall) {
    for part in &call.parts {
        let is_unsplit = |pending: &&mut PendingGroup| {
            let all = pending.wanted.len();
            pending.ticket == part.ticket && all == part.group.pieces.len()
        };
        let owners = {
            let mut services = context.dispatcher.lock();
            let dispatch = dispatch_of(&mut services, service);
            if !dispatch.is_sole_dispatcher_at(&call.target) {
                return;
            }
            let pending = dispatch.pending.iter_mut().find(is_unsplit);
            let pending = pending.filter(|pending| !pending.are_inputs_marked);
            pending.map_or_else(Vec::new, |pending| pending.input_owners.clone())
        };
        if !owners.iter().any(|owner| has_backlog(context, owner)) {
            continue;
        }
        let lacks_reclaiming = |owner: &ResultOwner| {
            let is_here = owner.address == context.boot.peer_address;
            !is_here && context.peers.lacks_reclaiming(owner.address)
        };
        let is_released = owners.iter().any(lacks_reclaiming);
        {
            let mut services = context.dispatcher.lock();
            let dispatch = dispatch_of(&mut services, service);
            let Some(pending) = dispatch.pending.iter_mut().find(is_unsplit) else {
                continue;
            };
            if is_released {
                pending.are_inputs_freed = true;
                pending.input_owners.clear();
            } else {
                pending.are_inputs_marked = true;
            }
        }
        for owner in owners {
            if is_released {
                release_results(context, owner);
            } else {
                let context = context.clone();
                tokio::spawn(async move { set_reclaimable(&context, &owner, true).await });
            }
        }
    }
}

/// Marks the inputs of a group that is tried again as needed. If some have been reclaimed,
/// the group fails, and its stages run again.
pub(super) async fn keep_inputs(
    context: Arc<Context>,
    service: name::Service,
    ticket: Ticket,
    owners: Vec<ResultOwner>,
) {
    for owner in &owners {
        if set_reclaimable(&context, owner, false).await {
            continue;
        }
        log::info!(service:% = service, dispatcher:% = owner.address; "inputs of a group to be tried again have been reclaimed");
        let mut services = context.dispatcher.lock();
        dispatch_of(&mut services, &service).complete(ticket, Err(Unmade::Gone));
        return;
    }
}

/// Marks results at the daemon that dispatched them; returns whether all are still kept. If
/// that daemon does not answer, they count as kept: the next call shows whether they are.
async fn set_reclaimable(
    context: &Arc<Context>,
    owner: &ResultOwner,
    is_reclaimable: bool,
) -> bool {
    if owner.address == context.boot.peer_address {
        let dispatcher = &context.dispatcher;
        return dispatcher.set_reclaimable(context, &owner.service, &owner.handles, is_reclaimable);
    }
    let marked = context.peers.set_reclaimable(owner, is_reclaimable).await;
    marked.unwrap_or(true)
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
