//! Temporary directories for the files of a test.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// The directory for the files of one gateway. It is removed when this value is dropped.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    /// Creates an empty directory with a unique name.
    pub fn new() -> Self {
        static CREATED: AtomicU32 = AtomicU32::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let name = format!("storage-gateway-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary directory should be writable");
        Self(path)
    }

    /// The path of a file in the directory.
    pub fn path(&self, file_name: &str) -> PathBuf {
        self.0.join(file_name)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, file_name: &str, content: &str) -> PathBuf {
        let path = self.path(file_name);
        std::fs::write(&path, content).expect("the file should be writable");
        path
    }

    /// Reads a file as text.
    pub fn read(&self, file_name: &str) -> String {
        std::fs::read_to_string(self.path(file_name)).expect("the file should be readable")
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
