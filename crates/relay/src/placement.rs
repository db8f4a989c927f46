//! Has one daemon, the placer of a group of engines, choose the engines of requests.
//!
//! The choice is made in [`gooseberry_kernel::target::placement`]. A request whose placer
//! does not answer in time gets the target that this daemon chooses by itself.
//!
//! - `placer` chooses engines for the requests of all daemons.
//! - `placed_request` reports how a request ended to its placer.

mod placed_request;
mod placer;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use gooseberry_kernel::fleet::placer_call::Outbox;
use gooseberry_kernel::fleet::placer_call::PLACE_TIMEOUT;
use gooseberry_kernel::fleet::placer_call::REPORT_INTERVAL;
use gooseberry_kernel::fleet::placer_call::Report;
use gooseberry_kernel::fleet::placer_call::Silences;
use gooseberry_kernel::name;
use gooseberry_kernel::target::placement;
use gooseberry_wire::fleet::placement::EXCLUDED_MAX;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::Malformed;
use gooseberry_wire::fleet::placement::NotPlaced;
use gooseberry_wire::fleet::placement::Placement;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::context::Context;
use crate::peers::Uncalled;
pub(crate) use crate::placement::placed_request::PlacedRequest;
pub use crate::placement::placer::Placer;
use crate::request::Job;
use crate::state::Need;
use crate::state::placement::Assignment;

/// What this daemon knows of the placers that it asks.
#[derive(Debug, Default)]
pub struct Asker {
    silences: Mutex<Silences>,
    outbox: Mutex<Outbox>,
}

impl Asker {
    fn silences(&self) -> MutexGuard<'_, Silences> {
        self.silences.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a request has no engine from a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FallBack {
    /// No placer is known, or the known one may not be asked now.
    Local(&'static str),
    /// The placer did not answer.
    NoAnswer,
    /// The placer chose no engine.
    NotPlaced(NotPlaced),
    /// The answer is malformed.
    Unusable(Malformed),
}

impl FallBack {
    /// Returns the label of the metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Local(_) => "local",
            Self::NoAnswer => "no-answer",
            Self::NotPlaced(NotPlaced::Elsewhere) => "elsewhere",
            Self::NotPlaced(NotPlaced::NoEngine) => "no-engine",
            Self::Unusable(_) => "unusable",
        }
    }

    fn detail(self) -> String {
        match self {
            Self::Local(why) => why.to_owned(),
            Self::Unusable(why) => why.to_string(),
            Self::NoAnswer | Self::NotPlaced(_) => String::new(),
        }
    }
}

/// Has the placer of its group choose the engine of a request. Returns `None` if engines of
/// its service are not chosen by cost, and if this daemon has to choose by itself.
pub(crate) async fn place(
    context: &Arc<Context>,
    job: &Job,
    need: Need<'_>,
    preferred_domain: Option<&name::Domain>,
) -> Option<PlacedRequest> {
    let demand = job.placed_demand()?;
    let begun = context.now();
    let (assignment, has_target, excluded) = {
        let mut state = context.state();
        let assignment = state.placer(need, begun)?;
        let has_target = state.forecast_domain(need, begun).is_some();
        let excluded = state.excluded(need, assignment.group, EXCLUDED_MAX, begun);
        (assignment, has_target, excluded)
    };
    let request = placement::Request {
        attempt: job.head.attempt.clone(),
        route: job.route.name.clone(),
        rank: job.rank,
        demand: demand.clone(),
        affinity: need.affinity,
        gap_max: job.route.max_event_gap,
        time_left: job.on_time_by - begun,
        preferred_domain: preferred_domain.cloned(),
        excluded,
    };
    let service = &need.service.name;
    let result = if need.version.is_some() {
        // The placer does not know which versions can go on with a stream.
        Err(FallBack::Local("the stream may go on only at one version"))
    } else if !has_target {
        // The choice would be old when a target has room.
        Err(FallBack::Local("no target has room now"))
    } else {
        ask(context, assignment, service, &request).await
    };
    let took = context.now() - begun;
    match result {
        Ok(placed) => {
            context.metrics.placements.time(took);
            Some(PlacedRequest::new(
                context,
                assignment,
                service,
                &job.head.attempt,
                placed,
                took,
            ))
        }
        Err(why) => {
            context.metrics.placements.end(why.label());
            log::info!(
                request:% = job.head.attempt,
                service:% = service,
                group = assignment.group,
                placer:? = assignment.placer,
                took_ms = took.0,
                reason = why.label(),
                detail:% = why.detail();
                "placement fell back"
            );
            None
        }
    }
}

async fn ask(
    context: &Arc<Context>,
    assignment: Assignment,
    service: &name::Service,
    request: &placement::Request,
) -> Result<placement::Placed, FallBack> {
    let group = assignment.group;
    let Some(address) = assignment.placer else {
        let placed = context.placer.place(context, service, group, request);
        return placed.map_err(FallBack::NotPlaced);
    };
    if !context.asker.silences().may_ask(address, context.now()) {
        return Err(FallBack::Local("the placer did not answer lately"));
    }
    let message = Placement::new(service, group, request);
    let limit = Duration::from_millis(PLACE_TIMEOUT.0);
    let call = context.peers.place(context, address, message);
    match timeout(limit, call).await {
        Ok(Ok(Ok(placed))) => placed.try_into().map_err(FallBack::Unusable),
        Ok(Ok(Err(why))) => Err(FallBack::NotPlaced(why)),
        Ok(Err(Uncalled::Former)) => Err(FallBack::Local("the placer is of a former build")),
        Ok(Err(Uncalled::Unreachable)) | Err(_) => {
            context.asker.silences().record(address, context.now());
            Err(FallBack::NoAnswer)
        }
    }
}

/// Sends reports to placers for as long as the process runs.
pub async fn run_reports(context: Arc<Context>) {
    let mut ticks = interval(Duration::from_millis(REPORT_INTERVAL.0));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let due = context.asker.outbox().take_due(context.now());
        for (placer, reports) in due {
            tokio::spawn(send_reports(context.clone(), placer, reports));
        }
    }
}

/// Sends reports to a placer. They are dropped if it does not answer, as it forgets the
/// requests after a while.
async fn send_reports(context: Arc<Context>, placer: SocketAddr, reports: Vec<Report>) {
    let encode = |report: &Report| Finish::new(&report.service, report.group, &report.finish);
    let messages = reports.iter().map(encode).collect();
    if context.peers.finished(placer, messages).await.is_err() {
        log::info!(placer:% = placer, reports = reports.len(); "reports of placed requests were dropped: the placer does not answer");
    }
}
