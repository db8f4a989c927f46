//! The connector for encoders.

use gooseberry_kernel::settings::Kind;

use crate::connector::Connector;
use crate::connector::Registration;

/// Calls encoders.
pub struct Encoder;

impl Connector for Encoder {
    fn kind(&self) -> Kind {
        Kind::Encoder
    }

    fn path(&self) -> &'static str {
        "/v1/encode"
    }
}

inventory::submit! {
    Registration { connector: &Encoder }
}
