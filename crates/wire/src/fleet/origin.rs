//! Where streams began.

use compact_str::CompactString;
use gooseberry_kernel::name;
use gooseberry_kernel::request::stream_origin;
use serde::Deserialize;
use serde::Serialize;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service of the target.
    pub service: CompactString,
    /// The version of the target's software.
    pub version: CompactString,
}

impl From<&stream_origin::Origin> for Origin {
    fn from(origin: &stream_origin::Origin) -> Self {
        Self {
            service: origin.service.as_str().into(),
            version: origin.version.as_str().into(),
        }
    }
}

impl From<Origin> for stream_origin::Origin {
    fn from(origin: Origin) -> Self {
        Self {
            service: name::Service::new(&origin.service),
            version: name::Version::new(&origin.version),
        }
    }
}
