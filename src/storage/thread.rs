//! A thread that writes, so that a slow sync does not stop the daemon.

use std::{sync::mpsc, thread};

use primrosemast_core::consensus::Write;

use super::{Storage, StorageError};

/// The writing thread of a data folder.
#[derive(Debug)]
pub struct StorageThread {
    writes: mpsc::Sender<(u64, Write)>,
}

impl StorageThread {
    /// Starts the thread. `report` gets the last synced ticket after each
    /// sync, or the first failure, after which the thread ends.
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
                let result = storage.write(&batch).map(|()| last);
                let failed = result.is_err();
                report(result);
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
