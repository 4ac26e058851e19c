//! This VM's share of a service's retry budget.
//!
//! The budget of a service is `ratio` times its requests in a window plus a fixed
//! number, summed over all VMs. The part by ratio needs no sharing: each VM counts its
//! own requests. The fixed number is divided by the known VMs, including those lost
//! recently; a VM that does not know the others yet uses nothing of it.

use std::collections::VecDeque;
use std::time::Duration;

use onyxfall_policy::Moment;

/// Fraction of the budget that is used. The rest covers requests in flight and windows
/// that are not aligned with those of the observer.
const USED_FRACTION: f64 = 0.8;

/// Parameters of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed for all VMs together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries of one service in this VM.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryShare {
    /// Records the first sending of a request.
    pub fn record_first(&mut self, now: Moment) {
        self.requests.push_back(now);
    }

    /// Consumes one retry of the budget if one is left. The fixed part is divided by
    /// `vms`, and not used while their number is unknown.
    ///
    /// ```
    /// use onyxfall_fleet::{BudgetLimits, RetryShare};
    /// use onyxfall_policy::Moment;
    /// let window = std::time::Duration::from_secs(10);
    /// let limits = BudgetLimits { ratio: 0.2, extra: 0.0, window };
    /// assert!(!RetryShare::default().try_repeat(Moment::ZERO, &limits, Some(1)));
    /// ```
    pub fn try_repeat(&mut self, now: Moment, limits: &BudgetLimits, vms: Option<usize>) -> bool {
        let has_left = self.has_left(now, limits, vms);
        if has_left {
            self.retries.push_back(now);
        }
        has_left
    }

    /// Whether a retry of the budget is left.
    pub fn has_left(&mut self, now: Moment, limits: &BudgetLimits, vms: Option<usize>) -> bool {
        self.drop_expired(now, limits.window);
        let fixed = vms.map_or(0.0, |vms| limits.extra / vms.max(1) as f64);
        let allowed = USED_FRACTION * (limits.ratio * self.requests.len() as f64 + fixed);
        (self.retries.len() + 1) as f64 <= allowed
    }

    fn drop_expired(&mut self, now: Moment, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}
