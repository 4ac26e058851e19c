//! Rules by which a plan allocates capacity.

use crate::class::Importance;

/// Share of what a class asks for that is served before any class gets more. A class that is
/// served under a quarter as often as all starves.
const FLOOR: f64 = 0.2;
/// Largest utilisation. It may exceed 1, since estimates of work are up to 1.8 times the true
/// value where shared prefixes are cached.
const MAX_UTILISATION: f64 = 4.0;

/// Share of a service's usable capacity, over all regions, that is served to a kind before
/// any other work. What the kind does not ask for is available to others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassReserve {
    /// Rank of the kind.
    pub kind: u8,
    /// Share, 0 to 1.
    pub share: f64,
}

/// Largest share of a service's usable capacity, over all regions, that a kind is served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassCap {
    /// Rank of the kind.
    pub kind: u8,
    /// Share, 0 to 1.
    pub share: f64,
}

/// Rules of a plan. Figures out of range are clamped; those that are NaN are ignored.
///
/// ```
/// use onyxfall_capacity::PlanRules;
/// assert_eq!(PlanRules::default().floor, 0.2);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct PlanRules {
    /// Share of its demand that each class gets first, 0 to 1.
    pub floor: f64,
    /// Part of each region's capacity that is usable, 0 to 4.
    pub utilisation: f64,
    /// Reserved shares. Of several for a kind, the largest counts.
    pub reserved: Vec<ClassReserve>,
    /// Caps, which limit floors and reserves too. Of several for a kind, the smallest counts.
    pub caps: Vec<ClassCap>,
}

impl Default for PlanRules {
    fn default() -> Self {
        Self {
            floor: FLOOR,
            utilisation: 1.0,
            reserved: Vec::new(),
            caps: Vec::new(),
        }
    }
}

impl PlanRules {
    pub(crate) fn floor(&self) -> f64 {
        within(self.floor, 1.0, 0.0)
    }

    pub(crate) fn utilisation(&self) -> f64 {
        within(self.utilisation, MAX_UTILISATION, 1.0)
    }

    /// Share of the usable capacity that is reserved for the kind of a class.
    pub(crate) fn reserve(&self, importance: Importance) -> f64 {
        let reserves = self.reserved.iter();
        reserves
            .filter(|reserve| reserve.kind == importance.kind)
            .map(|reserve| within(reserve.share, 1.0, 0.0))
            .fold(0.0, f64::max)
    }

    /// Share of the usable capacity to which the kind of a class is limited.
    pub(crate) fn cap(&self, importance: Importance) -> f64 {
        let caps = self.caps.iter();
        caps.filter(|cap| cap.kind == importance.kind)
            .map(|cap| within(cap.share, 1.0, 1.0))
            .fold(1.0, f64::min)
    }
}

fn within(figure: f64, most: f64, if_nan: f64) -> f64 {
    if figure.is_nan() {
        return if_nan;
    }
    figure.clamp(0.0, most)
}
