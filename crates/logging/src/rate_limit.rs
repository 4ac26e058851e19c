//! The rate limit of log lines.

use std::time::Duration;

/// Limit per second of lines at level info and below. A VM of the users' deployments serves
/// about 50 requests per second at its peak, each with one to three lines.
const INFO_LINES: u32 = 150;
/// Limit per second of warnings and errors, in addition to the other lines.
const ALARM_LINES: u32 = 100;

/// Counts the lines of the current second.
///
/// ```
/// use onyxfall_logging::LineRateLimit;
/// use std::time::Duration;
/// let mut limiter = LineRateLimit::default();
/// assert!(limiter.admits(Duration::ZERO, false));
/// assert_eq!(limiter.take_dropped(), 0);
/// ```
#[derive(Debug, Default)]
pub struct LineRateLimit {
    second: u64,
    info: u32,
    alarms: u32,
    dropped: u64,
}

impl LineRateLimit {
    /// Whether a line may be written at `now`, a time since any fixed point. If not, the line
    /// counts as dropped.
    pub fn admits(&mut self, now: Duration, alarm: bool) -> bool {
        if now.as_secs() != self.second {
            self.second = now.as_secs();
            self.info = 0;
            self.alarms = 0;
        }
        let (used, limit) = if alarm {
            (&mut self.alarms, ALARM_LINES)
        } else {
            (&mut self.info, INFO_LINES)
        };
        if *used >= limit {
            self.dropped += 1;
            return false;
        }
        *used += 1;
        true
    }

    /// Counts a line that was admitted but could not be written.
    pub fn record_dropped(&mut self) {
        self.dropped += 1;
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }
}
