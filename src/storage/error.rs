//! Errors of the storage.

use std::{
    error::Error,
    fmt, io,
    path::{Path, PathBuf},
};

/// Kind of a storage failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageErrorKind {
    /// Another process has locked the folder.
    Locked,
    /// A record or file is damaged or missing.
    Damaged,
    /// The disk is full.
    Full,
    /// The operating system reported another failure.
    Io,
    /// The record cannot be encoded, or an earlier write failed.
    Failed,
}

/// A failure to read or write the data folder.
#[derive(Debug)]
pub struct StorageError {
    kind: StorageErrorKind,
    path: PathBuf,
    message: String,
    source: Option<io::Error>,
}

impl StorageError {
    pub(super) fn new(
        kind: StorageErrorKind,
        path: &Path,
        message: String,
    ) -> StorageError {
        StorageError { kind, path: path.to_owned(), message, source: None }
    }

    pub(super) fn io(
        action: &str,
        path: &Path,
        source: io::Error,
    ) -> StorageError {
        let kind = match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                StorageErrorKind::Full
            }
            _ => StorageErrorKind::Io,
        };
        StorageError {
            kind,
            path: path.to_owned(),
            message: format!("cannot {action}"),
            source: Some(source),
        }
    }

    /// Returns the kind of the failure.
    pub fn kind(&self) -> StorageErrorKind {
        self.kind
    }
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.message)?;
        if let Some(source) = &self.source {
            write!(f, ": {source}")?;
        }
        Ok(())
    }
}

impl Error for StorageError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        self.source.as_ref().map(|e| e as &(dyn Error + 'static))
    }
}
