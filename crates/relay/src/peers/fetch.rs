//! Fetches the contents of the platform's store from peers.

use std::net::SocketAddr;

use gooseberry_kernel::fleet::replica::Position;
use gooseberry_kernel::fleet::replica::Request;

use crate::context::Context;

/// Fetches changes of the store from a peer that has them through `theirs`, call by
/// call, and applies them.
pub(super) async fn changes(
    context: &Context,
    address: SocketAddr,
    theirs: Position,
    mut request: Request,
) {
    while fetch_changes(context, address, request).await {
        let next = context.state().begin_changes_fetch(theirs, context.now());
        match next {
            Some(next) if next != request => request = next,
            Some(_) => {
                context.state().end_changes_fetch();
                return;
            }
            None => return,
        }
    }
}

/// Makes one call for changes, and applies them. Returns whether it succeeded.
async fn fetch_changes(context: &Context, address: SocketAddr, request: Request) -> bool {
    let begun = context.now();
    let contents = context.peers.contents(address, request).await;
    context.metrics.peer_fetch("changes", contents.is_ok());
    let now = context.now();
    let mut state = context.state();
    state.end_changes_fetch();
    if let Ok(contents) = contents {
        state.apply_contents(contents, &address.to_string(), now);
        true
    } else {
        log::warn!(peer:% = address, after = request.after.0, took_ms = (now - begun).0; "changes of the store were not fetched from a peer");
        false
    }
}

/// Fetches the missing chunks of large values from peers that have them, until none
/// is missing or no peer is known to have them.
pub(super) async fn chunks(context: &Context) {
    loop {
        let begun = context.now();
        let Some((peer, digests)) = context.state().begin_chunks_fetch(begun) else {
            return;
        };
        let chunks = context.peers.chunks(peer, &digests).await;
        context.metrics.peer_fetch("chunks", chunks.is_ok());
        let now = context.now();
        let bytes: usize = chunks.iter().flatten().map(Vec::len).sum();
        log::debug!(peer:% = peer, asked = digests.len(), bytes, took_ms = (now - begun).0; "chunks of large values fetched");
        context
            .state()
            .end_chunks_fetch(peer, &chunks.unwrap_or_default(), now);
    }
}
