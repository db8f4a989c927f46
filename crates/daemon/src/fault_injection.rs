//! Fault injection over the operators' port, for tests: blocked peers.
//!
//! It is available only if the process settings have `"fault_injection": true`.

use gooseberry_kernel::answer::Kind;
use gooseberry_kernel::node::Node;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::answer;
use crate::answer::HttpAnswer;
use crate::context::Context;
use crate::peers::BlockedPeer;

/// The path on the operators' port at which faults are set.
pub const PATH: &str = "/v1/faults";
/// The largest body of a fault request, in bytes.
const BODY_MAX_BYTES: usize = 64 << 10;

/// The faults to inject; they replace those set before.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    /// The ids of listed peers whose messages are dropped in both directions.
    cut: Vec<String>,
}

/// Replaces the injected faults by those in the request.
pub async fn serve(context: &Context, request: Request<Incoming>) -> HttpAnswer {
    if !context.local.has_fault_injection {
        return answer::error(&Kind::NoPath.into());
    }
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    let Ok(body) = body.collect().await else {
        return answer::error(&Kind::BadRequest.into());
    };
    let Ok(faults) = serde_json::from_slice::<Faults>(&body.to_bytes()) else {
        return answer::error(&Kind::BadRequest.into());
    };
    match find_peers(context, faults).await {
        Some(blocked) => {
            context.peers.set_blocked(blocked);
            answer::with_body(200, "set\n")
        }
        None => answer::error(&Kind::BadRequest.into()),
    }
}

/// Looks the peers up in the list; `None` if one is not listed.
async fn find_peers(context: &Context, faults: Faults) -> Option<Vec<BlockedPeer>> {
    let find = move |node: &Node, _| {
        let list = node.leases().list()?;
        let blocked_peer = |name: &String| {
            let member = list.member(&name.parse().ok()?)?;
            Some(BlockedPeer {
                id: member.id.clone(),
                data: member.data,
                control: member.control,
            })
        };
        faults.cut.iter().map(blocked_peer).collect()
    };
    context.node.read(find).await.ok().flatten()
}
