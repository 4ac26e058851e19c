//! What a bundle declares, with dense ids in place of names.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use onyxfall_types::{
    AdapterName, CenterId, CenterName, EntityMap, KindId, KindName, ModelId, ModelName, RegionId,
    RegionName, RequestRate, ServerId, ServerName, TeamId, TeamName,
};

/// How much each measure counts when options are compared; none is negative.
///
/// All three turn into one unit, milliseconds of expected completion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of work that a choice adds (cold prefixes, transfers).
    pub cost: f64,
    /// Weight of expected time to completion.
    pub tail: f64,
    /// Weight of leaving the home region.
    pub away: f64,
}

/// A region and its data centres.
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
    /// Region that it stands in.
    pub region: RegionId,
}

/// What a backend server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// A model, or a plain service that is routed to like one.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedModel {
    /// Name, unique in the bundle.
    pub name: ModelName,
    /// What serves it.
    pub role: ServerRole,
    /// Version that engines are ordered to load; empty for services.
    pub version: String,
    /// HTTP statuses by which its servers say that a request was not run.
    pub refusals: Vec<u16>,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelAdapter {
    /// Name, unique in the bundle.
    pub name: AdapterName,
    /// Model that it adapts.
    pub model: ModelId,
    /// Version that engines are ordered to load.
    pub version: String,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Name, unique in the bundle.
    pub name: ServerName,
    /// Data centre that it stands in.
    pub center: CenterId,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Models (or the plain services) that it serves.
    pub models: Vec<ModelId>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it checks the fencing token of an order.
    pub checks_token: bool,
}

/// Whether requests of a kind may be served away from where they arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwayRule {
    /// Only where they arrived.
    Never,
    /// Anywhere that the residency limit allows.
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

/// Where the data of a kind may live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResidencyRule {
    /// In every region of the bundle.
    Anywhere,
    /// Only in the home region that the caller names.
    Home,
    /// In these regions.
    Regions(Vec<RegionId>),
}

/// A request kind.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    /// Name, unique in the bundle.
    pub name: KindName,
    /// Model or plain service that serves it.
    pub model: ModelId,
    /// How much a completed request counts.
    pub weight: f64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether the answer is streamed.
    pub streaming: bool,
    /// Time from arrival to the last byte.
    pub deadline: Duration,
    /// Service time on an idle server with a cold cache.
    pub service_time: Duration,
    /// Part of the service time that a cached prefix saves, 0 to 1.
    pub prefix_share: f64,
    /// Priority handed to engines; smaller runs first.
    pub priority: u8,
    /// Whether it may be served away.
    pub away: AwayRule,
    /// Where its data may live.
    pub residency: ResidencyRule,
}

/// A team's rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimit {
    /// Name, unique in the bundle.
    pub name: TeamName,
    /// Sustained rate over all entry VMs of a data centre.
    pub rate: RequestRate,
    /// Requests that may come at once.
    pub burst: u32,
}

/// Everything that one bundle declares.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceBundle {
    /// Name of the deployment.
    pub name: String,
    /// Weights of the deployment's measures.
    pub objective: ObjectiveWeights,
    /// Round trip between data centres of one region, until measured.
    pub center_rtt: Duration,
    /// Round trip between regions, until measured.
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
/// Invariant: built from the tables once they are complete; of two entries of
/// one name (a fault that the verifier reports) the later one is found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NameIndex {
    servers: HashMap<ServerName, ServerId>,
    kinds: HashMap<KindName, KindId>,
    teams: HashMap<TeamName, TeamId>,
}

impl NameIndex {
    /// Builds the index of complete tables.
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
        find(&self.regions, |region| region.name.as_str() == name)
    }

    /// Id of the data centre called `name`.
    pub fn center_id(&self, name: &str) -> Option<CenterId> {
        find(&self.centers, |center| center.name.as_str() == name)
    }

    /// Id of the model or plain service called `name`.
    pub fn model_id(&self, name: &str) -> Option<ModelId> {
        find(&self.models, |model| model.name.as_str() == name)
    }

    /// Id of the server called `name`.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.index.servers.get(name).copied()
    }

    /// Id of the kind called `name`.
    pub fn kind_id(&self, name: &str) -> Option<KindId> {
        self.index.kinds.get(name).copied()
    }

    /// Id of the team called `name`.
    pub fn team_id(&self, name: &str) -> Option<TeamId> {
        self.index.teams.get(name).copied()
    }
}

fn find<K: onyxfall_types::EntityId, V>(
    map: &EntityMap<K, V>,
    test: impl Fn(&V) -> bool,
) -> Option<K> {
    map.iter().find(|(_, value)| test(value)).map(|(id, _)| id)
}

impl fmt::Display for ServiceBundle {
    /// A one-line summary for people.
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
