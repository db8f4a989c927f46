//! Handles one request: finds its route, checks its credential, reads its
//! body, applies admission control and forwards it to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use gooseberry_kernel::name;
use gooseberry_kernel::request::demand::Demand;
use gooseberry_kernel::request::durations::Span;
use gooseberry_kernel::request::part_quarantine::Part;
use gooseberry_kernel::request::part_quarantine::Verdict;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::request::routing_table::ResponseForm;
use gooseberry_kernel::request::routing_table::Route;
use gooseberry_kernel::request::routing_table::Service;
use gooseberry_kernel::request::routing_table::ServiceKind;
use gooseberry_kernel::request::stream_origin::Origin;
use gooseberry_kernel::stage::plan::Plan;
use gooseberry_kernel::stage::urgency;
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

use crate::answer_record::AnswerRecord;
use crate::body_memory;
use crate::context::Context;
use crate::forward;
use crate::http_server;
use crate::http_server::ResponseBody;
use crate::progress::Progress;
use crate::progress::SentMark;
use crate::resumption;
use crate::stages;

/// An admitted request.
#[derive(Debug)]
pub struct Job {
    /// The request head.
    pub head: Head,
    /// The request body, read whole.
    pub body: Bytes,
    /// Reserves the memory of the body until the request ends.
    pub memory: body_memory::BodyPermit,
    /// The route that matched its host and path.
    pub route: Arc<Route>,
    /// The service whose targets run it.
    pub service: Arc<Service>,
    /// Where its stream began, here or in an earlier attempt; it may go on only there.
    pub origin: Option<Origin>,
    /// The workspace that its API key belongs to; `None` without a valid key.
    pub workspace: Option<name::Workspace>,
    /// Its priority.
    pub rank: Rank,
    /// When its head was read.
    pub arrived: Millis,
    /// When its response must begin to meet the route's latency objective.
    pub on_time_by: Millis,
    /// When its response must begin, or go on if it has begun, to be of any use to the client.
    pub begin_by: Millis,
    /// When the whole response must be complete.
    pub deadline: Millis,
    /// Identifies the work that is asked for; equal for all attempts at it.
    pub digest: id::Digest,
    /// Whether it is sent to find out if targets still crash on a part of its prompt.
    pub is_trial: bool,
    /// How far it has got.
    pub progress: Progress,
    /// What is known of its answer.
    pub record: AnswerRecord,
}

impl Job {
    /// Returns the priority of its stages.
    pub fn stage_rank(&self) -> Rank {
        let is_taken_up = self.origin.is_some() && self.head.resumed_after.is_some();
        urgency::stage_rank(self.rank, is_taken_up)
    }

    /// Records where its answer has begun. Only its deadline holds from then on.
    pub(crate) fn begin(&mut self, origin: Origin) {
        self.origin = Some(origin);
        self.begin_by = self.deadline;
    }

    /// Returns by when its answer must begin to be of use.
    #[must_use]
    pub fn useful_by(&self) -> Millis {
        urgency::useful_by(self.on_time_by, self.begin_by, self.origin.is_some())
    }

