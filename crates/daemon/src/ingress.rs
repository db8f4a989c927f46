//! Serves callers: authentication, admission, and routing of requests with a
//! key to the key's owner.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::node::AdmittedRequest;
use gooseberry_kernel::node::IncomingRequest;
use gooseberry_kernel::node::Node;
use gooseberry_wire::header;
use http::Method;
use http::Request;
use http::header::EXPECT;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::actor::Message;
use crate::answer::Answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::idempotency;
use crate::pipeline;
use crate::pipeline::Job;
use crate::request_head;
use crate::request_log::RequestLog;

/// The most that is read and discarded of a refused request's body, in bytes.
const DISCARD_MAX_BYTES: usize = 256 << 10;
/// How long the body of a refused request is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(200);

/// Generates request ids that are unique over the whole fleet.
#[derive(Debug)]
pub struct RequestIds {
    seed: u64,
    count: AtomicU64,
}

impl RequestIds {
    /// Makes a generator from a seed that no other process has.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            count: AtomicU64::new(0),
        }
    }

    /// Returns a new id.
    #[must_use]
    pub fn next_id(&self) -> id::Request {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let high = hash::mix(self.seed, count);
        let low = hash::mix(count, self.seed.rotate_left(17));
        id::Request((u128::from(high) << 64) | u128::from(low))
    }
}

/// Releases an admission when dropped, also when the caller hangs up.
struct AdmissionGuard {
    context: Arc<Context>,
    workspace: id::Workspace,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let workspace = self.workspace.clone();
        self.context.node.tell(Message::RequestEnded(workspace));
    }
}

/// Asks for admission in a task of its own.
///
/// If the caller hangs up before the decision is received, the task still makes
/// the guard, and dropping it releases the admission.
async fn admit(
    context: &Arc<Context>,
    request: IncomingRequest,
) -> Result<(AdmittedRequest, AdmissionGuard), Failure> {
    let context = context.clone();
    let admitted = tokio::spawn(async move {
        let workspace = request.workspace.clone();
        let admission = context
            .node
            .try_ask(|reply| Message::AdmitRequest(request, reply));
        let admission = admission.await?;
        Ok((admission, AdmissionGuard { context, workspace }))
    });
    admitted.await.unwrap_or(Err(Kind::Internal.into()))
}

/// Serves one request of a caller, and counts and logs it.
pub async fn serve(
    context: Arc<Context>,
    ids: Arc<RequestIds>,
    request: Request<Incoming>,
) -> HttpAnswer {
    let mut request_log = RequestLog::begin(&context, ids.next_id());
    let (head, mut body) = request.into_parts();
    request_log.is_body_read = body.is_end_stream();
    let has_key = head.headers.contains_key(header::IDEMPOTENCY_KEY);
    let result = tokio::select! {
        biased;
        result = handle(&context, &head, &mut body, &mut request_log) => Some(result),
        () = context.ending() => None,
    };
    let result = result.unwrap_or_else(|| Err(failure_at_end(&request_log)));
    let mut answer = match result {
        Ok(answer) => answer,
        Err(failure) => {
            let failure = match request_head::is_first_attempt(&head.headers) {
                Ok(false) if has_key => idempotency::refusal_of_resend(failure),
                _ => failure,
            };
            Answer::refusal(request_log.request, failure).to_http()
        }
    };
    if !request_log.is_body_read && !head.headers.contains_key(EXPECT) {
        discard(&mut body).await;
    }
    request_log.end(&mut answer);
    answer
}

/// Returns the failure of a request that has no answer when the process ends. Before its
/// admission it has not run.
fn failure_at_end(request_log: &RequestLog<'_>) -> Failure {
    let failure = Failure::from(Kind::ShuttingDown);
    let has_run = request_log.names.is_some();
    log::info!(
        request:% = request_log.request,
        has_run;
        "a request is answered without a result, as the process ends"
    );
    if has_run {
        failure.with_unknown_outcome()
    } else {
        failure
    }
}

