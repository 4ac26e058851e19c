//! The process clock as [`Moment`]s. It counts time in which the machine was suspended,
//! so that deadlines and ages include it.

use onyxfall_clock::BootInstant;
use onyxfall_policy::Moment;

/// Clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct EntryClock {
    started: BootInstant,
}

impl EntryClock {
    /// Creates a clock that starts now.
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
