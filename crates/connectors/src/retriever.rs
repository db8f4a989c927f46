//! The connector for retrievers.

use gooseberry_kernel::settings::Kind;

use crate::connector::Connector;
use crate::connector::Registration;

/// Calls retrievers.
pub struct Retriever;

impl Connector for Retriever {
    fn kind(&self) -> Kind {
        Kind::Retriever
    }

    fn path(&self) -> &'static str {
        "/v1/retrieve"
    }
}

inventory::submit! {
    Registration { connector: &Retriever }
}
