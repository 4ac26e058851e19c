//! The process's monotonic clock as [`Moment`]s.

use std::time::Instant;

use onyxfall_policy::Moment;

/// Counts from the process's start.
#[derive(Clone, Copy, Debug)]
pub struct EntryClock {
    started: Instant,
}

impl EntryClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// The current moment.
    pub fn now(&self) -> Moment {
        Moment::from_duration(self.started.elapsed())
    }
}
