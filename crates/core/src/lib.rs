/*!
The decision logic of the query tier, without I/O.

Each subsystem of a daemon that makes decisions is a reducer: it takes its
state and an event, and returns effects as data. This crate uses no clock,
socket, thread, file or global source of randomness. Time is an argument, and
random numbers come from a seeded generator that is part of the state. The
daemon carries out the effects; tests run the same code with simulated time.
*/

pub mod config;
pub mod config_sync;
pub mod consensus;
pub mod control;
pub mod event;
pub mod forward;
pub mod held;
pub mod id;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
pub mod query;
pub mod rollout;
pub mod shares;
pub mod snapshot;
pub mod target;
pub mod time;
pub mod verdict;
