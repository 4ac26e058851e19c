//! The record of a case: what was sent, answered and run, with the time of each.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to the record of a case. Clones write to the same record.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the record's file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        })
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes one line.
    pub fn note(&self, text: impl Display) {
        let line = format!("{:>7} ms  {text}", self.now_ms());
        let mut file = self.file.lock().expect("the record's lock");
        let _ = writeln!(file, "{line}");
        let _ = file.flush();
    }

    /// Writes one line that is shown on standard output, too.
    pub fn tell(&self, text: impl Display) {
        println!("{text}");
        self.note(text);
    }
}
