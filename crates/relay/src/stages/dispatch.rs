//! Sends the pieces of a stage to the dispatchers of its service.

use std::net::SocketAddr;
use std::sync::Arc;

use gooseberry_kernel::name;
use gooseberry_kernel::stage::group::Group;
use gooseberry_wire::fleet::Unmade;

use crate::context::Context;
use crate::dispatcher::GroupOutput;
use crate::dispatcher::ResultOwner;

/// The output of a group and the dispatcher that ran it; `None` is this daemon.
pub(super) type RunResult = Result<(GroupOutput, Option<SocketAddr>), Unmade>;

/// Sends one group to the dispatchers of its service, in their order, until one
/// of them accepts it; returns the index of the stage and the result.
pub(super) async fn run_group(
    context: &Arc<Context>,
    index: usize,
    group: (name::Service, Group),
    input_owners: Vec<ResultOwner>,
) -> (usize, RunResult) {
    let (service, group) = group;
    let started = context.now();
    let own_process = context.state().members().process();
    // The order is looked up before each try: a dispatcher that returns
    // `Elsewhere` does so because the order has changed.
    let mut tried: Vec<Option<SocketAddr>> = Vec::new();
    loop {
        let order = context.state().dispatchers(&service, context.now());
        let next = order
            .into_iter()
            .find(|candidate| !tried.contains(candidate));
        let Some(dispatcher) = next else {
            return (index, Err(Unmade::Elsewhere));
        };
        tried.push(dispatcher);
        let result = match dispatcher {
            None => Ok(context
                .dispatcher
                .run_group(
                    context,
                    &service,
                    group.clone(),
                    input_owners.clone(),
                    own_process,
                )
                .await),
            Some(address) => {
                context
                    .peers
                    .run_group(context, address, &service, &group, &input_owners)
                    .await
            }
        };
        match result {
            Ok(Err(Unmade::Elsewhere)) => {}
            Ok(Ok(output)) => {
                let now = context.now();
                log::info!(
                    request:% = group.attempt,
                    stage = index,
                    service:% = service,
                    pieces = group.pieces.len(),
                    took_ms = (now - started).0,
                    spare_ms = (group.on_time_deadline - now).0;
                    "stage completed"
                );
                return (index, Ok((output, dispatcher)));
            }
            Ok(Err(why)) => return (index, Err(why)),
            Err(_) => {
                log::warn!(
                    request:% = group.attempt,
                    service:% = service,
                    dispatcher:? = dispatcher;
                    "the dispatcher is unreachable; trying the next one"
                );
            }
        }
        if group.deadline <= context.now() {
            return (index, Err(Unmade::Late));
        }
    }
}
