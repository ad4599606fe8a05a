/*!
The query tier's daemon and command-line tool.

Decisions live in `primrosemast-core`; this crate carries them out: HTTP
towards callers, operators and targets, messages between instances, files,
settings and logs.
*/

pub mod api;
pub mod cli;
pub mod daemon;
pub mod forward;
pub mod http_client;
pub mod log_output;
pub mod settings;
pub mod storage;

mod http;
mod peer;
mod target_client;
