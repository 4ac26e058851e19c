//! The configuration in force: routes, services and limits.
//!
//! Invariant: the routes of a host are ordered by the length of their prefix,
//! longest first, so that the first match is the right one.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use crate::home::HomeRegions;
use crate::team::TeamTable;
use onyxfall_types::{EntityMap, RegionName, RouteId, RouteName, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// Version of the configuration; versions rise in uneven steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// At most once for each attempt of the caller.
    Once,
    /// Any number of times.
    Repeatable,
}

/// What an answer of a route looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseShape {
    /// One body.
    Whole,
    /// A series of events.
    Stream {
        /// Longest pause between two events that still counts as in time.
        gap_goal: Duration,
        /// Whether another server may go on after a given event.
        resumable: bool,
    },
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share relative to the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Its name.
    pub name: RouteName,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that it takes.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// What answers look like.
    pub shape: ResponseShape,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) is in time.
    pub goal: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Where requests go; never empty.
    pub targets: Vec<RouteTarget>,
    /// Most servers that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Regions that may serve it.
    pub homes: HomeRegions,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == RepeatRule::Repeatable
    }

    /// Whether another server may go on with a broken stream.
    pub fn is_resumable(&self) -> bool {
        matches!(
            self.shape,
            ResponseShape::Stream {
                resumable: true,
                ..
            }
        )
    }

    /// Whether answers are series of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.shape, ResponseShape::Stream { .. })
    }

    /// The service for the request with this id; the same one each time.
    pub fn service_for(&self, request_id: &str) -> &ServiceName {
        debug_assert!(!self.targets.is_empty(), "a route leads nowhere");
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut point = xxh3_64(request_id.as_bytes()) % total.max(1);
        for target in &self.targets {
            if point < u64::from(target.weight) {
                return &target.service;
            }
            point -= u64::from(target.weight);
        }
        &self.targets[0].service
    }
}

/// What the model servers of a service can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that running requests and cached prefixes share.
    pub memory_tokens: u64,
    /// Bytes of memory of one token.
    pub token_bytes: u64,
    /// Whether its servers take copies of each other's runs.
    pub keeps_backups: bool,
}

/// A set of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendService {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// How long a server stays cold after a start under traffic.
    pub cold_for: Duration,
    /// Requests a second that a cold server bears.
    pub cold_rate: f64,
    /// Limits of model servers; none for plain services.
    pub engine: Option<EngineLimits>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub max_head: usize,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Longest rest of an open connection.
    pub idle: Duration,
}

/// The configuration of one version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    routes: EntityMap<RouteId, RouteRule>,
    services: BTreeMap<ServiceName, BackendService>,
    limits: CallerLimits,
    by_host: HashMap<String, Vec<RouteId>>,
    by_name: HashMap<RouteName, RouteId>,
    teams: Option<TeamTable>,
}

impl RouteTable {
    /// Orders the routes of a configuration.
    pub fn new(
        version: ConfigVersion,
        rules: Vec<RouteRule>,
        services: Vec<BackendService>,
        limits: CallerLimits,
    ) -> Self {
        let routes: EntityMap<RouteId, RouteRule> = rules.into_iter().collect();
        let mut by_host: HashMap<String, Vec<RouteId>> = HashMap::new();
        let mut by_name: HashMap<RouteName, RouteId> = HashMap::new();
        for (id, rule) in routes.iter() {
            by_name.insert(rule.name.clone(), id);
            by_host.entry(rule.host.clone()).or_default().push(id);
        }
        for ids in by_host.values_mut() {
            ids.sort_by_key(|id| std::cmp::Reverse(routes[*id].path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Self {
            version,
            routes,
            services,
            limits,
            by_host,
            by_name,
            teams: None,
        }
    }

    /// Adds the teams: requests of routes that are not public need a key from now on.
    #[must_use]
    pub fn with_teams(mut self, teams: TeamTable) -> Self {
        self.teams = Some(teams);
        self
    }

    /// The teams; none if callers need no keys.
    pub fn teams(&self) -> Option<&TeamTable> {
        self.teams.as_ref()
    }

    /// A route by name.
    pub fn route(&self, name: &str) -> Option<&RouteRule> {
        self.by_name.get(name).map(|id| &self.routes[*id])
    }

    /// Its version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&BackendService> {
        self.services.get(name)
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &RouteRule> {
        self.routes.iter().map(|(_, rule)| rule)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &BackendService> {
        self.services.values()
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Regions that are a home for most of a host's bound routes; empty if no
    /// route has homes.
    pub fn homes_of_host(&self, host: &str) -> Vec<RegionName> {
        let ids = self.by_host.get(host).map_or(&[][..], Vec::as_slice);
        let mut counts: BTreeMap<&RegionName, usize> = BTreeMap::new();
        for region in ids.iter().flat_map(|id| self.routes[*id].homes.named()) {
            *counts.entry(region).or_default() += 1;
        }
        let most = counts.values().copied().max().unwrap_or(0);
        counts
            .into_iter()
            .filter(|(_, count)| *count == most)
            .map(|(region, _)| region.clone())
            .collect()
    }

    /// The route of a request: the longest prefix of the host that begins the path.
    ///
    /// ```
    /// use onyxfall_fleet::{CallerLimits, ConfigVersion, RouteTable};
    /// let limits = CallerLimits { max_head: 1, max_body: 1, idle: std::time::Duration::ZERO };
    /// let table = RouteTable::new(ConfigVersion(1), Vec::new(), Vec::new(), limits);
    /// assert!(table.find("a.example", "/a/").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.by_host
            .get(host)?
            .iter()
            .map(|id| &self.routes[*id])
            .find(|rule| path.starts_with(&rule.path_prefix))
    }
}
