//! Choice of a backend server in this VM's region.
//!
//! Requests with the same shared prefix are sent to the same server, by rendezvous
//! hashing, so that the prefix is prefilled once, as long as that server is expected to
//! respond well within the goal. Otherwise they go to the next servers in the same
//! order, so that all VMs spread a prefix over the same few servers. Failing that,
//! servers are compared by expected time to the first byte. A server whose circuit
//! breaker is open is chosen only when no other is left.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServerId};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::CallRequirements;
use crate::cold::is_cold_sender;
use crate::level::{draw_by_level, fill_level};
use crate::predict::TimePrediction;
use crate::switches::{ChoicePolicy, DecisionSwitch};
use crate::view::FleetView;

/// Fraction of the goal up to which a prefix's owner is used, compared with the time to
/// prefill all prompts there sequentially. Prefilling a shared part again elsewhere
/// delays all requests under high load. On 24 days of three sites, 0.62, 0.9 and 1.2
/// gave a mean value of 0.689, 0.697 and 0.701, and 2.9, 2.4 and 2.2 % of the value was
/// spent on prefilling shared parts again.
const OWNER_GOAL_FRACTION: f64 = 1.2;
/// Fraction of the goal up to which the backlog is no reason to leave the owner,
/// however long the request's own prefill takes.
const IDLE_GOAL_FRACTION: f64 = 0.1;
/// Minimum prefill time that must be saved for a request to go to its prefix's owner.
/// Savings below it are within the prediction error, and all requests of a kind would
/// be tied to a few servers. The mean value is the same with and without it (0.648 and
/// 0.649 on 18 days of two sites).
const MIN_PREFILL_SAVED: Duration = Duration::from_millis(10);
/// Number of servers, in rendezvous order, that are tried for a prefix before any
/// other.
const PREFIX_SERVERS: usize = 3;
/// Weight of the time to the end of the response relative to the time to its first
/// byte. Long responses finish earlier on servers that are not prefilling, even if they
/// start later there. It raised the mean value of nine days each of two sites by 0.005,
/// which is near the noise; on one of them 2,202 instead of 2,275 attempts met the
/// caller's deadline.
const WHOLE_RESPONSE_WEIGHT: f64 = 0.25;
/// Penalty of a cold server, so that it gets requests only when the others are busy.
const COLD_PENALTY: Duration = Duration::from_millis(150);
/// Number of VMs whose draws overlap in the same span. If some of them send more than
/// others, or leave, the rest still fill the servers of the span.
const SPAN_VMS: f64 = 16.0;
/// Range of the random term that separates VMs with the same view.
const JITTER: Duration = Duration::from_millis(2);

/// Server to which a request can be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerChoice {
    /// Server id.
    pub server: ServerId,
    /// Predicted times of the request at this server.
    pub predicted: TimePrediction,
    /// Reason for the choice.
    pub reason: ChoiceReason,
}

/// Reason for which a server was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The server owns the request's prefix.
    Owner,
    /// The server is one of the next in the rendezvous order of the prefix.
    Successor,
    /// The server has the earliest expected first byte.
    #[default]
    Earliest,
    /// The server holds a backup of the run.
    Backup,
    /// The request may crash its server, and the fewest requests run on this one.
    Alone,
    /// Round-robin or random choice of a baseline policy.
    Baseline,
}

impl ChoiceReason {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::Successor => "successor",
            Self::Earliest => "earliest",
            Self::Backup => "backup",
            Self::Alone => "alone",
            Self::Baseline => "baseline",
        }
    }
}

/// Availability of servers in this region for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalOption {
    /// A server with capacity.
    Free(ServerChoice),
    /// All servers that could run the request are full.
    Full,
    /// Servers are cold or failing; one may be usable later.
    Unavailable,
    /// This VM reaches no server that could run the request. Another VM may.
    Unreachable,
    /// No server that could run the request accepts requests from this VM before the
    /// given moment.
    BackedOff(Moment),
    /// No server of this region may run the request.
    None,
}

impl FleetView {
    /// Chooses the best server of this region for a request.
    pub fn choose(
        &mut self,
        now: Moment,
        needs: &CallRequirements,
        excluded: &[ServerId],
        rng: &mut impl Rng,
    ) -> LocalOption {
        let candidates = self.candidates(needs, excluded);
        self.choose_among(now, needs, candidates, rng)
    }

