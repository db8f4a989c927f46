//! The connector for model engines.

use gooseberry_kernel::settings::TargetKind;
use gooseberry_wire::header;
use http::HeaderMap;
use http::HeaderValue;

use crate::connector::Connector;
use crate::connector::Registration;
use crate::target::Call;

/// Calls model engines, which schedule calls by the priority header.
pub struct Engine;

impl Connector for Engine {
    fn kind(&self) -> TargetKind {
        TargetKind::Engine
    }

    fn path(&self) -> &'static str {
        "/v1/generate"
    }

    fn add_headers(&self, call: &Call, headers: &mut HeaderMap) {
        headers.insert(
            header::PRIORITY,
            HeaderValue::from(u16::from(call.priority)),
        );
    }
}

inventory::submit! {
    Registration { connector: &Engine }
}
