//! Quota usage of one team, as tracked by this VM.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::RegionName;

use super::credit::TeamCredit;
use super::own::OwnPart;
use super::partition::{PartitionState, QuotaPartition};
use super::spent::SpentMeter;
use super::{QuotaPeers, QuotaSettings};
use crate::flow::FlowMeter;
use crate::switches::{QuotaMode, QuotaSpend};
use crate::team::QuotaLimit;

/// Time in which the metered demand of a team decays to a third. It adds to the time before
/// excess demand is detected: with demand of 4.2 times the quota, a window was used to 99 % of
/// what is allowed at 0.25 s and to 95 % at 0.15 s (test `quota`).
const DEMAND_FADE: Duration = Duration::from_millis(150);
/// Age up to which a region's reported demand counts as current. Reports are sent every 0.4 s
/// and take 0.2 s to arrive.
const FRESH_DEMAND: Duration = Duration::from_millis(1500);
/// Time constant with which a region's share of the demand becomes its usual share.
const SHARE_FADE: Duration = Duration::from_millis(500);
/// Least fraction of its region's VMs that a VM must be connected to for acting on the demand
/// of the whole region.
const MAJORITY: f64 = 0.5;

/// Demand of a team in another region.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemoteDemand {
    /// Units a second.
    pub(super) rate: f64,
    /// Admitted units a second without refunds, if the region reports them.
    pub(super) used: Option<f64>,
    /// When the other region sent the report.
    pub(super) sent: Moment,
}

/// Quota usage of one team.
#[derive(Clone, Debug)]
pub(super) struct TeamUsage {
    pub(super) limit: QuotaLimit,
    /// Meter of the demand at this VM.
    pub(super) own: FlowMeter,
    /// Meter of the usage at this VM.
    pub(super) own_used: SpentMeter,
    /// Demand at the other VMs of this region, in units a second.
    pub(super) peers: f64,
    /// Usage of those that report it, and their demand.
    pub(super) peers_used: f64,
    pub(super) peers_metered: f64,
    /// Demand in the other regions.
    pub(super) remote: BTreeMap<RegionName, RemoteDemand>,
    /// Units that the partition has admitted and that have not drained yet.
    pub(super) level: f64,
    /// This VM's part of `level`.
    pub(super) own_part: OwnPart,
    /// Credit by which requests are admitted.
    pub(super) credit: TeamCredit,
    /// Part of `level` that is not metered but may have been admitted before this process
    /// started. It drains first and counts only while demand exceeds the quota: when all VMs
    /// restart, teams within their quotas get no refusals because of it.
    assumed: f64,
    /// When `level` was last updated.
    at: Moment,
    /// Admission state since `at`.
    pub(super) state: PartitionState,
    /// This region's share of the demand while reports of all regions were received.
    usual_share: f64,
    /// When `usual_share` was last updated.
    usual_share_at: Moment,
}

impl TeamUsage {
    /// Creates the usage of a team without history. What the team used before this process
    /// started may have filled its bucket.
    pub(super) fn new(
        now: Moment,
        limit: QuotaLimit,
        settings: &QuotaSettings,
        peers: &QuotaPeers,
    ) -> Self {
        let level = settings.initial_level(&limit);
        let partition = QuotaPartition::alone(&limit, 1, 0.0);
        Self {
            limit,
            own: FlowMeter::new(DEMAND_FADE),
            own_used: SpentMeter::new(DEMAND_FADE),
            peers: 0.0,
            peers_used: 0.0,
            peers_metered: 0.0,
            remote: BTreeMap::new(),
            level,
            own_part: OwnPart::default(),
            credit: TeamCredit::default(),
            assumed: level,
            at: now,
            state: PartitionState::new(&limit, settings, partition, 0.0),
            usual_share: 1.0 / peers.regions.max(1) as f64,
            usual_share_at: now,
        }
    }

    /// Demand in this region, in units a second.
    pub(super) fn region_demand(&self, now: Moment) -> f64 {
        self.own.per_second(now) + self.peers
    }

    /// Usage in this region, in units a second. VMs that do not report it are assumed to admit
    /// the same fraction of their demand as this one.
    pub(super) fn region_used(&self, now: Moment) -> f64 {
        self.own_used.per_second(now) + self.peers_used + self.peers_unmetered() * self.state.chance
    }

