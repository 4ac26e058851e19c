//! Selection of the requests that this VM sends to a version that is not proved yet.

use rand::Rng;

/// Share of a VM's requests that goes to the new version: half of the tenth that users
/// allow, so that retried or lost requests do not exceed it.
pub(crate) const CANARY_SHARE: f64 = 0.05;
/// The same for services with few requests: users allow fifty requests beyond the tenth.
const SCARCE_SHARE: f64 = 0.2;

/// Selects a fixed share of this VM's requests. Each VM counts its own requests, so that the
/// share also holds over all VMs, even if they cannot reach each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct CanaryShare {
    credit: f64,
    is_started: bool,
}

impl CanaryShare {
    /// Counts a request; returns whether it may go to the new version. The share is larger
    /// if requests are scarce.
    ///
    /// ```
    /// use onyxfall_rollout::CanaryShare;
    /// let mut share = CanaryShare::default();
    /// let rng = &mut rand::rng();
    /// let claimed = (0..1000).filter(|_| share.count(false, rng) && share.claim()).count();
    /// assert!((49..=51).contains(&claimed));
    /// ```
    pub fn count(&mut self, is_scarce: bool, rng: &mut impl Rng) -> bool {
        if !self.is_started {
            // Hundreds of VMs start at once: a random credit spreads their first requests.
            self.is_started = true;
            self.credit = rng.random::<f64>();
        }
        let share = if is_scarce {
            SCARCE_SHARE
        } else {
            CANARY_SHARE
        };
        // The cap keeps unused credit from accumulating to a burst.
        self.credit = (self.credit + share).min(1.0 + share);
        self.credit >= 1.0
    }

    /// Claims the credit of one request to the new version; returns whether there was one.
    pub fn claim(&mut self) -> bool {
        let has_one = self.credit >= 1.0;
        if has_one {
            self.credit -= 1.0;
        }
        has_one
    }
}
