//! Computes the links that a VM dials and the purpose of each.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::VmName;

use crate::evidence::UpdateScope;
use crate::record::VmRecord;
use crate::roster::Roster;

/// Interval between reports of a member. Requests last some tenths of a second, and load
/// figures used for routing should be younger. In a simulation of three days with a rush at
/// 68 VMs the value was 0.577 with 100 ms (60 ms between aggregators) and 0.589 with 60 ms
/// (45 ms between aggregators).
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// Longest report interval, used where an aggregator has many members. The interval grows
/// above [`REPORTS_PER_SECOND`] per aggregator: at 300 VMs, 60 ms would cost the busiest VM
/// 1,258 frames a second (test `region`).
const LONGEST_REPORT_INTERVAL: Duration = Duration::from_millis(100);
const REPORTS_PER_SECOND: f64 = 250.0;
/// Digests that an aggregator sends its members per second, and the longest interval between
/// two digests to one member.
const DIGESTS_PER_SECOND: f64 = 90.0;
const LONGEST_DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between liveness signals where no urgent change is pending. Three are sent before
/// a VM is treated as unresponsive.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between partial sums from one aggregator to another. Eight VMs that
/// exchanged sums every 60, 150 and 400 ms reached a mean value of 0.680, 0.676 and 0.668.
const PARTIAL_INTERVAL: Duration = Duration::from_millis(45);
/// Target for the partial sums per second that an aggregator sends in total.
const PARTIALS_PER_SECOND: f64 = 130.0;
/// Maximum unresponsive VMs that an aggregator probes at the same time.
const MAX_PROBES: usize = 2;

/// Role of the sender of a message relative to its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkRelation {
    /// From a member to the aggregator that counts its work.
    Report,
    /// From a member to its standby aggregator.
    Standby,
    /// From a VM that searches for others.
    Seek,
    /// From an aggregator to another one of its region.
    Partial,
    /// From an aggregator to one of another region.
    Region,
    /// Response to a report.
    Digest,
    /// Response to a [`Self::Standby`] liveness signal.
    StandbyDigest,
    /// Response to [`Self::Seek`] with the aggregators of every region.
    Referral,
}

impl LinkRelation {
    /// Every relation, in the order of the numbers in messages.
    pub const ALL: [Self; 8] = [
        Self::Report,
        Self::Standby,
        Self::Seek,
        Self::Partial,
        Self::Region,
        Self::Digest,
        Self::StandbyDigest,
        Self::Referral,
    ];

    /// Number of the relation in messages.
    ///
    /// ```
    /// use onyxfall_overlay::LinkRelation;
    /// for relation in LinkRelation::ALL {
    ///     assert_eq!(LinkRelation::from_number(relation.number()), Some(relation));
    /// }
    /// assert_eq!(LinkRelation::from_number(u32::MAX), None);
    /// ```
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Relation for a number in a message; none for numbers of later versions.
    pub fn from_number(number: u32) -> Option<Self> {
        let index = usize::try_from(number).ok()?;
        Self::ALL.get(index).copied()
    }

    /// Scope of the roster updates in messages of this relation, if they carry any.
    pub const fn scope(self) -> Option<UpdateScope> {
        match self {
            Self::Report | Self::Standby | Self::Seek => None,
            Self::Partial => Some(UpdateScope::Own),
            Self::Region => Some(UpdateScope::Region),
            Self::Digest | Self::StandbyDigest => Some(UpdateScope::Fleet),
            Self::Referral => Some(UpdateScope::Hint),
        }
    }

    /// Name of the relation for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Standby => "standby",
            Self::Seek => "seek",
            Self::Partial => "partial",
            Self::Region => "region",
            Self::Digest => "digest",
            Self::StandbyDigest => "standby-digest",
            Self::Referral => "referral",
        }
    }
}

/// A link that this VM should keep open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLink {
    /// The VM at the other end; none if only its address is known.
    pub vm: Option<VmName>,
    /// Peer address of the VM.
    pub address: SocketAddr,
    /// Relation of this VM to the other end.
    pub relation: LinkRelation,
}

/// The links that this VM keeps, one for each address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// The aggregators of this region.
    pub near_aggregators: BTreeSet<VmName>,
    /// Links to keep open.
    pub links: Vec<PlannedLink>,
    /// Number of VMs alive in this region, this one included.
    region_vms: usize,
}

impl LinkPlan {
    /// The planned link to an address.
    pub fn at(&self, address: SocketAddr) -> Option<&PlannedLink> {
        self.links.iter().find(|link| link.address == address)
    }

    /// Interval between messages of a relation. If `is_dense` is false because nothing has
    /// changed, only liveness signals are due.
    pub fn interval(&self, relation: LinkRelation, is_dense: bool) -> Duration {
        match relation {
            LinkRelation::Seek => LONGEST_REPORT_INTERVAL,
            LinkRelation::Report if is_dense => self.report_interval(),
            LinkRelation::Partial if is_dense => self.partial_interval(),
            LinkRelation::Digest if is_dense => self.digest_interval(),
            _ => LIVENESS_INTERVAL,
        }
    }

