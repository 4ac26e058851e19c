//! Migration of the router's state to a new bundle: servers and open attempts
//! are matched by name.

use std::collections::BTreeMap;
use std::sync::Arc;

use onyxfall_bundle::ServiceBundle;
use onyxfall_types::CenterId;

use super::{AttemptTarget, OpenAttempt, RequestRouter};
use crate::moment::Moment;
use crate::queue::WaitId;

impl RequestRouter {
    /// Migrates the state to a new bundle; returns the waiting requests, which must
    /// arrive again.
    pub fn rebundle(
        &mut self,
        now: Moment,
        bundle: &Arc<ServiceBundle>,
        center: CenterId,
    ) -> Vec<WaitId> {
        let mut next = Self::new(Arc::clone(bundle), center, self.settings.clone(), now);
        next.next_id = self.next_id;
        next.rng = self.rng.clone();
        next.counts = self.counts;
        next.drains = self.drains.clone();
        next.set_members(now, self.rank, self.members);
        for (id, server) in bundle.servers.iter() {
            let old = self.bundle.server_id(server.name.as_str());
            let same = old.filter(|old| self.bundle.servers[*old].address == server.address);
            if let Some(old) = same {
                next.servers[id] = self.servers[old].clone();
            }
            next.apply_drain(id);
        }
        next.open = self.map_open(bundle);
        for open in next.open.values() {
            if let AttemptTarget::Center(center) = open.target {
                next.centers.start(center, bundle.kinds[open.kind].model);
            }
        }
        let mut waiting = Vec::new();
        for (_, pool) in self.pools.iter_mut() {
            waiting.extend(pool.queue.drain().into_iter().map(|request| request.id));
        }
        *self = next;
        waiting
    }

    pub(super) fn map_open(&self, bundle: &ServiceBundle) -> BTreeMap<u64, OpenAttempt> {
        let mut mapped = BTreeMap::new();
        for (attempt, open) in &self.open {
            let kind = bundle.kind_id(self.bundle.kinds[open.kind].name.as_str());
            let target = match open.target {
                AttemptTarget::Server(id) => bundle
                    .server_id(self.bundle.servers[id].name.as_str())
                    .map(AttemptTarget::Server),
                AttemptTarget::Center(id) => bundle
                    .center_id(self.bundle.centers[id].name.as_str())
                    .map(AttemptTarget::Center),
            };
            if let (Some(kind), Some(target)) = (kind, target) {
                mapped.insert(
                    *attempt,
                    OpenAttempt {
                        target,
                        kind,
                        expected: open.expected,
                    },
                );
            }
        }
        mapped
    }
}
