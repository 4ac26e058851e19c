//! What the VMs that hear each other may use of a limit, and their bucket.

use super::QuotaSettings;
use crate::team::QuotaLimit;

/// Part of a bucket that is always free of refusals.
const FREE_PART: f64 = 0.1;
/// Seconds of the limit that are kept in reserve for what is admitted before a flood is
/// known: one of 4.2 times the limit is 3.2 too much for 0.4 s, and as much again while
/// the bucket's level comes to rest in the middle of the reserve.
const RESERVE_S: f64 = 2.4;
/// How often requests are admitted where refusals begin, relative to what uses the limit
/// up; none are where the bucket is full.
const FIRST_CHANCE: f64 = 1.25;

/// What a side, the VMs that hear each other, may use of a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaSide {
    /// Units a second.
    pub(super) rate: f64,
    /// The same as a part of the limit.
    pub(super) part: f64,
    /// Units a second that are asked of the side.
    pub(super) demand: f64,
    /// The same without this VM.
    pub(super) others: f64,
}

impl QuotaSide {
    /// One of `count` VMs that share a limit equally and tell each other nothing.
    pub(super) fn alone(limit: &QuotaLimit, count: usize, demand: f64) -> Self {
        let part = 1.0 / count.max(1) as f64;
        Self {
            rate: limit.rate * part,
            part,
            demand,
            others: 0.0,
        }
    }
}

/// The bucket of a side.
#[derive(Clone, Copy, Debug)]
pub(super) struct SideBucket {
    pub(super) rate: f64,
    /// Level up to which nothing is refused.
    pub(super) free: f64,
    pub(super) capacity: f64,
}

impl SideBucket {
    pub(super) fn new(limit: &QuotaLimit, settings: &QuotaSettings, side: &QuotaSide) -> Self {
        let capacity = settings.capacity(limit) * side.part;
        let free = (capacity - RESERVE_S * side.rate).max(capacity * FREE_PART);
        Self {
            rate: side.rate,
            free,
            capacity,
        }
    }

    /// Chance at which a request is admitted.
    pub(super) fn chance(&self, level: f64, demand: f64) -> f64 {
        if level < self.free {
            return 1.0;
        }
        let beyond = (self.capacity - self.free).max(f64::MIN_POSITIVE);
        let fill = ((level - self.free) / beyond).clamp(0.0, 1.0);
        let used_up = (self.rate / demand.max(f64::MIN_POSITIVE)).min(1.0);
        (used_up * FIRST_CHANCE * (1.0 - fill)).clamp(0.0, 1.0)
    }

    /// Seconds until a request of `cost` would be within the limit if nothing else came.
    /// Times as long as others that ask for the same take as well cost 0.004 to 0.014 of
    /// worth on two days with a flood: callers came back too late.
    pub(super) fn wait(&self, level: f64, cost: f64) -> f64 {
        let too_much = (level + cost - self.free).max(cost);
        too_much / self.rate.max(f64::MIN_POSITIVE)
    }
}

/// What holds between two looks at a team.
#[derive(Clone, Copy, Debug)]
pub(super) struct SideState {
    pub(super) side: QuotaSide,
    pub(super) bucket: SideBucket,
    /// Chance at which requests are admitted.
    pub(super) chance: f64,
}

impl SideState {
    pub(super) fn new(
        limit: &QuotaLimit,
        settings: &QuotaSettings,
        side: QuotaSide,
        level: f64,
    ) -> Self {
        let bucket = SideBucket::new(limit, settings, &side);
        Self {
            side,
            bucket,
            chance: bucket.chance(level, side.demand),
        }
    }
}
