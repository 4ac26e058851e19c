//! The links that a VM dials, and what each is for.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::VmName;

use crate::evidence::UpdateScope;
use crate::record::VmRecord;
use crate::roster::Roster;

/// Time between two reports of a member. Work under way lasts some tenths of a second,
/// and a figure that steers requests should be younger: worth of three days with a rush
/// at 68 VMs was 0.577 with 100 ms (and 60 between aggregators), 0.589 with 60 (and 45).
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
/// The same where an aggregator has many members, and how many reports a second each
/// aggregator takes before: at 300 VMs 60 ms would bring the busiest VM 1,258 frames a
/// second (test `region`).
const LONGEST_REPORT_INTERVAL: Duration = Duration::from_millis(100);
const REPORTS_PER_SECOND: f64 = 250.0;
/// Sums that an aggregator tells its members each second, and the longest time between two
/// that it tells one of them.
const DIGESTS_PER_SECOND: f64 = 90.0;
const LONGEST_DIGEST_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two signs of life, where nothing urgent is told: three are sent before
/// a VM is taken for silent.
const LIFE_INTERVAL: Duration = Duration::from_millis(400);
/// Least time between two sums that aggregators tell each other. Eight VMs that heard
/// each other each 60, 150 and 400 ms brought a mean worth of 0.680, 0.676 and 0.668.
const PARTIAL_INTERVAL: Duration = Duration::from_millis(45);
/// Sums that an aggregator tells others each second at most.
const PARTIALS_PER_SECOND: f64 = 130.0;
/// Silent VMs that an aggregator looks for at the same time.
const PROBES: usize = 2;

/// What one end of a link is to the other in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkRelation {
    /// A member to the aggregator that counts its work.
    Report,
    /// A member to the aggregator that would take over.
    Standby,
    /// A VM that looks for others.
    Seek,
    /// An aggregator to another one of its region.
    Partial,
    /// An aggregator to one of another region.
    Region,
    /// Answer to a report.
    Digest,
    /// Answer to a standby's sign of life.
    StandbyDigest,
    /// Answer to a VM that looks for others: where the aggregators are.
    Referral,
}

impl LinkRelation {
    /// Every relation, by its number in messages.
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

    /// Its number in messages.
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

    /// The relation of a number in a message; none if it is of a later version.
    pub fn from_number(number: u32) -> Option<Self> {
        let index = usize::try_from(number).ok()?;
        Self::ALL.get(index).copied()
    }

    /// Scope of the word that its messages carry, if any.
    pub const fn scope(self) -> Option<UpdateScope> {
        match self {
            Self::Report | Self::Standby | Self::Seek => None,
            Self::Partial => Some(UpdateScope::Own),
            Self::Region => Some(UpdateScope::Region),
            Self::Digest | Self::StandbyDigest => Some(UpdateScope::Fleet),
            Self::Referral => Some(UpdateScope::Hint),
        }
    }

    /// Word for logs.
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

/// A link that there is to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLink {
    /// The VM at the other end; none if only its address is known.
    pub vm: Option<VmName>,
    /// Where it takes links.
    pub address: SocketAddr,
    /// What this VM is to it.
    pub relation: LinkRelation,
}

/// The links that this VM keeps, one for each address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// The aggregators of this region.
    pub near_aggregators: BTreeSet<VmName>,
    /// The links.
    pub links: Vec<PlannedLink>,
    /// Living VMs of this region.
    region_vms: usize,
}

impl LinkPlan {
    /// The link to an address.
    pub fn at(&self, address: SocketAddr) -> Option<&PlannedLink> {
        self.links.iter().find(|link| link.address == address)
    }

    /// Time between two messages of a relation. Where `is_dense` is false, as there is no
    /// news, only signs of life are due.
    pub fn interval(&self, relation: LinkRelation, is_dense: bool) -> Duration {
        match relation {
            LinkRelation::Seek => LONGEST_REPORT_INTERVAL,
            LinkRelation::Report if is_dense => self.report_interval(),
            LinkRelation::Partial if is_dense => self.partial_interval(),
            LinkRelation::Digest if is_dense => self.digest_interval(),
            _ => LIFE_INTERVAL,
        }
    }

    fn report_interval(&self) -> Duration {
        let shared = Duration::from_secs_f64(self.group_vms() / REPORTS_PER_SECOND);
        shared.clamp(REPORT_INTERVAL, LONGEST_REPORT_INTERVAL)
    }

    /// VMs of the region to one of its aggregators.
    fn group_vms(&self) -> f64 {
        self.region_vms as f64 / self.near_aggregators.len().max(1) as f64
    }

    /// Time between two sums that an aggregator tells a member.
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
        shared.clamp(PARTIAL_INTERVAL, LIFE_INTERVAL)
    }

    /// How old other VMs' work is in the mean when it is known here: half an interval
    /// for each message on its way.
    pub fn knowledge_age(&self) -> Duration {
        let partial = self.partial_interval();
        let hops = match self.primary() {
            None => partial,
            Some(_) => self.report_interval() * 2 + partial,
        };
        hops / 2
    }

    /// The VM that counts this VM's work, if it is a member.
    pub fn primary(&self) -> Option<&VmName> {
        let report = |link: &&PlannedLink| link.relation == LinkRelation::Report;
        self.links.iter().find(report)?.vm.as_ref()
    }

    /// The VMs that answer this one.
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
    /// Works out the links of this VM. `seeds` are addresses of the settings, and
    /// `turn` chooses among silent VMs that are looked for.
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
            // A VM that leaves reports on, so that everybody learns of it.
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
        for vm in self.far_listeners(&levels) {
            plan.add(vm, LinkRelation::Region);
        }
        self.plan_search(&mut plan, seeds, turn);
        plan
    }

    /// Links to VMs that may live although nobody names them.
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
        let silent: Vec<SocketAddr> = self
            .others()
            .filter(|vm| !vm.is_alive())
            .map(|vm| vm.record.peer_address)
            .filter(|address| !alive.contains(address))
            .collect();
        let first = turn.checked_rem(silent.len()).unwrap_or(0);
        let probes = silent.iter().cycle().skip(first).copied();
        for address in lost_seeds.chain(probes.take(PROBES.min(silent.len()))) {
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
