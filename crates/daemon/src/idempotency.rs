//! Requests with an idempotency key, at the daemon that owns the key.
//!
//! The owner decides whether a request runs, gets the recorded answer of its key
//! or is refused. It runs the whole pipeline itself, so that it has the record
//! when the key comes again. A run goes on when its caller hangs up, since the
//! caller may send the same key again.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::answer::Outcome;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency::Completion;
use gooseberry_kernel::idempotency::Decision;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::node::AdmittedRequest;
use gooseberry_kernel::node::Node;
use gooseberry_wire::header;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::actor::Message;
use crate::answer;
use crate::answer::Answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::pipeline;
use crate::pipeline::Job;
use crate::target_call;

/// The path on the data port for requests forwarded to the owner of their key.
pub const PATH: &str = "/v1/keyed";

/// How often a request whose key is said to run looks for that run. A decision and the
/// start or the end of its run are microseconds apart.
const RUN_POLL_INTERVAL: Duration = Duration::from_millis(5);

type AnswerReceiver = watch::Receiver<Option<HttpAnswer>>;

/// The keys whose requests run here, so that duplicates can wait for the answer.
#[derive(Debug, Default)]
pub struct RunningKeys {
    running: Mutex<Vec<(Key, AnswerReceiver)>>,
}

impl RunningKeys {
    fn find(&self, key: &Key) -> Option<AnswerReceiver> {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let index = running.binary_search_by(|entry| entry.0.cmp(key));
        index.ok().map(|index| running[index].1.clone())
    }

    fn insert(&self, key: Key, receiver: AnswerReceiver) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        match running.binary_search_by(|entry| entry.0.cmp(&key)) {
            Ok(index) => running[index].1 = receiver,
            Err(index) => running.insert(index, (key, receiver)),
        }
    }

    fn remove(&self, key: &Key) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.retain(|entry| entry.0 != *key);
    }
}

/// Serves a request whose key this daemon owns.
pub async fn perform(context: &Arc<Context>, job: Job, is_first_attempt: bool) -> HttpAnswer {
    let Some(key) = job.key.clone() else {
        return refuse(&job, is_first_attempt, Kind::KeyMissing.into());
    };
    let deadline = pipeline::run_deadline(&job.admission);
    loop {
        match begin(context, &job, &key, is_first_attempt).await {
            Err(failure) => return refuse(&job, is_first_attempt, failure),
            Ok((_, Some(receiver))) => return wait_for_answer(receiver).await,
            Ok((Decision::Refuse(kind), None)) => {
                return refuse(&job, is_first_attempt, kind.into());
            }
            Ok((Decision::Replay(record), None)) => return answer::replay(&record),
            Ok((Decision::AwaitRunning | Decision::Run, None)) => {}
        }
        if let Some(receiver) = context.running_keys.find(&key) {
            return wait_for_running(context, &job, receiver).await;
        }
        // The run that was decided has not begun yet, or has just ended.
        if context.clock.now() >= deadline {
            return refuse(&job, false, Kind::KeyBusy.into());
        }
        sleep(RUN_POLL_INTERVAL).await;
    }
}

/// Decides whether a request with a key runs. If so, starts the run and returns
/// the receiver of its answer with the decision.
///
/// The run is started by a task of its own. Otherwise a caller that hangs up
/// after the decision would leave a key that is begun but never run, and whose
/// outcome is unknown later. The decision is asked for before that task starts,
/// so that a later try of the caller cannot overtake this one.
async fn begin(
    context: &Arc<Context>,
    job: &Job,
    key: &Key,
    is_first_attempt: bool,
) -> Result<(Decision, Option<AnswerReceiver>), Failure> {
    let (context, job, key) = (context.clone(), job.clone(), key.clone());
    let (begin_key, digest) = (key.clone(), job.digest);
    let decision = context
        .node
        .try_ask(move |reply| Message::BeginKey(begin_key, digest, is_first_attempt, reply));
    let decision = tokio::spawn(async move {
        let decision = decision.await?;
        let receiver = (decision == Decision::Run).then(|| spawn_run(&context, job, key));
        Ok((decision, receiver))
    });
    let decision = decision.await;
    decision.unwrap_or_else(|_| Err(Kind::Internal.into()))
}

