//! Serves callers.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use gooseberry_kernel::node::Admission;
use gooseberry_kernel::node::Arrival;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::once::Key;
use gooseberry_wire::header;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::actor::Message;
use crate::answer::Answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::keyed;
use crate::pipeline;
use crate::pipeline::Job;

/// The longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 128;

/// Draws the ids of requests; they must differ over the whole fleet.
#[derive(Debug)]
pub struct Ids {
    seed: u64,
    count: AtomicU64,
}

impl Ids {
    /// Makes a source of ids from a seed that no other process has.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            count: AtomicU64::new(0),
        }
    }

    /// Draws an id.
    #[must_use]
    pub fn draw(&self) -> id::Request {
        let count = self.count.fetch_add(1, Ordering::Relaxed);
        let high = hash::mix(self.seed, count);
        let low = hash::mix(count, self.seed.rotate_left(17));
        id::Request((u128::from(high) << 64) | u128::from(low))
    }
}

/// Gives an admission's place back, also when the caller hangs up.
struct Place<'a> {
    context: &'a Context,
    workspace: id::Workspace,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let workspace = self.workspace.clone();
        self.context.node.tell(Message::Leave(workspace));
    }
}

/// Serves one request of a caller.
pub async fn serve(context: Arc<Context>, ids: Arc<Ids>, request: Request<Incoming>) -> HttpAnswer {
    let id = ids.draw();
    let is_resend = request.headers().contains_key(header::IDEMPOTENCY_KEY)
        && !keyed::is_first_attempt(request.headers());
    match handle(&context, id, request).await {
        Ok(answer) => answer,
        Err(failure) => {
            let failure = if is_resend {
                keyed::of_resend(failure)
            } else {
                failure
            };
            context.metrics.refusal(failure.kind);
            log::debug!("request={id} refused: {}", failure.kind);
            Answer::refusal(id, failure).to_http()
        }
    }
}

async fn handle(
    context: &Arc<Context>,
    id: id::Request,
    request: Request<Incoming>,
) -> Result<HttpAnswer, Failure> {
    let (head, body) = request.into_parts();
    let (workspace, pipeline) = read_path(head.uri.path())?;
    if head.method != Method::POST {
        return Err(Kind::BadMethod.into());
    }
    let credential = read_credential(&head.headers)?;
    authenticate(context, &workspace, credential).await?;
    let timeout = read_timeout(&head.headers)?;
    let body = read_body(context, body).await?;
    let arrival = Arrival {
        workspace: workspace.clone(),
        pipeline,
        credential,
        timeout,
        digest: digest(&workspace, &body),
    };
    let digest = arrival.digest;
    let admission = context.node.try_ask(|reply| Message::Admit(arrival, reply));
    let admission = admission.await?;
    let place = Place { context, workspace };
    let key = read_key(&head.headers, &admission)?;
    let job = Job {
        request: id,
        admission,
        key,
        digest,
        body,
    };
    let answer = match job.key.as_ref().map(Key::hash) {
        None => unkeyed(context, &job).await,
        Some(hash) => {
            let is_first = keyed::is_first_attempt(&head.headers);
            route_keyed(context, job, hash, is_first).await?
        }
    };
    drop(place);
    Ok(answer)
}

async fn unkeyed(context: &Arc<Context>, job: &Job) -> HttpAnswer {
    let answer = pipeline::run(context, job).await;
    let admission = &job.admission;
    let workspace = admission.workspace.id.as_str();
    let pipeline = admission.pipeline.id.as_str();
    match &answer.result {
        Ok(_) => context.metrics.answer(workspace, pipeline, answer.is_late),
        Err(failure) => context.metrics.refusal(failure.kind),
    }
    log::debug!(
        "request={} workspace={workspace} pipeline={pipeline} outcome={}",
        job.request,
        answer.outcome()
    );
    answer.to_http()
}

async fn route_keyed(
    context: &Arc<Context>,
    job: Job,
    hash: u64,
    is_first_attempt: bool,
) -> Result<HttpAnswer, Failure> {
    let owner = context.node.look(move |node, _| node.key_owner(hash));
    let owner = owner.await??;
    if owner.id == context.local.instance {
        Ok(keyed::perform(context, job, is_first_attempt).await)
    } else {
        Ok(keyed::ask(context, owner.data, &job, is_first_attempt).await)
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
    Ok(context.node.look(check).await??)
}

fn read_path(path: &str) -> Result<(id::Workspace, id::Pipeline), Kind> {
    let rest = path.strip_prefix("/v1/workspaces/").ok_or(Kind::NoPath)?;
    let (workspace, pipeline) = rest.split_once("/pipelines/").ok_or(Kind::NoPath)?;
    let workspace = workspace.parse().map_err(|_| Kind::BadRequest)?;
    let pipeline = pipeline.parse().map_err(|_| Kind::BadRequest)?;
    Ok((workspace, pipeline))
}

fn read_credential(headers: &HeaderMap) -> Result<id::Digest, Kind> {
    let text = headers.get(AUTHORIZATION).and_then(|one| one.to_str().ok());
    let token = text.and_then(|text| text.strip_prefix("Bearer "));
    let token = token.ok_or(Kind::BadCredential)?;
    Ok(id::Digest::of(token.trim().as_bytes()))
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Millis>, Kind> {
    if !headers.contains_key(header::TIMEOUT_MS) {
        return Ok(None);
    }
    let timeout: Option<Millis> = header::read(headers, header::TIMEOUT_MS);
    match timeout {
        Some(timeout) if timeout > Millis::ZERO => Ok(Some(timeout)),
        _ => Err(Kind::BadRequest),
    }
}

fn read_key(headers: &HeaderMap, admission: &Admission) -> Result<Option<Key>, Kind> {
    if admission.pipeline.is_idempotent() {
        return Ok(None);
    }
    let text = header::text(headers, header::IDEMPOTENCY_KEY).ok_or(Kind::KeyMissing)?;
    if text.is_empty() || text.len() > KEY_MAX_BYTES {
        return Err(Kind::BadRequest);
    }
    Ok(Some(Key {
        workspace: admission.workspace.id.clone(),
        pipeline: admission.pipeline.id.clone(),
        text: text.to_owned(),
    }))
}

async fn read_body(context: &Context, body: Incoming) -> Result<Bytes, Failure> {
    let limits = |node: &Node, _| {
        let fleet = node.book().fleet();
        (fleet.max_body_bytes, fleet.send_timeout)
    };
    let (max, limit) = context.node.look(limits).await?;
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let limit = Duration::from_millis(limit.0);
    match timeout(limit, Limited::new(body, max).collect()).await {
        Err(_) => Err(Kind::SlowRequest.into()),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::TooLarge.into()),
        Ok(Err(_)) => Err(Kind::BadRequest.into()),
    }
}

/// Digests the workspace with the body, so that equal bodies of two customers
/// are two requests.
fn digest(workspace: &id::Workspace, body: &[u8]) -> id::Digest {
    let mut text = workspace.as_str().as_bytes().to_vec();
    text.push(b'\n');
    text.extend_from_slice(body);
    id::Digest::of(&text)
}
