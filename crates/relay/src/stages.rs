//! Runs the stages of a request in the order of their dependencies, and
//! releases each result once its last reader has read it.
//!
//! - `admission` refuses requests whose stages cannot be computed in time.

mod admission;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission::FIRST_BYTE_OVERHEAD;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::group::PreferredDomain;
use gooseberry_kernel::stage::group::Source;
use gooseberry_kernel::stage::group_results::is_one_each;
use gooseberry_kernel::stage::plan::Plan;
use gooseberry_kernel::stage::plan::PlannedStage;
use gooseberry_wire::fleet::Unmade;

use crate::context::Context;
use crate::dispatcher::GroupOutput;
use crate::dispatcher::ResultOwner;
use crate::dispatcher::release_results;
use crate::request::Job;
pub use crate::stages::admission::admit;
use crate::state::State;

/// How often all stages are run at most: a second time if results were lost, for
/// example with their target.
const STAGE_ROUNDS_MAX: u32 = 2;

/// Inputs count as gone this long before they expire: the target that reads them
/// must be able to fetch them in time.
const INPUTS_MARGIN: Millis = Millis(150);

/// The results that the target reads when it runs the request. They are
/// released when this is dropped.
#[derive(Debug)]
pub struct Results {
    context: Arc<Context>,
    /// The handles of the results, in the order of the stages and their pieces.
    pub handles: Vec<name::Handle>,
    outputs: Vec<StageOutput>,
}

/// The results of a stage that has completed.
#[derive(Debug)]
struct StageOutput {
    /// The index of the stage in the plan.
    stage: usize,
    owner: ResultOwner,
    /// The failure domain whose targets hold the results.
    domain: name::Domain,
    /// When the results expire.
    expires_at: Millis,
}

impl Drop for Results {
    fn drop(&mut self) {
        for output in self.outputs.drain(..) {
            release_results(&self.context, output.owner);
        }
    }
}

/// Runs all stages and returns their final results. `run_domain` is where the
/// request itself is expected to run.
///
/// # Errors
/// Returns the failure if a stage fails or cannot complete in time.
pub async fn run(
    context: &Arc<Context>,
    job: &Job,
    plan: &Plan,
    run_domain: Option<&name::Domain>,
) -> Result<Results, Failure> {
    let mut round = 1;
    loop {
        match run_stages_once(context, job, plan.clone(), run_domain).await {
            Ok(results) => return Ok(results),
            Err(why) => {
                log::info!(
                    request:% = job.head.attempt,
                    round,
                    left_ms = (job.deadline - context.now()).0;
                    "the stages did not complete: {why:?}"
                );
                if why != Unmade::Gone || round >= STAGE_ROUNDS_MAX {
                    return Err(failure_for(why));
                }
            }
        }
        round += 1;
    }
}

/// Returns the failure that the client gets.
fn failure_for(why: Unmade) -> Failure {
    match why {
        Unmade::Late => Kind::QueueFull.into(),
        Unmade::Full(retry_ms) => Failure::from(Kind::QueueFull).with_retry_after(Millis(retry_ms)),
        Unmade::Gone | Unmade::Failed => Kind::NoTarget.into(),
        Unmade::Elsewhere => Kind::NoOwner.into(),
    }
}

/// Runs each stage as soon as the stages that it depends on have completed.
async fn run_stages_once(
    context: &Arc<Context>,
    job: &Job,
    mut plan: Plan,
    run_domain: Option<&name::Domain>,
) -> Result<Results, Unmade> {
    // Dropping this releases the outputs, also if this future is cancelled.
    let mut results = Results {
        context: context.clone(),
        handles: Vec::new(),
        outputs: Vec::new(),
    };
    let mut running = FuturesUnordered::new();
    while !plan.is_complete() {
        for index in plan.start_ready() {
            let group = group(context, job, &plan, index, &results.outputs, run_domain);
            let input_owners = exclusive_input_owners(&plan, index, &results.outputs);
            running.push(run_group(context, index, group, input_owners));
        }
        let Some((index, result)) = running.next().await else {
            return Err(Unmade::Failed);
        };
        let (output, dispatcher) = result?;
        if let Some(planned) = plan.stage(index) {
            let kept_for = context
                .state()
                .batch_spec(&planned.service)
                .map(|spec| spec.result_ttl);
            results.outputs.push(StageOutput {
                stage: index,
                owner: ResultOwner {
                    service: planned.service.clone(),
                    address: dispatcher.unwrap_or(context.boot.peer_address),
                    handles: output.handles.clone(),
                },
                domain: output.domain,
                expires_at: context.now() + kept_for.unwrap_or_default(),
            });
        }
        for freed in plan.finish(index, output.handles) {
            let is_freed = |output: &StageOutput| output.owner.handles == freed.handles;
            if let Some(position) = results.outputs.iter().position(is_freed) {
                let input = results.outputs.swap_remove(position);
                if !output.are_inputs_freed {
                    release_results(context, input.owner);
                }
            }
        }
    }
    results.handles = plan.outputs();
    Ok(results)
}

/// The output of a group and the dispatcher that ran it; `None` is this daemon.
type RunResult = Result<(GroupOutput, Option<SocketAddr>), Unmade>;

