//! The messages of gooseberryarch as they stand on the wire.
//!
//! Each protocol has types of its own here, apart from the kernel's, so that a
//! change inside the kernel cannot change what another process reads. `From`
//! leads from the kernel to the wire; `TryFrom` leads back and checks.
//!
//! - [`header`] names the HTTP headers that callers, daemons and targets use.
//! - [`platform`] holds what the platform publishes, as JSON.
//! - [`operators`] holds what a daemon tells its operators, as JSON.
//! - [`control`] holds what daemons tell each other, over tarpc; [`fleet`] is
//!   its kin on the direct path.
//!
//! `docs/PROTOCOLS.md` writes the protocols down for others.
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
pub mod fleet;
pub mod header;
pub mod operators;
pub mod platform;
