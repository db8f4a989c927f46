//! Decisions about one request on its way from the client to a target.
//!
//! - [`routing_table`] holds the routes, services and API keys of the settings.
//! - [`retired_services`] holds the services of former settings for requests that go on.
//! - [`retry_budget`] bounds how often requests are sent more than once.
//! - [`client_timeouts`] decides when a connection of a client is closed.
//! - [`deadline_admission`] refuses requests that cannot be served in time.
//! - [`durations`] remembers how long the requests of each route take.
//! - [`prior_wait`] estimates how long a retrying client has already waited.
//! - [`continuation`] decides whether a reply begins a stream or goes on with it.
//! - [`event_buffer`] forwards only complete events of a stream, and [`stream_origin`]
//!   decides at which targets a broken one may go on. [`stream_trace`] finds where it began
//!   if no daemon knows any more, and [`version_history`] which versions have served.
//! - [`part_quarantine`] finds parts of prompts that crash targets.
//! - [`punctuality`] decides whether an answer is on time.
//! - [`demand`] is what a request asks of an engine, in tokens.
//! - [`wait_queue`] orders the requests that wait for a target.
//!
//! [`crate::target`] picks the target of a request, and [`crate::stage`]
//! schedules its stages. These modules read no clock and no socket.

pub mod client_timeouts;
pub mod continuation;
pub mod deadline_admission;
pub mod demand;
pub mod durations;
pub mod event_buffer;
pub mod part_quarantine;
pub mod prior_wait;
pub mod punctuality;
pub mod retired_services;
pub mod retry_budget;
pub mod routing_table;
pub mod stream_origin;
pub mod stream_trace;
pub mod version_history;
pub mod wait_queue;
