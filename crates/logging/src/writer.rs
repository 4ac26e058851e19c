//! The thread that writes lines, and its bounded queue.

use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use log::{Level, Log, Metadata, Record};

use crate::rate_limit::LineRateLimit;

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 1024;
/// Delay before a write, so that one write has many lines.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Timeout of a flush; a stalled reader must not delay the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Destination of the lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogSink {
    /// Standard output, for services.
    Stdout,
    /// Standard error, for commands whose standard output is for users.
    Stderr,
}

enum QueueItem {
    Line(String),
    Flush(Sender<()>),
}

/// A logger that sends lines to the writer thread.
pub struct LineQueue {
    items: Sender<QueueItem>,
    limiter: Mutex<LineRateLimit>,
    started: Instant,
}

impl LineQueue {
    /// Starts the writer thread; if that fails, every line counts as dropped.
    pub fn start(sink: LogSink) -> Self {
        Self::with_output(move || -> Box<dyn Write> {
            match sink {
                LogSink::Stdout => Box::new(io::stdout()),
                LogSink::Stderr => Box::new(io::stderr()),
            }
        })
    }

    /// Starts the writer thread with an output that is created on the thread.
    pub fn with_output(output: impl FnOnce() -> Box<dyn Write> + Send + 'static) -> Self {
        let (items, receiver) = bounded(QUEUE_LINES);
        let spawned = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&receiver, &mut *output()));
        if let Err(e) = spawned {
            eprintln!("cannot start the log thread: {e}");
        }
        Self {
            items,
            limiter: Mutex::default(),
            started: Instant::now(),
        }
    }

    /// Queues a line, or counts it as dropped. Never blocks.
    pub fn push(&self, line: String, alarm: bool) {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        if !limiter.admits(self.started.elapsed(), alarm) {
            return;
        }
        let dropped = limiter.take_dropped();
        if dropped > 0 {
            let report = format!("{{\"module\":\"log\",\"left_out\":{dropped}}}");
            if self.items.try_send(QueueItem::Line(report)).is_err() {
                (0..dropped).for_each(|_| limiter.record_dropped());
            }
        }
        match self.items.try_send(QueueItem::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => limiter.record_dropped(),
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
            // If the reader stalls, the last lines are lost and the process still ends.
            let _ = receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(items: &Receiver<QueueItem>, output: &mut dyn Write) {
    let mut batch = String::new();
    while let Ok(first) = items.recv() {
        let mut flushes = Vec::new();
        append_item(first, &mut batch, &mut flushes);
        if flushes.is_empty() {
            thread::sleep(BATCH_DELAY);
        }
        while let Ok(item) = items.try_recv() {
            append_item(item, &mut batch, &mut flushes);
        }
        // Errors are ignored: there is no other place to report that the log cannot be written.
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        batch.clear();
        for flush in flushes {
            let _ = flush.send(());
        }
    }
}

fn append_item(item: QueueItem, batch: &mut String, flushes: &mut Vec<Sender<()>>) {
    match item {
        QueueItem::Line(line) => {
            batch.push_str(&line);
            batch.push('\n');
        }
        QueueItem::Flush(sender) => flushes.push(sender),
    }
}
