//! What a connector is, and the register of all connectors.

use gooseberry_kernel::settings::Kind;
use http::HeaderMap;

use crate::target::Call;

/// The edge between the daemon and one kind of target.
pub trait Connector: Send + Sync {
    /// Returns the kind of target that it calls.
    fn kind(&self) -> Kind;

    /// Returns the path that takes a call.
    fn path(&self) -> &'static str;

    /// Adds the headers that only this kind of target understands.
    fn add_headers(&self, _call: &Call, _headers: &mut HeaderMap) {}
}

/// An entry in the register.
pub struct Registration {
    /// The connector.
    pub connector: &'static dyn Connector,
}

inventory::collect!(Registration);

/// Finds the connector for a kind of target.
#[must_use]
pub fn find(kind: Kind) -> Option<&'static dyn Connector> {
    let mut registered = inventory::iter::<Registration>.into_iter();
    let registration = registered.find(|registration| registration.connector.kind() == kind);
    registration.map(|registration| registration.connector)
}
