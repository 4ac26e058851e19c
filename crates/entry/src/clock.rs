//! The process's clock as [`Moment`]s; it counts suspension, so that deadlines and ages
//! do.

use onyxfall_clock::BootInstant;
use onyxfall_policy::Moment;

/// Counts from the process's start.
#[derive(Clone, Copy, Debug)]
pub struct EntryClock {
    started: BootInstant,
}

impl EntryClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: BootInstant::now(),
        }
    }

    /// The current moment.
    pub fn now(&self) -> Moment {
        Moment::from_duration(self.started.elapsed())
    }
}
