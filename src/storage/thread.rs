//! A thread for writes, so that a slow sync does not block the daemon.

use std::{
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread,
    time::{Duration, Instant},
};

use primrosemast_core::consensus::Write;

use super::{Disk, Storage, StorageError, StorageErrorKind};

/// Pause before a write to a full disk is repeated.
const DISK_FULL_PAUSE: Duration = Duration::from_millis(200);

/// Handle to the thread that writes to a data folder.
#[derive(Debug)]
pub struct StorageThread {
    writes: mpsc::Sender<(u64, Write)>,
    state: SharedState,
}

/// What the thread is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StorageState {
    /// Bytes of the log in the data folder, after the last complete write.
    pub folder_bytes: u64,
    /// When the write in progress began.
    pub writing_since: Option<Instant>,
    /// Whether the disk refused it for lack of space.
    pub full: bool,
}

#[derive(Clone, Debug, Default)]
struct SharedState(Arc<Mutex<StorageState>>);

impl SharedState {
    fn update(&self, change: impl FnOnce(&mut StorageState)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn get(&self) -> StorageState {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StorageThread {
    /// Starts the thread. `report` is called with the last synced ticket
    /// after each sync, or with a failure. If the disk is full, the failure is
    /// reported once and the write is repeated until it succeeds or fails in
    /// another way. After any other failure the thread ends.
    pub fn spawn(
        mut storage: Storage<impl Disk>,
        report: impl Fn(Result<u64, StorageError>) + Send + 'static,
    ) -> StorageThread {
        let (writes, rx) = mpsc::channel::<(u64, Write)>();
        let state = SharedState::default();
        let shared = state.clone();
        thread::spawn(move || {
            let idle = |storage: &Storage<_>| StorageState {
                folder_bytes: storage.folder_bytes(),
                ..StorageState::default()
            };
            shared.update(|s| *s = idle(&storage));
            while let Ok(first) = rx.recv() {
                // Writes that arrived during the last sync share the next
                // one.
                let (tickets, batch): (Vec<u64>, Vec<Write>) =
                    std::iter::once(first).chain(rx.try_iter()).unzip();
                let last = tickets.last().copied().unwrap_or_default();
                shared.update(|s| s.writing_since = Some(Instant::now()));
                let mut result = storage.write(&batch);
                if is_full(&result) {
                    shared.update(|s| s.full = true);
                    report(result.map(|()| last));
                    result = retry_while_full(&mut storage, &batch);
                }
                shared.update(|s| *s = idle(&storage));
                let failed = result.is_err();
                report(result.map(|()| last));
                if failed {
                    return;
                }
            }
        });
        StorageThread { writes, state }
    }

    /// Returns what the thread is doing.
    pub fn state(&self) -> StorageState {
        self.state.get()
    }

    /// Queues a write under a ticket that is reported when it is synced.
    pub fn write(&self, ticket: u64, write: Write) {
        // Fails only after the thread has reported a failure and ended.
        let _ = self.writes.send((ticket, write));
    }
}

fn is_full(result: &Result<(), StorageError>) -> bool {
    matches!(result, Err(e) if e.kind() == StorageErrorKind::Full)
}

/// Repeats a write until the disk is no longer full.
fn retry_while_full(
    storage: &mut Storage<impl Disk>,
    batch: &[Write],
) -> Result<(), StorageError> {
    loop {
        thread::sleep(DISK_FULL_PAUSE);
        let result = storage.write(batch);
        if !is_full(&result) {
            return result;
        }
    }
}
