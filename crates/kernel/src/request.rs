//! What is decided about one request on its way from the client to a target.
//!
//! - [`routing_table`] says where a request may go and under which terms.
//! - [`retry_budget`] bounds what is sent more than once.
//! - [`deadline_admission`] refuses what cannot be served in time, and says when to return.
//! - [`prior_wait`] tells clients that come back by the time that they give.
//! - [`event_buffer`] keeps account of the events of a stream that were passed on.
//!
//! Which target gets a request is decided in [`crate::target`], and how its
//! stages are made in [`crate::stage`]. Nothing here reads a clock or a socket.

pub mod deadline_admission;
pub mod event_buffer;
pub mod prior_wait;
pub mod retry_budget;
pub mod routing_table;
