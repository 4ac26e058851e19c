//! When the steps of a roll-out are due.

use std::time::Duration;

/// Part of the time by which the new version must have taken over: the rest is for a
/// store that is slow to take the record.
const COMPLETE_PART: f64 = 0.93;
/// The same by which a version that is not proved is given up.
const GIVE_UP_PART: f64 = 0.96;
/// Part of the time, and longest time, in which the traffic moves: a version that breaks
/// only under load is to be noticed while others still serve most requests.
const RAMP_PART: f64 = 0.08;
const LONGEST_RAMP: Duration = Duration::from_secs(5);
/// Largest part of the time for the old servers to finish what they run.
const DRAIN_PART: f64 = 0.2;

/// When the steps of a roll-out are due, from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutTimeline {
    /// Regions where the new version is proved begin to move their traffic.
    pub shift_at: Duration,
    /// A region that has not begun by now would not be done in time.
    pub shift_until: Duration,
    /// Time in which a region moves its traffic.
    pub ramp: Duration,
    /// Nothing more is sent to the old servers, even where the new ones are full.
    pub old_end: Duration,
    /// The old servers may stop.
    pub complete_at: Duration,
    /// A version that is not proved by now is given up.
    pub give_up_at: Duration,
}

impl RolloutTimeline {
    /// The steps of a roll-out that is to be over within `time`, of a service whose
    /// answers take up to `longest_answer`. The new version is watched on few requests
    /// for as long as possible: some turn bad late.
    ///
    /// ```
    /// use onyxfall_rollout::RolloutTimeline;
    /// use std::time::Duration;
    /// let minute = Duration::from_secs(60);
    /// let steps = RolloutTimeline::new(minute, Duration::from_secs(3));
    /// assert!(steps.shift_at > minute.mul_f64(0.7));
    /// assert!(steps.complete_at < minute);
    /// ```
    pub fn new(time: Duration, longest_answer: Duration) -> Self {
        let complete_at = time.mul_f64(COMPLETE_PART);
        let drain = longest_answer.min(time.mul_f64(DRAIN_PART));
        let ramp = time.mul_f64(RAMP_PART).min(LONGEST_RAMP);
        Self {
            shift_at: complete_at.saturating_sub(drain + ramp),
            shift_until: complete_at.saturating_sub(drain / 2 + ramp),
            ramp,
            old_end: complete_at.saturating_sub(drain / 4),
            complete_at,
            give_up_at: time.mul_f64(GIVE_UP_PART),
        }
    }

    /// Part of the requests that go to the new version so long after the beginning, in a
    /// region that began to move its traffic at `shifted`.
    pub fn new_part(&self, age: Duration, shifted: Duration) -> f64 {
        let moved = age.saturating_sub(shifted).as_secs_f64();
        (moved / self.ramp.as_secs_f64().max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}
