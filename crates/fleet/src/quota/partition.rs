//! Share of a quota that belongs to a partition, and the bucket of the partition.
//!
//! A partition is a set of VMs that receive each other's updates: usually all VMs, otherwise
//! a region or fewer.

use super::QuotaSettings;
use super::credit::CreditTerms;
use crate::team::QuotaLimit;

/// Least fraction of a bucket in which nothing is refused.
const FREE_PART: f64 = 0.1;
/// Reserve of a bucket for requests that are admitted before excess demand is detected, in
/// seconds of the quota's rate. Demand of 4.2 times the quota exceeds it by 3.2 for 0.4 s, and
/// by as much again while the level settles in the middle of the reserve.
const RESERVE_S: f64 = 2.4;
/// Admission probability where refusals begin, relative to the probability that just uses up
/// the quota. It falls to zero at a full bucket.
const FIRST_CHANCE: f64 = 1.25;

/// Share of a quota that a partition may use, and the demand on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaPartition {
    /// Rate of the partition in units a second.
    pub(super) rate: f64,
    /// `rate` as a fraction of the quota's rate.
    pub(super) share: f64,
    /// Demand on the partition in units a second.
    pub(super) demand: f64,
    /// `demand` without that on this VM and on VMs whose usage is reported.
    pub(super) others: f64,
    /// Reported usage of other VMs, in units a second.
    pub(super) others_used: f64,
}

impl QuotaPartition {
    /// The partition of one VM of `count` that share a quota equally and exchange nothing.
    pub(super) fn alone(limit: &QuotaLimit, count: usize, demand: f64) -> Self {
        let share = 1.0 / count.max(1) as f64;
        Self {
            rate: limit.rate * share,
            share,
            demand,
            others: 0.0,
            others_used: 0.0,
        }
    }
}

/// Leaky bucket of a partition.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionBucket {
    /// Rate at which the bucket drains, in units a second.
    pub(super) rate: f64,
    /// Level up to which nothing is refused.
    pub(super) free: f64,
    /// Level at which everything is refused.
    pub(super) capacity: f64,
}

impl PartitionBucket {
    pub(super) fn new(
        limit: &QuotaLimit,
        settings: &QuotaSettings,
        partition: &QuotaPartition,
    ) -> Self {
        let capacity = settings.capacity(limit) * partition.share;
        let free = (capacity - RESERVE_S * partition.rate).max(capacity * FREE_PART);
        Self {
            rate: partition.rate,
            free,
            capacity,
        }
    }

    /// Probability of admitting a request.
    pub(super) fn chance(&self, level: f64, demand: f64) -> f64 {
        if level < self.free {
            return 1.0;
        }
        let beyond = (self.capacity - self.free).max(f64::MIN_POSITIVE);
        let fill = ((level - self.free) / beyond).clamp(0.0, 1.0);
        let sustainable = (self.rate / demand.max(f64::MIN_POSITIVE)).min(1.0);
        (sustainable * FIRST_CHANCE * (1.0 - fill)).clamp(0.0, 1.0)
    }

    /// Seconds until a request of `cost` is within the quota if no other request arrives. Longer
    /// times that also allow for competing requests made callers retry too late, and lowered
    /// the total value of served requests by 0.004 to 0.014 in two runs with excess demand.
    pub(super) fn wait(&self, level: f64, cost: f64) -> f64 {
        let excess = (level + cost - self.free).max(cost);
        excess / self.rate.max(f64::MIN_POSITIVE)
    }
}

/// Admission state of a team between two updates of its usage.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartitionState {
    pub(super) partition: QuotaPartition,
    pub(super) bucket: PartitionBucket,
    /// Probability of admitting a request.
    pub(super) chance: f64,
}

impl PartitionState {
    pub(super) fn new(
        limit: &QuotaLimit,
        settings: &QuotaSettings,
        partition: QuotaPartition,
        level: f64,
    ) -> Self {
        let bucket = PartitionBucket::new(limit, settings, &partition);
        Self {
            partition,
            bucket,
            chance: bucket.chance(level, partition.demand),
        }
    }

    /// Bounds of the credit of one VM, where `vms` VMs share the quota. As many of them share
    /// this bucket as the partition has of the quota: divided by all of them, the reserve of a
    /// small partition is too little for spending by importance.
    pub(super) fn terms(&self, vms: usize) -> CreditTerms {
        CreditTerms {
            chance: self.chance,
            reserve: self.bucket.capacity - self.bucket.free,
            vms: (vms as f64 * self.partition.share).max(1.0),
        }
    }
}
