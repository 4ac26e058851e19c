//! Available capacity: slots, expected waits, free slots and grants for other data centres.

use std::time::Duration;

use onyxfall_types::{CenterId, KindId, ModelId};

use super::RequestRouter;
use crate::center::ModelDigest;
use crate::moment::Moment;
use crate::server::ServerState;

/// Share of the free slots that a data centre withholds from its grants.
const GRANT_RESERVE: f64 = 0.1;

impl RequestRouter {
    /// Median slowness of a model's usable servers. A server's slowness is judged
    /// relative to it, since a queue in every server is no fault of one.
    pub(super) fn median_slowness(&self, now: Moment, model: ModelId) -> f64 {
        let servers = self.pools[model]
            .servers
            .iter()
            .map(|id| &self.servers[*id]);
        let mut all: Vec<f64> = servers
            .filter(|s| s.is_usable(now))
            .map(|s| s.slowness(now))
            .collect();
        all.sort_unstable_by(f64::total_cmp);
        all.get(all.len() / 2).copied().unwrap_or(1.0)
    }

    /// Slots that serve this VM's queue; a server slower than the median counts
    /// for less.
    pub(super) fn pool_slots(&self, now: Moment, model: ModelId) -> f64 {
        let median = self.median_slowness(now, model);
        let servers = self.pools[model]
            .servers
            .iter()
            .map(|id| &self.servers[*id]);
        let slots = |server: &ServerState| {
            server.allowance(now, self.members) / (server.slowness(now) / median).max(1.0)
        };
        servers
            .filter(|server| server.is_usable(now))
            .map(slots)
            .sum()
    }

    /// Expected wait in this VM's queue; `None` if no server is usable.
    pub(super) fn local_wait(
        &self,
        now: Moment,
        kind: KindId,
        deadline: Moment,
    ) -> Option<Duration> {
        let model = self.kind(kind).model;
        let slots = self.pool_slots(now, model);
        if slots <= 0.0 {
            return None;
        }
        let residual = self.estimates[kind].get().div_f64(slots.max(1.0));
        Some(self.pools[model].queue.expected_wait(kind, deadline, slots) + residual)
    }

    /// Time until the first backoff among a model's servers ends; `None` if no
    /// server that is not draining has a backoff.
    pub(super) fn backoff_left(&self, now: Moment, model: ModelId) -> Option<Duration> {
        let servers = self.pools[model].servers.iter();
        let servers = servers.map(|id| &self.servers[*id]);
        let ends = servers.filter(|server| !server.is_draining());
        let end = ends.filter_map(|server| server.backoff_end(now)).min()?;
        Some(end - now)
    }

    pub(super) fn free_slots(&self, now: Moment, model: ModelId) -> u32 {
        let pool = &self.pools[model];
        if !pool.queue.is_empty() || !pool.peer_work.is_empty() {
            return 0;
        }
        let median = self.median_slowness(now, model);
        let servers = pool.servers.iter().map(|id| &self.servers[*id]);
        let spare = |server: &ServerState| {
            let spare = (f64::from(server.slots()) - server.busy(now)).max(0.0);
            spare / (server.slowness(now) / median).max(1.0)
        };
        let free: f64 = servers
            .filter(|server| server.is_usable(now))
            .map(spare)
            .sum();
        let free = (free * (1.0 - GRANT_RESERVE)).floor();
        // A number of slots: not negative, far below 2^32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let free = free.max(0.0) as u32;
        free
    }

    pub(super) fn center_wait(&self, now: Moment, model: ModelId) -> Duration {
        let pool = &self.pools[model];
        let slots = self.pool_slots(now, model).max(1.0) * self.members as f64;
        (pool.queue.work() + pool.peer_work.values().sum::<Duration>()).div_f64(slots)
    }

    /// Digest of this data centre for another one.
    ///
    /// `recipients` counts the data centres among which a model's free slots are
    /// split; `from_remote` counts the requests that the other data centre has
    /// open here, over all entries.
    pub fn digest_for(
        &self,
        now: Moment,
        recipients: impl Fn(ModelId) -> usize,
        from_remote: impl Fn(ModelId) -> u32,
    ) -> Vec<ModelDigest> {
        self.bundle
            .models
            .keys()
            .filter(|model| !self.pools[*model].servers.is_empty())
            .map(|model| {
                let free = self.free_slots(now, model);
                let part = free / u32::try_from(recipients(model).max(1)).unwrap_or(u32::MAX);
                let grant = from_remote(model) + part;
                ModelDigest {
                    model,
                    free,
                    wait: self.center_wait(now, model),
                    grant,
                }
            })
            .collect()
    }

    /// Open requests of data centre `center` that this VM received.
    pub fn from_remote(&self, center: CenterId, model: ModelId) -> u32 {
        self.pools[model]
            .from_remote
            .get(&center)
            .copied()
            .unwrap_or(0)
    }

    /// Counts the start or end of a request received from another data centre.
    pub fn record_from_remote(&mut self, center: CenterId, model: ModelId, started: bool) {
        let count = self.pools[model].from_remote.entry(center).or_default();
        *count = if started {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
    }
}
