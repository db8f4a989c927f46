//! What is decided about the stages before a request's run.
//!
//! - [`plan`] says which stages of one request can begin.
//! - [`group`] is what waits for one request.
//! - [`queue`] gathers the pieces of all requests at one stage service and
//!   says which pieces go into which call.
//! - [`results`] counts what the targets keep until it is read.

pub mod group;
pub mod plan;
pub mod queue;
pub mod results;

mod arrivals;
mod near;