async fn handle(
    context: &Arc<Context>,
    request: &Parts,
    body: &mut Incoming,
    request_log: &mut RequestLog<'_>,
) -> Result<HttpAnswer, Failure> {
    let (workspace, pipeline) = request_head::read_path(request.uri.path())?;
    if request.method != Method::POST {
        return Err(Kind::BadMethod.into());
    }
    let credential = request_head::read_credential(&request.headers)?;
    authenticate(context, &workspace, credential).await?;
    let timeout = request_head::read_timeout(&request.headers)?;
    let key = request_head::read_key(&request.headers)?;
    let is_first = request_head::is_first_attempt(&request.headers)?;
    let body = read_body(context, body).await?;
    request_log.is_body_read = true;
    let digest = request_digest(&workspace, &body);
    let incoming = IncomingRequest {
        workspace: workspace.clone(),
        pipeline,
        credential,
        timeout,
        digest,
    };
    let (admission, guard) = admit(context, incoming).await?;
    let names = (
        admission.workspace.id.clone(),
        admission.pipeline.id.clone(),
    );
    request_log.names = Some(names);
    let job = Job {
        request: request_log.request,
        key: choose_key(key, &admission)?,
        admission,
        digest,
        body,
    };
    let answer = match job.key.as_ref().map(Key::hash) {
        None => pipeline::run(context, &job).await.to_http(),
        Some(hash) => route_to_key_owner(context, job, hash, is_first).await?,
    };
    drop(guard);
    Ok(answer)
}

async fn route_to_key_owner(
    context: &Arc<Context>,
    job: Job,
    hash: u64,
    is_first_attempt: bool,
) -> Result<HttpAnswer, Failure> {
    let owner = context.node.read(move |node, _| node.key_owner(hash));
    let owner = owner.await??;
    if owner.id == context.local.instance {
        Ok(idempotency::perform(context, job, is_first_attempt).await)
    } else {
        Ok(idempotency::forward(context, owner.data, &job, is_first_attempt).await)
    }
}

async fn authenticate(
    context: &Context,
    workspace: &id::Workspace,
    credential: id::Digest,
) -> Result<(), Failure> {
    let workspace = workspace.clone();
    let check = move |node: &Node, _| {
        node.ready()?;
        node.authenticate(&workspace, &credential).map(|_| ())
    };
    Ok(context.node.read(check).await??)
}

fn choose_key(text: Option<&str>, admission: &AdmittedRequest) -> Result<Option<Key>, Kind> {
    if admission.pipeline.is_idempotent() {
        return Ok(None);
    }
    let text = text.ok_or(Kind::KeyMissing)?;
    Ok(Some(Key {
        workspace: admission.workspace.id.clone(),
        pipeline: admission.pipeline.id.clone(),
        text: text.to_owned(),
    }))
}

/// Reads a body within the size and time limits of the settings.
pub(crate) async fn read_body(context: &Context, body: &mut Incoming) -> Result<Bytes, Failure> {
    let limits = |node: &Node, _| {
        let fleet = node.settings().fleet();
        (fleet.max_body_bytes, fleet.send_timeout)
    };
    let (max_bytes, time_limit) = context.node.read(limits).await?;
    // Refuses by the announced length, before the body is sent.
    if body.size_hint().lower() > u64::from(max_bytes) {
        return Err(Kind::TooLarge.into());
    }
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let time_limit = Duration::from_millis(time_limit.0);
    match timeout(time_limit, Limited::new(body, max_bytes).collect()).await {
        Err(_) => Err(Kind::SlowRequest.into()),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::TooLarge.into()),
        Ok(Err(_)) => Err(Kind::BadRequest.into()),
    }
}

/// Discards a part of what the caller is still sending, for a short time.
///
/// Closing a connection with unread data resets it, and the caller could lose
/// the answer.
async fn discard(body: &mut Incoming) {
    let read = async {
        let mut remaining_bytes = DISCARD_MAX_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            if length > remaining_bytes {
                return;
            }
            remaining_bytes -= length;
        }
    };
    timeout(DISCARD_TIMEOUT, read).await.ok();
}

/// Returns the digest of the workspace and the body, so that equal bodies of
/// two workspaces are different requests.
pub(crate) fn request_digest(workspace: &id::Workspace, body: &[u8]) -> id::Digest {
    let mut text = workspace.as_str().as_bytes().to_vec();
    text.push(b'\n');
    text.extend_from_slice(body);
    id::Digest::of(&text)
}
