//! Has the stages of a request made, and frees what was read.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::door;
use gooseberry_kernel::request::door::FIRST_BYTE;
use gooseberry_kernel::request::door::Leg;
use gooseberry_kernel::request::door::Verdict;
use gooseberry_kernel::stage::group::Group;
use gooseberry_kernel::stage::group::Near;
use gooseberry_kernel::stage::group::Source;
use gooseberry_kernel::stage::plan::Plan;
use gooseberry_kernel::stage::plan::Step;
use gooseberry_wire::fleet::Unmade;

use crate::context::Context;
use crate::dispatcher::Batch;
use crate::dispatcher::Keeper;
use crate::dispatcher::give_up;
use crate::request::Job;
use crate::state::State;

/// How often a whole plan is made when results vanish with their makers.
const ROUNDS_MAX: u32 = 2;

/// How long before they age out inputs count as gone: their reader must have
/// fetched them by then.
const INPUTS_MARGIN: Millis = Millis(150);

/// The results that a request's run reads; they are freed with the value.
#[derive(Debug)]
pub struct Results {
    context: Arc<Context>,
    /// The results.
    pub handles: Vec<name::Handle>,
    kept: Vec<Kept>,
}

/// Results of a stage that was made.
#[derive(Debug)]
struct Kept {
    stage: usize,
    keeper: Keeper,
    domain: name::Domain,
    until: Millis,
}

impl Drop for Results {
    fn drop(&mut self) {
        for kept in self.kept.drain(..) {
            give_up(&self.context, kept.keeper);
        }
    }
}

/// Decides at the door whether the stages can be made in time.
///
/// # Errors
/// Returns a refusal with the time after which the client may come back.
pub fn admit(context: &Context, job: &Job, plan: &Plan) -> Result<(), Failure> {
    let now = context.now();
    let legs: Vec<Leg> = {
        let state = context.state();
        let chain = plan.longest().into_iter();
        let leg = |index| {
            let step = plan.step(index)?;
            Some(Leg {
                wait: state.wait(&step.service, job.rank, now),
                late: state.late_wait(&step.service, now),
                pieces: state.pieces(&step.service)?,
                count: step.pieces,
            })
        };
        chain.filter_map(leg).collect()
    };
    match door::decide(&legs, job.on_time - now, job.begin_by - now) {
        Verdict::Enter => Ok(()),
        Verdict::Refuse(span) => {
            let waits: Vec<u64> = legs.iter().map(|leg| leg.wait.0).collect();
            let late: Vec<u64> = legs.iter().map(|leg| leg.late.0).collect();
            log::info!(
                request:% = job.head.attempt,
                waits_ms:? = waits,
                late_waits_ms:? = late,
                on_time_ms = (job.on_time - now).0,
                left_ms = (job.begin_by - now).0,
                retry_ms = span.0;
                "refused at the door: the stages cannot be made in time"
            );
            Err(Failure::from(Kind::QueueFull).with_retry_after(span))
        }
    }
}

/// Has every stage made, and returns what the run reads.
///
/// # Errors
/// Returns the failure if a stage cannot be made in time.
pub async fn run(
    context: &Arc<Context>,
    job: &Job,
    plan: &Plan,
    domain: Option<&name::Domain>,
) -> Result<Results, Failure> {
    let mut round = 1;
    loop {
        match run_once(context, job, plan.clone(), domain).await {
            Ok(results) => return Ok(results),
            Err(why) => {
                log::info!(
                    request:% = job.head.attempt,
                    round,
                    left_ms = (job.deadline - context.now()).0;
                    "stages not made: {why:?}"
                );
                if why != Unmade::Gone || round >= ROUNDS_MAX {
                    return Err(failure(why));
                }
            }
        }
        round += 1;
    }
}

fn failure(why: Unmade) -> Failure {
    match why {
        Unmade::Late => Kind::QueueFull.into(),
        Unmade::Full(span) => Failure::from(Kind::QueueFull).with_retry_after(Millis(span)),
        Unmade::Gone | Unmade::Failed => Kind::NoTarget.into(),
        Unmade::Elsewhere => Kind::NoOwner.into(),
    }
}

async fn run_once(
    context: &Arc<Context>,
    job: &Job,
    mut plan: Plan,
    domain: Option<&name::Domain>,
) -> Result<Results, Unmade> {
    // Whatever is kept is freed when this value goes, also by cancellation.
    let mut results = Results {
        context: context.clone(),
        handles: Vec::new(),
        kept: Vec::new(),
    };
    let mut running = FuturesUnordered::new();
    while !plan.is_complete() {
        for index in plan.begin() {
            let group = group(context, job, &plan, index, &results.kept, domain);
            let keepers = keepers(&plan, index, &results.kept);
            running.push(make(context, index, group, keepers));
        }
        let Some((index, made)) = running.next().await else {
            return Err(Unmade::Failed);
        };
        let (batch, dispatcher) = made?;
        if let Some(step) = plan.step(index) {
            let kept = context
                .state()
                .pieces(&step.service)
                .map(|pieces| pieces.kept);
            results.kept.push(Kept {
                stage: index,
                keeper: Keeper {
                    service: step.service.clone(),
                    address: dispatcher.unwrap_or(context.boot.peers),
                    handles: batch.handles.clone(),
                },
                domain: batch.domain,
                until: context.now() + kept.unwrap_or_default(),
            });
        }
        for freed in plan.finish(index, batch.handles) {
            let is_same = |kept: &Kept| kept.keeper.handles == freed.handles;
            if let Some(place) = results.kept.iter().position(is_same) {
                let kept = results.kept.swap_remove(place);
                if !batch.are_inputs_freed {
                    give_up(context, kept.keeper);
                }
            }
        }
    }
    results.handles = plan.outputs();
    Ok(results)
}

