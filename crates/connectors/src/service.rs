//! The connector for plain services.

use gooseberry_kernel::settings::TargetKind;

use crate::connector::Connector;
use crate::connector::Registration;

/// Calls plain services.
pub struct Service;

impl Connector for Service {
    fn kind(&self) -> TargetKind {
        TargetKind::Service
    }

    fn path(&self) -> &'static str {
        "/v1/call"
    }
}

inventory::submit! {
    Registration { connector: &Service }
}
