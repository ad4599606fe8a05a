//! A thread that writes, so that a slow sync does not stop the daemon.

use std::{sync::mpsc, thread, time::Duration};

use primrosemast_core::consensus::Write;

use super::{Storage, StorageError, StorageErrorKind};

/// Pause before a write to a full disk is made again.
const FULL_PAUSE: Duration = Duration::from_millis(200);

/// The writing thread of a data folder.
#[derive(Debug)]
pub struct StorageThread {
    writes: mpsc::Sender<(u64, Write)>,
}

impl StorageThread {
    /// Starts the thread. `report` gets the last synced ticket after each
    /// sync, or a failure. After any failure but a full disk the thread
    /// ends; a write to a full disk is made again.
    pub fn spawn(
        mut storage: Storage,
        report: impl Fn(Result<u64, StorageError>) + Send + 'static,
    ) -> StorageThread {
        let (writes, rx) = mpsc::channel::<(u64, Write)>();
        thread::spawn(move || {
            while let Ok(first) = rx.recv() {
                // Writes that arrived during the last sync share the next.
                let (tickets, batch): (Vec<u64>, Vec<Write>) =
                    std::iter::once(first).chain(rx.try_iter()).unzip();
                let last = tickets.last().copied().unwrap_or_default();
                let mut result = storage.write(&batch);
                if is_full(&result) {
                    report(result.map(|()| last));
                    result = write_when_free(&mut storage, &batch);
                }
                let failed = result.is_err();
                report(result.map(|()| last));
                if failed {
                    return;
                }
            }
        });
        StorageThread { writes }
    }

    /// Queues a write.
    pub fn write(&self, ticket: u64, write: Write) {
        // The thread has ended only after it has reported a failure.
        let _ = self.writes.send((ticket, write));
    }
}

fn is_full(result: &Result<(), StorageError>) -> bool {
    matches!(result, Err(e) if e.kind() == StorageErrorKind::Full)
}

/// Repeats a write until the disk is no longer full.
fn write_when_free(
    storage: &mut Storage,
    batch: &[Write],
) -> Result<(), StorageError> {
    loop {
        thread::sleep(FULL_PAUSE);
        let result = storage.write(batch);
        if !is_full(&result) {
            return result;
        }
    }
}
