//! A log with a stalled reader neither blocks the process nor grows its memory.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use onyxfall_logging::{LineQueue, LineRateLimit};

/// An output whose first write blocks until it is released.
struct StalledOutput {
    released: Receiver<()>,
    is_released: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.released.recv().map_err(io::Error::other)?;
            self.is_released = true;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_reader_drops_lines_without_blocking() {
    let (release, released) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StalledOutput {
        released,
        is_released: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::with_output(move || Box::new(output));
    // Nothing is read: each push returns, and the queue holds a bounded number of lines.
    for number in 0..100_000 {
        queue.push(format!("line {number}"), false);
    }
    release.send(()).unwrap();
    for _ in 0..10 {
        log::Log::flush(&queue);
    }
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(
        text.lines().count() < 5_000,
        "{} lines",
        text.lines().count()
    );
    assert!(text.starts_with("line 0\n"));
}

#[test]
fn rate_limit_admits_alarms_separately_and_counts_dropped_lines() {
    let mut limiter = LineRateLimit::default();
    let now = Duration::from_millis(1500);
    let info = (0..1000).filter(|_| limiter.admits(now, false)).count();
    let alarms = (0..1000).filter(|_| limiter.admits(now, true)).count();
    assert!(info > 0 && alarms > 0 && info + alarms < 1000);
    let dropped = u64::try_from(2000 - info - alarms).unwrap();
    assert_eq!(limiter.take_dropped(), dropped);
    assert!(
        limiter.admits(now + Duration::from_secs(1), false),
        "a new second"
    );
}
