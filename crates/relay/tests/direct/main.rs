//! Tests daemons end to end against stand-ins of the platform's store, of targets
//! and of clients.

mod answers;
mod brittle_targets;
mod broken_answers;
mod changes;
mod connections;
mod detours;
mod distribution;
mod endless_answers;
mod endless_targets;
mod fleet;
mod former_build;
mod former_heartbeats;
mod former_placements;
mod malformed;
mod notices;
mod odd_entries;
mod partitions;
mod pauses;
mod placement;
mod placer_standin;
mod platform;
mod prompt_parts;
mod queue;
mod rate_limits;
mod repeated_answers;
mod restarts;
mod retries;
mod slow_link;
mod stages;
mod stale_lists;
mod store_return;
mod streams;
mod unframed_answers;
mod version_evidence;
mod versions;
