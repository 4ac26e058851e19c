//! Rollouts of all services.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, RouteName, ServiceName, SoftwareVersion};
use rand::Rng;

use crate::evidence::{EvidenceCounts, EvidenceTag, ResponseOutcome, VersionSide};
use crate::judge::{BadMetric, RolloutJudgement};
use crate::order::RolloutOrder;
use crate::record::{RolloutReason, RolloutRecord};
use crate::service::{
    DueWrite, PendingOrder, RolloutPhase, ServerCounts, ServiceRollout, VersionRule,
};
use crate::unanswered::UnansweredRequest;

/// Additional delay per rank before a VM makes a write that is due: by then it has received
/// the write of the VM before it.
const WRITER_DELAY: Duration = Duration::from_millis(500);
/// Pause before a write is retried that has not been received from the store's watch.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Rank of this VM among the VMs that write records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWriter {
    /// Number of VMs before this one, of all regions.
    pub rank: u32,
    /// Number of VMs before this one, of this region.
    pub near_rank: u32,
}

/// A write to the store, on the condition that the key still has the expected revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutWrite {
    /// The record of a rollout.
    Record {
        /// The service.
        service: ServiceName,
        /// Revision of the record to replace; 0 for none.
        expected: u64,
        /// The record.
        record: RolloutRecord,
    },
    /// The mark that a region has started to shift its traffic.
    Shift {
        /// The service.
        service: ServiceName,
        /// The region.
        region: RegionName,
        /// Revision of the mark to replace; 0 for none.
        expected: u64,
        /// Revision of the order.
        order: u64,
    },
}

impl RolloutWrite {
    /// Service of the rollout.
    pub fn service(&self) -> &ServiceName {
        match self {
            Self::Record { service, .. } | Self::Shift { service, .. } => service,
        }
    }
}

/// Status of a rollout, for logs, metrics and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The ordered version.
    pub target: SoftwareVersion,
    /// Phase of the rollout on this VM.
    pub phase: RolloutPhase,
    /// Reason of the phase, if the rollout has ended or this VM has judged the version bad.
    pub reason: RolloutReason,
    /// Evidence against the version.
    pub judgement: RolloutJudgement,
    /// Counts of the old and of the new version by route.
    pub routes: Vec<(RouteName, EvidenceCounts, EvidenceCounts)>,
}

/// A write that is due, since when, and when it was last tried.
#[derive(Clone, Debug)]
struct PendingWrite {
    write: DueWrite,
    since: Moment,
    tried: Option<Moment>,
}

/// State of all rollouts on this VM.
#[derive(Clone, Debug)]
pub struct RolloutTable {
    region: RegionName,
    unix_start: Duration,
    services: BTreeMap<ServiceName, ServiceRollout>,
    pending: BTreeMap<ServiceName, PendingWrite>,
}

impl RolloutTable {
    /// Creates a table without rollouts, for a VM of `region` whose process started at the
    /// Unix time `unix_start`.
    pub fn new(region: RegionName, unix_start: Duration) -> Self {
        Self {
            region,
            unix_start,
            services: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Whether no rollout was ever received, so that no outcomes need to be counted.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Services with a rollout.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// The version ordered for a service.
    pub fn target(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let pending = self.services.get(service)?.order()?;
        Some(pending.order.target.clone())
    }

    /// Applies the operator's order.
    pub fn apply_order(&mut self, now: Moment, revision: u64, order: RolloutOrder) {
        let rollout = self.rollout(&order.service);
        rollout.apply_order(now, revision, order);
    }

    /// Applies the operator's withdrawal of an order.
    pub fn withdraw(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.withdraw();
        }
    }

    /// Applies the store's record of a service.
    pub fn apply_record(
        &mut self,
        now: Moment,
        service: &ServiceName,
        revision: u64,
        record: RolloutRecord,
    ) {
        let rollout = self.rollout(service);
        rollout.apply_record(now, revision, record);
    }

    /// Applies a region's mark that it has started to shift its traffic by an order.
    pub fn apply_shift(
        &mut self,
        now: Moment,
        service: &ServiceName,
        region: RegionName,
        order: u64,
        revision: u64,
    ) {
        let rollout = self.rollout(service);
        rollout.apply_mark(now, region, order, revision);
    }

    /// Records that the store has lost the record of a service.
    pub fn remove_record(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.remove_record();
        }
    }

