//! HTTP clients for each kind of target and for the platform.
//!
//! A connector knows the path and the headers of one kind of target. Connectors
//! register themselves, so a new kind needs one file here and no change
//! elsewhere. [`target`] has what all kinds share, such as the check that a
//! reply echoes the attempt id and is complete. [`platform`] reads the list, the
//! settings and the load reports, and counts each call.
//!
//! # Example
//!
//! ```
//! use gooseberry_connectors::connector;
//! use gooseberry_kernel::settings::TargetKind;
//!
//! for kind in TargetKind::ALL {
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
pub mod reply_body;
mod request_progress;
pub mod reranker;
pub mod retriever;
pub mod service;
pub mod target;

mod read_limit;
