//! The direct path against stand-ins of the platform, its targets and clients.

mod answers;
mod changes;
mod connections;
mod fleet;
mod platform;
mod stages;
mod streams;
