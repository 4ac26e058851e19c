//! Which servers this VM works with.
//!
//! A region may have thousands of servers, and a VM sends each of them next to nothing. So
//! the servers of a service, region and version stand in one order, by hashing, which is
//! the same on every VM, and the region works with the first ones: as many as what it has
//! to do needs. Of those a VM keeps all that it knows and learns. Of the others, which are
//! *dormant*, it keeps the entry alone, until one before them goes or leaves.
//!
//! Fewer servers also mean that shared parts of prompts are read on fewer of them, and that
//! connections are used again. A pool of no more than [`LEAST_WORKING`] works whole.
//!
//! Invariant: what a choice costs, and what is kept beside an entry, does not grow with
//! the number of servers.

use std::collections::{BTreeMap, HashMap};

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServerId, ServerName, ServiceName, SoftwareVersion, stable_hash};

use crate::record::{ServerPhase, ServerRecord};

/// Servers of a pool that are worked with in any case: hundreds of VMs find one for each
/// of their requests, and the loss of a data centre leaves half of them.
pub const LEAST_WORKING: usize = 128;
/// Part of their places taken from which twice as many are worked with, and part below
/// which half as many: far enough apart that the number does not swing.
const GROW_PART: f64 = 0.4;
const SHRINK_PART: f64 = 0.1;

/// The servers of a service in a region that run one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    pub(crate) service: ServiceName,
    pub(crate) region: RegionName,
    pub(crate) version: Option<SoftwareVersion>,
}

/// Number of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolId(u32);

/// A server's place in the order of its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolPosition {
    rank: u64,
    pub(crate) name: ServerName,
}

impl PoolPosition {
    fn new(name: &ServerName) -> Self {
        Self {
            rank: stable_hash(&["pool", name.as_str()]),
            name: name.clone(),
        }
    }
}

/// The entry of a server that this VM does not work with.
#[derive(Clone, Debug)]
pub(crate) struct DormantServer {
    pub(crate) record: ServerRecord,
    /// When the entry was seen.
    pub(crate) seen: Moment,
}

/// A server of a pool.
#[derive(Clone, Debug)]
pub(crate) enum PoolServer {
    /// All is kept of it.
    Working(ServerId),
    /// Its entry is kept.
    Dormant(Box<DormantServer>),
}

/// A pool.
#[derive(Clone, Debug)]
pub(crate) struct ServerPool {
    pub(crate) key: PoolKey,
    pub(crate) servers: BTreeMap<PoolPosition, PoolServer>,
    /// How many that take work are worked with.
    pub(crate) working: usize,
    /// Requests a second that one of them bears while it is cold.
    pub(crate) cold_rate: f64,
    /// The last place that is worked with; none if all are.
    pub(crate) last: Option<PoolPosition>,
}

impl ServerPool {
    /// Changes how many servers are worked with by the part of their places that is
    /// taken; whether that has changed.
    pub(crate) fn resize(&mut self, taken: f64) -> bool {
        let before = self.working;
        if taken > GROW_PART && self.working < self.servers.len() {
            self.working *= 2;
        } else if taken < SHRINK_PART && self.working > LEAST_WORKING {
            self.working /= 2;
        }
        self.working != before
    }

    /// Whether a change at a place can change which servers are worked with.
    pub(crate) fn is_within(&self, place: &PoolPosition) -> bool {
        self.last.as_ref().is_none_or(|last| place <= last)
    }
}

/// The pools, and the pool of every server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolTable {
    pools: Vec<ServerPool>,
    by_key: BTreeMap<PoolKey, PoolId>,
    by_name: HashMap<ServerName, PoolId>,
}

impl PoolTable {
    /// The pool with a key.
    pub(crate) fn id_of(&mut self, key: &PoolKey) -> PoolId {
        if let Some(id) = self.by_key.get(key) {
            return *id;
        }
        let id = PoolId(u32::try_from(self.pools.len()).unwrap_or(u32::MAX));
        self.by_key.insert(key.clone(), id);
        self.pools.push(ServerPool {
            key: key.clone(),
            servers: BTreeMap::new(),
            working: LEAST_WORKING,
            cold_rate: 0.0,
            last: None,
        });
        id
    }

    /// A pool.
    pub(crate) fn get(&self, id: PoolId) -> &ServerPool {
        &self.pools[id.0 as usize]
    }

    /// A pool, to change it.
    pub(crate) fn get_mut(&mut self, id: PoolId) -> &mut ServerPool {
        &mut self.pools[id.0 as usize]
    }

    /// Every pool.
    pub(crate) fn ids(&self) -> impl Iterator<Item = PoolId> + use<> {
        (0..u32::try_from(self.pools.len()).unwrap_or(u32::MAX)).map(PoolId)
    }

    /// The pools of a service.
    pub(crate) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &ServerPool> {
        let pools = self.pools.iter();
        pools.filter(move |pool| pool.key.service == *service)
    }

    /// Whether a server has an entry.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// The pool of a server.
    pub(crate) fn pool_of(&self, name: &str) -> Option<PoolId> {
        self.by_name.get(name).copied()
    }

    /// A server's entry in its pool.
    pub(crate) fn entry_mut(&mut self, name: &ServerName) -> Option<&mut PoolServer> {
        let id = self.pool_of(name.as_str())?;
        let place = PoolPosition::new(name);
        self.get_mut(id).servers.get_mut(&place)
    }

    /// Adds a server whose entry was seen; its place.
    pub(crate) fn add(&mut self, id: PoolId, server: DormantServer) -> PoolPosition {
        let name = server.record.name.clone();
        let place = PoolPosition::new(&name);
        let pool = self.get_mut(id);
        let server = PoolServer::Dormant(Box::new(server));
        pool.servers.insert(place.clone(), server);
        self.by_name.insert(name, id);
        place
    }

    /// Takes a server out; its pool, its place and what was kept of it.
    pub(crate) fn remove(&mut self, name: &str) -> Option<(PoolId, PoolPosition, PoolServer)> {
        let (name, id) = self.by_name.remove_entry(name)?;
        let place = PoolPosition::new(&name);
        let server = self.get_mut(id).servers.remove(&place)?;
        Some((id, place, server))
    }
}

impl DormantServer {
    /// Takes a newer entry of the same life. The time that a server stays cold counts from
    /// the entry that tells it.
    pub(crate) fn update(&mut self, now: Moment, record: ServerRecord) {
        if !record.cold_left.is_zero() {
            self.seen = now;
        }
        self.record = record;
    }

    /// Whether its entry lets it have work.
    pub(crate) fn takes_work(&self) -> bool {
        self.record.phase == ServerPhase::Ready
    }
}
