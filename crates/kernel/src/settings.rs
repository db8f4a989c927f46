//! The settings of operators, which are validated before they take effect.
//!
//! A document is JSON with comments. Whether it is accepted depends only on its
//! text, so every daemon accepts and refuses the same documents. All faults of
//! a document are reported at once, each with its path, its line and what was
//! expected there.
//!
//! - [`Local`] is the file with which one process is started.
//! - [`Fleet`] is the document at `/fleet`, which applies to every daemon.
//! - [`TeamSettings`] is one team's subtree, at `/teams/NAME`.
//! - [`ActiveSettings`] holds what was read and decides what is in force.

mod active;
mod fault;
mod fleet;
mod local;
mod reader;
mod team;

pub use active::ActiveSettings;
pub use active::HeldDocument;
pub use active::RawDocument;
pub use active::Tree;
pub use fault::Fault;
pub use fault::Faults;
pub use fleet::Fleet;
pub use fleet::Policy;
pub use local::Local;
pub use local::LogFormat;
pub use reader::decode;
pub use team::Pipeline;
pub use team::Pool;
pub use team::Stage;
pub use team::TargetKind;
pub use team::TeamSettings;
pub use team::Workspace;
