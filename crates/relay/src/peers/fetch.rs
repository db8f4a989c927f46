//! Fetches the contents of the platform's store from peers.

use std::net::SocketAddr;

use gooseberry_kernel::fleet::mirror::Revision;

use crate::context::Context;

/// Fetches changes of the store from a peer that has them through `theirs`, call by
/// call, and applies them.
pub(super) async fn changes(
    context: &Context,
    address: SocketAddr,
    theirs: Revision,
    mut after: Revision,
) {
    while fetch_changes(context, address, after).await {
        let next = context.state().begin_changes_fetch(theirs, context.now());
        match next {
            Some(next) if next > after => after = next,
            Some(_) => {
                context.state().end_changes_fetch();
                return;
            }
            None => return,
        }
    }
}

/// Makes one call for changes, and applies them. Returns whether it succeeded.
async fn fetch_changes(context: &Context, address: SocketAddr, after: Revision) -> bool {
    let begun = context.now();
    let changes = context.peers.changes(address, after).await;
    context.metrics.peer_fetch("changes", changes.is_ok());
    let now = context.now();
    let mut state = context.state();
    state.end_changes_fetch();
    if let Ok(changes) = changes {
        state.apply_changes(changes.into(), &address.to_string(), now);
        true
    } else {
        log::warn!(peer:% = address, after = after.0, took_ms = (now - begun).0; "changes of the store were not fetched from a peer");
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
