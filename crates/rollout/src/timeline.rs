//! Due times of the steps of a rollout.

use std::time::Duration;

/// Fraction of the time by which the new version must have taken over: the remainder is
/// for a store that is slow to write the record.
const COMPLETE_FRACTION: f64 = 0.93;
/// The same by which a version that is not proved is aborted.
const ABORT_FRACTION: f64 = 0.96;
/// Fraction of the time, and maximum time, over which the traffic shifts: a version that
/// fails only under load must be detected while old servers still serve most requests.
const RAMP_FRACTION: f64 = 0.08;
const MAX_RAMP: Duration = Duration::from_secs(5);
/// Maximum fraction of the time for the old servers to finish their open requests.
const DRAIN_FRACTION: f64 = 0.2;

/// Due times of the steps of a rollout, from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutTimeline {
    /// From now on, regions where the new version is proved start to shift their traffic.
    pub shift_at: Duration,
    /// A region that starts its shift later than this would not finish in time.
    pub shift_until: Duration,
    /// Time over which a region shifts its traffic.
    pub ramp: Duration,
    /// From now on, no request is sent to the old servers, even if the new ones are full.
    pub old_end: Duration,
    /// From now on, the old servers may stop.
    pub complete_at: Duration,
    /// A version that has not taken over by this time is aborted.
    pub abort_at: Duration,
}

impl RolloutTimeline {
    /// Steps of a rollout that must finish within `time`, of a service whose responses take
    /// up to `longest_answer`. The canary phase is as long as possible, since some versions
    /// turn bad late.
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
        let complete_at = time.mul_f64(COMPLETE_FRACTION);
        let drain = longest_answer.min(time.mul_f64(DRAIN_FRACTION));
        let ramp = time.mul_f64(RAMP_FRACTION).min(MAX_RAMP);
        Self {
            shift_at: complete_at.saturating_sub(drain + ramp),
            shift_until: complete_at.saturating_sub(drain / 2 + ramp),
            ramp,
            old_end: complete_at.saturating_sub(drain / 4),
            complete_at,
            abort_at: time.mul_f64(ABORT_FRACTION),
        }
    }

    /// Share of the requests that go to the new version at `age` since the start, in a
    /// region that started to shift its traffic at `shifted`.
    pub fn new_part(&self, age: Duration, shifted: Duration) -> f64 {
        let moved = age.saturating_sub(shifted).as_secs_f64();
        (moved / self.ramp.as_secs_f64().max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
    }
}
