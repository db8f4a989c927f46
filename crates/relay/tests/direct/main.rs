//! Tests daemons end to end against stand-ins of the platform's store, of targets
//! and of clients.

mod answers;
mod changes;
mod connections;
mod fleet;
mod platform;
mod stages;
mod streams;
