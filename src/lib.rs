/*!
The query tier's daemon and command-line tool.

Decisions live in `primrosemast-core`; this crate carries them out: HTTP
towards callers, operators and targets, messages between instances, files,
settings and logs.
*/

pub mod storage;
