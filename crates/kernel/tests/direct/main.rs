//! Tests of the kernel's request, target, stage and fleet decisions.

mod assignment;
mod batch_queue;
mod chunks;
mod cold_rate;
mod deadline_admission;
mod event_buffer;
mod fetch;
mod fixtures;
mod health;
mod large_fleet;
mod link;
mod load;
mod membership;
mod mirror;
mod notice;
mod part_quarantine;
mod plan;
mod prior_wait;
mod rate_limit;
mod registry;
mod replica;
mod retry_budget;
mod routing_table;
mod selection;
mod store_readers;
mod stream_origin;