    /// Chooses the best of the given candidates for a request.
    pub(crate) fn choose_among(
        &mut self,
        now: Moment,
        needs: &CallRequirements,
        candidates: Vec<ServerId>,
        rng: &mut impl Rng,
    ) -> LocalOption {
        if candidates.is_empty() {
            return LocalOption::None;
        }
        if !self.path_state(&needs.service).may_send() {
            return LocalOption::Unreachable;
        }
        if let Some(end) = self.earliest_hold_end(now, &candidates) {
            return LocalOption::BackedOff(end);
        }
        let with_capacity: Vec<ServerId> = candidates
            .into_iter()
            .filter(|id| self.takes_now(now, *id) && self.has_room(now, *id, needs))
            .collect();
        if with_capacity.is_empty() {
            return LocalOption::Full;
        }
        let Some(pool) = self.usable(now, with_capacity) else {
            return LocalOption::Unreachable;
        };
        if let Some(choice) = self.baseline_choice(now, needs, &pool, rng) {
            return LocalOption::Free(choice);
        }
        let ranked = self.prefix_servers(needs, &pool, self.prefix_count(needs));
        let owner = ranked.first().copied();
        let preferred = ranked
            .iter()
            .find_map(|id| self.prefix_choice(now, *id, needs));
        if let Some(mut choice) = preferred {
            choice.reason = if Some(choice.server) == owner {
                ChoiceReason::Owner
            } else {
                ChoiceReason::Successor
            };
            return LocalOption::Free(choice);
        }
        let owner = owner.or_else(|| self.prefix_servers(needs, &pool, 1).first().copied());
        let candidates: Vec<CandidateCost> = pool
            .into_iter()
            .map(|id| self.candidate_cost(now, id, needs, rng))
            .collect();
        let Some(choice) = self.draw_server(now, needs, &candidates, owner, rng) else {
            return LocalOption::Unavailable;
        };
        self.record_drawn(now, &needs.service);
        LocalOption::Free(choice)
    }

    /// Returns the server of this region with the fewest requests, for a request that
    /// may crash it.
    pub fn choose_alone(
        &self,
        now: Moment,
        needs: &CallRequirements,
        excluded: &[ServerId],
    ) -> LocalOption {
        if !needs.allows_region(&self.place().region) {
            return LocalOption::None;
        }
        let candidates = self.candidates(needs, excluded);
        if !self.path_state(&needs.service).may_send() {
            return LocalOption::Unreachable;
        }
        if let Some(end) = self.earliest_hold_end(now, &candidates) {
            return LocalOption::BackedOff(end);
        }
        let free = self.free_servers(now, needs);
        let free = free.filter(|id| !excluded.contains(id));
        let least_busy = free.min_by_key(|id| self.server(*id).work().requests);
        least_busy.map_or(LocalOption::Unavailable, |server| {
            LocalOption::Free(ServerChoice {
                server,
                predicted: self.predict(now, server, needs),
                reason: ChoiceReason::Alone,
            })
        })
    }

    /// Filters servers with capacity down to those that may be sent a request now. `None` if
    /// requests would be written to no other than unreachable servers.
    fn usable(&mut self, now: Moment, with_capacity: Vec<ServerId>) -> Option<Vec<ServerId>> {
        let sendable: Vec<ServerId> = with_capacity
            .into_iter()
            .filter(|id| self.may_send_cold(now, *id))
            .collect();
        if sendable.is_empty() || !self.switches().is_on(DecisionSwitch::CircuitBreaker) {
            return Some(sendable);
        }
        let is_reached =
            |id: &ServerId| !self.server(*id).is_doubted(now) && !self.is_suspected(now, *id);
        let reached: Vec<ServerId> = sendable.into_iter().filter(is_reached).collect();
        let trusted: Vec<ServerId> = reached
            .iter()
            .copied()
            .filter(|id| self.is_trusted(now, *id))
            .collect();
        if !trusted.is_empty() {
            return Some(trusted);
        }
        (!reached.is_empty()).then_some(reached)
    }

