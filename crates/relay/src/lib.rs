//! The reverse proxy that forwards client requests to targets.
//!
//! Each attempt of a client reaches exactly one daemon, which forwards it to a
//! target itself, so no daemon owns targets or keys. Daemons exchange only
//! advisory state: which peers are alive, what the platform has published, and
//! how long pieces wait in the queues. `docs/design/platform.md` explains why.
//!
//! A request may have stages, which run before it is sent to a target. The work
//! of a stage is split into pieces; each piece yields a result that stays in the memory of
//! the target that computed it, and is referred to by a handle. The target that
//! runs the request reads the results by their handles.
//!
//! - [`daemon`] starts the process and shuts it down.
//! - [`state`] holds the daemon's view of the fleet, and calls the decision
//!   logic of the kernel with it.
//! - [`http_server`] serves client connections; [`request`] handles one request.
//! - `resumption` finds out where a stream that a client resumes may go on.
//! - [`stages`] runs the stages of a request. Their pieces are batched by the
//!   [`dispatcher`] of one daemon for each service.
//! - [`exchange`] is one call to a target, over the connections in [`pool`].
//! - `detour` has a peer send a request if this daemon reaches no target.
//! - `placement` has one daemon choose the engines of a group for all requests.
//! - `link` checks whether this daemon reaches the targets of a service.
//! - [`store_watch`] reads the platform's store, `store_check` asks it on
//!   demand, and `store_history` reads what has changed before;
//!   [`peers`] talks to other daemons.
//!
//! # Example
//!
//! ```no_run
//! use gooseberry_platform::boot::Boot;
//! use gooseberry_relay::daemon;
//!
//! # async fn run() -> anyhow::Result<()> {
//! daemon::run(Boot::load()?).await
//! # }
//! ```

pub mod body_memory;
pub mod context;
pub mod daemon;
pub mod dispatcher;
pub mod exchange;
pub mod http_server;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod progress;
pub mod reply_memory;
pub mod request;
pub mod shutdown;
pub mod stages;
pub mod state;
pub mod store_watch;

mod activity;
mod answer_record;
mod detour;
mod forward;
mod link;
pub mod placement;
mod resumption;
mod store_check;
mod store_history;
