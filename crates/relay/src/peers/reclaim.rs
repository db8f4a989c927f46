//! Marks results as reclaimable at the peers that dispatched them.

use std::net::SocketAddr;

use gooseberry_wire::fleet;

use crate::dispatcher::ResultOwner;
use crate::peers::GREET_TIMEOUT;
use crate::peers::Peers;
use crate::peers::Unreachable;
use crate::peers::with_timeout;

/// The version from which on peers have the call `set_reclaimable`.
const RECLAIM_VERSION: u32 = 3;

impl Peers {
    /// Returns whether a peer is known to be of a former build, which cannot mark results as
    /// reclaimable.
    pub(crate) fn lacks_reclaiming(&self, address: SocketAddr) -> bool {
        let connection = self.cached_connection(address);
        connection.is_some_and(|connection| connection.version < RECLAIM_VERSION)
    }

    /// Marks results as reclaimable, or as needed again, at the peer that dispatched them.
    /// Returns whether all of them are still kept; those at a peer of a former build are,
    /// which frees them only when it is told to.
    ///
    /// # Errors
    /// Returns [`Unreachable`] if the peer does not answer.
    pub async fn set_reclaimable(
        &self,
        owner: &ResultOwner,
        is_reclaimable: bool,
    ) -> Result<bool, Unreachable> {
        let connection = self.connection(owner.address).await?;
        if connection.version < RECLAIM_VERSION {
            return Ok(true);
        }
        let message = fleet::Keeper::from(owner);
        let (service, handles) = (message.service, message.handles);
        let limit = with_timeout(GREET_TIMEOUT);
        let client = connection.client;
        let call = client.set_reclaimable(limit, service, handles, is_reclaimable);
        call.await.map_err(|_| Unreachable)
    }
}