type Made = Result<(Batch, Option<SocketAddr>), Unmade>;

/// Has one group made by the first dispatcher that answers.
async fn make(
    context: &Arc<Context>,
    index: usize,
    group: (name::Service, Group),
    keepers: Vec<Keeper>,
) -> (usize, Made) {
    let (service, group) = group;
    let asked = context.now();
    let own = context.state().members().process();
    // The order is looked up for each try: a daemon that hands its groups over
    // does so because it has changed.
    let mut tried: Vec<Option<SocketAddr>> = Vec::new();
    loop {
        let order = context.state().dispatchers(&service, context.now());
        let next = order.into_iter().find(|one| !tried.contains(one));
        let Some(dispatcher) = next else {
            return (index, Err(Unmade::Elsewhere));
        };
        tried.push(dispatcher);
        let made = match dispatcher {
            None => Ok(context
                .dispatcher
                .make(context, &service, group.clone(), keepers.clone(), own)
                .await),
            Some(address) => {
                context
                    .peers
                    .make(context, address, &service, &group, &keepers)
                    .await
            }
        };
        match made {
            Ok(Err(Unmade::Elsewhere)) => {}
            Ok(Ok(batch)) => {
                let now = context.now();
                log::info!(
                    request:% = group.attempt,
                    stage = index,
                    service:% = service,
                    pieces = group.pieces.len(),
                    took_ms = (now - asked).0,
                    spare_ms = (group.on_time - now).0;
                    "stage made"
                );
                return (index, Ok((batch, dispatcher)));
            }
            Ok(Err(why)) => return (index, Err(why)),
            Err(_) => {
                log::warn!(
                    request:% = group.attempt,
                    service:% = service,
                    dispatcher:? = dispatcher;
                    "a dispatcher was not reached; the next one is asked"
                );
            }
        }
        if group.until <= context.now() {
            return (index, Err(Unmade::Late));
        }
    }
}

fn group(
    context: &Context,
    job: &Job,
    plan: &Plan,
    index: usize,
    kept: &[Kept],
    domain: Option<&name::Domain>,
) -> (name::Service, Group) {
    let now = context.now();
    let state = context.state();
    let Some(step) = plan.step(index) else {
        unreachable!("a plan begins only its own stages");
    };
    let wait = |service: &name::Service| state.wait(service, job.rank, now);
    let tail = tail(&state, plan, index, &wait) + FIRST_BYTE;
    let late_wait = |service: &name::Service| state.late_wait(service, now);
    let late_tail = self::tail(&state, plan, index, &late_wait) + FIRST_BYTE - tail;
    let inputs = plan.inputs(index);
    let source = if inputs.is_empty() {
        Source::Key(job.head.piece_key.clone().unwrap_or_default())
    } else {
        Source::Inputs(inputs)
    };
    let group = Group {
        attempt: job.head.attempt.clone(),
        stage: index,
        pieces: (0..step.pieces).collect(),
        source,
        bytes: step.bytes,
        rank: job.rank,
        on_time: (job.on_time - tail).max(now),
        until: (job.begin_by - tail).max(now),
        inputs_until: inputs_until(step, kept),
        near: near(plan, index, step, kept, domain),
        is_first: !plan.is_begun(),
        late_tail,
    };
    (step.service.clone(), group)
}

/// Returns how long the stages after a stage take, on the longest way, with the
/// wait that each service has.
fn tail(
    state: &State,
    plan: &Plan,
    index: usize,
    wait: &impl Fn(&name::Service) -> Millis,
) -> Millis {
    let readers = plan.readers(index).into_iter();
    let tails = readers.filter_map(|reader| {
        let step = plan.step(reader)?;
        let call = state.pieces(&step.service)?.call(step.pieces);
        Some(wait(&step.service) + call + tail(state, plan, reader, wait))
    });
    tails.max().unwrap_or_default()
}

/// Returns who is told when the inputs of a stage have been read: those that
/// only this stage reads.
fn keepers(plan: &Plan, index: usize, kept: &[Kept]) -> Vec<Keeper> {
    let Some(step) = plan.step(index) else {
        return Vec::new();
    };
    let inputs = kept.iter().filter(|kept| step.after.contains(&kept.stage));
    let own = inputs.filter(|kept| plan.readers(kept.stage) == [index]);
    own.map(|kept| kept.keeper.clone()).collect()
}

/// Returns until when the inputs of a stage exist.
fn inputs_until(step: &Step, kept: &[Kept]) -> Millis {
    let inputs = kept.iter().filter(|kept| step.after.contains(&kept.stage));
    let until = inputs.map(|kept| kept.until).min();
    until.map_or(Millis::NEVER, |until| until - INPUTS_MARGIN)
}

/// Returns where a stage is best made: each of its pieces reads all inputs, and
/// what only the run reads is read where the run is expected.
fn near(
    plan: &Plan,
    index: usize,
    step: &Step,
    kept: &[Kept],
    run: Option<&name::Domain>,
) -> Option<Near> {
    let pieces = u64::from(step.pieces);
    let inputs = kept.iter().filter(|kept| step.after.contains(&kept.stage));
    let read = inputs.map(|kept| {
        let size = plan.step(kept.stage).map_or(0, |step| step.bytes);
        let count = u64::try_from(kept.keeper.handles.len()).unwrap_or(u64::MAX);
        Near {
            domain: kept.domain.clone(),
            bytes: size.saturating_mul(count).saturating_mul(pieces),
        }
    });
    let made = run
        .filter(|_| plan.readers(index).is_empty())
        .map(|domain| Near {
            domain: domain.clone(),
            bytes: step.bytes.saturating_mul(pieces),
        });
    read.chain(made).max_by_key(|near| near.bytes)
}
