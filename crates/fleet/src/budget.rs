//! This VM's part of a service's retry budget.
//!
//! The budget of a service is `ratio` times its requests in a window plus a
//! fixed number, summed over all VMs. The part by ratio needs no sharing: each
//! VM counts its own requests. The fixed number is divided by the VMs known, those
//! lost lately included; a VM that does not know the others yet takes nothing of it.

use std::collections::VecDeque;
use std::time::Duration;

use onyxfall_policy::Moment;

/// Part of the budget that is used; the rest covers requests in flight and
/// windows that do not line up with ours.
const USED_PART: f64 = 0.8;

/// The figures of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside, for all VMs together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Counts of one service in this VM.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    firsts: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryShare {
    /// Notes the first sending of a request.
    pub fn note_first(&mut self, now: Moment) {
        self.firsts.push_back(now);
    }

    /// Takes one repeat from the budget if it allows one. `vms` share the fixed part;
    /// none while they are not known.
    ///
    /// ```
    /// use onyxfall_fleet::{BudgetLimits, RetryShare};
    /// use onyxfall_policy::Moment;
    /// let window = std::time::Duration::from_secs(10);
    /// let limits = BudgetLimits { ratio: 0.2, extra: 0.0, window };
    /// assert!(!RetryShare::default().try_repeat(Moment::ZERO, &limits, Some(1)));
    /// ```
    pub fn try_repeat(&mut self, now: Moment, limits: &BudgetLimits, vms: Option<usize>) -> bool {
        self.forget(now, limits.window);
        let fixed = vms.map_or(0.0, |vms| limits.extra / vms.max(1) as f64);
        let allowed = USED_PART * (limits.ratio * self.firsts.len() as f64 + fixed);
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: Moment, window: Duration) {
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| now - *at > window) {
                times.pop_front();
            }
        }
    }
}
