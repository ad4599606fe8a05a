//! The bytes of the snapshot and the log, and the room that the data folder
//! has for them.
//!
//! A folder is compacted by writing what it holds a second time, before the
//! old files are removed. The snapshot and the entries after it therefore take
//! at most half of the folder, less a reserve. As a snapshot is not larger than
//! the last one and the entries that it covers, a new one always fits. A leader
//! refuses commands above that, and a follower leaves entries for later.

use super::{
    Consensus, Entry, Payload, ProposeError, State,
    log::{disk_bytes, disk_bytes_of},
};

/// Part of the folder, as a divisor, kept for what is not counted: records of
/// terms and votes, truncated entries, file system blocks.
const RESERVE_DIVISOR: u64 = 64;

/// Room that a command leaves free, as a multiple of its own size, up to the
/// reserve, so that large commands do not shut out small ones.
const KEPT_MULTIPLE: u64 = 64;

/// Part of the room, as a divisor, that applied entries take at most before
/// they are compacted.
const APPLIED_DIVISOR: u64 = 4;

/// What a data folder of a given capacity can hold.
#[derive(Clone, Copy)]
pub(super) struct Room {
    /// Largest size of the snapshot and the entries after it, in bytes.
    pub(super) limit: u64,
    /// The same for a log that already exceeds it, in bytes: nearly the whole
    /// folder.
    hard_limit: u64,
    reserve: u64,
}

impl Room {
    pub(super) fn new(folder_bytes: u64) -> Room {
        let reserve = folder_bytes / RESERVE_DIVISOR;
        Room {
            limit: (folder_bytes - reserve) / 2,
            hard_limit: folder_bytes - reserve,
            reserve,
        }
    }

    /// Largest command, in bytes. A state that holds one has room for another
    /// that replaces it, and for a reserve of other contents.
    fn max_command(&self) -> u64 {
        self.limit / 2 - self.reserve
    }

    /// Largest size after a command of `bytes` is added.
    fn limit_for(&self, bytes: u64) -> u64 {
        self.limit - self.reserve.min(bytes.saturating_mul(KEPT_MULTIPLE))
    }
}

impl Consensus {
    pub(super) fn room(&self) -> Option<Room> {
        self.options.folder_bytes.map(Room::new)
    }

    /// Returns the size of the snapshot and the entries after it.
    fn live_bytes(&self) -> u64 {
        self.log.snapshot_bytes() + self.log.stored_bytes()
    }

    /// Returns the size of the applied entries after the snapshot.
    fn applied_bytes(&self) -> u64 {
        let waiting = self.log.entries_after(self.applied);
        let waiting: u64 = waiting.map(|e| disk_bytes(&e.payload)).sum();
        self.log.stored_bytes().saturating_sub(waiting)
    }

    /// Whether a snapshot is due for the bytes that it frees. Each covers as
    /// many bytes as the last one holds, unless the room is short.
    pub(super) fn snapshot_frees_room(&self) -> bool {
        let size = self.log.snapshot_bytes();
        let mut due = size.max(self.options.snapshot_bytes);
        if let Some(room) = self.room() {
            due = due.min(room.limit / APPLIED_DIVISOR);
        }
        if self.room_needed > 0 {
            due = due.min(self.room_needed);
        }
        self.log.stored_bytes() >= due && self.applied_bytes() >= due
    }

    /// Returns why a leader cannot add a command of `bytes`, if so.
    pub(super) fn room_refusal(&mut self, bytes: u64) -> Option<ProposeError> {
        let room = self.room()?;
        if !matches!(self.state, State::Leader(_)) {
            return None;
        }
        let most = room.max_command();
        if bytes > most {
            return Some(ProposeError::TooLarge(format!(
                "a command of {bytes} bytes does not fit into the data \
                 folder, the largest has {most}"
            )));
        }
        let limit = room.limit_for(bytes);
        let live = self.live_bytes();
        let after = live + disk_bytes_of(bytes);
        if after <= limit {
            return None;
        }
        self.room_needed = after - limit;
        Some(ProposeError::Busy(format!(
            "the data folder has no room for {bytes} bytes at present, it \
             holds {live} of {limit}"
        )))
    }

    /// Drops the entries for which a follower has no room yet. It takes a
    /// snapshot, and the leader sends them again.
    ///
    /// A log of an older release, or from before the folder got smaller, may
    /// exceed the limit while nothing in it is known to be committed. It has to
    /// grow by what commits it, since only then a snapshot frees anything.
    /// Entries without a command, which leaders add for that, are kept by the
    /// reserve.
    pub(super) fn cut_to_room(&mut self, entries: &mut Vec<Entry>) {
        let Some(room) = self.room() else { return };
        let base = self.log.base_index();
        let is_new = |e: &Entry| {
            e.index > base && self.log.term_at(e.index) != Some(e.term)
        };
        let Some(first) = entries.iter().position(is_new) else { return };
        let replaced = self.log.entries_after(entries[first].index - 1);
        let replaced: u64 = replaced.map(|e| disk_bytes(&e.payload)).sum();
        let mut after = self.live_bytes().saturating_sub(replaced);
        let limit = match after > room.limit {
            true => room.hard_limit,
            false => room.limit,
        };
        for at in first..entries.len() {
            let payload = &entries[at].payload;
            after += disk_bytes(payload);
            if after > limit && matches!(payload, Payload::Command(_)) {
                self.room_needed = after - limit;
                entries.truncate(at);
                return;
            }
        }
    }
}
