/*!
The root of a query: admission, planning, hedging, retries and the answer.

The instance that receives a caller's request is the root of the query. It
chooses the snapshot and a replica for every shard, sends the shard requests to
the homes of those replicas, and builds the answer from their replies. See
section 5 of the design page.
*/

mod active;
mod api;
mod budget;
mod choose;
mod dispatch;
mod explain;
mod finish;
mod index;
mod options;
mod recover;
mod root;
mod route;
mod standby;
mod table;

pub use api::{
    Answer, CallerRequest, CallerResponse, ClaimResult, Coverage, Failure,
    FailureReason, Message, MissingReason, MissingShard, QueryEffect,
    QueryEvent, ShardReply, ShardRequest, ShardResult,
};
pub use explain::{AttemptExplanation, Explanation, ShardExplanation};
pub use options::{DispatchMode, QueryOptions};
pub use root::Queries;
