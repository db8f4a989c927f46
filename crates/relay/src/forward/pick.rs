//! Waits for a target that takes a request.

use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::name;
use gooseberry_kernel::request::deadline_admission::Forecast;
use gooseberry_kernel::request::routing_table::ServiceKind;
use gooseberry_kernel::request::wait_queue::Ticket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::context::Context;
use crate::state::Admission;
use crate::state::Decision;
use crate::state::Need;
use crate::state::Pick;
use crate::state::PickedTarget;
use crate::state::Seat;

/// How often a queue is looked through for places that fell free without an event, as when
/// a pause ends or a cold share is refilled.
const SWEEP_INTERVAL: Duration = Duration::from_millis(25);

/// Picks a target; while all of them are cold or full, or others that wait go first, waits
/// for one until the deadline, or until the daemon is expected to shut down before a request
/// with this forecast ends. The request then counts as in flight there.
///
/// # Errors
/// Returns [`Kind::TooLate`] at the deadline, and another failure if no target takes the
/// request in time.
pub(crate) async fn wait_for_target(
    context: &Arc<Context>,
    attempt: &name::Attempt,
    need: Need<'_>,
    deadline: Millis,
    forecast: impl Fn() -> Forecast,
) -> Result<PickedTarget, Failure> {
    loop {
        let now = context.now();
        if now >= deadline {
            return Err(Kind::TooLate.into());
        }
        let admission = context.state().pick_or_wait(need, now);
        let pick = match admission {
            Admission::Decided(pick) => pick,
            Admission::Waits(seat) => {
                let waiting = wait_in_queue(context, attempt, need, deadline, &forecast, seat);
                waiting.await?
            }
        };
        let now = context.now();
        match pick {
            Pick::Target(picked) => return Ok(picked),
            Pick::NoTarget => return Err(Kind::NoTarget.into()),
            // Holding the request until then would be of no use to its client.
            Pick::Paused(until) => {
                return Err(Failure::from(Kind::QueueFull).with_retry_after(until - now));
            }
            Pick::NoShare => {
                context.metrics.rate_limited("refused");
                log::info!(request:% = attempt, service:% = need.service.name; "refused: all targets limit their rate, and other daemons have the shares");
                return Err(Kind::QueueFull.into());
            }
            Pick::Booked(picked, at) => {
                context.metrics.rate_limited("booked");
                let turn = sleep(Duration::from_millis((at - now).0));
                context
                    .shutdown
                    .wait_unsent(attempt, &forecast, turn)
                    .await?;
                let now = context.now();
                let mut state = context.state();
                if state.begin_booked(&picked, need.service, now) {
                    return Ok(picked);
                }
            }
            Pick::Wait => {}
        }
    }
}

/// Waits until there is a decision about a request in the queue of its service.
async fn wait_in_queue(
    context: &Arc<Context>,
    attempt: &name::Attempt,
    need: Need<'_>,
    deadline: Millis,
    forecast: impl Fn() -> Forecast,
    seat: Seat,
) -> Result<Pick, Failure> {
    let entered = context.now();
    log::info!(
        request:% = attempt,
        service:% = need.service.name,
        rank = need.rank.0,
        position = seat.position,
        length = seat.length,
        due_ms = (need.due - entered).0;
        "waits for a target"
    );
    context.metrics.queue_depth(1);
    let mut waiting = Waiting {
        context,
        attempt,
        need,
        entered,
        end: "abandoned",
        ticket: Some(seat.ticket),
    };
    if seat.must_sweep {
        tokio::spawn(sweep(context.clone(), need.service.name.clone()));
    }
    let time_limit = Duration::from_millis((deadline - entered).0);
    let woken = timeout(time_limit, seat.wake.notified());
    let woken = context.shutdown.wait_unsent(attempt, forecast, woken).await;
    if woken.is_err() {
        waiting.end = "shutting-down";
    }
    // A place that came too late goes to the next request.
    if woken?.is_err() || context.now() >= deadline {
        waiting.end = "too-late";
        return Err(Kind::TooLate.into());
    }
    let decision = context
        .state()
        .take_decision(&need.service.name, seat.ticket);
    waiting.ticket = None;
    match decision {
        Some(Decision::Picked(pick)) => {
            waiting.end = match pick {
                Pick::Target(_) | Pick::Booked(..) => "served",
                Pick::NoTarget => "no-target",
                Pick::Paused(_) | Pick::NoShare | Pick::Wait => "cannot-begin",
            };
            Ok(pick)
        }
        Some(Decision::CannotBegin(retry_after)) => {
            waiting.end = "cannot-begin";
            Err(Failure::from(Kind::QueueFull).with_retry_after(retry_after))
        }
        None => Ok(Pick::Wait),
    }
}

/// Counts a request as in flight at its target until it is dropped.
pub(crate) struct InFlightGuard {
    context: Arc<Context>,
    /// The target; `None` if something else counts the request.
    picked: Option<PickedTarget>,
}

impl InFlightGuard {
    /// Creates the guard of a request that [`State::pick`](crate::state::State::pick) has
    /// counted.
    pub(crate) fn new(context: &Arc<Context>, picked: &PickedTarget) -> Self {
        Self {
            context: context.clone(),
            picked: Some(picked.clone()),
        }
    }

    /// Leaves the request counted.
    pub(crate) fn disarm(mut self) {
        self.picked = None;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(picked) = &self.picked {
            let now = self.context.now();
            self.context.state().record_request_end(picked, now);
        }
    }
}

/// Looks through the queue of a service as long as requests wait there.
async fn sweep(context: Arc<Context>, service: name::Service) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = context.now();
        if !context.state().sweep(&service, now) {
            return;
        }
    }
}

/// A request in the queue, which it leaves when this is dropped.
struct Waiting<'a> {
    context: &'a Context,
    attempt: &'a name::Attempt,
    need: Need<'a>,
    entered: Millis,
    end: &'static str,
    /// `None` once it has left the queue.
    ticket: Option<Ticket>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let (context, service) = (self.context, self.need.service);
        let now = context.now();
        if let Some(ticket) = self.ticket {
            context.state().leave_queue(&service.name, ticket, now);
        }
        let waited = now - self.entered;
        let form = match service.kind {
            ServiceKind::Engine(_) => "stream",
            ServiceKind::Plain | ServiceKind::Stage(_) => "plain",
        };
        context.metrics.latency(form, "queued", waited);
        context.metrics.queue_depth(-1);
        context.metrics.queue_end(self.end);
        log::info!(
            request:% = self.attempt,
            service:% = service.name,
            waited_ms = waited.0,
            why = self.end;
            "left the queue"
        );
    }
}
