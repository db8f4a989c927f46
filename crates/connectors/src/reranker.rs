//! The connector for rerankers.

use gooseberry_kernel::settings::TargetKind;

use crate::connector::Connector;
use crate::connector::Registration;

/// Calls rerankers.
pub struct Reranker;

impl Connector for Reranker {
    fn kind(&self) -> TargetKind {
        TargetKind::Reranker
    }

    fn path(&self) -> &'static str {
        "/v1/rerank"
    }
}

inventory::submit! {
    Registration { connector: &Reranker }
}
