//! The way of one request, from its head to the last byte of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use gooseberry_kernel::name;
use gooseberry_kernel::request::door;
use gooseberry_kernel::request::table::Form;
use gooseberry_kernel::request::table::Rank;
use gooseberry_kernel::request::table::Route;
use gooseberry_kernel::request::table::Service;
use gooseberry_kernel::request::table::Work;
use gooseberry_kernel::stage::plan::Plan;
use gooseberry_platform::client;
use gooseberry_platform::client::Head;
use http::Request;
use http::Response;
use http::uri::PathAndQuery;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::bodies;
use crate::context::Context;
use crate::front;
use crate::front::Answer;
use crate::passage;
use crate::stages;

/// What is known of a request once it has been taken in.
#[derive(Debug)]
pub struct Job {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Bytes,
    /// The memory that the body takes.
    pub memory: bodies::Body,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: Arc<Service>,
    /// Whose it is.
    pub workspace: Option<name::Workspace>,
    /// How urgent it is.
    pub rank: Rank,
    /// When its head was read.
    pub arrived: Millis,
    /// Until when its answer is on time.
    pub on_time: Millis,
    /// Until when the first byte of its answer is of any use.
    pub begin_by: Millis,
    /// Until when it may be kept waiting.
    pub deadline: Millis,
    /// Names its work, whatever attempt asks for it.
    pub digest: id::Digest,
}

impl Job {
    /// Returns the name of the answer's form in logs and metrics.
    #[must_use]
    pub fn form(&self) -> &'static str {
        match self.route.form {
            Form::Plain => "plain",
            Form::Stream => "stream",
        }
    }

    /// Returns a draw that is the same for the whole request.
    #[must_use]
    pub fn draw(&self) -> u64 {
        hash::text(self.head.attempt.as_str())
    }

    /// Returns the rank for a target that generates.
    #[must_use]
    pub fn engine_rank(&self) -> Option<Rank> {
        matches!(self.service.work, Work::Engine(_)).then_some(self.rank)
    }
}

/// Serves a request.
pub async fn serve(context: Arc<Context>, request: Request<Incoming>) -> Response<Answer> {
    let arrived = context.now();
    let (parts, body) = request.into_parts();
    let head = match Head::read(parts) {
        Ok(head) => head,
        Err(kind) => {
            log::info!("refused: {kind}");
            context.metrics.request("unknown", kind.row().label);
            return refuse(&kind.into(), None);
        }
    };
    let attempt = head.attempt.clone();
    let mut unended = Unended {
        context: &context,
        attempt: &attempt,
        arrived,
        is_ended: false,
    };
    let answered = answer(&context, arrived, head, body).await;
    unended.is_ended = true;
    drop(unended);
    match answered {
        Ok(answer) => answer,
        Err(failure) => {
            log::info!(
                request:% = attempt,
                end:% = failure.kind,
                outcome:% = failure.outcome,
                retry_ms = failure.retry_after.unwrap_or_default().0,
                took_ms = (context.now() - arrived).0;
                "request refused"
            );
            context.metrics.request("refused", failure.kind.row().label);
            refuse(&failure, Some(&attempt))
        }
    }
}

async fn answer(
    context: &Arc<Context>,
    arrived: Millis,
    head: Head,
    body: Incoming,
) -> Result<Response<Answer>, Failure> {
    let job = admit(context, arrived, head, body).await?;
    // A route without stages takes whatever a client says of pieces.
    let pieces = if job.route.stages.is_empty() {
        &[][..]
    } else {
        &job.head.pieces
    };
    let plan = Plan::new(&job.route.stages, pieces).map_err(|error| {
        log::info!(request:% = job.head.attempt; "the stages do not fit: {error:?}");
        Kind::BadRequest
    })?;
    if plan.is_complete() {
        return passage::run(context.clone(), job, None).await;
    }
    stages::admit(context, &job, &plan)?;
    passage::run(context.clone(), job, Some(plan)).await
}