fn spawn_run(context: &Arc<Context>, job: Job, key: Key) -> AnswerReceiver {
    let (sender, receiver) = watch::channel(None);
    context.running_keys.insert(key.clone(), receiver.clone());
    let context = context.clone();
    tokio::spawn(async move {
        let answer = pipeline::run(&context, &job).await;
        let completion = match answer.outcome() {
            Outcome::Run => Completion::Answered(answer.to_record()),
            Outcome::NotRun => Completion::NotRun,
            Outcome::Unknown => Completion::Unknown,
        };
        context.node.tell(Message::EndKey(key.clone(), completion));
        sender.send_replace(Some(answer.to_http()));
        context.running_keys.remove(&key);
    });
    receiver
}

async fn wait_for_answer(mut receiver: AnswerReceiver) -> HttpAnswer {
    let answer = receiver.wait_for(Option::is_some).await;
    let answer = answer.ok().and_then(|answer| answer.clone());
    answer.unwrap_or_else(|| answer::error(&Failure::from(Kind::Internal)))
}

async fn wait_for_running(context: &Context, job: &Job, receiver: AnswerReceiver) -> HttpAnswer {
    let remaining = context.clock.until(pipeline::run_deadline(&job.admission));
    match timeout(remaining, wait_for_answer(receiver)).await {
        Ok(answer) => answer,
        Err(_) => refuse(job, false, Kind::KeyBusy.into()),
    }
}

fn refuse(job: &Job, is_first: bool, failure: Failure) -> HttpAnswer {
    let is_new = is_first && job.admission.workspace.trusts_attempt_number;
    let failure = if is_new {
        failure
    } else {
        refusal_of_resend(failure)
    };
    Answer::refusal(job.request, failure).to_http()
}

/// Sets the outcome of a refusal to unknown if the key may have been sent
/// before: this try did not run, but an earlier one may have.
#[must_use]
pub fn refusal_of_resend(failure: Failure) -> Failure {
    // A refusal without a retry time is final: the request can never run as it
    // is, since it is malformed or differs from the key's first request.
    match failure.retry_after {
        None => failure,
        Some(_) => failure.with_unknown_outcome(),
    }
}

// Forwarding between daemons

/// Serves a request with a key that a peer forwards.
pub async fn serve(context: Arc<Context>, request: Request<Incoming>) -> HttpAnswer {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, target_call::BODY_MAX_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(_) => return answer::error(&Kind::BadRequest.into()),
    };
    let is_first = is_first_attempt(&head.headers);
    match read_job(&context, &head.headers, body).await {
        Ok(job) => perform(&context, job, is_first).await,
        // This daemon cannot tell whether the workspace's first attempts are to
        // be trusted, so an earlier try may have run.
        Err(failure) => answer::error(&refusal_of_resend(failure)),
    }
}

/// Forwards a request to the owner of its key.
pub async fn forward(
    context: &Context,
    owner: std::net::SocketAddr,
    job: &Job,
    is_first_attempt: bool,
) -> HttpAnswer {
    let Some(request) = write_job(context, owner, job, is_first_attempt) else {
        return refuse(job, is_first_attempt, Kind::Internal.into());
    };
    let has_owner_left = context.node.read(move |node, _| node.has_departed(owner));
    if has_owner_left.await.unwrap_or(false) {
        return refuse(job, is_first_attempt, Kind::NoOwner.into());
    }
    // The owner answers by the deadline; this leaves time for its answer to arrive.
    let grace = Duration::from_millis(500);
    let remaining = context.clock.until(pipeline::run_deadline(&job.admission)) + grace;
    match timeout(remaining, send_to_owner(context, request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) => refuse(job, is_first_attempt, failure),
        Err(_) => refuse(job, is_first_attempt, Kind::DeadlinePassed.into()),
    }
}

