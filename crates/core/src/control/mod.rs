/*!
The replicated state machine: configuration, change outcomes and claims.

Commands are applied in the order of the log and have the same effect on
every replica, so the state machine reads no clock and draws no random
numbers. See section 6 of the design page.
*/

pub mod client;
mod pending;
pub mod repair;
pub mod roster;
pub mod service;
mod state;
mod types;

pub use state::*;
pub use types::*;
