//! The thread that writes lines, and the bounded queue before it.

use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use log::{Level, Log, Metadata, Record};

use crate::ration::LineRation;

/// Lines that may wait for the thread.
const QUEUE_LINES: usize = 1024;
/// Pause in which lines gather, so that one write carries many.
const GATHER: Duration = Duration::from_millis(100);
/// Longest wait of a flush; a stalled reader must not hold up the end.
const FLUSH_WAIT: Duration = Duration::from_millis(300);

/// Where lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogSink {
    /// Standard output: programs that serve.
    Stdout,
    /// Standard error: commands whose output is for people.
    Stderr,
}

enum QueueItem {
    Line(String),
    Flush(Sender<()>),
}

/// The sending end of the queue, as a logger.
pub struct LineQueue {
    items: Sender<QueueItem>,
    ration: Mutex<LineRation>,
    started: Instant,
}

impl LineQueue {
    /// Starts the thread; without one, every line counts as left out.
    pub fn start(sink: LogSink) -> Self {
        Self::with_output(move || -> Box<dyn Write> {
            match sink {
                LogSink::Stdout => Box::new(io::stdout()),
                LogSink::Stderr => Box::new(io::stderr()),
            }
        })
    }

    /// Starts the thread with an output that it makes itself.
    pub fn with_output(output: impl FnOnce() -> Box<dyn Write> + Send + 'static) -> Self {
        let (items, receiver) = bounded(QUEUE_LINES);
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, &mut *output()));
        if let Err(e) = spawned {
            eprintln!("no thread for logs: {e}");
        }
        Self {
            items,
            ration: Mutex::default(),
            started: Instant::now(),
        }
    }

    /// Hands a line on, or counts it as left out. Never waits.
    pub fn push(&self, line: String, alarm: bool) {
        let mut ration = self.ration.lock().unwrap_or_else(PoisonError::into_inner);
        if !ration.admits(self.started.elapsed(), alarm) {
            return;
        }
        let left_out = ration.take_left_out();
        if left_out > 0 {
            let note = format!("{{\"module\":\"log\",\"left_out\":{left_out}}}");
            if self.items.try_send(QueueItem::Line(note)).is_err() {
                (0..left_out).for_each(|_| ration.note_lost());
            }
        }
        match self.items.try_send(QueueItem::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => ration.note_lost(),
        }
    }
}

impl Log for LineQueue {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.push(record.args().to_string(), record.level() <= Level::Warn);
    }

    fn flush(&self) {
        let (sender, receiver) = bounded(1);
        if self.items.try_send(QueueItem::Flush(sender)).is_ok() {
            // A reader that stalls costs the last lines, not the process's end.
            let _ = receiver.recv_timeout(FLUSH_WAIT);
        }
    }
}

fn write_lines(items: &Receiver<QueueItem>, output: &mut dyn Write) {
    let mut batch = String::new();
    while let Ok(first) = items.recv() {
        let mut flushes = Vec::new();
        take(first, &mut batch, &mut flushes);
        if flushes.is_empty() {
            thread::sleep(GATHER);
        }
        while let Ok(item) = items.try_recv() {
            take(item, &mut batch, &mut flushes);
        }
        // Nobody is left to tell of a log that cannot be written.
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        batch.clear();
        for flush in flushes {
            let _ = flush.send(());
        }
    }
}

fn take(item: QueueItem, batch: &mut String, flushes: &mut Vec<Sender<()>>) {
    match item {
        QueueItem::Line(line) => {
            batch.push_str(&line);
            batch.push('\n');
        }
        QueueItem::Flush(sender) => flushes.push(sender),
    }
}
