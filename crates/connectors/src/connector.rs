//! The connector trait and the registry of all connectors.

use gooseberry_kernel::settings::TargetKind;
use http::HeaderMap;

use crate::target::Call;

/// The protocol of one kind of target.
pub trait Connector: Send + Sync {
    /// Returns the kind of target that this connector calls.
    fn kind(&self) -> TargetKind;

    /// Returns the HTTP path for calls.
    fn path(&self) -> &'static str;

    /// Adds the headers that are specific to this kind of target.
    fn add_headers(&self, _call: &Call, _headers: &mut HeaderMap) {}
}

/// An entry in the registry, submitted by each connector's module.
pub struct Registration {
    /// The registered connector.
    pub connector: &'static dyn Connector,
}

inventory::collect!(Registration);

/// Returns the connector for a kind of target, if one is registered.
#[must_use]
pub fn find(kind: TargetKind) -> Option<&'static dyn Connector> {
    let mut registered = inventory::iter::<Registration>.into_iter();
    let registration = registered.find(|registration| registration.connector.kind() == kind);
    registration.map(|registration| registration.connector)
}
