//! The `explain` subcommand: shows to which targets a request could go now, and
//! why the others are excluded.

use std::net::SocketAddr;

use bytes::Bytes;
use gooseberry_kernel::id;
use gooseberry_wire::header;
use gooseberry_wire::operators::Candidate;
use gooseberry_wire::operators::Explanation;
use gooseberry_wire::operators::Holder;
use http::Request;
use http_body_util::Full;

use crate::operators_client;
use crate::status::write_line;

/// The request to be explained.
#[derive(Clone, Debug)]
pub struct RequestQuery {
    /// The workspace that sends it.
    pub workspace: id::Workspace,
    /// The pipeline that it calls.
    pub pipeline: id::Pipeline,
    /// The idempotency key, if there is one.
    pub key: Option<String>,
    /// The body, whose prefix affects the ranks of targets with a cache.
    pub body: Bytes,
}

/// Asks a daemon how it would route a request.
///
/// # Errors
/// Returns an error if the daemon cannot be reached or does not know the
/// pipeline of the workspace.
pub async fn fetch(daemon: SocketAddr, query: RequestQuery) -> anyhow::Result<Explanation> {
    let mut request = Request::post(operators_client::uri(daemon, "/v1/explain"))
        .header(header::WORKSPACE, query.workspace.as_str())
        .header(header::PIPELINE, query.pipeline.as_str());
    if let Some(key) = query.key {
        request = request.header(header::IDEMPOTENCY_KEY, key);
    }
    operators_client::fetch_json(request.body(Full::new(query.body))?).await
}

/// Formats an explanation as text.
#[must_use]
pub fn text(explanation: &Explanation) -> String {
    let mut text = String::new();
    match &explanation.refusal {
        Some(kind) => write_line(&mut text, format_args!("would be refused now: {kind}")),
        None => write_line(&mut text, format_args!("would be served")),
    }
    if let Some(holder) = &explanation.key {
        write_line(&mut text, format_args!("key: {}", describe(holder)));
    }
    for plan in &explanation.stages {
        let head = format_args!("\nstage {} in pool {}", plan.stage, plan.pool);
        write_line(&mut text, head);
        let columns = format_args!(
            "  {:>4}  {:<28} {:<12} {:<28} {:>9}  {:>5}  out",
            "rank", "target", "domain", "owner (right)", "calls", "load"
        );
        write_line(&mut text, columns);
        for candidate in &plan.targets {
            write_candidate(&mut text, candidate);
        }
    }
    text
}

fn write_candidate(text: &mut String, candidate: &Candidate) {
    let rank = candidate
        .rank
        .map_or_else(|| "-".to_owned(), |rank| rank.to_string());
    let calls = match (candidate.in_flight, candidate.limit) {
        (Some(in_flight), Some(limit)) => format!("{in_flight} of {limit}"),
        _ => "-".to_owned(),
    };
    let avoided_mark = if candidate.avoided { "avoided" } else { "-" };
    let row = format_args!(
        "  {rank:>4}  {:<28} {:<12} {:<28} {calls:>9}  {:>4}%  {}",
        candidate.target,
        candidate.domain,
        describe(&candidate.holder),
        candidate.load_percent,
        candidate.out.as_deref().unwrap_or(avoided_mark),
    );
    write_line(text, row);
}

fn describe(holder: &Holder) -> String {
    let owner = holder.owner.as_deref().unwrap_or("nobody");
    format!("{owner} ({})", holder.right)
}