/// Finds the route and the workspace, and reads the body.
async fn admit(
    context: &Arc<Context>,
    arrived: Millis,
    head: Head,
    body: Incoming,
) -> Result<Job, Failure> {
    let (route, service, workspace, rank, limits, version) = {
        let state = context.state();
        let table = state.table().ok_or(Kind::NotReady)?;
        let route = table
            .route(&head.host, head.uri.path())
            .ok_or(Kind::NoPath)?;
        let key = head.key.as_ref().and_then(|key| table.key(key));
        if table.has_keys && key.is_none() && !route.is_anonymous {
            return Err(Kind::BadCredential.into());
        }
        let service = route.pick(&head.attempt);
        let service = service.and_then(|service| table.service(service));
        let service = service.ok_or(Kind::NoTarget)?.clone();
        let rank = Rank::of(key.and_then(|key| key.rank), route.rank);
        let workspace = key.map(|key| key.workspace.clone());
        (
            route.clone(),
            service,
            workspace,
            rank,
            table.limits,
            table.version,
        )
    };
    if let Some(end) = context.ending.at() {
        let left = end - context.now();
        if !door::has_time_to_end(route.form, route.objective, left) {
            return Err(Failure::from(Kind::ShuttingDown).with_retry_after(door::RETURN_MIN));
        }
    }
    let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + patience;
    if patience == Millis::ZERO {
        return Err(Kind::TooLate.into());
    }
    // A body without a length may be as large as the limit allows.
    let most = u64::try_from(limits.body_bytes).unwrap_or(u64::MAX);
    let size = body.size_hint().upper().unwrap_or(most).min(most);
    let memory = context.bodies.take(size).ok_or(Kind::Overloaded)?;
    let body = read_body(body, limits.body_bytes, patience).await?;
    let digest = digest(&head, workspace.as_ref(), &body);
    let now = context.now();
    let mut state = context.state();
    if state.suspects().is_quarantined(&digest, now) {
        log::warn!(request:% = head.attempt, digest:% = digest; "the request is in quarantine");
        return Err(Kind::Quarantined.into());
    }
    state.note_first(&service.name, now);
    // A client that comes back after a refusal gives less time than one that
    // asks for the first time; its answer is due as much earlier.
    let waited = head
        .patience
        .map(|patience| state.waited(&route.name, patience));
    let waited = waited.unwrap_or_default();
    drop(state);
    log::info!(
        request:% = head.attempt,
        route:% = route.name,
        service:% = service.name,
        workspace:% = workspace.clone().unwrap_or_default(),
        rank = rank.0,
        version,
        patience_ms = patience.0,
        waited_ms = waited.0;
        "request taken in"
    );
    Ok(Job {
        on_time: arrived + (route.objective - waited),
        begin_by: deadline.min(arrived + route.silence_max()),
        head,
        body,
        memory,
        route,
        service,
        workspace,
        rank,
        arrived,
        deadline,
        digest,
    })
}

async fn read_body(body: Incoming, max: usize, limit: Millis) -> Result<Bytes, Failure> {
    if usize::try_from(body.size_hint().lower()).map_or(true, |least| least > max) {
        return Err(Kind::TooLarge.into());
    }
    let reading = Limited::new(body, max).collect();
    match timeout(Duration::from_millis(limit.0), reading).await {
        Err(_) => Err(Kind::SlowRequest.into()),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::TooLarge.into()),
        Ok(Err(_)) => Err(Kind::BadRequest.into()),
    }
}

/// Names the work of a request: its caller, path, query and body.
fn digest(head: &Head, workspace: Option<&name::Workspace>, body: &[u8]) -> id::Digest {
    let mut text = Vec::with_capacity(body.len() + 64);
    for part in [
        workspace.map_or("", name::Workspace::as_str),
        head.method.as_str(),
        head.host.as_str(),
        head.uri.path_and_query().map_or("", PathAndQuery::as_str),
    ] {
        text.extend_from_slice(part.as_bytes());
        text.push(b'\n');
    }
    text.extend_from_slice(body);
    id::Digest::of(&text)
}

fn refuse(failure: &Failure, attempt: Option<&name::Attempt>) -> Response<Answer> {
    client::refusal(failure, attempt).map(front::whole)
}

/// Tells of a request whose client left before its answer began.
struct Unended<'a> {
    context: &'a Context,
    attempt: &'a name::Attempt,
    arrived: Millis,
    is_ended: bool,
}

impl Drop for Unended<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.context.metrics.request("unknown", "abandoned");
            log::info!(
                request:% = self.attempt,
                took_ms = (self.context.now() - self.arrived).0;
                "the client left"
            );
        }
    }
}
