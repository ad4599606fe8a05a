//! Log events of the query path, numbers 100 to 199.

use super::event_kinds;

event_kinds! {
    QUERY_PLANNED = (101, Debug, "A query was planned: snapshot, shards and the target of each.");
    QUERY_ANSWERED = (102, Debug, "A query was answered, with its coverage.");
    QUERY_REFUSED = (103, Info, "A request was refused or failed, with its verdict.");
}
