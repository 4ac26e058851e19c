//! The roll-outs of all services.

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

/// How much longer each further VM waits with a change that is due: the first one's is
/// known to it by then.
const WRITER_TURN: Duration = Duration::from_millis(500);
/// Pause before a change is tried again that did not come back by the watch.
const WRITE_AGAIN: Duration = Duration::from_millis(700);

/// The place of this VM among those that write records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWriter {
    /// Number of VMs that go first, of all regions.
    pub rank: u32,
    /// Number of VMs of this region that go first.
    pub near_rank: u32,
}

/// A change of the store: it is made only if the key still has the revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutWrite {
    /// The record of a roll-out.
    Record {
        /// The service.
        service: ServiceName,
        /// Revision of the record that it replaces; 0 for none.
        expected: u64,
        /// The record.
        record: RolloutRecord,
    },
    /// The word that a region moves its traffic.
    Shift {
        /// The service.
        service: ServiceName,
        /// The region.
        region: RegionName,
        /// Revision of the word that it replaces; 0 for none.
        expected: u64,
        /// Revision of the order.
        order: u64,
    },
}

impl RolloutWrite {
    /// The service that it is about.
    pub fn service(&self) -> &ServiceName {
        match self {
            Self::Record { service, .. } | Self::Shift { service, .. } => service,
        }
    }
}

/// A roll-out, for logs, metrics and operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceName,
    /// The version that is ordered.
    pub target: SoftwareVersion,
    /// Where requests go.
    pub phase: RolloutPhase,
    /// Why requests go there, if the roll-out has ended or this VM has given it up.
    pub reason: RolloutReason,
    /// What speaks against the version.
    pub judgement: RolloutJudgement,
    /// Counts of the old and of the new version by route.
    pub routes: Vec<(RouteName, EvidenceCounts, EvidenceCounts)>,
}

/// A change that is due, and since when.
#[derive(Clone, Debug)]
struct PendingWrite {
    write: DueWrite,
    since: Moment,
    tried: Option<Moment>,
}

/// The roll-outs that this VM knows of.
#[derive(Clone, Debug)]
pub struct RolloutTable {
    region: RegionName,
    unix_start: Duration,
    services: BTreeMap<ServiceName, ServiceRollout>,
    pending: BTreeMap<ServiceName, PendingWrite>,
}

impl RolloutTable {
    /// No roll-out, for a VM of `region` whose process started at a Unix time.
    pub fn new(region: RegionName, unix_start: Duration) -> Self {
        Self {
            region,
            unix_start,
            services: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// Whether no roll-out was ever heard of: then nothing has to be counted.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// The services with a roll-out.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// The version that is ordered for a service.
    pub fn target(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let held = self.services.get(service)?.order()?;
        Some(held.order.target.clone())
    }

    /// Takes the operator's order.
    pub fn take_order(&mut self, now: Moment, revision: u64, order: RolloutOrder) {
        let rollout = self.rollout(&order.service);
        rollout.take_order(now, revision, order);
    }

    /// Takes the operator's order back.
    pub fn withdraw(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.withdraw();
        }
    }

    /// Takes the store's record of a service.
    pub fn take_record(
        &mut self,
        now: Moment,
        service: &ServiceName,
        revision: u64,
        record: RolloutRecord,
    ) {
        let rollout = self.rollout(service);
        rollout.take_record(now, revision, record);
    }

    /// Takes a region's word that it moves its traffic by an order.
    pub fn take_shift(
        &mut self,
        now: Moment,
        service: &ServiceName,
        region: RegionName,
        order: u64,
        revision: u64,
    ) {
        let rollout = self.rollout(service);
        rollout.take_mark(now, region, order, revision);
    }

    /// Notes that the store has lost the record of a service.
    pub fn remove_record(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.remove_record();
        }
    }

