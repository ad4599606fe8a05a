//! Log events of the query path, numbers 100 to 199.

use super::event_kinds;

event_kinds! {
    QUERY_PLANNED = (101, Debug, "A query was planned: snapshot, shards and the target of each.");
    QUERY_ANSWERED = (102, Debug, "A query was answered, with its coverage.");
    QUERY_REFUSED = (103, Info, "A request was refused or failed, with its verdict.");
    SHARD_HEDGED = (104, Debug, "A straggling shard was asked of another target as well.");
    SHARD_RETRIED = (105, Debug, "A shard was asked of another target after a failure.");
    QUERY_REPLANNED = (106, Info, "A query was planned again at another snapshot, because no target held a shard any more. Frequent lines mean that targets drop a snapshot too early.");
    STANDBY_ASKED = (107, Info, "Shard requests went to the standby, because their home did not acknowledge them or has left. Lasting lines mean that a home is overloaded or cut off.");
    FLOOR_USED = (108, Warn, "All replicas of a shard are reported as unusable, and the least bad one was asked. At most one line per route and second. Check the targets of the route.");
    REPLY_DROPPED = (109, Debug, "A reply matched no outstanding request and was dropped.");
    CLAIM_RELEASED = (110, Info, "A claim was granted after its request had ended and was released; nothing was sent.");
    CLAIM_FORGOTTEN = (111, Warn, "Too many claims are outstanding. If this one is granted, its request id stays claimed until the claim expires.");
}
