//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines with the time since its start.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the folder is writable");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let at = self.started.elapsed().as_secs_f64();
        writeln!(file, "{at:9.3} {text}").expect("the record is writable");
        file.flush().expect("the record is writable");
    }
}
