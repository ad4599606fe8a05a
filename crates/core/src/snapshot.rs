/*!
Snapshots of the index, and the shards of them that a target holds.

A snapshot is an index version together with the partition map that splits it
into shards. Answers from different snapshots are never merged, because the
same shard number means different documents under another partition map.
*/

use serde::{Deserialize, Serialize};

/// An index version and its partition map.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Snapshot {
    /// Version of the index; larger is newer.
    pub index_version: u64,
    /// Version of the partition map; larger is newer.
    pub partition_map: u64,
}

/// One shard of one snapshot that a target can serve.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Holding {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The shard, from 0 to `shard_count - 1`.
    pub shard: u32,
    /// Number of shards in the snapshot.
    pub shard_count: u32,
}
