//! Which requests of this VM go to a version that is not proved yet.

use rand::Rng;

/// Part of a VM's requests that goes to the new version: half of the tenth that users
/// allow, so that requests that are sent again or lost do not go beyond it.
pub(crate) const SAMPLE_PART: f64 = 0.05;
/// The same where few requests come: beside the tenth, fifty requests are allowed.
const SCARCE_PART: f64 = 0.2;

/// Gives a part of the requests, counted by each VM for its own: the sum over VMs keeps
/// the part although they may not hear each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct CanaryShare {
    credit: f64,
    is_begun: bool,
}

impl CanaryShare {
    /// Counts a request, and tells whether it is one of the part, which is larger where
    /// requests are scarce.
    ///
    /// ```
    /// use onyxfall_rollout::CanaryShare;
    /// let mut share = CanaryShare::default();
    /// let rng = &mut rand::rng();
    /// let given = (0..1000).filter(|_| share.count(false, rng) && share.take()).count();
    /// assert!((49..=51).contains(&given));
    /// ```
    pub fn count(&mut self, is_scarce: bool, rng: &mut impl Rng) -> bool {
        if !self.is_begun {
            // Hundreds of VMs begin at once: they are not to give their first together.
            self.is_begun = true;
            self.credit = rng.random::<f64>();
        }
        let part = if is_scarce { SCARCE_PART } else { SAMPLE_PART };
        // What could not be given for a while is not made up for in a burst.
        self.credit = (self.credit + part).min(1.0 + part);
        self.credit >= 1.0
    }

    /// Takes one of the part.
    pub fn take(&mut self) -> bool {
        let has_one = self.credit >= 1.0;
        if has_one {
            self.credit -= 1.0;
        }
        has_one
    }
}
