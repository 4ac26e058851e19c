//! Choice of a backend server of this VM's region.
//!
//! Requests with the same shared prefix go to the same server, by rendezvous
//! hashing, so that it is read once, as long as that server answers well within
//! the goal; then to the next ones in the same order, so that all VMs spread a
//! prefix over the same few servers. Otherwise servers are compared by the
//! expected time to the first byte. A server whose breaker is open is chosen only
//! when no other is left.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServerId};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::CallNeeds;
use crate::cold::is_cold_sender;
use crate::view::FleetView;

/// Cost of choosing another server than the prefix's own: it reads the prefix
/// anew and pushes others' prefixes out. Milliseconds per unread token come on
/// top, by the prediction.
const AFFINITY_COST: Duration = Duration::from_millis(25);
/// Part of the goal up to which a prefix's own server is taken at once. A first
/// token gains nothing by coming earlier; the rest covers what a prediction errs.
const OWNER_PART: f64 = 0.62;
/// Servers in the order of hashing that are tried for a prefix before any other.
const PREFIX_SERVERS: usize = 3;
/// Cost of a cold server, so that it gets work only when others are busy.
const COLD_COST: Duration = Duration::from_millis(150);
/// Spread of the random part that keeps VMs with the same view apart.
const JITTER: Duration = Duration::from_millis(2);

/// A server that a request could go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerChoice {
    /// The server.
    pub server: ServerId,
    /// Expected time to the first byte.
    pub predicted: Duration,
    /// Why it was chosen.
    pub reason: ChoiceReason,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is the request's prefix's own server.
    Owner,
    /// It is one of the next in the order of the prefix's servers.
    Successor,
    /// It promises the earliest first byte.
    #[default]
    Earliest,
}

impl ChoiceReason {
    /// Word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Successor => "successor",
            Self::Earliest => "earliest",
        }
    }
}

/// What the region has for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalOption {
    /// A server with room.
    Free(ServerChoice),
    /// Servers that could run it are full.
    Full,
    /// Servers are cold or failing; one may be usable after a moment.
    Resting,
    /// There is no server here that may run it.
    None,
}

impl FleetView {
    /// The best server of this region for a request.
    pub fn choose(
        &mut self,
        now: Moment,
        needs: &CallNeeds,
        excluded: &[ServerId],
        rng: &mut impl Rng,
    ) -> LocalOption {
        let candidates: Vec<ServerId> = self.candidates(needs, excluded);
        if candidates.is_empty() {
            return LocalOption::None;
        }
        let roomy: Vec<ServerId> = candidates
            .iter()
            .copied()
            .filter(|id| self.server(*id).has_room(needs))
            .collect();
        if roomy.is_empty() {
            return LocalOption::Full;
        }
        let awake: Vec<ServerId> = roomy
            .into_iter()
            .filter(|id| self.may_send_cold(now, *id))
            .collect();
        let trusted: Vec<ServerId> = awake
            .iter()
            .copied()
            .filter(|id| self.server(*id).is_trusted(now))
            .collect();
        let pool = if trusted.is_empty() { awake } else { trusted };
        let ranked = self.prefix_servers(needs, &pool, PREFIX_SERVERS);
        let owner = ranked.first().copied();
        let quick = ranked
            .into_iter()
            .find_map(|id| self.quick_choice(now, id, needs));
        if let Some(mut choice) = quick {
            choice.reason = if Some(choice.server) == owner {
                ChoiceReason::Owner
            } else {
                ChoiceReason::Successor
            };
            return LocalOption::Free(choice);
        }
        let best = pool
            .into_iter()
            .map(|id| (self.cost(now, id, needs, owner, rng), id))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, server)) = best else {
            return LocalOption::Resting;
        };
        let predicted = self.server(server).predict(now, needs);
        LocalOption::Free(ServerChoice {
            server,
            predicted,
            reason: ChoiceReason::Earliest,
        })
    }

    fn candidates(&self, needs: &CallNeeds, excluded: &[ServerId]) -> Vec<ServerId> {
        let region = &self.place().region;
        if !needs.allows_region(region) {
            return Vec::new();
        }
        self.servers_of(&needs.service)
            .iter()
            .copied()
            .filter(|id| !excluded.contains(id))
            .filter(|id| {
                let server = self.server(*id);
                server.region == *region
                    && server.takes_work()
                    && !self.is_evacuated(&server.record.center)
            })
            .collect()
    }

    /// The region of the server that holds the request's shared prefix, by
    /// rendezvous hashing over the servers of every region that may run it. It
    /// ranks them as the choice within a region does, so that the VM there finds
    /// the same server.
    pub fn prefix_home(&self, needs: &CallNeeds) -> Option<&RegionName> {
        // Without a shared prefix there is no owner to look for.
        needs.prompt.affinity()?;
        let pool: Vec<ServerId> = self
            .servers_of(&needs.service)
            .iter()
            .copied()
            .filter(|id| {
                let server = self.server(*id);
                needs.allows_region(&server.region)
                    && server.takes_work()
                    && !self.is_evacuated(&server.record.center)
            })
            .collect();
        let owner = *self.prefix_servers(needs, &pool, 1).first()?;
        Some(&self.server(owner).region)
    }

    fn may_send_cold(&mut self, now: Moment, id: ServerId) -> bool {
        if !self.server(id).is_cold(now) {
            return true;
        }
        let name = &self.server(id).record.name;
        is_cold_sender(name, &self.place().vm, self.region_vms())
            && self.server_mut(id).cold_share().has_one(now)
    }

    /// The first `count` servers that rendezvous hashing gives the request's shared
    /// prefix. Each request asks, so only these are put in order.
    fn prefix_servers(&self, needs: &CallNeeds, pool: &[ServerId], count: usize) -> Vec<ServerId> {
        let Some(key) = needs.prompt.affinity() else {
            return Vec::new();
        };
        let mut ranked: Vec<(u64, ServerId)> = pool
            .iter()
            .map(|id| {
                let name = &self.server(*id).record.name;
                (xxh3_64_with_seed(name.as_str().as_bytes(), key), *id)
            })
            .collect();
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, |a, b| b.cmp(a));
            ranked.truncate(count);
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, id)| id).collect()
    }

    /// A server of the prefix, if it answers well within the goal.
    fn quick_choice(&self, now: Moment, id: ServerId, needs: &CallNeeds) -> Option<ServerChoice> {
        let server = self.server(id);
        let predicted = server.predict(now, needs);
        let is_quick = predicted <= needs.goal.mul_f64(OWNER_PART) && !server.is_cold(now);
        is_quick.then_some(ServerChoice {
            server: id,
            predicted,
            reason: ChoiceReason::Owner,
        })
    }

    fn cost(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallNeeds,
        owner: Option<ServerId>,
        rng: &mut impl Rng,
    ) -> f64 {
        let server = self.server(id);
        let mut cost = server.predict(now, needs);
        if owner.is_some_and(|owner| owner != id) {
            cost += AFFINITY_COST;
        }
        if server.is_cold(now) {
            cost += COLD_COST;
        }
        cost.as_secs_f64() + rng.random::<f64>() * JITTER.as_secs_f64()
    }
}