    /// Records that the store has lost a region's mark.
    pub fn remove_shift(&mut self, service: &ServiceName, region: &RegionName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.remove_mark(region);
        }
    }

    fn rollout(&mut self, service: &ServiceName) -> &mut ServiceRollout {
        self.services
            .entry(service.clone())
            .or_insert_with(ServiceRollout::new)
    }

    /// Sets the routes of a service and the longest time of their responses.
    pub fn set_routes(&mut self, service: &ServiceName, routes: &[RouteName], longest: Duration) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.set_routes(routes, longest);
        }
    }

    /// Phase of a service's rollout; `None` if requests may go to any version.
    pub fn phase(&self, now: Moment, service: &ServiceName) -> Option<RolloutPhase> {
        let rollout = self.services.get(service)?;
        rollout.phase(now, self.unix_start, &self.region)
    }

    /// Which servers of each service may get requests.
    pub fn rules(&self, now: Moment) -> impl Iterator<Item = (&ServiceName, VersionRule)> {
        self.services.iter().filter_map(move |(service, rollout)| {
            let phase = rollout.phase(now, self.unix_start, &self.region)?;
            Some((service, rollout.rule(phase)?))
        })
    }

    /// The side that a new request goes to, if that is not the default one.
    pub fn other_side(
        &mut self,
        now: Moment,
        service: &ServiceName,
        rng: &mut impl Rng,
    ) -> Option<VersionSide> {
        let phase = self.phase(now, service)?;
        self.services.get_mut(service)?.other_side(now, phase, rng)
    }

    /// Counts a request to the new version against the canary share.
    pub fn claim_canary(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.claim_canary();
        }
    }

    /// Records an outcome that this VM observed. `instance` is the hash of the server
    /// instance.
    pub fn note(
        &mut self,
        service: &ServiceName,
        route: &str,
        side: VersionSide,
        instance: u64,
        outcome: ResponseOutcome,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.evidence.record(route, side, instance, outcome);
        }
    }

    /// Records a request of which no server has sent anything before its caller's time was over,
    /// while all servers of the service were silent. `instance` is the hash of the server
    /// instance.
    pub fn note_unanswered(
        &mut self,
        now: Moment,
        service: &ServiceName,
        route: &str,
        side: VersionSide,
        instance: u64,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.unanswered.add(UnansweredRequest {
                at: now,
                route: route.to_owned(),
                side,
                instance,
            });
        }
    }

    /// Counts the unanswered requests of silences that have lasted as failures, and drops those
    /// of silences that have ended. `silence_end` is when a silence of a service last ended.
    pub fn settle_unanswered(
        &mut self,
        now: Moment,
        silence_end: impl Fn(&ServiceName) -> Option<Moment>,
    ) {
        for (service, rollout) in &mut self.services {
            if !rollout.unanswered.is_settled() {
                rollout.settle_unanswered(now, silence_end(service));
            }
        }
    }

    /// Nonzero counts of this VM, for the other VMs of its region.
    pub fn own_evidence(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.services
            .values()
            .flat_map(|rollout| rollout.evidence.own())
    }

    /// Applies the sum of the counts of the other VMs of the region; returns whether the tag
    /// is known.
    pub fn set_regional(&mut self, tag: EvidenceTag, counts: EvidenceCounts) -> bool {
        let mut rollouts = self.services.values_mut();
        rollouts.any(|rollout| rollout.evidence.set_regional(tag, counts))
    }

    /// Nonzero counts of this region, for other regions.
    pub fn region_evidence(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.services
            .values()
            .flat_map(|rollout| rollout.evidence.of_region())
    }

    /// Nonzero counts received from another region.
    pub fn far_evidence(
        &self,
        region: &RegionName,
    ) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.services
            .values()
            .flat_map(move |rollout| rollout.evidence.of_far(region))
    }

    /// Applies the counts of another region; returns whether the tag is known.
    pub fn set_far(
        &mut self,
        region: &RegionName,
        tag: EvidenceTag,
        counts: EvidenceCounts,
    ) -> bool {
        let mut rollouts = self.services.values_mut();
        rollouts.any(|rollout| rollout.evidence.set_far(region, tag, counts))
    }

    /// Judges the evidence; returns the services whose new version is newly found bad.
    pub fn judge(&mut self, now: Moment) -> Vec<(ServiceName, BadMetric)> {
        let judged = self.services.iter_mut();
        judged
            .filter_map(|(service, rollout)| Some((service.clone(), rollout.judge(now)?)))
            .collect()
    }

    /// Writes to the store that this VM must make now. `servers` counts the servers of a
    /// service by region.
    pub fn due_writes(
        &mut self,
        now: Moment,
        writer: StoreWriter,
        servers: impl Fn(&ServiceName, &SoftwareVersion) -> BTreeMap<RegionName, ServerCounts>,
    ) -> Vec<RolloutWrite> {
        let mut due_now = Vec::new();
        for (service, rollout) in &self.services {
            let counts = rollout.order();
            let counts = counts.map(|pending| servers(service, &pending.order.target));
            let counts = counts.unwrap_or_default();
            let due = rollout.due(now, self.unix_start, &self.region, &counts);
            let Some(due) = due else {
                self.pending.remove(service);
                continue;
            };
            let pending = self
                .pending
                .entry(service.clone())
                .or_insert_with(|| PendingWrite::new(now, &due));
            if pending.write != due {
                *pending = PendingWrite::new(now, &due);
            }
            if pending.try_now(now, writer) {
                due_now.push(to_write(service, rollout, &self.region, due));
            }
        }
        due_now
    }

    /// Status of every rollout, for logs, metrics and operators.
    pub fn statuses(&self, now: Moment) -> impl Iterator<Item = RolloutStatus> {
        self.services.iter().filter_map(move |(service, rollout)| {
            let phase = rollout.phase(now, self.unix_start, &self.region)?;
            let routes = rollout.evidence.by_route();
            Some(RolloutStatus {
                service: service.clone(),
                target: rollout.rule(phase)?.target,
                phase,
                reason: rollout.reason(),
                judgement: rollout.judgement,
                routes: routes.map(|(r, old, new)| (r.clone(), old, new)).collect(),
            })
        })
    }
}

