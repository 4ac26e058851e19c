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

use crate::call::CallRequirements;
use crate::cold::is_cold_sender;
use crate::level::{draw_by_level, fill_level};
use crate::predict::TimePrediction;
use crate::switches::{ChoicePolicy, DecisionSwitch};
use crate::view::FleetView;

/// Part of the goal up to which a prefix's own server is kept: the time to read all
/// prompts there, one after the other. Reading a shared part once more elsewhere makes
/// everybody late in a rush. On 24 days of three sites 0.62, 0.9 and 1.2 of the goal
/// brought a mean worth of 0.689, 0.697 and 0.701, and 2.9, 2.4 and 2.2 % of worth
/// went to shared parts read again.
const OWNER_PART: f64 = 1.2;
/// Part of the goal up to which others' work is no reason to leave it, however long
/// the request's own prompt takes.
const IDLE_PART: f64 = 0.1;
/// Reading time that must be saved for a request to go to its prefix's own server.
/// Below, the reading is lost in what a prediction errs, and all requests of a kind
/// would be held to a few servers; mean worth is the same with and without (0.648
/// and 0.649 on 18 days of two sites).
const LEAST_SAVED: Duration = Duration::from_millis(10);
/// Servers in the order of hashing that are tried for a prefix before any other.
const PREFIX_SERVERS: usize = 3;
/// Part of an answer's whole time that counts like its first byte: a long answer is
/// better off where prompts are not being read, even if it begins later there. Mean
/// worth of nine days each of two sites rose by 0.005 with it, which is near the
/// noise; 2,202 instead of 2,275 tries met their caller's deadline on one of them.
const WHOLE_PART: f64 = 0.25;
/// Cost of a cold server, so that it gets work only when others are busy.
const COLD_COST: Duration = Duration::from_millis(150);
/// VMs that draw in the same stretch: if some of them have more to send than others, or
/// go, the rest still fills their servers.
const STRETCH_VMS: f64 = 16.0;
/// Spread of the random part that keeps VMs with the same view apart.
const JITTER: Duration = Duration::from_millis(2);

/// A server that a request could go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerChoice {
    /// The server.
    pub server: ServerId,
    /// Expected times.
    pub predicted: TimePrediction,
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
    /// It holds a copy of the run.
    Backup,
    /// The least is lost there if the request crashes its server.
    Alone,
    /// It was its turn, or chance; a baseline's choice.
    Baseline,
}

impl ChoiceReason {
    /// Word for logs.
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

/// What the region has for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LocalOption {
    /// A server with room.
    Free(ServerChoice),
    /// Servers that could run it are full.
    Full,
    /// Servers are cold or failing; one may be usable after a moment.
    Resting,
    /// No server that could run it takes anything from this VM before the moment.
    Held(Moment),
    /// There is no server here that may run it.
    None,
}

impl FleetView {
    /// The best server of this region for a request.
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

