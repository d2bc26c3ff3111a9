//! Notices changes of the settings file.
//!
//! The file may change without a signal, and file notifications are not available everywhere, so
//! its time of change is looked at periodically.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use hyssopstair_wire::time::MonotonicTime;

/// Interval at which the file is looked at.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A settings file, and what is known of its content.
#[derive(Debug)]
pub struct SettingsWatch {
    path: PathBuf,
    /// The content that was read last.
    text: String,
    /// Time of change and length of the file when it was read after a look at both.
    stamp: Option<(SystemTime, u64)>,
    next_check_at: MonotonicTime,
}

impl SettingsWatch {
    /// Creates a watch of a file whose content was `text` when it was read.
    pub fn new(path: &Path, text: &str, now: MonotonicTime) -> Self {
        Self {
            path: path.to_owned(),
            text: text.to_owned(),
            stamp: None,
            next_check_at: now + CHECK_INTERVAL,
        }
    }

    /// Reads the file.
    ///
    /// # Errors
    ///
    /// Returns a message if the file cannot be read.
    pub fn read(&mut self) -> Result<&str, String> {
        self.stamp = self.read_stamp();
        self.text = std::fs::read_to_string(&self.path).map_err(|error| error.to_string())?;
        Ok(&self.text)
    }

    /// Returns whether a look at the file is due and shows another content than the one that was
    /// read last. A file that cannot be read has not changed.
    pub fn has_changed(&mut self, now: MonotonicTime) -> bool {
        if now < self.next_check_at {
            return false;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        let stamp = self.read_stamp();
        if stamp.is_none() || stamp == self.stamp {
            return false;
        }
        match std::fs::read_to_string(&self.path) {
            Ok(text) => {
                self.stamp = stamp;
                text != self.text
            }
            Err(_) => false,
        }
    }

    fn read_stamp(&self) -> Option<(SystemTime, u64)> {
        let metadata = std::fs::metadata(&self.path).ok()?;
        Some((metadata.modified().ok()?, metadata.len()))
    }
}
