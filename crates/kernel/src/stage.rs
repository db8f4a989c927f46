//! What is decided about the stages before a request's run.
//!
//! - [`plan`] says which stages of one request can begin.
//! - [`group`] is what waits for one request.
//! - [`batch_queue`] gathers the pieces of all requests at one stage service and
//!   says which pieces go into which call.
//! - [`result_tracker`] counts what the targets keep until it is read.

pub mod batch_queue;
pub mod group;
pub mod plan;
pub mod result_tracker;

mod locality;
mod piece_rate;
