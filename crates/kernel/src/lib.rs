//! All decisions of gooseberryarch, as state machines without input or output.
//!
//! The kernel has no sockets, no threads and no system time. Its driver passes
//! in each event with the current time and carries out the returned actions.
//! So a test can run the kernels of several daemons with messages that are
//! lost, duplicated and late, and check the invariants after each step.
//!
//! A request of a client names a workspace, which is a customer, and one of its
//! pipelines. A pipeline is a sequence of stages, and each stage is run by a
//! target, a back end, of the stage's pool. Each target and each idempotency key
//! is owned by one daemon at a time.
//!
//! [`node::Node`] combines all decisions of one daemon. The other modules each
//! make one kind of decision:
//!
//! - [`settings`] validates the settings of operators, and [`published_list`] holds the
//!   list of instances and targets that the platform publishes.
//! - [`lease`] decides which daemon may send work to a target or run the request
//!   of an idempotency key.
//! - [`route`] chooses the target of a stage. [`slot`] decides which calls may
//!   run there, within the [`concurrency_limit`] of the target and in the order
//!   of its [`fair_queue`].
//! - [`admission`], [`retry_policy`] and [`quarantine`] bound the load and the
//!   effect of faulty requests.
//! - [`idempotency`] runs a non-idempotent request at most once.
//! - [`handover`] passes targets and keys to their next owners at a shutdown.
//! - [`answer`] is the complete table of error kinds.
//!
//! The direct path, on which every daemon sends calls to every target itself,
//! has modules of its own: [`request`], [`target`], [`stage`] and [`fleet`].
//!
//! # Example
//!
//! ```
//! use gooseberry_kernel::clock::Millis;
//! use gooseberry_kernel::id;
//! use gooseberry_kernel::node::Identity;
//! use gooseberry_kernel::node::Node;
//!
//! # fn main() -> Result<(), id::Invalid> {
//! let me = Identity {
//!     instance: id::Instance::new("entry-1")?,
//!     domain: id::Domain::new("huaraz")?,
//! };
//! let node = Node::new(me, 7, Millis::ZERO);
//! assert!(node.ready().is_err(), "a node without a list refuses requests");
//! # Ok(())
//! # }
//! ```

mod derive;

pub mod admission;
pub mod answer;
pub mod clock;
pub mod cold_reports;
pub mod concurrency_limit;
pub mod cost;
pub mod drain;
pub mod fair_queue;
pub mod fleet;
pub mod handover;
pub mod hash;
pub mod heartbeat;
pub mod id;
pub mod idempotency;
pub mod lease;
pub mod name;
pub mod node;
pub mod published_list;
pub mod quarantine;
pub mod request;
pub mod retry_policy;
pub mod route;
pub mod settings;
pub mod slot;
pub mod stage;
pub mod target;
