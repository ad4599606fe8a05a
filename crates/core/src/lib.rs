/*!
Decisions of the query tier, without I/O.

Every part of a daemon that decides something lives here as a reducer: a
state, an event, and effects as data. There is no clock, socket, thread, file
or global source of randomness in this crate. Time is an argument, and random
numbers come from a seeded generator that is part of the state. The daemon
carries the effects out; tests drive the same code with made-up time.
*/

pub mod config;
pub mod config_sync;
pub mod consensus;
pub mod control;
pub mod event;
pub mod forward;
pub mod id;
pub mod membership;
pub mod message;
pub mod node;
pub mod placement;
pub mod query;
pub mod snapshot;
pub mod target;
pub mod time;
pub mod verdict;
