//! Tests of the decisions on the direct path.

mod choice;
mod deadline_admission;
mod event_buffer;
mod health;
mod load;
mod member;
mod mirror;
mod pace;
mod place;
mod plan;
mod prior_wait;
mod queue;
mod retry_budget;
mod roster;
mod routing_table;