    /// Returns the `form` label of logs and metrics: a plain response or a stream.
    #[must_use]
    pub fn form(&self) -> &'static str {
        match self.route.form {
            ResponseForm::Plain => "plain",
            ResponseForm::Stream => "stream",
        }
    }

    /// Returns a pseudo-random number that stays the same for the whole request.
    #[must_use]
    pub fn draw(&self) -> u64 {
        hash::text(self.head.attempt.as_str())
    }

    /// Returns the parts of its prompt that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> Vec<Part> {
        shared_parts(&self.head, &self.service)
    }

    /// Returns what it asks of an engine, if its engine may be chosen by cost.
    #[must_use]
    pub fn placed_demand(&self) -> Option<&Demand> {
        let is_stream = self.route.form == ResponseForm::Stream;
        self.head.demand.as_ref().filter(|_| is_stream)
    }

    /// Returns how much work it is for its target: its tokens if the client names them, or
    /// else the bytes of its body.
    #[must_use]
    pub fn work(&self) -> u64 {
        match &self.head.demand {
            Some(demand) => demand.work_tokens(),
            None => u64::try_from(self.body.len()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the priority to send to the target; only engines take one.
    #[must_use]
    pub fn engine_rank(&self) -> Option<Rank> {
        matches!(self.service.kind, ServiceKind::Engine(_)).then_some(self.rank)
    }
}

/// Handles a request and returns its response, which is a refusal on failure.
pub async fn serve(context: Arc<Context>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrived = context.now();
    let (parts, body) = request.into_parts();
    let head = match Head::read(parts) {
        Ok(head) => head,
        Err(kind) => {
            log::info!("request with an unusable head refused: {kind}");
            context.metrics.request("unknown", kind.row().label);
            return refuse(&kind.into(), None);
        }
    };
    let attempt = head.attempt.clone();
    if !head.faults.is_empty() {
        let faults = head.faults.join("; ");
        log::info!(request:% = attempt, faults; "headers about the demand of a request are not used as sent");
    }
    let mut abandon_guard = AbandonGuard {
        context: &context,
        attempt: &attempt,
        arrived,
        is_answered: false,
    };
    let mark = SentMark::default();
    let record = AnswerRecord::new(&context, &attempt, arrived);
    let result = tokio::select! {
        biased;
        result = handle(&context, &record, head, body, mark.clone()) => result,
        () = context.shutdown.ended() => Err(mark.failure_at_end()),
    };
    abandon_guard.is_answered = true;
    drop(abandon_guard);
    let mut response = match result {
        Ok(response) => response,
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
    };
    response.extensions_mut().insert(record);
    response
}

/// Admits a request, plans its stages and forwards it.
async fn handle(
    context: &Arc<Context>,
    record: &AnswerRecord,
    head: Head,
    body: Incoming,
    mark: SentMark,
) -> Result<Response<ResponseBody>, Failure> {
    let job = admit(context, record, head, body, mark).await?;
    let job = resumption::restrict(context, job).await?;
    // Routes without stages ignore the client's numbers of pieces.
    let pieces = if job.route.stages.is_empty() {
        &[][..]
    } else {
        &job.head.pieces
    };
    let plan = Plan::new(&job.route.stages, pieces).map_err(|error| {
        log::info!(request:% = job.head.attempt; "the request's numbers of pieces do not fit its route's stages: {error:?}");
        Kind::BadRequest
    })?;
    if plan.is_complete() {
        return forward::run(context.clone(), job, None).await;
    }
    stages::admit(context, &job, &plan)?;
    forward::run(context.clone(), job, Some(plan)).await
}

/// Finds the route, service and workspace, checks the credential, and reads the
/// body within the memory limit. Refuses a request that cannot finish before a
/// shutdown or is in quarantine.
async fn admit(
    context: &Arc<Context>,
    record: &AnswerRecord,
    head: Head,
    body: Incoming,
    mark: SentMark,
) -> Result<Job, Failure> {
    let arrived = record.arrived();
    let (route, service, workspace, rank, limits, version) = {
        let state = context.state();
        let table = state.usable_table().ok_or(Kind::NotReady)?;
        let route = table
            .route(&head.host, head.uri.path())
            .ok_or(Kind::NoPath)?;
        let key = head.api_key.as_ref().and_then(|key| table.key(key));
        if table.has_keys && key.is_none() && !route.is_anonymous {
            return Err(Kind::BadCredential.into());
        }
        let service = route.pick_service(&head.attempt);
        let service = service.and_then(|service| table.service(service));
        let service = service.ok_or(Kind::NoTarget)?.clone();
        let rank = Rank::combine(key.and_then(|key| key.rank), route.rank);
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
    record.record_admission(version);
    let time_limit = head
        .client_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let deadline = arrived + time_limit;
    if time_limit == Millis::ZERO {
        return Err(Kind::TooLate.into());
    }
    let forecast = |span| context.forecast(&route, span, deadline);
    let shutdown = &context.shutdown;
    shutdown.check_unsent(&head.attempt, || forecast(Span::Whole))?;
    let memory = reserve_memory(context, &body, limits.max_body_bytes)?;
    let reading = read_body(body, limits.max_body_bytes, time_limit);
    let body = shutdown.wait_unsent(&head.attempt, || forecast(Span::Run), reading);
    let body = body.await??;
    let digest = digest(&head, workspace.as_ref(), &body);
    let now = context.now();
    let mut state = context.state();
    if state.suspects().is_quarantined(&digest, now) {
        log::warn!(request:% = head.attempt, digest:% = digest; "refused: the request is in quarantine");
        return Err(Kind::Quarantined.into());
    }
    let is_trial = match state.part_verdict(&shared_parts(&head, &service), now) {
        Verdict::Free => false,
        Verdict::Trial(part) => {
            log::info!(request:% = head.attempt, part:% = part; "a part of prompts that is in quarantine is tried again");
            true
        }
        Verdict::Quarantined(part) => {
            log::info!(request:% = head.attempt, part:% = part; "refused: a part of the prompt is in quarantine");
            return Err(Kind::Quarantined.into());
        }
    };
    state.record_first_send(&service.name, now);
    // A client that retries after a refusal sends a shorter deadline than on its
    // first attempt. The difference is the time it has waited already, and its
    // response is due that much earlier.
    let waited = head
        .client_timeout
        .map(|client_timeout| state.waited_at_least(&route.name, client_timeout))
        .unwrap_or_default();
    drop(state);
    log::info!(
        request:% = head.attempt,
        route:% = route.name,
        service:% = service.name,
        workspace:% = workspace.clone().unwrap_or_default(),
        rank = rank.0,
        parts:% = head.prompt_parts.join(","),
        version,
        resumes:% = head.resumed_attempt.clone().unwrap_or_default(),
        patience_ms = time_limit.0,
        waited_ms = waited.0;
        "request admitted"
    );
    let begin_by = deadline.min(arrived + route.first_byte_timeout());
    Ok(Job {
        progress: Progress::new(context, &route.name, arrived, mark),
        on_time_by: urgency::on_time_by(arrived + (route.objective - waited), begin_by),
        begin_by,
        head,
        body,
        memory,
        route,
        service,
        origin: None,
        workspace,
        rank,
        arrived,
        deadline,
        digest,
        is_trial,
        record: record.clone(),
    })
}

/// Returns the parts of a prompt that other requests may share: all but the last one.
fn shared_parts(head: &Head, service: &Service) -> Vec<Part> {
    let ids = head
        .prompt_parts
        .split_last()
        .map_or(&[][..], |(_, ids)| ids);
    let ids = ids.iter().filter(|id| !id.is_empty());
    ids.map(|id| Part::of(&service.name, id)).collect()
}

/// Reserves the memory of a request body; that of the longest one if its length is unknown.
fn reserve_memory(
    context: &Context,
    body: &Incoming,
    max_bytes: usize,
) -> Result<body_memory::BodyPermit, Failure> {
    let max_bytes = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let size = body.size_hint().upper().unwrap_or(max_bytes).min(max_bytes);
    let memory = context.body_memory.acquire(size);
    memory.ok_or_else(|| Kind::Overloaded.into())
}

/// Reads a request body of at most `max_bytes`.
async fn read_body(body: Incoming, max_bytes: usize, time_limit: Millis) -> Result<Bytes, Failure> {
    if usize::try_from(body.size_hint().lower()).map_or(true, |lower| lower > max_bytes) {
        return Err(Kind::TooLarge.into());
    }
    let reading = Limited::new(body, max_bytes).collect();
    match timeout(Duration::from_millis(time_limit.0), reading).await {
        Err(_) => Err(Kind::SlowRequest.into()),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::TooLarge.into()),
        Ok(Err(_)) => Err(Kind::BadRequest.into()),
    }
}

/// Returns the digest of what a request asks for: its workspace, method, host,
/// path, query and body.
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

fn refuse(failure: &Failure, attempt: Option<&name::Attempt>) -> Response<ResponseBody> {
    client::error_response(failure, attempt).map(http_server::full_body)
}

/// Logs and counts a request whose client disconnected before the response
/// began: its future is dropped then, and this guard with it.
struct AbandonGuard<'a> {
    context: &'a Context,
    attempt: &'a name::Attempt,
    arrived: Millis,
    is_answered: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.context.metrics.request("unknown", "abandoned");
            log::info!(
                request:% = self.attempt,
                took_ms = (self.context.now() - self.arrived).0;
                "the client disconnected before the response began"
            );
        }
    }
}
