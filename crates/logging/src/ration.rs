//! How many lines a second may be written.

use std::time::Duration;

/// Lines of severity info and below in one second. A VM of the users' sheets
/// serves about 50 requests a second at its peak, each with one to three lines.
const QUIET_LINES: u32 = 150;
/// Warnings and errors in one second, beside the others.
const ALARM_LINES: u32 = 100;

/// Counts the lines of the second under way.
///
/// ```
/// use onyxfall_logging::LineRation;
/// use std::time::Duration;
/// let mut ration = LineRation::default();
/// assert!(ration.admits(Duration::ZERO, false));
/// assert_eq!(ration.take_left_out(), 0);
/// ```
#[derive(Debug, Default)]
pub struct LineRation {
    second: u64,
    quiet: u32,
    alarms: u32,
    left_out: u64,
}

impl LineRation {
    /// Whether a line may be written at `now`, counted from any fixed point.
    pub fn admits(&mut self, now: Duration, alarm: bool) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.quiet = 0;
            self.alarms = 0;
        }
        let (used, limit) = if alarm {
            (&mut self.alarms, ALARM_LINES)
        } else {
            (&mut self.quiet, QUIET_LINES)
        };
        if *used >= limit {
            self.left_out += 1;
            return false;
        }
        *used += 1;
        true
    }

    /// Notes a line that was lost later on.
    pub fn note_lost(&mut self) {
        self.left_out += 1;
    }

    /// Lines left out since the last call.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