    /// Notes that the store has lost a region's word that it moves its traffic.
    pub fn remove_shift(&mut self, service: &ServiceName, region: &RegionName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.lose_mark(region);
        }
    }

    fn rollout(&mut self, service: &ServiceName) -> &mut ServiceRollout {
        self.services
            .entry(service.clone())
            .or_insert_with(ServiceRollout::new)
    }

    /// Makes the routes of a service known, and how long their answers may take.
    pub fn set_routes(&mut self, service: &ServiceName, routes: &[RouteName], longest: Duration) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.set_routes(routes, longest);
        }
    }

    /// Where requests of a service go; none if they go anywhere.
    pub fn phase(&self, now: Moment, service: &ServiceName) -> Option<RolloutPhase> {
        let rollout = self.services.get(service)?;
        rollout.phase(now, self.unix_start, &self.region)
    }

    /// Which servers of each service may have requests.
    pub fn rules(&self, now: Moment) -> impl Iterator<Item = (&ServiceName, VersionRule)> {
        self.services.iter().filter_map(move |(service, rollout)| {
            let phase = rollout.phase(now, self.unix_start, &self.region)?;
            Some((service, rollout.rule(phase)?))
        })
    }

    /// The side that a new request goes to, where that is not the usual one.
    pub fn other_side(
        &mut self,
        now: Moment,
        service: &ServiceName,
        rng: &mut impl Rng,
    ) -> Option<VersionSide> {
        let phase = self.phase(now, service)?;
        self.services.get_mut(service)?.other_side(now, phase, rng)
    }

    /// Counts a request that is sent to the new version as one of the sample.
    pub fn claim_canary(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.claim_canary();
        }
    }

    /// Notes an answer that this VM has seen.
    pub fn note(
        &mut self,
        service: &ServiceName,
        route: &str,
        side: VersionSide,
        life: u64,
        outcome: ResponseOutcome,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.evidence.note(route, side, life, outcome);
        }
    }

    /// Counts of this VM, to tell the others.
    pub fn own_evidence(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.services
            .values()
            .flat_map(|rollout| rollout.evidence.own())
    }

    /// Takes the sum of the other VMs' counts; whether the tag is known.
    pub fn set_regional(&mut self, tag: EvidenceTag, counts: EvidenceCounts) -> bool {
        let mut rollouts = self.services.values_mut();
        rollouts.any(|rollout| rollout.evidence.set_regional(tag, counts))
    }

    /// Counts of this region, to tell other regions.
    pub fn region_evidence(&self) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.services
            .values()
            .flat_map(|rollout| rollout.evidence.of_region())
    }

    /// Counts that another region has told.
    pub fn far_evidence(
        &self,
        region: &RegionName,
    ) -> impl Iterator<Item = (EvidenceTag, EvidenceCounts)> {
        self.services
            .values()
            .flat_map(move |rollout| rollout.evidence.of_far(region))
    }

    /// Takes the counts of another region; whether the tag is known.
    pub fn set_far(
        &mut self,
        region: &RegionName,
        tag: EvidenceTag,
        counts: EvidenceCounts,
    ) -> bool {
        let mut rollouts = self.services.values_mut();
        rollouts.any(|rollout| rollout.evidence.set_far(region, tag, counts))
    }

    /// Looks at the evidence; the services whose new version was found bad.
    pub fn judge(&mut self, now: Moment) -> Vec<(ServiceName, BadMetric)> {
        let judged = self.services.iter_mut();
        judged
            .filter_map(|(service, rollout)| Some((service.clone(), rollout.judge(now)?)))
            .collect()
    }

    /// Changes of the store that this VM is to make now. `servers` counts the servers of
    /// a service by region.
    pub fn due_writes(
        &mut self,
        now: Moment,
        writer: StoreWriter,
        servers: impl Fn(&ServiceName, &SoftwareVersion) -> BTreeMap<RegionName, ServerCounts>,
    ) -> Vec<RolloutWrite> {
        let mut due_now = Vec::new();
        for (service, rollout) in &self.services {
            let counts = rollout.order();
            let counts = counts.map(|held| servers(service, &held.order.target));
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

    /// Every roll-out, for logs, metrics and operators.
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

    /// Whether it is this VM's turn to make the change now.
    fn try_now(&mut self, now: Moment, writer: StoreWriter) -> bool {
        let rank = match self.write {
            DueWrite::Record(_) => writer.rank,
            DueWrite::Shift => writer.near_rank,
        };
        let turn = WRITER_TURN.saturating_mul(rank);
        let is_due = match self.tried {
            None => now - self.since >= turn,
            Some(tried) => now - tried >= WRITE_AGAIN,
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
