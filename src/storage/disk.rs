//! The operations of the storage that change files.

use std::{
    fmt,
    fs::{self, File, OpenOptions},
    io::{self, Write as _},
    path::Path,
};

/// Changes to the files of a data folder. The defaults are those of the
/// operating system.
pub trait Disk: Clone + fmt::Debug + Send + 'static {
    /// Creates a folder and its parents, if they do not exist.
    ///
    /// # Errors
    ///
    /// Fails if the operating system reports a failure, as the others do.
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    /// Opens a file for writing, or creates it.
    ///
    /// # Errors
    ///
    /// See [`Disk::create_folder`].
    fn open(&self, path: &Path, options: &OpenOptions) -> io::Result<File> {
        options.open(path)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// See [`Disk::create_folder`].
    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    /// Truncates a file.
    ///
    /// # Errors
    ///
    /// See [`Disk::create_folder`].
    fn truncate(&self, file: &File, len: u64) -> io::Result<()> {
        file.set_len(len)
    }

    /// Syncs a file with its metadata, or a folder.
    ///
    /// # Errors
    ///
    /// See [`Disk::create_folder`].
    fn sync(&self, file: &File) -> io::Result<()> {
        file.sync_all()
    }

    /// Syncs the content and the length of a file.
    ///
    /// # Errors
    ///
    /// See [`Disk::create_folder`].
    fn sync_data(&self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    /// Renames a file.
    ///
    /// # Errors
    ///
    /// See [`Disk::create_folder`].
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// See [`Disk::create_folder`].
    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}

/// The disk of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsDisk;

impl Disk for OsDisk {}
