//! Calls to the daemons that choose engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gooseberry_kernel::fleet::placer_call::PLACE_TIMEOUT;
use gooseberry_kernel::name;
use gooseberry_kernel::target::placement::summary::Summary;
use gooseberry_wire::fleet::ledger;
use gooseberry_wire::fleet::placement::Finish;
use gooseberry_wire::fleet::placement::NotPlaced;
use gooseberry_wire::fleet::placement::Placed;
use gooseberry_wire::fleet::placement::Placement;
use tarpc::client::RpcError;
use tokio::time::timeout;

use crate::context::Context;
use crate::peers::Connection;
use crate::peers::GREET_TIMEOUT;
use crate::peers::Peers;
use crate::peers::versions::PLACEMENT_VERSION;
use crate::peers::with_timeout;

/// Why a placer was not called, or did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Uncalled {
    /// It cannot be reached or does not answer.
    Unreachable,
    /// It is of a build that does not have the call.
    Former,
}

impl Peers {
    /// Has a peer choose the engine of a request.
    ///
    /// # Errors
    /// Returns [`Uncalled`] if the peer does not answer, or does not have the call.
    pub async fn place(
        &self,
        context: &Arc<Context>,
        address: SocketAddr,
        message: Placement,
    ) -> Result<Result<Placed, NotPlaced>, Uncalled> {
        let connection = match self.cached_connection(address) {
            Some(connection) => connection,
            None => connect_in_background(context, address).await?,
        };
        check_version(&connection)?;
        let limit = Duration::from_millis(PLACE_TIMEOUT.0);
        let answer = connection.client.place(with_timeout(limit), message).await;
        answer.map_err(|error| self.uncalled(address, &error))
    }

    /// Reports to a peer how requests ended that it has chosen engines for.
    ///
    /// # Errors
    /// Returns [`Uncalled`] if the peer does not answer, or does not have the call.
    pub async fn finished(
        &self,
        address: SocketAddr,
        reports: Vec<Finish>,
    ) -> Result<(), Uncalled> {
        let calling = async {
            let connection = self.connection(address).await;
            let connection = connection.map_err(|_| Uncalled::Unreachable)?;
            check_version(&connection)?;
            let limit = with_timeout(GREET_TIMEOUT);
            let call = connection.client.finished(limit, reports);
            call.await.map_err(|error| self.uncalled(address, &error))
        };
        let answered = timeout(GREET_TIMEOUT, calling).await;
        answered.unwrap_or(Err(Uncalled::Unreachable))
    }

    /// Asks a peer what it knows of the engines of a group.
    ///
    /// # Errors
    /// Returns [`Uncalled`] if the peer does not answer, or does not have the call.
    pub async fn ledger(
        &self,
        address: SocketAddr,
        service: &name::Service,
        group: u32,
    ) -> Result<Vec<Summary>, Uncalled> {
        let calling = async {
            let connection = self.connection(address).await;
            let connection = connection.map_err(|_| Uncalled::Unreachable)?;
            check_version(&connection)?;
            let limit = with_timeout(GREET_TIMEOUT);
            let service = service.as_str().into();
            let call = connection.client.ledger(limit, service, group);
            call.await.map_err(|error| self.uncalled(address, &error))
        };
        let answered = timeout(GREET_TIMEOUT, calling).await;
        let summaries = answered.unwrap_or(Err(Uncalled::Unreachable))?;
        Ok(ledger::decode(summaries))
    }

    /// Drops a connection that has ended. One on which a call was merely late is kept, since
    /// other calls may be waiting on it.
    fn uncalled(&self, address: SocketAddr, error: &RpcError) -> Uncalled {
        if !matches!(error, RpcError::DeadlineExceeded) {
            self.disconnect(address);
        }
        Uncalled::Unreachable
    }
}

/// Connects to a peer in a task of its own, so that a caller which stops waiting does not
/// end the attempt: the next one finds the connection.
async fn connect_in_background(
    context: &Arc<Context>,
    address: SocketAddr,
) -> Result<Connection, Uncalled> {
    let context = context.clone();
    let connecting = tokio::spawn(async move { context.peers.connection(address).await });
    match connecting.await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => Err(Uncalled::Unreachable),
    }
}

fn check_version(connection: &Connection) -> Result<(), Uncalled> {
    if connection.version < PLACEMENT_VERSION {
        return Err(Uncalled::Former);
    }
    Ok(())
}
