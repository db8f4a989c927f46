//! The connector for rerankers.

use gooseberry_kernel::settings::Kind;

use crate::connector::Connector;
use crate::connector::Registration;

/// Calls rerankers.
pub struct Reranker;

impl Connector for Reranker {
    fn kind(&self) -> Kind {
        Kind::Reranker
    }

    fn path(&self) -> &'static str {
        "/v1/rerank"
    }
}

inventory::submit! {
    Registration { connector: &Reranker }
}
