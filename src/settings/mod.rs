/*!
Settings of an instance and the configuration of a site, read from files.

Both are JSON with comments. A value is first checked against the schema that
is derived from its type, then for what a schema cannot say. All problems are
reported at once, each with the file that the value came from.
*/

mod instance;

pub use instance::{InstanceSettings, Listen, Role, Timing};