    fn report_interval(&self) -> Duration {
        let shared = Duration::from_secs_f64(self.group_vms() / REPORTS_PER_SECOND);
        shared.clamp(REPORT_INTERVAL, LONGEST_REPORT_INTERVAL)
    }

    /// Mean number of VMs per aggregator of the region.
    fn group_vms(&self) -> f64 {
        self.region_vms as f64 / self.near_aggregators.len().max(1) as f64
    }

    /// Interval between digests from an aggregator to one member.
    fn digest_interval(&self) -> Duration {
        let shared = Duration::from_secs_f64(self.group_vms() / DIGESTS_PER_SECOND);
        shared.clamp(REPORT_INTERVAL, LONGEST_DIGEST_INTERVAL)
    }

    fn partial_interval(&self) -> Duration {
        let partials = self
            .links
            .iter()
            .filter(|link| link.relation == LinkRelation::Partial);
        let shared = Duration::from_secs_f64(partials.count() as f64 / PARTIALS_PER_SECOND);
        shared.clamp(PARTIAL_INTERVAL, LIVENESS_INTERVAL)
    }

    /// Mean age of other VMs' work as known here: half an interval for each message on the
    /// path.
    pub fn knowledge_age(&self) -> Duration {
        let partial = self.partial_interval();
        let hops = match self.primary() {
            None => partial,
            Some(_) => self.report_interval() * 2 + partial,
        };
        hops / 2
    }

    /// The aggregator that counts this VM's work, if this VM is a member.
    pub fn primary(&self) -> Option<&VmName> {
        let report = |link: &&PlannedLink| link.relation == LinkRelation::Report;
        self.links.iter().find(report)?.vm.as_ref()
    }

    /// Aggregators that are expected to respond to this VM.
    pub(crate) fn answering(&self) -> impl Iterator<Item = &VmName> {
        self.links
            .iter()
            .filter(|link| matches!(link.relation, LinkRelation::Report | LinkRelation::Standby))
            .filter_map(|link| link.vm.as_ref())
    }

    fn add(&mut self, vm: &VmRecord, relation: LinkRelation) {
        self.links.push(PlannedLink {
            vm: Some(vm.name.clone()),
            address: vm.peer_address,
            relation,
        });
    }
}

impl Roster {
    /// Computes the links of this VM. `seeds` are addresses of the settings, and `turn`
    /// selects which unresponsive VMs are probed.
    pub(crate) fn plan(&self, seeds: &[SocketAddr], turn: usize) -> LinkPlan {
        let levels = self.levels();
        let own = self.own();
        let near = levels.region(&own.region);
        let region_vms = self.others().filter(|vm| self.is_near(&vm.record));
        let region_vms = region_vms.filter(|vm| vm.is_alive()).count() + 1;
        let mut plan = LinkPlan {
            near_aggregators: near.iter().map(|vm| vm.name.clone()).collect(),
            links: Vec::new(),
            region_vms,
        };
        if !plan.near_aggregators.contains(&own.name) {
            // A VM that is shutting down keeps reporting, so that all VMs receive its status.
            if let Some(aggregators) = self.member_aggregators(&levels) {
                plan.add(aggregators.primary, LinkRelation::Report);
                if let Some(standby) = aggregators.standby {
                    plan.add(standby, LinkRelation::Standby);
                }
                return plan;
            }
        }
        for vm in near.iter().filter(|vm| vm.name != own.name) {
            plan.add(vm, LinkRelation::Partial);
        }
        for vm in self.remote_receivers(&levels) {
            plan.add(vm, LinkRelation::Region);
        }
        self.plan_search(&mut plan, seeds, turn);
        plan
    }

    /// Adds links to VMs that may be alive although no update lists them.
    fn plan_search(&self, plan: &mut LinkPlan, seeds: &[SocketAddr], turn: usize) {
        let alive: BTreeSet<SocketAddr> = self
            .others()
            .filter(|vm| vm.is_alive())
            .map(|vm| vm.record.peer_address)
            .collect();
        let own = self.own().peer_address;
        let lost_seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own && !alive.contains(seed));
        let unresponsive: Vec<SocketAddr> = self
            .others()
            .filter(|vm| !vm.is_alive())
            .map(|vm| vm.record.peer_address)
            .filter(|address| !alive.contains(address))
            .collect();
        let first = turn.checked_rem(unresponsive.len()).unwrap_or(0);
        let probes = unresponsive.iter().cycle().skip(first).copied();
        for address in lost_seeds.chain(probes.take(MAX_PROBES.min(unresponsive.len()))) {
            if plan.at(address).is_none() {
                plan.links.push(PlannedLink {
                    vm: None,
                    address,
                    relation: LinkRelation::Seek,
                });
            }
        }
    }
}