async fn send_to_owner(
    context: &Context,
    request: Request<Full<Bytes>>,
) -> Result<HttpAnswer, Failure> {
    let response = match context.peers.send(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(Kind::NoOwner.into()),
        Err(_) => return Err(Kind::KeyUnknown.into()),
    };
    let (head, body) = response.into_parts();
    let body = Limited::new(body, target_call::BODY_MAX_BYTES)
        .collect()
        .await;
    let body = body.map_err(|_| Failure::from(Kind::KeyUnknown))?;
    let mut answer = answer::with_body(head.status.as_u16(), body.to_bytes());
    for (name, value) in &head.headers {
        let is_own_header = name.as_str().starts_with("gooseberry-");
        if is_own_header || name == header::RETRY_AFTER || name == http::header::CONTENT_TYPE {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    Ok(answer)
}

/// Returns whether the forwarded request is marked as the first attempt with its
/// key.
#[must_use]
pub fn is_first_attempt(headers: &HeaderMap) -> bool {
    header::read::<u32>(headers, header::IDEMPOTENCY_ATTEMPT) == Some(1)
}

async fn read_job(context: &Context, headers: &HeaderMap, body: Bytes) -> Result<Job, Failure> {
    let read = |name| header::text(headers, name).ok_or(Kind::BadRequest);
    let workspace: id::Workspace = parse(read(header::WORKSPACE)?)?;
    let pipeline: id::Pipeline = parse(read(header::PIPELINE)?)?;
    let timeout: Millis = parse(read(header::TIMEOUT_MS)?)?;
    let key = Key {
        workspace: workspace.clone(),
        pipeline: pipeline.clone(),
        text: read(header::IDEMPOTENCY_KEY)?.to_owned(),
    };
    let find = move |node: &Node, now| {
        let settings = node.settings();
        // The peer knows the pipeline, so this daemon lacks it only until it has
        // read the settings.
        if settings.teams().is_empty() {
            return Err(Kind::NotReady);
        }
        let workspace = settings.workspace(&workspace).ok_or(Kind::NoPipeline)?;
        let pipeline = settings.pipeline(workspace, &pipeline);
        Ok(AdmittedRequest {
            workspace: workspace.clone(),
            pipeline: pipeline.ok_or(Kind::NoPipeline)?.clone(),
            deadline: now + timeout,
        })
    };
    let admission = context.node.read(find).await??;
    Ok(Job {
        request: parse(read(header::REQUEST)?)?,
        admission,
        key: Some(key),
        digest: parse(read(header::DIGEST)?)?,
        body,
    })
}

fn parse<T: std::str::FromStr>(text: &str) -> Result<T, Kind> {
    text.parse().map_err(|_| Kind::BadRequest)
}

fn write_job(
    context: &Context,
    owner: std::net::SocketAddr,
    job: &Job,
    is_first_attempt: bool,
) -> Option<Request<Full<Bytes>>> {
    let key = job.key.as_ref()?;
    let remaining = job.admission.deadline - context.clock.now();
    Request::post(format!("http://{owner}{PATH}"))
        .header(header::REQUEST, job.request.to_string())
        .header(header::WORKSPACE, key.workspace.as_str())
        .header(header::PIPELINE, key.pipeline.as_str())
        .header(header::IDEMPOTENCY_KEY, &key.text)
        .header(
            header::IDEMPOTENCY_ATTEMPT,
            if is_first_attempt { 1 } else { 2 },
        )
        .header(header::DIGEST, job.digest.to_string())
        .header(header::TIMEOUT_MS, remaining.0)
        .body(Full::new(job.body.clone()))
        .ok()
}
