//! Calls to targets, made by the daemon that owns the target.
//!
//! Only the owner sends calls to a target; other daemons forward theirs to it.
//! A call that was sent is awaited to its end even if the daemon or the caller
//! that asked for it is gone, since the target still works on it and its slot
//! is still taken.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gooseberry_connectors::target;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::node::SendPermit;
use gooseberry_kernel::slot;
use gooseberry_wire::header;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::actor::Message;
use crate::actor::StartReply;
use crate::answer;
use crate::answer::HttpAnswer;
use crate::context::Context;

/// The path on the data port for calls forwarded to the owner of their target.
pub const PATH: &str = "/v1/stage";
/// The largest body of a forwarded request or its answer, in bytes.
pub const BODY_MAX_BYTES: usize = 64 << 20;

/// A call to be made by the owner of the target.
#[derive(Clone, Debug)]
pub struct CallTask {
    /// The target.
    pub target: id::Target,
    /// The id of the attempt.
    pub attempt: id::Attempt,
    /// The workspace on whose behalf the call is made.
    pub workspace: id::Workspace,
    /// The pipeline that the stage belongs to.
    pub pipeline: id::Pipeline,
    /// The digest of the request's workspace and body.
    pub digest: id::Digest,
    /// The number of targets that crashed while they ran this stage of the
    /// request, as the asking daemon knows it.
    pub crashes: u16,
    /// The time left until the request's deadline, after which the answer is late.
    pub due: Millis,
    /// The time left until the attempt is given up.
    pub timeout: Millis,
    /// The input of the stage.
    pub body: Bytes,
}

/// The result of a [`CallTask`].
#[derive(Clone, Debug)]
pub struct CallReport {
    /// The whole answer of the target, or the failure.
    pub result: Result<Bytes, Failure>,
    /// How long the target worked on the call.
    pub target_time: Millis,
    /// The calls at the target in percent of its limit, if its owner knows.
    pub load_percent: Option<u32>,
    /// The number of targets that crashed while they ran this stage of the
    /// request, as the owner knows it.
    pub crashes: u16,
}

impl CallReport {
    fn failed(failure: Failure) -> Self {
        Self {
            result: Err(failure),
            target_time: Millis::ZERO,
            load_percent: None,
            crashes: 0,
        }
    }

    /// Reports a call whose end was not awaited. The time since its start counts
    /// as target time, since the target may have worked on it all along.
    fn interrupted(failure: Failure, started: Instant) -> Self {
        Self {
            target_time: millis(started.elapsed()),
            ..Self::failed(failure)
        }
    }
}

/// Makes a call to a target that this daemon owns.
pub async fn perform(context: &Arc<Context>, task: CallTask) -> CallReport {
    let deadline = context.clock.now() + task.timeout;
    match acquire_slot(context, &task, deadline).await {
        Ok(()) => send(context, task, deadline).await,
        Err(failure) => CallReport {
            load_percent: load_percent(context, &task.target).await,
            ..CallReport::failed(failure)
        },
    }
}

async fn load_percent(context: &Context, target: &id::Target) -> Option<u32> {
    let target = target.clone();
    let read = move |node: &Node, now| node.load_percent(&target, now);
    context.node.read(read).await.ok().flatten()
}

fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

/// Waits for a slot at the target.
async fn acquire_slot(
    context: &Arc<Context>,
    task: &CallTask,
    deadline: Millis,
) -> Result<(), Failure> {
    let call = slot::Call {
        target: task.target.clone(),
        attempt: task.attempt,
        workspace: task.workspace.clone(),
        due: context.clock.now() + task.due,
        deadline,
        digest: task.digest,
        crashes: task.crashes,
    };
    let start_reply = context
        .node
        .try_ask(|reply| Message::StartCall(call, reply));
    let StartReply::Queued(slot_receiver) = start_reply.await? else {
        return Ok(());
    };
    match timeout(context.clock.until(deadline), slot_receiver).await {
        Ok(Ok(None)) => Ok(()),
        Ok(Ok(Some(kind))) => Err(kind.into()),
        Ok(Err(_)) => Err(Kind::Internal.into()),
        Err(_) => {
            let target = task.target.clone();
            context.node.tell(Message::CancelCall(target, task.attempt));
            Err(Kind::TooLate.into())
        }
    }
}

