//! Choice between servers of two versions of a service during a rollout.
//!
//! Invariant: a server of a closed version gets no requests, whichever way it would be
//! chosen; an open server of the non-default version gets only the requests that are meant
//! for that version.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_rollout::{ServerCounts, VersionRule, VersionSide};
use onyxfall_types::{RegionName, ServerId, ServiceName, SoftwareVersion, stable_hash};
use rand::Rng;

use crate::call::CallRequirements;
use crate::choose::LocalOption;
use crate::pools::{PoolServer, ServerPool};
use crate::view::FleetView;

/// One of this many servers of the new version gets canary requests, so that each has about
/// the load of a server of the old version.
const SERVERS_PER_CANARY: usize = 20;
/// Least number of canary servers, so that the failure of a single server can be told from a
/// failure of its version.
const MIN_CANARY_SERVERS: usize = 6;
/// Time after a server was first seen in which its responses are slow regardless of its
/// version.
const WARM_UP: Duration = Duration::from_secs(3);

impl FleetView {
    /// Sets which versions may get requests, by service. All versions of other services may.
    pub fn set_version_rules(&mut self, rules: BTreeMap<ServiceName, VersionRule>) {
        self.version_rules = rules;
    }

    /// The side of the rollout that a server's version is on; `None` if its service has no
    /// version rule.
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

    /// Whether requests of server `id`'s service go to the version of `id` by default.
    pub(crate) fn is_usual_version(&self, id: ServerId) -> bool {
        let rule = self.version_rule(id);
        rule.is_none_or(|rule| self.side_of(id) == Some(rule.usual))
    }

    /// Whether server `id` may get no new requests because of its version.
    pub(crate) fn is_closed_version(&self, id: ServerId) -> bool {
        let rule = self.version_rule(id);
        rule.is_some_and(|rule| rule.other_is_closed && self.side_of(id) != Some(rule.usual))
    }

    /// Servers of this region that may get a request because of their entry and their version. A
    /// request that needs one version may go to each server of it that is not closed.
    pub(crate) fn permitted_servers(
        &self,
        needs: &CallRequirements,
    ) -> impl Iterator<Item = ServerId> {
        let servers = self.servers_of(&needs.service).iter().copied();
        servers.filter(move |id| {
            let server = self.server(*id);
            let is_permitted = if needs.version.is_none() {
                self.takes_work(*id)
            } else {
                let version = server.record.version.as_ref();
                needs.allows_version(version) && self.may_work(*id) && !self.is_closed_version(*id)
            };
            server.region == self.place().region && is_permitted
        })
    }

    /// Regions with a server of a version that may get requests.
    pub fn version_regions(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> Vec<RegionName> {
        let rule = self.version_rules.get(service);
        let is_closed = rule
            .is_some_and(|rule| rule.other_is_closed && side(rule, Some(version)) != rule.usual);
        if is_closed {
            return Vec::new();
        }
        let pools = self.pools().of_service(service);
        let pools = pools.filter(|pool| pool.key.version.as_ref() == Some(version));
        let has_server = |pool: &&ServerPool| {
            pool.servers.values().any(|server| match server {
                PoolServer::Working(id) => self.may_work(*id),
                PoolServer::Dormant(dormant) => {
                    dormant.takes_work() && !self.is_evacuated(&dormant.record.center)
                }
            })
        };
        let regions = pools.filter(has_server).map(|pool| pool.key.region.clone());
        regions.collect()
    }

    /// The version of each server's entry by service, each at least once; `None` for entries
    /// without a valid one.
    pub fn entry_versions(&self) -> impl Iterator<Item = (&ServiceName, Option<&SoftwareVersion>)> {
        let pools = self.pools().iter().filter(|pool| !pool.servers.is_empty());
        pools.map(|pool| (&pool.key.service, pool.key.version.as_ref()))
    }

    /// Number of servers of a service by region, of version `target` and of other versions.
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

    /// Whether response times of server `id` are meaningful for its version. Shortly after
    /// its start a server is slow regardless of its version.
    pub fn is_warm(&self, now: Moment, id: ServerId) -> bool {
        let server = self.server(id);
        !server.is_cold(now) && now - server.seen() >= WARM_UP
    }

    /// The best server of this region for a request that is meant for a version other than
    /// the default one.
    pub fn choose_version(
        &mut self,
        now: Moment,
        side: VersionSide,
        needs: &CallRequirements,
        rng: &mut impl Rng,
    ) -> LocalOption {
        let mut servers = self.servers_of_side(needs, side);
        if side == VersionSide::New {
            self.retain_canaries(&mut servers);
        }
        self.choose_among(now, needs, servers, rng)
    }

    /// The servers of this region and of one version that may get a request.
    fn servers_of_side(&self, needs: &CallRequirements, side: VersionSide) -> Vec<ServerId> {
        if !needs.allows_region(&self.place().region) {
            return Vec::new();
        }
        let servers = self.servers_of(&needs.service).iter().copied();
        let servers = servers.filter(|id| {
            let is_local = self.server(*id).region == self.place().region;
            let is_open = self.may_work(*id) && !self.is_closed_version(*id);
            is_local && is_open && self.side_of(*id) == Some(side)
        });
        servers.collect()
    }

    /// Reduces `servers` to the canary servers, which are the same on every VM.
    fn retain_canaries(&self, servers: &mut Vec<ServerId>) {
        let count = servers.len().div_ceil(SERVERS_PER_CANARY);
        let count = count.max(MIN_CANARY_SERVERS);
        servers.sort_by_cached_key(|id| {
            stable_hash(&["sample", self.server(*id).record.name.as_str()])
        });
        servers.truncate(count);
    }
}

/// The side of a rollout that a version is on.
fn side(rule: &VersionRule, version: Option<&SoftwareVersion>) -> VersionSide {
    if version == Some(&rule.target) {
        VersionSide::New
    } else {
        VersionSide::Old
    }
}
