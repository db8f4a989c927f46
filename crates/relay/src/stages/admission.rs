//! Refuses requests whose stages cannot be computed in time.

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission;
use gooseberry_kernel::request::deadline_admission::Decision;
use gooseberry_kernel::request::deadline_admission::StageEstimate;
use gooseberry_kernel::stage::plan::Plan;

use crate::context::Context;
use crate::request::Job;

/// Admission control: decides whether the stages can be completed in time,
/// given how long pieces wait at each of their services.
///
/// # Errors
/// Returns a refusal with the time after which the client may retry.
pub fn admit(context: &Context, job: &Job, plan: &Plan) -> Result<(), Failure> {
    admit_by_targets(context, job, plan)?;
    let now = context.now();
    let estimates: Vec<StageEstimate> = {
        let state = context.state();
        let chain = plan.longest_chain().into_iter();
        let estimate = |index| {
            let planned = plan.stage(index)?;
            Some(StageEstimate {
                wait: state.wait(&planned.service, job.stage_rank(), now),
                late_wait: state.late_wait(&planned.service, now),
                spec: state.batch_spec(&planned.service)?,
                pieces: planned.pieces,
            })
        };
        chain.filter_map(estimate).collect()
    };
    match deadline_admission::decide(&estimates, job.useful_by() - now, job.begin_by - now) {
        Decision::Admit => Ok(()),
        Decision::Refuse(retry_after) => {
            let waits: Vec<u64> = estimates.iter().map(|estimate| estimate.wait.0).collect();
            let late: Vec<u64> = estimates
                .iter()
                .map(|estimate| estimate.late_wait.0)
                .collect();
            log::info!(
                request:% = job.head.attempt,
                waits_ms:? = waits,
                late_waits_ms:? = late,
                on_time_ms = (job.useful_by() - now).0,
                left_ms = (job.begin_by - now).0,
                retry_ms = retry_after.0;
                "refused at admission: the stages cannot complete in time"
            );
            Err(Failure::from(Kind::QueueFull).with_retry_after(retry_after))
        }
    }
}

/// Refuses a request that needs a service without targets.
fn admit_by_targets(context: &Context, job: &Job, plan: &Plan) -> Result<(), Failure> {
    let now = context.now();
    let counts: Vec<(&name::Service, usize)> = {
        let state = context.state();
        let services = plan.included().map(|stage| &stage.service);
        let counts = services.map(|service| (service, state.staying_count(service, now)));
        counts.collect()
    };
    match deadline_admission::decide_by_targets(counts.iter().map(|(_, count)| *count)) {
        Decision::Admit => Ok(()),
        Decision::Refuse(retry_after) => {
            log::info!(
                request:% = job.head.attempt,
                targets:? = counts,
                retry_ms = retry_after.0;
                "refused at admission: a service of its stages has no target"
            );
            Err(Failure::from(Kind::QueueFull).with_retry_after(retry_after))
        }
    }
}
