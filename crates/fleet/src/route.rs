//! Active configuration: routes, services and limits.
//!
//! Invariant: the routes of a host are sorted by descending prefix length, so that the
//! first match is the longest.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use crate::home::HomeRegions;
use crate::team::TeamTable;
use onyxfall_types::{EntityMap, RegionName, RouteId, RouteName, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// Version of the configuration. Versions increase, not necessarily by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// At most once for each attempt of the caller.
    Once,
    /// Any number of times.
    Repeatable,
}

/// Form of a route's responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseShape {
    /// A single body.
    Whole,
    /// A stream of events.
    Stream {
        /// Maximum time between two events that still counts as on time.
        gap_goal: Duration,
        /// Whether another server may resume the stream after a given event.
        resumable: bool,
    },
}

/// Service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// Route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: RouteName,
    /// Host name in requests.
    pub host: String,
    /// Prefix of the matching request paths.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeat: RepeatRule,
    /// Form of the responses.
    pub shape: ResponseShape,
    /// Maximum time that a request may be processed.
    pub timeout: Duration,
    /// Time within which a response (the first event of a stream) is on time.
    pub goal: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that serve the route; never empty.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of servers that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Regions that may serve the route.
    pub homes: HomeRegions,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.repeat == RepeatRule::Repeatable
    }

    /// Longest pause between two events that is still on time; `None` without a stream.
    pub fn gap_goal(&self) -> Option<Duration> {
        match self.shape {
            ResponseShape::Whole => None,
            ResponseShape::Stream { gap_goal, .. } => Some(gap_goal),
        }
    }

    /// Whether another server may resume an interrupted stream.
    pub fn is_resumable(&self) -> bool {
        matches!(
            self.shape,
            ResponseShape::Stream {
                resumable: true,
                ..
            }
        )
    }

    /// Whether responses are streams of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.shape, ResponseShape::Stream { .. })
    }

    /// Selects the service for the request with this id. The same id always gives the
    /// same service.
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

/// Capacity of each model server of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of tokens that running requests and cached prefixes share.
    pub memory_tokens: u64,
    /// Memory of one token in bytes.
    pub token_bytes: u64,
    /// Whether the servers hold backups of each other's runs.
    pub keeps_backups: bool,
}

/// Set of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendService {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// How long a server stays cold under traffic after its start.
    pub cold_for: Duration,
    /// Path of the health check; empty if there is none.
    pub health_path: String,
    /// Number of requests per second that a cold server can take.
    pub cold_rate: f64,
    /// Capacity of model servers; none for plain services.
    pub engine: Option<EngineLimits>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head: usize,
    /// Maximum size of a body in bytes.
    pub max_body: usize,
    /// Longest time between the first byte of a request head and its end.
    pub head_time: Duration,
    /// Idle timeout of an open connection.
    pub idle: Duration,
}

/// One version of the configuration.
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
    /// Builds the lookup tables of a configuration.
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

    /// Adds the teams. With teams, requests of routes that are not public need a key.
    #[must_use]
    pub fn with_teams(mut self, teams: TeamTable) -> Self {
        self.teams = Some(teams);
        self
    }

    /// The teams; none if callers need no keys.
    pub fn teams(&self) -> Option<&TeamTable> {
        self.teams.as_ref()
    }

    /// Looks up a route by name.
    pub fn route(&self, name: &str) -> Option<&RouteRule> {
        self.by_name.get(name).map(|id| &self.routes[*id])
    }

    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&BackendService> {
        self.services.get(name)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &RouteRule> {
        self.routes.iter().map(|(_, rule)| rule)
    }

    /// All services.
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

    /// The regions that are listed as home by the most routes of a host; empty if no
    /// route lists any.
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

    /// Finds the route of a request: the one of the host with the longest prefix of the
    /// path.
    ///
    /// ```
    /// use onyxfall_fleet::{CallerLimits, ConfigVersion, RouteTable};
    /// let head_time = std::time::Duration::ZERO;
    /// let limits = CallerLimits { max_head: 1, max_body: 1, head_time, idle: head_time };
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