/// Sends the call in a task of its own and waits for its report until the
/// deadline.
async fn send(context: &Arc<Context>, task: CallTask, deadline: Millis) -> CallReport {
    let (sender, receiver) = oneshot::channel();
    let call_context = context.clone();
    let started = Instant::now();
    tokio::spawn(async move {
        let report = run_call(&call_context, &task, deadline).await;
        sender.send(report).ok();
    });
    match timeout(context.clock.until(deadline), receiver).await {
        Ok(Ok(report)) => report,
        Ok(Err(_)) => CallReport::failed(Kind::Internal.into()),
        Err(_) => CallReport::interrupted(Kind::DeadlinePassed.into(), started),
    }
}

async fn run_call(context: &Arc<Context>, task: &CallTask, deadline: Millis) -> CallReport {
    let target = task.target.clone();
    let permit_reply = context
        .node
        .try_ask(|reply| Message::PermitSend(target, task.attempt, reply));
    let permit = match permit_reply.await {
        Ok(permit) => permit,
        Err(failure) => return CallReport::failed(failure),
    };
    let now = context.clock.now();
    // The process may have been paused since the permit was given.
    if now >= permit.valid_until || now >= deadline {
        let target = task.target.clone();
        context.node.tell(Message::CancelCall(target, task.attempt));
        let kind = if now >= deadline {
            Kind::TooLate
        } else {
            Kind::NoRight
        };
        return CallReport::failed(kind.into());
    }
    let end = permit.valid_until.min(deadline);
    let send_by = Instant::now() + Duration::from_millis((end - now).0);
    let mut call = build_call(&permit, task, deadline - now, context).await;
    call.send_by = send_by;
    let started = Instant::now();
    let call_timeout = Duration::from_millis(permit.pool.longest_call.0);
    let reply = timeout(call_timeout, context.targets.call(&call)).await;
    let (result, signal) = match reply {
        Ok(reply) => {
            if reply.is_foreign {
                log::warn!(
                    request:% = task.attempt.request,
                    workspace:% = task.workspace,
                    pipeline:% = task.pipeline,
                    stage = task.attempt.stage,
                    attempt = task.attempt.number,
                    target:% = task.target;
                    "a reply to another attempt was discarded"
                );
                context.metrics.count_foreign_reply(permit.pool.id.as_str());
            }
            (reply.result, reply.signal)
        }
        Err(_) => (Err(Kind::DeadlinePassed.into()), TargetSignal::Slow),
    };
    let target_time = millis(started.elapsed());
    let load_percent = finish(context, task, signal).await;
    CallReport {
        result,
        target_time,
        load_percent,
        crashes: crashes(context, task, &permit).await,
    }
}

async fn build_call(
    permit: &SendPermit,
    task: &CallTask,
    remaining: Millis,
    context: &Context,
) -> target::Call {
    let read = |node: &Node, _| node.settings().fleet().max_answer_bytes;
    let max_bytes = context.node.read(read).await.unwrap_or_default();
    target::Call {
        kind: permit.pool.kind,
        address: permit.target.address,
        attempt: task.attempt,
        workspace: task.workspace.clone(),
        timeout_ms: remaining.0,
        priority: 5,
        send_by: Instant::now(),
        max_answer_bytes: usize::try_from(max_bytes).unwrap_or(usize::MAX),
        body: task.body.clone(),
    }
}

async fn finish(context: &Arc<Context>, task: &CallTask, signal: TargetSignal) -> Option<u32> {
    let target = task.target.clone();
    let message = |reply| Message::FinishCall(target, task.attempt, signal, task.digest, reply);
    context.node.ask(message).await.ok().flatten()
}

async fn crashes(context: &Context, task: &CallTask, permit: &SendPermit) -> u16 {
    let digest = task.digest;
    let pool = permit.pool.id.clone();
    let read = move |node: &Node, now| node.crashes(digest, &pool, now);
    context.node.read(read).await.unwrap_or_default()
}

// Forwarding between daemons

/// Serves a call that a peer forwards.
pub async fn serve(context: Arc<Context>, request: Request<Incoming>) -> HttpAnswer {
    let (head, body) = request.into_parts();
    let Some(mut task) = read_task(&head.headers) else {
        return answer::error(&Kind::BadRequest.into());
    };
    match Limited::new(body, BODY_MAX_BYTES).collect().await {
        Ok(body) => task.body = body.to_bytes(),
        Err(_) => return answer::error(&Kind::BadRequest.into()),
    }
    let attempt = task.attempt;
    let report = perform(&context, task).await;
    let mut http = match &report.result {
        Ok(body) => answer::with_body(200, body.clone()),
        Err(failure) => answer::error(failure),
    };
    answer::set_header(&mut http, header::ATTEMPT, &attempt.to_string());
    answer::set_header(
        &mut http,
        header::TARGET_MS,
        &report.target_time.to_string(),
    );
    answer::set_header(&mut http, header::CRASHES, &report.crashes.to_string());
    if let Some(percent) = report.load_percent {
        answer::set_header(&mut http, header::LOAD, &percent.to_string());
    }
    http
}

