//! The connector for encoders.

use gooseberry_kernel::settings::TargetKind;

use crate::connector::Connector;
use crate::connector::Registration;

/// Calls encoders.
pub struct Encoder;

impl Connector for Encoder {
    fn kind(&self) -> TargetKind {
        TargetKind::Encoder
    }

    fn path(&self) -> &'static str {
        "/v1/encode"
    }
}

inventory::submit! {
    Registration { connector: &Encoder }
}
