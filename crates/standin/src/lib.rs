/*!
Stand-ins for the systems around the query tier.

They speak the published protocols of targets and of the platform's list, and
they fail on command, so that tests, the demo and the benchmarks run on
loopback with nothing else installed.
*/

pub mod client;
pub mod fleet;
mod http;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod searcher;
pub mod site;
