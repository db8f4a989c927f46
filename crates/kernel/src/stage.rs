//! Decisions about the stages that are computed before a request runs.
//!
//! - [`plan`] decides which stages of a request can start.
//! - [`group`] describes the queued pieces of one request at one stage.
//! - [`group_results`] keeps the result of each piece of a group.
//! - [`batch_queue`] queues the pieces of all requests at one stage service and
//!   decides which of them go into the next call.
//! - [`result_tracker`] accounts for the results that targets keep.
//! - [`urgency`] decides how urgent the stages of a request are.

pub mod batch_queue;
pub mod group;
pub mod group_results;
pub mod plan;
pub mod result_tracker;
pub mod urgency;

mod locality;
mod piece_rate;
