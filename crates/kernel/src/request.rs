//! What is decided about one request on its way from the client to a target.
//!
//! - [`table`] says where a request may go and under which terms.
//! - [`budget`] bounds what is sent more than once.
//! - [`door`] refuses what cannot be served in time, and says when to return.
//! - [`patience`] tells clients that come back by the time that they give.
//! - [`events`] keeps account of the events of a stream that were passed on.
//!
//! Which target gets a request is decided in [`crate::target`], and how its
//! stages are made in [`crate::stage`]. Nothing here reads a clock or a socket.

pub mod budget;
pub mod door;
pub mod events;
pub mod patience;
pub mod table;
