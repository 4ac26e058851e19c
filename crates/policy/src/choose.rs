//! Choice of a backend server within the data centre.
//!
//! A few candidates are scored by expected time to completion: the prefix's
//! rendezvous choices and some drawn at random. Random candidates keep several
//! entries with the same lagging reports from all choosing the same server. When
//! no candidate has room, all servers of the model are scored.

use std::time::Duration;

use onyxfall_types::{EntityId, EntityMap, ServerId};
use rand::Rng;

use crate::moment::Moment;
use crate::prefix::{PrefixKey, PrefixTable};
use crate::server::ServerState;

/// Pools up to this size are scored completely.
const SMALL_POOL: usize = 6;
const RANDOM_CANDIDATES: usize = 4;
const PREFIX_CANDIDATES: usize = 2;

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerChoice {
    /// The server.
    pub server: ServerId,
    /// Expected service time on the server, less expected cache hits.
    pub service: Duration,
    /// Expected time to completion, with the wait in the server.
    pub expected: Duration,
}

/// Inputs of a choice.
pub(crate) struct ChooseContext<'a> {
    pub(crate) now: Moment,
    pub(crate) pool: &'a [ServerId],
    pub(crate) servers: &'a EntityMap<ServerId, ServerState>,
    pub(crate) prefixes: &'a PrefixTable,
    pub(crate) members: usize,
    pub(crate) excluded: &'a [ServerId],
    /// Whether the request may queue in a server, which schedules by priority.
    pub(crate) eager: bool,
    pub(crate) prefix: Option<PrefixKey>,
    pub(crate) service: Duration,
    pub(crate) prefix_share: f64,
    pub(crate) cost_weight: f64,
}

/// Rank of a server for a prefix; the server with the highest rank is the
/// prefix's rendezvous choice.
///
/// ```
/// use onyxfall_policy::{PrefixKey, rendezvous_rank};
/// use onyxfall_types::{EntityId, ServerId};
/// let server = ServerId::from_index(3);
/// assert_eq!(rendezvous_rank(PrefixKey(1), server), rendezvous_rank(PrefixKey(1), server));
/// ```
pub fn rendezvous_rank(prefix: PrefixKey, server: ServerId) -> u64 {
    // The finalizer of SplitMix64: a full mix of both inputs in a few cycles.
    let mut x = prefix.0 ^ (server.index() as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl ChooseContext<'_> {
    /// The best server with room; `None` if no server has any.
    pub(crate) fn choose(&self, rng: &mut impl Rng) -> Option<ServerChoice> {
        if self.pool.len() <= SMALL_POOL {
            return self.best(self.pool.iter().copied(), rng);
        }
        let mut candidates = self.prefix_candidates();
        for _ in 0..RANDOM_CANDIDATES {
            candidates.push(self.pool[rng.random_range(0..self.pool.len())]);
        }
        self.best(candidates.into_iter(), rng)
            .or_else(|| self.best(self.pool.iter().copied(), rng))
    }

    fn prefix_candidates(&self) -> Vec<ServerId> {
        let Some(prefix) = self.prefix else {
            return Vec::new();
        };
        let mut top: Vec<(u64, ServerId)> = Vec::with_capacity(PREFIX_CANDIDATES + 1);
        for server in self.pool {
            top.push((rendezvous_rank(prefix, *server), *server));
            top.sort_unstable_by(|a, b| b.cmp(a));
            top.truncate(PREFIX_CANDIDATES);
        }
        top.into_iter().map(|(_, server)| server).collect()
    }

    fn best(
        &self,
        candidates: impl Iterator<Item = ServerId>,
        rng: &mut impl Rng,
    ) -> Option<ServerChoice> {
        candidates
            .filter(|server| !self.excluded.contains(server))
            .filter(|server| self.servers[*server].has_room(self.now, self.members, self.eager))
            .map(|server| (self.score(server), rng.random::<u32>(), server))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, _, server)| self.choice(server))
    }

    /// Score in seconds: expected time to completion plus weighted service time,
    /// which is longer for a cold prefix. Lower is better.
    fn score(&self, server: ServerId) -> f64 {
        let choice = self.choice(server);
        choice.expected.as_secs_f64() + self.cost_weight * choice.service.as_secs_f64()
    }

    fn choice(&self, server: ServerId) -> ServerChoice {
        let state = &self.servers[server];
        let hit = self.prefix.map_or(0.0, |prefix| {
            self.prefixes.hit_chance(prefix, server, self.now)
        });
        let service = self.service.mul_f64(1.0 - hit * self.prefix_share);
        ServerChoice {
            server,
            service,
            expected: state.expected(self.now, service),
        }
    }
}
