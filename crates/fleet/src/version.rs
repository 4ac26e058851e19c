//! Servers of two versions of a service, while the operator moves its traffic.
//!
//! Invariant: a server of a closed version gets nothing, by whatever way it would be
//! chosen; one of the other version that is open gets only what is meant for it.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_rollout::{ServerCounts, VersionRule, VersionSide};
use onyxfall_types::{RegionName, ServerId, ServiceName, SoftwareVersion, stable_hash};
use rand::Rng;

use crate::call::CallRequirements;
use crate::choose::LocalOption;
use crate::view::FleetView;

/// One of so many servers of the new version takes the sample, so that it meets the load
/// that the old ones bear; and how many at least, so that one that fails by itself is
/// told from its version.
const SAMPLE_SERVERS: usize = 20;
const LEAST_SAMPLE_SERVERS: usize = 6;
/// Time after a server was first seen in which its answers are slow by themselves.
const WARM_UP: Duration = Duration::from_secs(3);

impl FleetView {
    /// Sets which versions of services may have requests; of other services all may.
    pub fn set_version_rules(&mut self, rules: BTreeMap<ServiceName, VersionRule>) {
        self.version_rules = rules;
    }

    /// The version that a server runs, while two of its service have servers.
    pub fn side_of(&self, id: ServerId) -> Option<VersionSide> {
        let rule = self.version_rule(id)?;
        Some(side(rule, self.server(id).record.version.as_ref()))
    }

    fn version_rule(&self, id: ServerId) -> Option<&VersionRule> {
        if self.version_rules.is_empty() {
            return None;
        }
        self.version_rules.get(&self.server(id).record.service)
    }

    /// Whether a server's version is the one that requests go to.
    pub(crate) fn is_usual_version(&self, id: ServerId) -> bool {
        let rule = self.version_rule(id);
        rule.is_none_or(|rule| self.side_of(id) == Some(rule.usual))
    }

    /// Whether nothing may begin at a server because of its version.
    pub(crate) fn is_closed_version(&self, id: ServerId) -> bool {
        let rule = self.version_rule(id);
        rule.is_some_and(|rule| rule.other_is_closed && self.side_of(id) != Some(rule.usual))
    }

    /// Servers of a service by region and version.
    pub fn version_counts(
        &self,
        service: &ServiceName,
        target: &SoftwareVersion,
    ) -> BTreeMap<RegionName, ServerCounts> {
        let mut counts: BTreeMap<RegionName, ServerCounts> = BTreeMap::new();
        for pool in self.pools().of_service(service) {
            let counts = counts.entry(pool.key.region.clone()).or_default();
            if pool.key.version.as_ref() == Some(target) {
                counts.new += pool.servers.len();
            } else {
                counts.old += pool.servers.len();
            }
        }
        counts
    }

    /// Whether the time of a server's answers says something of its version: shortly
    /// after its start it is slow by itself.
    pub fn is_warm(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        !server.is_cold(now) && now - server.seen() >= WARM_UP
    }

    /// The best server of this region for a request that is meant for a version which
    /// is not the usual one.
    pub fn choose_version(
        &mut self,
        now: Moment,
        side: VersionSide,
        needs: &CallRequirements,
        rng: &mut impl Rng,
    ) -> LocalOption {
        let mut servers = self.servers_of_side(needs, side);
        if side == VersionSide::New {
            self.keep_sample(&mut servers);
        }
        self.choose_among(now, needs, servers, rng)
    }

    /// The servers of this region and of a version that could have a request.
    fn servers_of_side(&self, needs: &CallRequirements, side: VersionSide) -> Vec<ServerId> {
        if !needs.allows_region(&self.place().region) {
            return Vec::new();
        }
        let servers = self.servers_of(&needs.service).iter().copied();
        let servers = servers.filter(|id| {
            let is_near = self.server(*id).region == self.place().region;
            let is_open = self.may_work(*id) && !self.is_closed_version(*id);
            is_near && is_open && self.side_of(*id) == Some(side)
        });
        servers.collect()
    }

    /// Keeps the servers that take the sample: the same on every VM.
    fn keep_sample(&self, servers: &mut Vec<ServerId>) {
        let count = servers.len().div_ceil(SAMPLE_SERVERS);
        let count = count.max(LEAST_SAMPLE_SERVERS);
        servers.sort_by_cached_key(|id| {
            stable_hash(&["sample", self.server(*id).record.name.as_str()])
        });
        servers.truncate(count);
    }
}

fn side(rule: &VersionRule, version: Option<&SoftwareVersion>) -> VersionSide {
    if version == Some(&rule.target) {
        VersionSide::New
    } else {
        VersionSide::Old
    }
}
