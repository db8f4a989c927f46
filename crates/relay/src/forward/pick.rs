//! Waits for a target that takes a request.

use std::time::Duration;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use tokio::time::sleep;

use crate::context::Context;
use crate::state::Need;
use crate::state::Pick;
use crate::state::PickedTarget;

/// How long to wait before picking a target again when all are cold or full.
const PICK_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Picks a target; while all of them are cold or full, waits for one until the deadline.
/// The request then counts as in flight there.
///
/// # Errors
/// Returns [`Kind::TooLate`] at the deadline, and another failure if no target takes the
/// request in time.
pub(crate) async fn wait_for_target(
    context: &Context,
    attempt: &name::Attempt,
    need: Need<'_>,
    deadline: Millis,
) -> Result<PickedTarget, Failure> {
    loop {
        let now = context.now();
        if now >= deadline {
            return Err(Kind::TooLate.into());
        }
        let pick = context.state().pick(need, now);
        match pick {
            Pick::Target(picked) => return Ok(picked),
            Pick::NoTarget => return Err(Kind::NoTarget.into()),
            // Holding the request until then would be of no use to its client.
            Pick::Paused(until) if until >= need.due => {
                return Err(Failure::from(Kind::QueueFull).with_retry_after(until - now));
            }
            Pick::NoShare => {
                context.metrics.rate_limited("refused");
                log::info!(request:% = attempt, service:% = need.service.name; "refused: all targets limit their rate, and other daemons have the shares");
                return Err(Kind::QueueFull.into());
            }
            Pick::Booked(picked, at) => {
                context.metrics.rate_limited("booked");
                sleep(Duration::from_millis((at - now).0)).await;
                let now = context.now();
                let mut state = context.state();
                if state.begin_booked(&picked.target, need.service, now) {
                    return Ok(picked);
                }
            }
            Pick::Wait | Pick::Paused(_) => sleep(PICK_RETRY_DELAY).await,
        }
    }
}
