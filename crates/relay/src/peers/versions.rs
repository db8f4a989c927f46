//! The versions of the calls of peers, from which on they have some of them.

/// The version from which on peers have the calls `exchange` and `contents`.
pub(super) const EXCHANGE_VERSION: u32 = 1;
/// The version from which on peers have the call `heartbeat`.
pub(super) const HEARTBEAT_VERSION: u32 = 2;
/// The version from which on peers have the calls `place` and `finished`.
pub(super) const PLACEMENT_VERSION: u32 = 3;
/// The version from which on peers have the call `trace_prompt`. They are not asked by the calls
/// that did this before: they take an old list, or an earlier answer, for proof.
pub(super) const TRACE_VERSION: u32 = 7;
