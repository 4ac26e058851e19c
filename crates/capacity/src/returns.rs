//! Time after which a refused caller is asked to retry.

use std::time::Duration;

/// Callers honour a delay up to this part of the time that they have left.
const HONOURED_PART: u32 = 3;
/// Longest time left that is considered; it keeps the arithmetic within range.
const MAX_TIME_LEFT: Duration = Duration::from_hours(1);

/// What is known of a refused request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnAdvice {
    /// Time until the prompts before it are prefilled.
    pub backlog: Duration,
    /// Share of the requests of its class that is refused, 0 to 1.
    pub refused: f64,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// The delay for a caller at `point` of the span over which the retries of a class are
/// spread, 0 to 1 and uniform over callers.
///
/// The span starts when the backlog is prefilled, grows with the refused share and ends at
/// the latest at a third of the time left. Where the backlog lasts longer than that, the
/// span covers up to the last half of the third: a burst of refusals that all get the
/// same delay would return as a burst. NaN counts as all refused, or as point 0.
///
/// ```
/// use onyxfall_capacity::{ReturnAdvice, return_delay};
/// use std::time::Duration;
/// let advice = ReturnAdvice {
///     backlog: Duration::from_millis(200),
///     refused: 0.5,
///     time_left: Duration::from_secs(3),
/// };
/// assert_eq!(return_delay(&advice, 0.0), Duration::from_millis(200));
/// assert_eq!(return_delay(&advice, 1.0), Duration::from_millis(600));
/// ```
pub fn return_delay(advice: &ReturnAdvice, point: f64) -> Duration {
    let unit = |figure: f64, if_nan: f64| {
        if figure.is_nan() {
            if_nan
        } else {
            figure.clamp(0.0, 1.0)
        }
    };
    let refused = unit(advice.refused, 1.0);
    let latest = advice.time_left.min(MAX_TIME_LEFT) / HONOURED_PART;
    let start = advice.backlog.min(latest.mul_f64(1.0 - refused / 2.0));
    let span = latest.saturating_sub(start).mul_f64(refused);
    (start + span.mul_f64(unit(point, 0.0))).min(latest)
}