    /// The best of some servers of this region for a request.
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
        if let Some(end) = self.earliest_hold_end(now, &candidates) {
            return LocalOption::BackedOff(end);
        }
        let roomy: Vec<ServerId> = candidates
            .into_iter()
            .filter(|id| self.takes_now(now, *id) && self.has_room(*id, needs))
            .collect();
        if roomy.is_empty() {
            return LocalOption::Full;
        }
        let pool = self.usable(now, roomy);
        if let Some(choice) = self.baseline_choice(now, needs, &pool, rng) {
            return LocalOption::Free(choice);
        }
        let ranked = self.prefix_servers(needs, &pool, self.prefix_count(needs));
        let owner = ranked.first().copied();
        let quick = ranked
            .iter()
            .find_map(|id| self.quick_choice(now, *id, needs));
        if let Some(mut choice) = quick {
            choice.reason = if Some(choice.server) == owner {
                ChoiceReason::Owner
            } else {
                ChoiceReason::Successor
            };
            return LocalOption::Free(choice);
        }
        let owner = owner.or_else(|| self.prefix_servers(needs, &pool, 1).first().copied());
        let offers: Vec<ServerOffer> = pool
            .into_iter()
            .map(|id| self.offer(now, id, needs, rng))
            .collect();
        let Some(choice) = self.draw(now, needs, &offers, owner, rng) else {
            return LocalOption::Unavailable;
        };
        self.note_drawn(now, &needs.service);
        LocalOption::Free(choice)
    }

    /// The server of this region with the fewest requests, for one that may crash it.
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
        if let Some(end) = self.earliest_hold_end(now, &candidates) {
            return LocalOption::BackedOff(end);
        }
        let free = self.free_servers(now, needs);
        let free = free.filter(|id| !excluded.contains(id));
        let calmest = free.min_by_key(|id| self.server(*id).work().requests);
        calmest.map_or(LocalOption::Unavailable, |server| {
            LocalOption::Free(ServerChoice {
                server,
                predicted: self.predict(now, server, needs),
                reason: ChoiceReason::Alone,
            })
        })
    }

    /// Of servers with room, those that may have a request now.
    fn usable(&mut self, now: Moment, roomy: Vec<ServerId>) -> Vec<ServerId> {
        let awake: Vec<ServerId> = roomy
            .into_iter()
            .filter(|id| self.may_send_cold(now, *id))
            .collect();
        if !self.switches().is_on(DecisionSwitch::CircuitBreaker) {
            return awake;
        }
        let trusted: Vec<ServerId> = awake
            .iter()
            .copied()
            .filter(|id| self.is_trusted(now, *id))
            .collect();
        if trusted.is_empty() { awake } else { trusted }
    }

    /// Servers in the order of hashing that are tried for a prefix before any other.
    fn prefix_count(&self, needs: &CallRequirements) -> usize {
        let shared = needs.prompt.shared_tokens();
        let saved = self.prefill_time(&needs.service, shared);
        if saved < LEAST_SAVED || !self.switches().is_on(DecisionSwitch::PrefixOwner) {
            0
        } else if self.switches().is_on(DecisionSwitch::PrefixSpill) {
            PREFIX_SERVERS
        } else {
            1
        }
    }

    /// The choice of a policy that does not look at expected times.
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
            ChoicePolicy::RoundRobin => self.next_turn() % pool.len().max(1),
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
        self.near_servers(&needs.service)
            .filter(|id| !excluded.contains(id))
            .collect()
    }

    /// The region of the server that holds the request's shared prefix, by
    /// rendezvous hashing over the servers of every region that may run it. It
    /// ranks them as the choice within a region does, so that the VM there finds
    /// the same server.
    pub fn prefix_home(&self, needs: &CallRequirements) -> Option<&RegionName> {
        // Without a shared prefix there is no owner to look for.
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
        let name = &self.server(id).record.name;
        let is_sender =
            self.is_alone() || is_cold_sender(name, &self.place().vm, self.region_vms());
        is_sender && self.server_mut(id).cold_share().has_one(now)
    }

    /// The first `count` servers that rendezvous hashing gives the request's shared
    /// prefix. Each request asks, so only these are put in order.
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

    /// A server of the prefix, if it answers well within the goal.
    fn quick_choice(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallRequirements,
    ) -> Option<ServerChoice> {
        let server = self.server(id);
        let predicted = self.predict(now, id, needs);
        let is_idle = predicted.backlog <= needs.goal.mul_f64(IDLE_PART);
        let is_quick = (is_idle || predicted.loaded <= needs.goal.mul_f64(OWNER_PART))
            && !server.is_cold(now)
            && self.is_in_time(now, &predicted, needs);
        is_quick.then_some(ServerChoice {
            server: id,
            predicted,
            reason: ChoiceReason::Owner,
        })
    }

    /// The prefix's own server if it is busier than the others by less than reading the
    /// prefix anew costs; otherwise draws one of the servers that are not expected to be
    /// late, if there are any. The others are compared by the level that what all VMs
    /// send fills them to, and not by the least busy one, which would never be the owner:
    /// each request has another owner, so that owners fill evenly by themselves.
    fn draw(
        &self,
        now: Moment,
        needs: &CallRequirements,
        offers: &[ServerOffer],
        owner: Option<ServerId>,
        rng: &mut impl Rng,
    ) -> Option<ServerChoice> {
        let in_time: Vec<ServerOffer> = offers
            .iter()
            .copied()
            .filter(|offer| !offer.is_late)
            .collect();
        let offers = if in_time.is_empty() { offers } else { &in_time };
        let costs: Vec<f64> = offers.iter().map(|offer| offer.cost).collect();
        let work = self.work_of(needs, 0).as_secs_f64();
        let unknown = if self.switches().is_on(DecisionSwitch::LevelDraw) {
            self.unknown_requests(now, &needs.service)
        } else {
            0.0
        };
        let kept_up_to = fill_level(&costs, work * unknown) + self.reread_cost(needs).as_secs_f64();
        let of_owner = offers.iter().find(|offer| Some(offer.server) == owner);
        if let Some(offer) = of_owner.filter(|offer| offer.cost <= kept_up_to) {
            return Some(offer.choice(ChoiceReason::Owner));
        }
        let point = self.draw_point(rng);
        let index = draw_by_level(&costs, work * unknown, point)?;
        let drawn = offers.get(index)?;
        Some(drawn.choice(ChoiceReason::Earliest))
    }

    /// Where this VM draws among servers that are filled up evenly. VMs of a region draw
    /// in stretches side by side, so that each finds its connections again and all of
    /// them together fill the servers as chance would.
    fn draw_point(&self, rng: &mut impl Rng) -> f64 {
        let others = self.region_vms();
        let own = &self.place().vm;
        let rank = others.iter().filter(|vm| *vm < own).count();
        let vms = others.len() as f64 + 1.0;
        let stretch = (STRETCH_VMS / vms).min(1.0);
        (rank as f64 / vms + stretch * rng.random::<f64>()).fract()
    }

    /// What choosing another server than the prefix's own costs: it reads the prefix
    /// anew, and pushes others' prefixes out.
    fn reread_cost(&self, needs: &CallRequirements) -> Duration {
        let tokens = needs.prompt.shared_tokens();
        let priced = self.reprefill_penalty().mul_f64(tokens as f64 / 1000.0);
        self.prefill_time(&needs.service, tokens) + priced
    }

    fn offer(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallRequirements,
        rng: &mut impl Rng,
    ) -> ServerOffer {
        let predicted = self.predict(now, id, needs);
        let mut cost = if needs.engine.is_some() {
            predicted.loaded.max(predicted.whole.mul_f64(WHOLE_PART))
        } else {
            // Slots that are taken count before the first request has to wait.
            let taken = f64::from(self.server(id).work().requests);
            let alone = predicted.loaded.saturating_sub(predicted.backlog);
            alone + self.work_of(needs, 0).mul_f64(taken)
        };
        if self.server(id).is_cold(now) {
            cost += COLD_COST;
        }
        ServerOffer {
            server: id,
            predicted,
            is_late: !self.is_in_time(now, &predicted, needs),
            cost: cost.as_secs_f64() + rng.random::<f64>() * JITTER.as_secs_f64(),
        }
    }
}

/// A server without regard to prefixes, and what speaks against it.
#[derive(Clone, Copy, Debug)]
struct ServerOffer {
    server: ServerId,
    predicted: TimePrediction,
    /// The whole answer is expected after the caller has left.
    is_late: bool,
    /// Seconds that choosing it costs.
    cost: f64,
}

impl ServerOffer {
    fn choice(&self, reason: ChoiceReason) -> ServerChoice {
        ServerChoice {
            server: self.server,
            predicted: self.predicted,
            reason,
        }
    }
}
