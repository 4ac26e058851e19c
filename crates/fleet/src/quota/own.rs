//! This VM's part of a bucket: decides which refunds lower the level.
//!
//! Units that have drained are refunded only up to an allowance. What is drained in a window,
//! what is in the bucket at its end and the allowance then bound the units used in the window.
//! With all refunds, 115 % of what is allowed was used when servers that had refused most
//! requests recovered; with none of drained units, only 71 % of a quota was used where servers
//! refused 0.4 of the requests (test `quota_importance`).

use std::time::Duration;

use onyxfall_policy::Moment;

/// Time in which refunds of drained units count against the allowance (to a third). Servers
/// refuse most requests within it.
const LATE_FADE: Duration = Duration::from_secs(1);

/// Position of a charge in the bucket when it was admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaReceipt {
    /// Turnover of the VM's part at which the charge has drained.
    drained_at: f64,
}

/// Part of a bucket that this VM has filled. Charges drain in the order of admission.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnPart {
    /// Units that this VM has admitted and that have not drained yet.
    level: f64,
    /// Units that have drained or were refunded.
    turnover: f64,
    /// Recent refunds of drained units.
    late: f64,
    late_at: Moment,
}

impl OwnPart {
    pub(super) fn admit(&mut self, cost: f64) -> QuotaReceipt {
        self.level += cost;
        QuotaReceipt {
            drained_at: self.turnover + self.level,
        }
    }

    pub(super) fn drain(&mut self, units: f64) {
        let drained = units.min(self.level);
        self.level -= drained;
        self.turnover += drained;
    }

    /// Refunds a charge. Returns the units by which the level falls: those that had not drained,
    /// and others up to `allowance`. All refunds count as turnover ahead of the charge, also
    /// those of charges behind it, which errs on the safe side.
    pub(super) fn refund(
        &mut self,
        now: Moment,
        cost: f64,
        receipt: QuotaReceipt,
        allowance: f64,
    ) -> f64 {
        let left = (receipt.drained_at - self.turnover).clamp(0.0, cost);
        let left = left.min(self.level);
        self.level -= left;
        self.turnover += left;
        let fade = (now - self.late_at).as_secs_f64() / LATE_FADE.as_secs_f64();
        self.late *= (-fade).exp();
        self.late_at = now;
        let late = (cost - left).min(allowance - self.late).max(0.0);
        self.late += late;
        left + late
    }
}
