/*!
Simulated targets, platform list and network for the query tier.

They implement the published protocols of targets and of the platform's list
and inject faults on request, so that tests, the demo and the benchmarks run
on loopback without other software.
*/

pub mod client;
pub mod crowd;
pub mod fleet;
mod http;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod searcher;
pub mod site;
