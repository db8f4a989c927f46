//! The connector for retrievers.

use gooseberry_kernel::settings::TargetKind;

use crate::connector::Connector;
use crate::connector::Registration;

/// Calls retrievers.
pub struct Retriever;

impl Connector for Retriever {
    fn kind(&self) -> TargetKind {
        TargetKind::Retriever
    }

    fn path(&self) -> &'static str {
        "/v1/retrieve"
    }
}

inventory::submit! {
    Registration { connector: &Retriever }
}
