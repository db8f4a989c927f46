//! Where operators read metrics and state.

use std::sync::Arc;

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::node::Node;
use http::Request;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use crate::answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::faults;

/// Serves one request of an operator.
pub async fn serve(context: Arc<Context>, request: Request<Incoming>) -> HttpAnswer {
    match request.uri().path() {
        "/healthz" => answer::whole(200, "alive\n"),
        "/readyz" => ready(&context).await,
        "/metrics" => metrics(&context).await,
        "/v1/status" => status(&context).await,
        faults::PATH => faults::serve(&context, request).await,
        _ => answer::error(&Kind::NoPath.into()),
    }
}

async fn ready(context: &Context) -> HttpAnswer {
    let ready = context.node.look(|node, _| node.ready()).await;
    match ready {
        Ok(Ok(())) => answer::whole(200, "ready\n"),
        Ok(Err(kind)) => answer::error(&kind.into()),
        Err(failure) => answer::error(&failure),
    }
}

async fn metrics(context: &Context) -> HttpAnswer {
    let read = |node: &Node, now| {
        let age = node.read_age(now).map_or(-1, |age| clip(age.0));
        [
            ("requests", clip(node.requests())),
            ("calls_in_flight", clip(node.slots().in_flight())),
            ("calls_queued", clip(node.slots().queued())),
            ("list_revision", clip(node.tenure().revision().0)),
            ("settings_revision", clip(node.book().revision().0)),
            ("read_age_ms", age),
        ]
    };
    let Ok(gauges) = context.node.look(read).await else {
        return answer::error(&Kind::Internal.into());
    };
    for (what, value) in gauges {
        context.metrics.gauge(what, value);
    }
    context
        .metrics
        .gauge("platform_calls", clip(context.platform.calls()));
    answer::whole(200, context.metrics.text())
}

async fn status(context: &Context) -> HttpAnswer {
    let Ok(status) = context.node.look(read_status).await else {
        return answer::error(&Kind::Internal.into());
    };
    let mut answer = answer::whole(200, status.to_string());
    answer::set(&mut answer, CONTENT_TYPE.as_str(), "application/json");
    answer
}

fn read_status(node: &Node, now: gooseberry_kernel::clock::Millis) -> Value {
    let identity = node.identity();
    let members = node.tenure().members(now);
    let members: Vec<&str> = members
        .iter()
        .map(gooseberry_kernel::id::Instance::as_str)
        .collect();
    let refused = node.book().holdings().iter().filter_map(|holding| {
        let (source, faults) = holding.refused.as_ref()?;
        Some(json!({
            "path": source.path,
            "revision": source.revision.0,
            "faults": faults.to_string(),
        }))
    });
    json!({
        "instance": identity.instance.as_str(),
        "domain": identity.domain.as_str(),
        "ready": node.ready().is_ok(),
        "holds_rights": node.holds_rights(now),
        "list_revision": node.tenure().revision().0,
        "settings_revision": node.book().revision().0,
        "read_age_ms": node.read_age(now).map(|age| age.0),
        "members": members,
        "requests": node.requests(),
        "calls_in_flight": node.slots().in_flight(),
        "calls_queued": node.slots().queued(),
        "refused_documents": refused.collect::<Vec<_>>(),
    })
}

fn clip(number: impl TryInto<i64>) -> i64 {
    number.try_into().unwrap_or(i64::MAX)
}
