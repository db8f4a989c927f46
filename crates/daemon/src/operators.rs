//! The operators' port: health checks, metrics, state and explanations.

use std::sync::Arc;

use gooseberry_kernel::answer::Failure;
use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::id;
use gooseberry_kernel::node::ExplainRequest;
use gooseberry_kernel::node::Node;
use gooseberry_wire::header;
use gooseberry_wire::operators::Explanation;
use gooseberry_wire::operators::Status;
use http::Method;
use http::Request;
use http::header::ALLOW;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;

use crate::answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::fault_injection;
use crate::ingress;

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves one request of an operator.
pub async fn serve(context: Arc<Context>, request: Request<Incoming>) -> HttpAnswer {
    let is_read = matches!(*request.method(), Method::GET | Method::HEAD);
    match request.uri().path() {
        "/healthz" | "/readyz" | "/metrics" | "/v1/status" if !is_read => {
            let mut answer = answer::error(&Kind::BadMethod.into());
            answer::set_header(&mut answer, ALLOW.as_str(), "GET, HEAD");
            answer
        }
        "/healthz" => answer::with_body(200, "alive\n"),
        "/readyz" => ready(&context).await,
        "/metrics" => metrics(&context).await,
        "/v1/status" => status(&context).await,
        fault_injection::PATH => fault_injection::serve(&context, request).await,
        "/v1/explain" => match explain(&context, request).await {
            Ok(answer) => answer,
            Err(failure) => answer::error(&failure),
        },
        _ => answer::error(&Kind::NoPath.into()),
    }
}

async fn ready(context: &Context) -> HttpAnswer {
    let ready = context.node.read(|node, _| node.ready()).await;
    match ready {
        Ok(Ok(())) => answer::with_body(200, "ready\n"),
        Ok(Err(kind)) => answer::error(&kind.into()),
        Err(failure) => answer::error(&failure),
    }
}

async fn metrics(context: &Context) -> HttpAnswer {
    let read = |node: &Node, now| (Status::of(node, now), now);
    let Ok((status, uptime)) = context.node.read(read).await else {
        return answer::error(&Kind::Internal.into());
    };
    let calls = context.platform.calls();
    context.metrics.set_gauges(&status, uptime, calls);
    let mut answer = answer::with_body(200, context.metrics.encode());
    answer::set_header(&mut answer, CONTENT_TYPE.as_str(), METRICS_TYPE);
    answer
}

async fn status(context: &Context) -> HttpAnswer {
    match context.node.read(Status::of).await {
        Ok(status) => json(&status),
        Err(failure) => answer::error(&failure),
    }
}

async fn explain(context: &Context, request: Request<Incoming>) -> Result<HttpAnswer, Failure> {
    if request.method() != Method::POST {
        return Err(Kind::BadMethod.into());
    }
    let (head, mut body) = request.into_parts();
    let workspace = header::read(&head.headers, header::WORKSPACE);
    let workspace: id::Workspace = workspace.ok_or(Kind::BadRequest)?;
    let pipeline = header::read(&head.headers, header::PIPELINE);
    let key = header::text(&head.headers, header::IDEMPOTENCY_KEY);
    let body = ingress::read_body(context, &mut body).await?;
    let explain_request = ExplainRequest {
        digest: ingress::request_digest(&workspace, &body),
        workspace,
        pipeline: pipeline.ok_or(Kind::BadRequest)?,
        key: key.map(ToOwned::to_owned),
        body: body.to_vec(),
    };
    let read = move |node: &Node, now| node.explain(&explain_request, now);
    let explanation = context.node.read(read).await??;
    Ok(json(&Explanation::from(&explanation)))
}

fn json(value: &impl serde::Serialize) -> HttpAnswer {
    let Ok(text) = serde_json::to_string(value) else {
        return answer::error(&Kind::Internal.into());
    };
    let mut answer = answer::with_body(200, text);
    answer::set_header(&mut answer, CONTENT_TYPE.as_str(), "application/json");
    answer
}