    /// Demand at the other VMs of this region that do not report their usage.
    fn peers_unmetered(&self) -> f64 {
        (self.peers - self.peers_metered).max(0.0)
    }

    /// Demand in all other regions, in units a second.
    pub(super) fn remote_demand(&self) -> f64 {
        self.remote.values().map(|demand| demand.rate).sum()
    }

    /// Demand of the regions that do not report their usage, and the usage of the others.
    fn remote_usage(&self) -> (f64, f64) {
        let mut sums = (0.0, 0.0);
        for report in self.remote.values() {
            match report.used {
                Some(used) => sums.1 += used,
                None => sums.0 += report.rate,
            }
        }
        sums
    }

    /// Whether a recent report was received from every region that had demand.
    pub(super) fn receives_all_regions(&self, now: Moment) -> bool {
        let mut demands = self.remote.values();
        demands.all(|demand| now - demand.sent < FRESH_DEMAND || demand.rate <= 0.0)
    }

    /// The partition of this VM. If it receives reports of all other VMs, it shares one bucket
    /// with them. Otherwise it has a share of the quota, on the assumption that the other
    /// partitions use up theirs.
    pub(super) fn partition(
        &mut self,
        now: Moment,
        peers: &QuotaPeers,
        spend: QuotaSpend,
    ) -> QuotaPartition {
        let limit = self.limit;
        let (local, remote) = (self.region_demand(now), self.remote_demand());
        let receives_all_regions = self.receives_all_regions(now);
        if receives_all_regions {
            self.update_usual_share(now, local, remote);
        }
        let (near, near_used) = match spend {
            QuotaSpend::Even => (self.peers, 0.0),
            QuotaSpend::ByImportance => (self.peers_unmetered(), self.peers_used),
        };
        if receives_all_regions && peers.reachable_share >= MAJORITY {
            let (far, far_used) = match spend {
                QuotaSpend::Even => (remote, 0.0),
                QuotaSpend::ByImportance => self.remote_usage(),
            };
            return QuotaPartition {
                rate: limit.rate,
                share: 1.0,
                demand: local + remote,
                others: near + far,
                others_used: near_used + far_used,
            };
        }
        // The usual share may be outdated, so it is averaged with an equal share.
        let equal = 1.0 / peers.regions.max(1) as f64;
        let region_share = f64::midpoint(self.usual_share, equal);
        let reachable = if peers.reachable_share < MAJORITY {
            peers.reachable_share
        } else {
            1.0
        };
        QuotaPartition {
            rate: limit.rate * region_share * reachable,
            share: region_share * reachable,
            demand: local,
            others: near,
            others_used: near_used,
        }
    }

    /// Updates this region's usual share of the demand.
    pub(super) fn update_usual_share(&mut self, now: Moment, local: f64, remote: f64) {
        if local + remote <= 0.0 {
            return;
        }
        let fade = (now - self.usual_share_at).as_secs_f64() / SHARE_FADE.as_secs_f64();
        let share = local / (local + remote);
        self.usual_share = share + (self.usual_share - share) * (-fade).exp();
        self.usual_share_at = now;
    }

    /// Advances the bucket to `now`: it drains, and it fills with what other VMs have admitted.
    pub(super) fn settle(&mut self, now: Moment, settings: &QuotaSettings, peers: &QuotaPeers) {
        let seconds = (now - self.at).as_secs_f64();
        let partition = &self.state.partition;
        let others = partition.others * self.state.chance + partition.others_used;
        let drained = self.state.partition.rate * seconds;
        let own_fraction = self.own.per_second(now) / partition.demand.max(f64::MIN_POSITIVE);
        self.own_part.drain(drained * own_fraction.min(1.0));
        self.level = (self.level + others * seconds - drained).max(0.0);
        if self.level <= 0.0 {
            self.own_used.forgive();
        }
        self.assumed = (self.assumed - drained).clamp(0.0, self.level);
        self.at = now;
        let partition = match settings.way {
            QuotaMode::Pooled => self.partition(now, peers, settings.spend),
            QuotaMode::EqualParts => {
                QuotaPartition::alone(&self.limit, peers.vms, self.own.per_second(now))
            }
        };
        let counted = if partition.demand > partition.rate {
            self.level
        } else {
            self.level - self.assumed
        };
        self.state = PartitionState::new(&self.limit, settings, partition, counted);
    }
}