impl PendingWrite {
    fn new(now: Moment, write: &DueWrite) -> Self {
        Self {
            write: write.clone(),
            since: now,
            tried: None,
        }
    }

    /// Whether this VM must try the write now; records the attempt if so.
    fn try_now(&mut self, now: Moment, writer: StoreWriter) -> bool {
        let rank = match self.write {
            DueWrite::Record(_) => writer.rank,
            DueWrite::Shift => writer.near_rank,
        };
        let delay = WRITER_DELAY.saturating_mul(rank);
        let is_due = match self.tried {
            None => now - self.since >= delay,
            Some(tried) => now - tried >= RETRY_DELAY,
        };
        if is_due {
            self.tried = Some(now);
        }
        is_due
    }
}

fn to_write(
    service: &ServiceName,
    rollout: &ServiceRollout,
    region: &RegionName,
    due: DueWrite,
) -> RolloutWrite {
    let service = service.clone();
    match due {
        DueWrite::Record(record) => RolloutWrite::Record {
            service,
            expected: rollout.record_revision(),
            record,
        },
        DueWrite::Shift => RolloutWrite::Shift {
            service,
            region: region.clone(),
            expected: rollout.mark_revision(region),
            order: rollout.order().map_or(0, PendingOrder::number),
        },
    }
}
