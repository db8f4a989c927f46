//! Connectors from the daemon to each kind of target and to the platform.
//!
//! A connector knows how one kind of target is called. Connectors register
//! themselves, so a new kind needs a file here and nothing elsewhere. What all
//! kinds share, such as the echo of the attempt id and the rule that an answer
//! must be whole, stands in [`target`]. [`platform`] reads what the platform
//! publishes and counts each call.
//!
//! # Example
//!
//! ```
//! use gooseberry_connectors::connector;
//! use gooseberry_kernel::settings::Kind;
//!
//! for kind in Kind::ALL {
//!     assert!(connector::find(kind).is_some(), "{kind} has no connector");
//! }
//! ```

pub mod connector;
pub mod deadline_body;
pub mod encoder;
pub mod engine;
pub mod http_client;
pub mod http_connection;
pub mod platform;
pub mod reranker;
pub mod retriever;
pub mod service;
pub mod target;
