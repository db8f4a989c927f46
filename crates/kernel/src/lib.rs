//! Every decision of gooseberryarch, as state machines without input or output.
//!
//! The kernel has no sockets, no threads and no system time. Whoever drives it
//! tells it what has happened and what time it is, and does what it answers.
//! So a test can drive several daemons' kernels with messages that are lost,
//! doubled and late, and check after each step that what must hold does hold.
//!
//! [`node::Node`] puts all decisions of one daemon together. The modules below
//! it have one job each:
//!
//! - [`settings`] checks what operators say, and [`roster`] holds the list of
//!   instances and targets that the platform publishes.
//! - [`tenure`] decides who may send work to a target or start a key.
//! - [`route`] picks a target; [`slot`], [`fair_queue`] and [`concurrency_limit`] count what
//!   it bears and who waits for it.
//! - [`admission`], [`retry_policy`] and [`quarantine`] keep load and faults in bounds.
//! - [`once`] runs a non-idempotent request at most once.
//! - [`handover`] gives targets and keys to the next owner at a shutdown.
//! - [`answer`] is the closed list of ways in which a request can fail.
//!
//! The direct path, on which every daemon sends to every target itself, has
//! rooms of its own: [`request`], [`target`], [`stage`] and [`fleet`].
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
pub mod id;
pub mod name;
pub mod node;
pub mod once;
pub mod peer;
pub mod quarantine;
pub mod request;
pub mod retry_policy;
pub mod roster;
pub mod route;
pub mod settings;
pub mod slot;
pub mod stage;
pub mod target;
pub mod tenure;
