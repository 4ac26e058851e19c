//! A log that nobody reads neither blocks nor grows the process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use onyxfall_logging::{LineQueue, LineRation};

/// An output whose first write waits until it is let go.
struct StalledOutput {
    go: Receiver<()>,
    is_free: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_free {
            self.go.recv().map_err(io::Error::other)?;
            self.is_free = true;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_costs_lines_not_time_or_memory() {
    let (let_go, go) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StalledOutput {
        go,
        is_free: false,
        written: Arc::clone(&written),
    };
    let queue = LineQueue::with_output(move || Box::new(output));
    // Nobody reads: each push returns, and the queue holds a bounded number.
    for number in 0..100_000 {
        queue.push(format!("line {number}"), false);
    }
    let_go.send(()).unwrap();
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
fn a_ration_leaves_room_for_alarms_and_counts_what_it_leaves_out() {
    let mut ration = LineRation::default();
    let now = Duration::from_millis(1500);
    let quiet = (0..1000).filter(|_| ration.admits(now, false)).count();
    let alarms = (0..1000).filter(|_| ration.admits(now, true)).count();
    assert!(quiet > 0 && alarms > 0 && quiet + alarms < 1000);
    let left_out = u64::try_from(2000 - quiet - alarms).unwrap();
    assert_eq!(ration.take_left_out(), left_out);
    assert!(
        ration.admits(now + Duration::from_secs(1), false),
        "a new second"
    );
}
