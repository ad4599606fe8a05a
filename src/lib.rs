/*!
The query tier's daemon and command-line tool.

`primrosemast-core` makes the decisions and does no I/O. This crate does the
I/O: HTTP with callers, operators and targets, messages between instances,
files, settings and logs.
*/

pub mod api;
pub mod cli;
pub mod daemon;
pub mod forward;
pub mod http_client;
pub mod list_entries;
pub mod log_output;
pub mod settings;
pub mod storage;

mod held;
mod http;
mod http_exchange;
mod http_server;
mod listener;
mod peer;
mod target_client;
