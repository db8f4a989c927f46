//! Faults that tests switch on over the operators' port.
//!
//! A process takes them only if its settings say `"fault_injection": true`.

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

/// The path at which faults are set.
pub const PATH: &str = "/v1/faults";
/// The largest body that is read, in bytes.
const BODY_MAX_BYTES: usize = 64 << 10;

/// The faults that are to be in force; they replace those set before.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Faults {
    /// The listed peers whose messages are lost, in both directions.
    cut: Vec<String>,
}

/// Sets the faults.
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
    match find(context, faults).await {
        Some(blocked) => {
            context.peers.set_blocked(blocked);
            answer::with_body(200, "set\n")
        }
        None => answer::error(&Kind::BadRequest.into()),
    }
}

/// Finds the peers in the list; `None` if one is not listed.
async fn find(context: &Context, faults: Faults) -> Option<Vec<BlockedPeer>> {
    let find = move |node: &Node, _| {
        let list = node.tenure().list()?;
        let cut = |name: &String| {
            let member = list.member(&name.parse().ok()?)?;
            Some(BlockedPeer {
                id: member.id.clone(),
                data: member.data,
                control: member.control,
            })
        };
        faults.cut.iter().map(cut).collect()
    };
    context.node.read(find).await.ok().flatten()
}
