//! Log events of the query path, numbers 100 to 199.

use super::event_kinds;

event_kinds! {
    QUERY_PLANNED = (101, Debug, "A query was planned: the snapshot, the shards and their targets were chosen.");
    QUERY_ANSWERED = (102, Debug, "A query was answered, with its coverage.");
    QUERY_REFUSED = (103, Info, "A request was refused or failed. The verdict says whether it may have run.");
    SHARD_HEDGED = (104, Debug, "A hedge for a slow shard was sent to another target.");
    SHARD_RETRIED = (105, Debug, "The request for a shard failed and was sent to another target.");
    QUERY_REPLANNED = (106, Info, "A query was planned again with another snapshot, because no target held a shard of the first one any more. If this is frequent, targets drop snapshots too early.");
    STANDBY_ASKED = (107, Info, "Shard requests were sent to the standby, because the home did not acknowledge them or has left. If this persists, the home is overloaded or unreachable.");
    FLOOR_USED = (108, Warn, "All replicas of a shard are reported as unusable, and the request was sent to the one in the best state. Logged at most once per route and second. Check the targets of the route.");
    REPLY_DROPPED = (109, Debug, "A reply did not match any outstanding request and was dropped.");
    CLAIM_RELEASED = (110, Info, "A claim was granted after its request had ended. It was released; nothing was sent to targets.");
    CLAIM_FORGOTTEN = (111, Warn, "Too many claims are outstanding, and this one is no longer tracked. If it is granted, its request id stays claimed until the claim expires.");
}