/// Forwards a call to the owner of its target.
pub async fn forward(
    context: &Context,
    owner: std::net::SocketAddr,
    task: &CallTask,
) -> CallReport {
    let Some(request) = write_task(owner, task) else {
        return CallReport::failed(Kind::Internal.into());
    };
    let has_owner_left = context.node.read(move |node, _| node.has_departed(owner));
    if has_owner_left.await.unwrap_or(false) {
        return CallReport::failed(Kind::NoOwner.into());
    }
    let limit = Duration::from_millis(task.timeout.0);
    let started = Instant::now();
    match timeout(limit, send_to_owner(context, request, task.attempt)).await {
        Ok(report) => report,
        Err(_) => CallReport::interrupted(Kind::DeadlinePassed.into(), started),
    }
}

async fn send_to_owner(
    context: &Context,
    request: Request<Full<Bytes>>,
    attempt: id::Attempt,
) -> CallReport {
    let started = Instant::now();
    let response = match context.peers.send(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return CallReport::failed(Kind::NoOwner.into()),
        Err(_) => {
            return CallReport::interrupted(
                Failure::from(Kind::NoOwner).with_unknown_outcome(),
                started,
            );
        }
    };
    let (head, body) = response.into_parts();
    if header::read(&head.headers, header::ATTEMPT) != Some(attempt) {
        return CallReport::failed(Failure::from(Kind::Internal).with_unknown_outcome());
    }
    let result = match read_failure(&head.headers) {
        Some(failure) => Err(failure),
        None => match Limited::new(body, BODY_MAX_BYTES).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(_) => Err(Failure::from(Kind::NoOwner).with_unknown_outcome()),
        },
    };
    CallReport {
        result,
        target_time: header::read(&head.headers, header::TARGET_MS).unwrap_or_default(),
        load_percent: header::read(&head.headers, header::LOAD),
        crashes: header::read(&head.headers, header::CRASHES).unwrap_or_default(),
    }
}

/// Reads the failure from the headers of an answer, if it has one.
#[must_use]
pub fn read_failure(headers: &HeaderMap) -> Option<Failure> {
    let label = header::text(headers, header::ERROR)?;
    let mut failure = Failure::from(label.parse().unwrap_or(Kind::Internal));
    failure.outcome = header::read(headers, header::OUTCOME).unwrap_or(Outcome::Unknown);
    let retry_after = header::read(headers, header::RETRY_AFTER).map(Millis::from_secs);
    failure.retry_after = retry_after.or(failure.retry_after);
    Some(failure)
}

fn read_task(headers: &HeaderMap) -> Option<CallTask> {
    Some(CallTask {
        target: header::read(headers, header::TARGET)?,
        attempt: header::read(headers, header::ATTEMPT)?,
        workspace: header::read(headers, header::WORKSPACE)?,
        pipeline: header::read(headers, header::PIPELINE)?,
        digest: header::read(headers, header::DIGEST)?,
        crashes: header::read(headers, header::CRASHES)?,
        due: header::read(headers, header::DUE_MS)?,
        timeout: header::read(headers, header::TIMEOUT_MS)?,
        body: Bytes::new(),
    })
}

fn write_task(owner: std::net::SocketAddr, task: &CallTask) -> Option<Request<Full<Bytes>>> {
    Request::post(format!("http://{owner}{PATH}"))
        .header(header::TARGET, task.target.as_str())
        .header(header::ATTEMPT, task.attempt.to_string())
        .header(header::WORKSPACE, task.workspace.as_str())
        .header(header::PIPELINE, task.pipeline.as_str())
        .header(header::DIGEST, task.digest.to_string())
        .header(header::CRASHES, task.crashes)
        .header(header::DUE_MS, task.due.0)
        .header(header::TIMEOUT_MS, task.timeout.0)
        .body(Full::new(task.body.clone()))
        .ok()
}
