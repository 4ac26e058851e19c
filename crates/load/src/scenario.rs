//! Scenarios, read from INI.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use onyxfall_settings::{FaultList, IniDocument, SettingsError};
use onyxfall_types::{KindName, RegionName, RequestRate};

/// Rate over time as a step function: from each moment on, a factor.
#[derive(Clone, Debug, PartialEq)]
pub struct RushShape {
    /// Steps by time.
    pub steps: Vec<RateStep>,
}

/// From a moment on, a factor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStep {
    /// Moment since the start.
    pub at: Duration,
    /// Factor on the kind's rate.
    pub factor: f64,
}

impl RushShape {
    /// The factor at a moment.
    ///
    /// ```
    /// use onyxfall_load::RushShape;
    /// use std::time::Duration;
    /// let shape: RushShape = "0:0.5 1000:2".parse().unwrap();
    /// assert_eq!(shape.factor(Duration::from_millis(1500)), 2.0);
    /// ```
    pub fn factor(&self, at: Duration) -> f64 {
        self.steps
            .iter()
            .rev()
            .find(|step| step.at <= at)
            .map_or(0.0, |step| step.factor)
    }

    /// The largest factor.
    pub fn peak(&self) -> f64 {
        self.steps
            .iter()
            .map(|step| step.factor)
            .fold(0.0, f64::max)
    }
}

impl FromStr for RushShape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || "expected MS:FACTOR pairs such as `0:0.4 20000:1.8`".to_owned();
        let mut steps = Vec::new();
        for pair in text.split_whitespace() {
            let (at, factor) = pair.split_once(':').ok_or_else(bad)?;
            let at = Duration::from_millis(at.parse().map_err(|_| bad())?);
            let factor: f64 = factor.parse().map_err(|_| bad())?;
            if !factor.is_finite() || factor < 0.0 {
                return Err(bad());
            }
            steps.push(RateStep { at, factor });
        }
        if steps.is_empty() || !steps.is_sorted_by_key(|step| step.at) {
            return Err(bad());
        }
        Ok(Self { steps })
    }
}

/// A region with the entries that its callers use.
#[derive(Clone, Debug)]
pub struct LoadRegion {
    /// Its name.
    pub name: RegionName,
    /// Its entries.
    pub entries: Vec<SocketAddr>,
    /// Admin ports of its entries, for control bytes.
    pub admins: Vec<SocketAddr>,
    /// Rate of its callers over time.
    pub rush: RushShape,
}

/// What a caller does when its request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRetry {
    /// Gives up.
    Never,
    /// Tries again after the advised pause, so many times.
    AfterPause(u32),
    /// Tries again at once, so many times.
    AtOnce(u32),
}

impl CallerRetry {
    /// Most tries after the first.
    pub fn limit(self) -> u32 {
        match self {
            Self::Never => 0,
            Self::AfterPause(limit) | Self::AtOnce(limit) => limit,
        }
    }
}

/// A request kind.
#[derive(Clone, Debug)]
pub struct LoadKind {
    /// Its name.
    pub name: KindName,
    /// Path to post to.
    pub path: String,
    /// Rate in each region at factor 1.
    pub rate: RequestRate,
    /// How much a completion counts.
    pub weight: f64,
    /// Tokens of an answer.
    pub tokens: u64,
    /// Distinct prompt prefixes.
    pub prefixes: u64,
    /// Whether it may run more than once, for the count of doubled runs.
    pub repeatable: bool,
    /// Whether to ask for a stream.
    pub stream: bool,
    /// Whether to name the caller's region as home.
    pub home: bool,
    /// Time within which a completion counts.
    pub deadline: Duration,
    /// What callers do when refused.
    pub retry: CallerRetry,
}

