//! Tests of the decisions on the direct path.

mod budget;
mod choice;
mod door;
mod events;
mod health;
mod load;
mod member;
mod mirror;
mod pace;
mod patience;
mod place;
mod plan;
mod queue;
mod roster;
mod table;
