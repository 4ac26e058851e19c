//! Data model of a bundle: its declarations, with dense ids in place of names.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use onyxfall_types::{
    AdapterName, CenterId, CenterName, EntityMap, KindId, KindName, ModelId, ModelName, RegionId,
    RegionName, RequestRate, ServerId, ServerName, TeamId, TeamName,
};

/// Weights of the terms of the routing objective; none is negative.
///
/// All three terms are expressed in one unit, milliseconds of expected completion time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of the additional work that a choice causes (cold prefixes, transfers).
    pub cost: f64,
    /// Weight of the expected time to completion.
    pub tail: f64,
    /// Weight of serving a request outside its home region.
    pub away: f64,
}

/// A region; its data centres refer to it by id.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRegion {
    /// Name, unique in the bundle.
    pub name: RegionName,
}

/// A data centre of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCenter {
    /// Name, unique in the bundle.
    pub name: CenterName,
    /// Region that contains the data centre.
    pub region: RegionId,
}

/// Type of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerRole {
    /// An inference engine that serves models.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// A model, or a plain service; requests are routed to both in the same way.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedModel {
    /// Name, unique in the bundle.
    pub name: ModelName,
    /// Type of the servers that serve the model.
    pub role: ServerRole,
    /// Version that engines are instructed to load; empty for services.
    pub version: String,
    /// HTTP statuses with which its servers report that a request was not run.
    pub refusals: Vec<u16>,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelAdapter {
    /// Name, unique in the bundle.
    pub name: AdapterName,
    /// Base model of the adapter.
    pub model: ModelId,
    /// Version that engines are instructed to load.
    pub version: String,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Name, unique in the bundle.
    pub name: ServerName,
    /// Data centre that contains the server.
    pub center: CenterId,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Models, or plain services, that the server serves.
    pub models: Vec<ModelId>,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server checks the fencing token of an order.
    pub checks_token: bool,
}

/// Whether requests of a kind may be forwarded from where they arrived to another place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwayRule {
    /// Requests are served only where they arrived.
    Never,
    /// Requests may be served wherever the residency rule allows.
    Allowed,
}

impl FromStr for AwayRule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "never" => Ok(Self::Never),
            "allowed" => Ok(Self::Allowed),
            _ => Err("expected never or allowed".to_owned()),
        }
    }
}

/// Regions in which the data of a request kind may be processed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResidencyRule {
    /// Every region of the bundle.
    Anywhere,
    /// Only the home region that the caller specifies.
    Home,
    /// Only the listed regions.
    Regions(Vec<RegionId>),
}

/// A kind of request, with its routing and timing parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    /// Name, unique in the bundle.
    pub name: KindName,
    /// Model or plain service that serves requests of this kind.
    pub model: ModelId,
    /// Value of a completed request relative to other kinds.
    pub weight: f64,
    /// Whether a request of this kind may run more than once.
    pub repeatable: bool,
    /// Whether the response is streamed.
    pub streaming: bool,
    /// Maximum time from arrival to the last byte of the response.
    pub deadline: Duration,
    /// Service time on an idle server with a cold cache.
    pub service_time: Duration,
    /// Fraction of the service time that a cached prefix saves, 0 to 1.
    pub prefix_share: f64,
    /// Priority passed to engines; lower values run first.
    pub priority: u8,
    /// Whether requests of this kind may be forwarded.
    pub away: AwayRule,
    /// Regions in which its data may be processed.
    pub residency: ResidencyRule,
}

/// A team's rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimit {
    /// Name, unique in the bundle.
    pub name: TeamName,
    /// Sustained request rate, summed over all entry VMs of a data centre.
    pub rate: RequestRate,
    /// Maximum number of requests in a burst.
    pub burst: u32,
}

/// All declarations of a bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceBundle {
    /// Name of the deployment.
    pub name: String,
    /// Weights of the routing objective.
    pub objective: ObjectiveWeights,
    /// Round-trip time between data centres of one region, used until one is measured.
    pub center_rtt: Duration,
    /// Round-trip time between regions, used until one is measured.
    pub region_rtt: Duration,
    /// Regions.
    pub regions: EntityMap<RegionId, ServiceRegion>,
    /// Data centres.
    pub centers: EntityMap<CenterId, DataCenter>,
    /// Models and plain services.
    pub models: EntityMap<ModelId, ServedModel>,
    /// Adapters.
    pub adapters: EntityMap<onyxfall_types::AdapterId, ModelAdapter>,
    /// Backend servers.
    pub servers: EntityMap<ServerId, BackendServer>,
    /// Request kinds.
    pub kinds: EntityMap<KindId, RequestKind>,
    /// Teams with a rate limit.
    pub teams: EntityMap<TeamId, TeamLimit>,
    /// Ids by name; see [`NameIndex`].
    pub index: NameIndex,
}

/// Ids by name, for the tables that are large or looked up for each request.
///
/// Invariant: the index is built once the tables are complete. If two entries
/// have the same name, which the verifier reports as a fault, the index holds
/// the later one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NameIndex {
    servers: HashMap<ServerName, ServerId>,
    kinds: HashMap<KindName, KindId>,
    teams: HashMap<TeamName, TeamId>,
}

impl NameIndex {
    /// Builds the index; the tables must be complete.
    pub fn new(
        servers: &EntityMap<ServerId, BackendServer>,
        kinds: &EntityMap<KindId, RequestKind>,
        teams: &EntityMap<TeamId, TeamLimit>,
    ) -> Self {
        Self {
            servers: servers
                .iter()
                .map(|(id, server)| (server.name.clone(), id))
                .collect(),
            kinds: kinds
                .iter()
                .map(|(id, kind)| (kind.name.clone(), id))
                .collect(),
            teams: teams
                .iter()
                .map(|(id, team)| (team.name.clone(), id))
                .collect(),
        }
    }
}

impl ServiceBundle {
    /// Id of the region called `name`.
    pub fn region_id(&self, name: &str) -> Option<RegionId> {
        find_id(&self.regions, |region| region.name.as_str() == name)
    }

    /// Id of the data centre called `name`.
    pub fn center_id(&self, name: &str) -> Option<CenterId> {
        find_id(&self.centers, |center| center.name.as_str() == name)
    }

    /// Id of the model or plain service called `name`.
    pub fn model_id(&self, name: &str) -> Option<ModelId> {
        find_id(&self.models, |model| model.name.as_str() == name)
    }

    /// Id of the backend server called `name`.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.index.servers.get(name).copied()
    }

    /// Id of the request kind called `name`.
    pub fn kind_id(&self, name: &str) -> Option<KindId> {
        self.index.kinds.get(name).copied()
    }

    /// Id of the team called `name`.
    pub fn team_id(&self, name: &str) -> Option<TeamId> {
        self.index.teams.get(name).copied()
    }
}

fn find_id<K: onyxfall_types::EntityId, V>(
    map: &EntityMap<K, V>,
    matches: impl Fn(&V) -> bool,
) -> Option<K> {
    map.iter()
        .find(|(_, value)| matches(value))
        .map(|(id, _)| id)
}

impl fmt::Display for ServiceBundle {
    /// Writes a one-line summary for display.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} regions, {} data centres, {} servers, {} models, {} kinds, {} teams",
            self.name,
            self.regions.len(),
            self.centers.len(),
            self.servers.len(),
            self.models.len(),
            self.kinds.len(),
            self.teams.len(),
        )
    }
}
