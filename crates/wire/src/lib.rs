//! The wire formats of gooseberryarch.
//!
//! Each protocol has its own types, separate from those of the kernel, so that a
//! change inside the kernel cannot change what another process reads. `From`
//! converts kernel types to wire types; `TryFrom` converts back and validates.
//!
//! - [`header`]: the HTTP headers that clients, daemons and targets use.
//! - [`platform`]: the list, settings and load reports that the platform
//!   publishes, as JSON.
//! - [`entries`]: lists whose entries several writers leave, as JSON.
//! - [`operators`]: the status and explanations that a daemon returns to
//!   operators, as JSON.
//! - [`control`]: the messages between daemons, over tarpc.
//! - [`fleet`]: the messages between relay daemons, over tarpc.
//! - [`detour`]: requests that one relay daemon sends for another, over HTTP.
//!
//! `docs/PROTOCOLS.md` documents the protocols.
//!
//! # Example
//!
//! ```
//! use gooseberry_wire::platform;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let text = r#"{"revision": 3, "instances": [], "targets": []}"#;
//! let list: platform::List = serde_json::from_str(text)?;
//! let list = gooseberry_kernel::published_list::PublishedList::try_from(list)?;
//! assert_eq!(list.revision.0, 3);
//! # Ok(())
//! # }
//! ```

pub mod control;
pub mod detour;
pub mod entries;
pub mod fleet;
pub mod header;
pub mod operators;
pub mod platform;
