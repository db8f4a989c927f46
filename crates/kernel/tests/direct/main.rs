//! Tests of the decisions on the direct path.

mod batch_queue;
mod choice;
mod cold_rate;
mod deadline_admission;
mod event_buffer;
mod health;
mod load;
mod member;
mod mirror;
mod plan;
mod prior_wait;
mod registry;
mod retry_budget;
mod routing_table;
mod selection;