/// A fault to set while the load runs.
#[derive(Clone, Debug)]
pub struct LoadEvent {
    /// Name for the report.
    pub name: String,
    /// When.
    pub at: Duration,
    /// Address to post to.
    pub url: String,
    /// What to post.
    pub body: String,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct LoadScenario {
    /// Name for the report.
    pub name: String,
    /// Length of the load.
    pub duration: Duration,
    /// Part at the start that is not counted.
    pub warmup: Duration,
    /// Seed of arrivals.
    pub seed: u64,
    /// Regions.
    pub regions: Vec<LoadRegion>,
    /// Kinds.
    pub kinds: Vec<LoadKind>,
    /// Events by time.
    pub events: Vec<LoadEvent>,
    /// Stand-ins to ask for their counts at the end.
    pub counters: Vec<SocketAddr>,
}

/// Reads a scenario from a file.
///
/// # Errors
///
/// The file cannot be read or has faults; all are named.
pub fn load_scenario(path: &Path) -> Result<LoadScenario, SettingsError> {
    read_scenario(&IniDocument::load(path)?)
}

/// Reads a scenario from a text; `file` names it in faults.
///
/// # Errors
///
/// The text has faults; all are named.
pub fn parse_scenario(file: &str, text: &str) -> Result<LoadScenario, SettingsError> {
    read_scenario(&IniDocument::parse(file, text)?)
}

fn read_scenario(document: &IniDocument) -> Result<LoadScenario, SettingsError> {
    let mut faults = FaultList::new();
    document.check_headers(&["load", "region", "kind", "event"], &mut faults);
    let mut scenario = LoadScenario {
        name: String::new(),
        duration: Duration::from_secs(30),
        warmup: Duration::from_secs(3),
        seed: 1,
        regions: Vec::new(),
        kinds: Vec::new(),
        events: Vec::new(),
        counters: Vec::new(),
    };
    if let Some(reader) = document.single("load", &mut faults) {
        scenario.name = reader.required("name", &mut faults).unwrap_or_default();
        scenario.duration = reader.millis("duration-ms", scenario.duration, &mut faults);
        scenario.warmup = reader.millis("warmup-ms", scenario.warmup, &mut faults);
        scenario.seed = reader.or_default("seed", scenario.seed, &mut faults);
        scenario.counters = reader.list("counters", &mut faults);
        reader.finish(&mut faults);
    }
    read_regions(document, &mut scenario, &mut faults);
    read_kinds(document, &mut scenario, &mut faults);
    for reader in document.readers("event") {
        let name = reader.name(&mut faults).unwrap_or_default();
        let at = reader.millis("at-ms", Duration::ZERO, &mut faults);
        let url = reader.required("url", &mut faults).unwrap_or_default();
        let body = reader.or_default("body", "{}".to_owned(), &mut faults);
        reader.finish(&mut faults);
        scenario.events.push(LoadEvent {
            name,
            at,
            url,
            body,
        });
    }
    scenario.events.sort_by_key(|event| event.at);
    document.finish(faults)?;
    Ok(scenario)
}

fn read_regions(document: &IniDocument, scenario: &mut LoadScenario, faults: &mut FaultList) {
    for reader in document.readers("region") {
        let name = reader.name(faults);
        let entries: Vec<SocketAddr> = reader.list("entries", faults);
        if entries.is_empty() {
            reader.fault(
                "entries",
                "key `entries`: expected at least one address",
                faults,
            );
        }
        let admins = reader.list("admins", faults);
        let flat = RushShape {
            steps: vec![RateStep {
                at: Duration::ZERO,
                factor: 1.0,
            }],
        };
        let rush = reader.or_default("rush", flat, faults);
        reader.finish(faults);
        if let Some(name) = name {
            scenario.regions.push(LoadRegion {
                name,
                entries,
                admins,
                rush,
            });
        }
    }
}

fn read_kinds(document: &IniDocument, scenario: &mut LoadScenario, faults: &mut FaultList) {
    for reader in document.readers("kind") {
        let name = reader.name::<KindName>(faults);
        let path = reader.optional("path", faults);
        let rate = reader.required("rate", faults);
        let weight = reader.ranged("weight", 1.0, 0.001..=1_000_000.0, faults);
        let tokens = reader.or_default("tokens", 8, faults);
        let prefixes = reader.ranged("prefixes", 16, 1..=1_000_000, faults);
        let repeatable = reader.flag("repeatable", true, faults);
        let stream = reader.flag("stream", false, faults);
        let home = reader.flag("home", false, faults);
        let deadline = reader.millis("deadline-ms", Duration::from_secs(10), faults);
        let retries = reader.ranged("retries", 0, 0..=100, faults);
        let retry = match (retries, reader.flag("heeds-pause", true, faults)) {
            (0, _) => CallerRetry::Never,
            (limit, true) => CallerRetry::AfterPause(limit),
            (limit, false) => CallerRetry::AtOnce(limit),
        };
        reader.finish(faults);
        if let (Some(name), Some(rate)) = (name, rate) {
            let path = path.unwrap_or_else(|| format!("/v1/requests/{name}"));
            scenario.kinds.push(LoadKind {
                name,
                path,
                rate,
                weight,
                tokens,
                prefixes,
                repeatable,
                stream,
                home,
                deadline,
                retry,
            });
        }
    }
}