/// Sends one group to the dispatchers of its service, in their order, until one
/// of them accepts it; returns the index of the stage and the result.
async fn run_group(
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
            Ok(Ok(output)) if !is_one_each(&output.handles, group.pieces.len()) => {
                log::warn!(
                    request:% = group.attempt,
                    stage = index,
                    service:% = service,
                    dispatcher:? = dispatcher,
                    pieces = group.pieces.len(),
                    results = output.handles.len();
                    "the results of a stage are not one for each piece"
                );
                let owner = ResultOwner {
                    service: service.clone(),
                    address: dispatcher.unwrap_or(context.boot.peer_address),
                    handles: output.handles,
                };
                release_results(context, owner);
                return (index, Err(Unmade::Gone));
            }
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

/// Returns the service of a stage and the group of its pieces, whose deadlines
/// leave time for the stages after it and for the request itself.
fn group(
    context: &Context,
    job: &Job,
    plan: &Plan,
    index: usize,
    outputs: &[StageOutput],
    run_domain: Option<&name::Domain>,
) -> (name::Service, Group) {
    let now = context.now();
    let state = context.state();
    let Some(planned) = plan.stage(index) else {
        unreachable!("a plan begins only its own stages");
    };
    let wait = |service: &name::Service| state.wait(service, job.stage_rank(), now);
    let on_time_downstream = downstream_time(&state, plan, index, &wait) + FIRST_BYTE_OVERHEAD;
    let late_wait = |service: &name::Service| state.late_wait(service, now);
    let late_extra =
        downstream_time(&state, plan, index, &late_wait) + FIRST_BYTE_OVERHEAD - on_time_downstream;
    let inputs = plan.inputs(index);
    let source = if inputs.is_empty() {
        Source::Key(job.head.piece_key.clone().unwrap_or_default())
    } else {
        Source::Inputs(inputs)
    };
    let group = Group {
        attempt: job.head.attempt.clone(),
        stage: index,
        pieces: (0..planned.pieces).collect(),
        source,
        result_bytes: planned.result_bytes,
        rank: job.stage_rank(),
        on_time_deadline: (job.useful_by() - on_time_downstream).max(now),
        deadline: (job.begin_by - on_time_downstream).max(now),
        inputs_expire_at: inputs_expire_at(planned, outputs),
        preferred_domain: preferred_domain(plan, index, planned, outputs, run_domain),
        is_first: !plan.has_results(),
        late_extra,
    };
    (planned.service.clone(), group)
}

/// Returns how long the stages after a stage take, along the longest path, with
/// the wait at each of their services.
fn downstream_time(
    state: &State,
    plan: &Plan,
    index: usize,
    wait: &impl Fn(&name::Service) -> Millis,
) -> Millis {
    let readers = plan.readers(index).into_iter();
    let downstream_times = readers.filter_map(|reader| {
        let planned = plan.stage(reader)?;
        let call = state
            .batch_spec(&planned.service)?
            .call_duration(planned.pieces);
        Some(wait(&planned.service) + call + downstream_time(state, plan, reader, wait))
    });
    downstream_times.max().unwrap_or_default()
}

/// Returns the owners of the inputs that no other stage reads; these inputs can
/// be released as soon as this stage has read them.
fn exclusive_input_owners(plan: &Plan, index: usize, outputs: &[StageOutput]) -> Vec<ResultOwner> {
    let Some(planned) = plan.stage(index) else {
        return Vec::new();
    };
    let inputs = outputs
        .iter()
        .filter(|output| planned.after.contains(&output.stage));
    let exclusive = inputs.filter(|output| plan.readers(output.stage) == [index]);
    exclusive.map(|output| output.owner.clone()).collect()
}

/// Returns when the first input of a stage expires, less a margin.
fn inputs_expire_at(planned: &PlannedStage, outputs: &[StageOutput]) -> Millis {
    let inputs = outputs
        .iter()
        .filter(|output| planned.after.contains(&output.stage));
    let expires_at = inputs.map(|output| output.expires_at).min();
    expires_at.map_or(Millis::NEVER, |expires_at| expires_at - INPUTS_MARGIN)
}

/// Returns the failure domain from or to which a stage moves the most bytes, and
/// how many: each of its pieces reads all its inputs, and the results of a final
/// stage are read in `run_domain`, where the request is expected to run.
fn preferred_domain(
    plan: &Plan,
    index: usize,
    planned: &PlannedStage,
    outputs: &[StageOutput],
    run_domain: Option<&name::Domain>,
) -> Option<PreferredDomain> {
    let pieces = u64::from(planned.pieces);
    let inputs = outputs
        .iter()
        .filter(|output| planned.after.contains(&output.stage));
    let input_transfers = inputs.map(|output| {
        let size = plan
            .stage(output.stage)
            .map_or(0, |planned| planned.result_bytes);
        let count = u64::try_from(output.owner.handles.len()).unwrap_or(u64::MAX);
        PreferredDomain {
            domain: output.domain.clone(),
            transfer_bytes: size.saturating_mul(count).saturating_mul(pieces),
        }
    });
    let output_transfer = run_domain
        .filter(|_| plan.readers(index).is_empty())
        .map(|domain| PreferredDomain {
            domain: domain.clone(),
            transfer_bytes: planned.result_bytes.saturating_mul(pieces),
        });
    input_transfers
        .chain(output_transfer)
        .max_by_key(|transfer| transfer.transfer_bytes)
}
