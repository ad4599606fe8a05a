/*!
Connections, slots, queues and warm-up of the targets that this instance
serves.

The home of a target is the only instance that sends to it, so the number of
requests in flight, the number of connections and the warm-up limit are exact
counts. See section 4 of the design page.

A request occupies a slot of its target from `Send` until its answer arrives,
or until the daemon reports that no byte of it was written. An abandoned
request (timeout, cancellation, broken or silent connection) may still run at
the target. It is cancelled there and keeps its slot until the target
confirms the cancellation, for at most `TargetOptions::cancel_grace`.

This module never resends a request that was on a silent connection: the job
ends as `Failed` with `MayHaveRun`, and the root of the query decides whether
to retry, because only the root knows the extra-load budget of the route.
*/

mod answer;
mod conn;
mod entry;
mod exchange;
mod handover;
mod health;
mod latency;
mod options;
mod queue;
mod reducer;
mod trust;
mod types;

pub use answer::RequestId;
pub use handover::SharingNotice;
pub use options::TargetOptions;
pub use reducer::Targets;
pub use types::*;
