/*!
Targets whose home is this instance: connections, slots, queues and warm-up.

The home of a target is the only instance that sends to it, so the number of
requests in flight, the number of connections and the warm-up limit are exact
counts. See section 4 of the design page.

A request counts against the slots of its target from `Send` until its answer
has arrived, or until the daemon reports that no byte of it was written. A
request that was given up (timeout, cancellation, broken or silent
connection) may still run at the target. It is cancelled there and goes on
counting until the target has confirmed the cancellation, at most for
`TargetOptions::cancel_grace`.

A request on a silent connection is never sent again from here: it ends as
`Failed` with `MayHaveRun`, and the root of the query decides on a retry,
because only the root knows the extra-load budget of the route.
*/

mod answer;
mod conn;
mod entry;
mod exchange;
mod health;
mod latency;
mod options;
mod queue;
mod reducer;
mod trust;
mod types;

pub use answer::RequestId;
pub use options::TargetOptions;
pub use reducer::Targets;
pub use types::*;