    /// Number of servers in rendezvous order that are tried for a prefix before any
    /// other.
    fn prefix_count(&self, needs: &CallRequirements) -> usize {
        let shared = needs.prompt.shared_tokens();
        let saved = self.prefill_time(&needs.service, shared);
        if saved < MIN_PREFILL_SAVED || !self.switches().is_on(DecisionSwitch::PrefixOwner) {
            0
        } else if self.switches().is_on(DecisionSwitch::PrefixSpill) {
            PREFIX_SERVERS
        } else {
            1
        }
    }

    /// Choice of a baseline policy, which ignores expected times.
    fn baseline_choice(
        &mut self,
        now: Moment,
        needs: &CallRequirements,
        pool: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<ServerChoice> {
        let index = match self.switches().policy() {
            ChoicePolicy::Expected | ChoicePolicy::LocalOnly => return None,
            ChoicePolicy::Random => rng.random_range(0..pool.len().max(1)),
            ChoicePolicy::RoundRobin => self.next_round_robin() % pool.len().max(1),
        };
        let server = *pool.get(index)?;
        Some(ServerChoice {
            server,
            predicted: self.predict(now, server, needs),
            reason: ChoiceReason::Baseline,
        })
    }

    fn candidates(&self, needs: &CallRequirements, excluded: &[ServerId]) -> Vec<ServerId> {
        let region = &self.place().region;
        if !needs.allows_region(region) {
            return Vec::new();
        }
        self.permitted_servers(needs)
            .filter(|id| !excluded.contains(id))
            .collect()
    }

    /// Region of the server that owns the request's shared prefix, by rendezvous
    /// hashing over the permitted servers of every region. The ranking is the same as
    /// for the choice within a region, so that a VM there finds the same server.
    pub fn prefix_home(&self, needs: &CallRequirements) -> Option<&RegionName> {
        // Without a shared prefix there is no owner.
        needs.prompt.affinity()?;
        if !self.switches().is_on(DecisionSwitch::PrefixHome) {
            return None;
        }
        let pool: Vec<ServerId> = self
            .servers_of(&needs.service)
            .iter()
            .copied()
            .filter(|id| needs.allows_region(&self.server(*id).region) && self.takes_work(*id))
            .collect();
        let owner = *self.prefix_servers(needs, &pool, 1).first()?;
        Some(&self.server(owner).region)
    }

    fn may_send_cold(&mut self, now: Moment, id: ServerId) -> bool {
        let is_shared = self.switches().is_on(DecisionSwitch::ColdShare);
        if !is_shared || !self.server(id).is_cold(now) {
            return true;
        }
        let record = &self.server(id).record;
        let others = self.sharing_vms(&record.service);
        let is_sender = self.is_only_sender(&record.service)
            || is_cold_sender(&record.name, &self.place().vm, others);
        is_sender && !self.is_discovering() && self.server_mut(id).cold_share().is_available(now)
    }

    /// The first `count` servers in rendezvous order for the request's shared prefix.
    /// This runs for each request, so only these are sorted.
    fn prefix_servers(
        &self,
        needs: &CallRequirements,
        pool: &[ServerId],
        count: usize,
    ) -> Vec<ServerId> {
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

    /// Returns the choice of a prefix server if its expected first byte is well within
    /// the goal.
    fn prefix_choice(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallRequirements,
    ) -> Option<ServerChoice> {
        let server = self.server(id);
        let predicted = self.predict(now, id, needs);
        let is_idle = predicted.backlog <= needs.goal.mul_f64(IDLE_GOAL_FRACTION);
        let limit = if needs.backlog_limit.is_some() {
            needs.goal
        } else {
            needs.goal.mul_f64(OWNER_GOAL_FRACTION)
        };
        let is_preferred = (is_idle || predicted.loaded <= limit)
            && needs.allows_backlog(predicted.backlog)
            && !server.is_cold(now)
            && self.is_in_time(now, &predicted, needs);
        is_preferred.then_some(ServerChoice {
            server: id,
            predicted,
            reason: ChoiceReason::Owner,
        })
    }

    /// Returns the prefix's owner if its extra load costs less than prefilling the
    /// prefix again. Otherwise draws one of the servers under the backlog limit that are not
    /// expected to miss the deadline, if there are any. The owner is compared with the level to which
    /// the requests of all VMs fill the servers, and not with the least loaded server,
    /// which would never be the owner: each prefix has another owner, so that requests
    /// to owners spread evenly.
    fn draw_server(
        &self,
        now: Moment,
        needs: &CallRequirements,
        candidates: &[CandidateCost],
        owner: Option<ServerId>,
        rng: &mut impl Rng,
    ) -> Option<ServerChoice> {
        // A request that is placed over its backlog limit is refused.
        let allowed = filtered_or_all(candidates, |candidate| {
            needs.allows_backlog(candidate.predicted.backlog)
        });
        let candidates = filtered_or_all(&allowed, |candidate| !candidate.is_late);
        let costs: Vec<f64> = candidates.iter().map(|candidate| candidate.cost).collect();
        let work = self.work_of(needs, 0).as_secs_f64();
        let unreported = if self.switches().is_on(DecisionSwitch::LevelDraw) {
            self.unreported_requests(now, &needs.service)
        } else {
            0.0
        };
        let owner_cost_limit =
            fill_level(&costs, work * unreported) + self.reprefill_cost(needs).as_secs_f64();
        let owner_entry = candidates
            .iter()
            .find(|candidate| Some(candidate.server) == owner);
        if let Some(candidate) = owner_entry.filter(|candidate| candidate.cost <= owner_cost_limit)
        {
            return Some(candidate.choice(ChoiceReason::Owner));
        }
        let point = self.draw_point(rng);
        let index = draw_by_level(&costs, work * unreported, point)?;
        let drawn = candidates.get(index)?;
        Some(drawn.choice(ChoiceReason::Earliest))
    }

    /// Random point at which this VM draws among evenly filled servers. The VMs of a
    /// region draw in adjacent overlapping spans, so that each reuses its connections
    /// and all of them together fill the servers evenly.
    fn draw_point(&self, rng: &mut impl Rng) -> f64 {
        let others = self.region_vms();
        let own = &self.place().vm;
        let rank = others.iter().filter(|vm| *vm < own).count();
        let vms = others.len() as f64 + 1.0;
        let span = (SPAN_VMS / vms).min(1.0);
        (rank as f64 / vms + span * rng.random::<f64>()).fract()
    }

    /// Cost of choosing another server than the prefix's owner: it has to prefill the
    /// prefix again and evicts other prefixes.
    fn reprefill_cost(&self, needs: &CallRequirements) -> Duration {
        let tokens = needs.prompt.shared_tokens();
        let penalty = self.reprefill_penalty().mul_f64(tokens as f64 / 1000.0);
        self.prefill_time(&needs.service, tokens) + penalty
    }

    fn candidate_cost(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallRequirements,
        rng: &mut impl Rng,
    ) -> CandidateCost {
        let predicted = self.predict(now, id, needs);
        let mut cost = if needs.engine.is_some() {
            predicted
                .loaded
                .max(predicted.whole.mul_f64(WHOLE_RESPONSE_WEIGHT))
        } else {
            // Occupied slots count before the first request has to wait.
            let occupied = f64::from(self.server(id).work().requests);
            let alone = predicted.loaded.saturating_sub(predicted.backlog);
            alone + self.work_of(needs, 0).mul_f64(occupied)
        };
        if self.server(id).is_cold(now) {
            cost += COLD_PENALTY;
        }
        CandidateCost {
            server: id,
            predicted,
            is_late: !self.is_in_time(now, &predicted, needs),
            cost: cost.as_secs_f64() + rng.random::<f64>() * JITTER.as_secs_f64(),
        }
    }
}

/// The candidates that meet a condition, or all of them if none does.
fn filtered_or_all(
    candidates: &[CandidateCost],
    condition: impl Fn(&CandidateCost) -> bool,
) -> Vec<CandidateCost> {
    let matching = candidates.iter().copied().filter(|it| condition(it));
    let matching: Vec<CandidateCost> = matching.collect();
    if matching.is_empty() {
        candidates.to_vec()
    } else {
        matching
    }
}

/// Server with its cost, without regard to prefixes.
#[derive(Clone, Copy, Debug)]
struct CandidateCost {
    server: ServerId,
    predicted: TimePrediction,
    /// Whether the response is expected to end after the deadline.
    is_late: bool,
    /// Cost of choosing the server, in seconds.
    cost: f64,
}

impl CandidateCost {
    fn choice(&self, reason: ChoiceReason) -> ServerChoice {
        ServerChoice {
            server: self.server,
            predicted: self.predicted,
            reason,
        }
    }
}
