//! The working set of servers.
//!
//! A region may have thousands of servers, and each VM sends few requests to any of
//! them. The servers of a service, region and version are therefore ordered by a hash
//! that is the same on every VM, and the region uses the first ones, as many as its
//! load requires. A VM keeps full state of these *working* servers. Of the others,
//! which are *dormant*, it keeps only the store entry until a server before them is
//! removed or drains.
//!
//! With fewer servers, shared parts of prompts are also prefilled on fewer of them, and
//! connections are reused. All servers of a pool of no more than [`MIN_WORKING`] are
//! working.
//!
//! Invariant: the cost of a choice, and the state kept beside the entries, do not grow
//! with the number of servers.

use std::collections::{BTreeMap, HashMap};

use onyxfall_policy::Moment;
use onyxfall_types::{RegionName, ServerId, ServerName, ServiceName, SoftwareVersion, stable_hash};

use crate::record::{ServerPhase, ServerRecord};

/// Minimum number of working servers of a pool. With it hundreds of VMs find a server
/// for each of their requests, and the loss of a data centre leaves half of them.
pub const MIN_WORKING: usize = 128;
/// Utilisation of slots above which the number of working servers is doubled, and below
/// which it is halved. They are far enough apart that the number does not oscillate.
const GROW_UTILISATION: f64 = 0.4;
const SHRINK_UTILISATION: f64 = 0.1;

/// Key of the pool of a service's servers in a region that run one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    pub(crate) service: ServiceName,
    pub(crate) region: RegionName,
    pub(crate) version: Option<SoftwareVersion>,
}

/// Index of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PoolId(u32);

/// Position of a server in the hash order of its pool.
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

/// Store entry of a server outside the working set.
#[derive(Clone, Debug)]
pub(crate) struct DormantServer {
    pub(crate) record: ServerRecord,
    /// When the entry was received.
    pub(crate) received_at: Moment,
}

/// Server of a pool.
#[derive(Clone, Debug)]
pub(crate) enum PoolServer {
    /// Full state is kept in [`crate::FleetView`].
    Working(ServerId),
    /// Only the store entry is kept.
    Dormant(Box<DormantServer>),
}

/// Servers of one pool.
#[derive(Clone, Debug)]
pub(crate) struct ServerPool {
    pub(crate) key: PoolKey,
    pub(crate) servers: BTreeMap<PoolPosition, PoolServer>,
    /// Target number of working servers that accept requests.
    pub(crate) working: usize,
    /// Requests per second that one of the servers can take while it is cold.
    pub(crate) cold_rate: f64,
    /// Last position of the working set; none if all servers are working.
    pub(crate) last: Option<PoolPosition>,
}

impl ServerPool {
    /// Adjusts the target number of working servers to the utilisation of their slots.
    /// Returns whether it has changed.
    pub(crate) fn resize(&mut self, utilisation: f64) -> bool {
        let before = self.working;
        if utilisation > GROW_UTILISATION && self.working < self.servers.len() {
            self.working *= 2;
        } else if utilisation < SHRINK_UTILISATION && self.working > MIN_WORKING {
            self.working /= 2;
        }
        self.working != before
    }

    /// Whether a change at a position can change the working set.
    pub(crate) fn is_in_working_range(&self, position: &PoolPosition) -> bool {
        self.last.as_ref().is_none_or(|last| position <= last)
    }
}

/// All pools, with indexes by key and by server name.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolTable {
    pools: Vec<ServerPool>,
    by_key: BTreeMap<PoolKey, PoolId>,
    by_name: HashMap<ServerName, PoolId>,
}

impl PoolTable {
    /// Returns the pool with a key, creating it if needed.
    pub(crate) fn id_of(&mut self, key: &PoolKey) -> PoolId {
        if let Some(id) = self.by_key.get(key) {
            return *id;
        }
        let id = PoolId(u32::try_from(self.pools.len()).unwrap_or(u32::MAX));
        self.by_key.insert(key.clone(), id);
        self.pools.push(ServerPool {
            key: key.clone(),
            servers: BTreeMap::new(),
            working: MIN_WORKING,
            cold_rate: 0.0,
            last: None,
        });
        id
    }

    /// Returns a pool.
    pub(crate) fn get(&self, id: PoolId) -> &ServerPool {
        &self.pools[id.0 as usize]
    }

    /// Returns a pool for modification.
    pub(crate) fn get_mut(&mut self, id: PoolId) -> &mut ServerPool {
        &mut self.pools[id.0 as usize]
    }

    /// Ids of all pools.
    pub(crate) fn ids(&self) -> impl Iterator<Item = PoolId> + use<> {
        (0..u32::try_from(self.pools.len()).unwrap_or(u32::MAX)).map(PoolId)
    }

    /// All pools.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ServerPool> {
        self.pools.iter()
    }

    /// Pools of a service.
    pub(crate) fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &ServerPool> {
        let pools = self.pools.iter();
        pools.filter(move |pool| pool.key.service == *service)
    }

    /// Whether a server has an entry.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.by_name.contains_key(name)
    }

    /// Pool of a server.
    pub(crate) fn pool_of(&self, name: &str) -> Option<PoolId> {
        self.by_name.get(name).copied()
    }

    /// Entry of a server in its pool.
    pub(crate) fn entry_mut(&mut self, name: &ServerName) -> Option<&mut PoolServer> {
        let id = self.pool_of(name.as_str())?;
        let position = PoolPosition::new(name);
        self.get_mut(id).servers.get_mut(&position)
    }

    /// Adds a dormant server and returns its position.
    pub(crate) fn add(&mut self, id: PoolId, server: DormantServer) -> PoolPosition {
        let name = server.record.name.clone();
        let position = PoolPosition::new(&name);
        let pool = self.get_mut(id);
        let server = PoolServer::Dormant(Box::new(server));
        pool.servers.insert(position.clone(), server);
        self.by_name.insert(name, id);
        position
    }

    /// Removes a server; returns its pool, position and state.
    pub(crate) fn remove(&mut self, name: &str) -> Option<(PoolId, PoolPosition, PoolServer)> {
        let (name, id) = self.by_name.remove_entry(name)?;
        let position = PoolPosition::new(&name);
        let server = self.get_mut(id).servers.remove(&position)?;
        Some((id, position, server))
    }
}

impl DormantServer {
    /// Applies a newer entry of the same instance. The time for which a server stays
    /// cold counts from the entry that reports it.
    pub(crate) fn update(&mut self, now: Moment, record: ServerRecord) {
        if !record.cold_left.is_zero() {
            self.received_at = now;
        }
        self.record = record;
    }

    /// Whether the entry allows new requests.
    pub(crate) fn takes_work(&self) -> bool {
        self.record.phase == ServerPhase::Ready
    }
}
