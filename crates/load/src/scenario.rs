//! Load scenarios, parsed from INI.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use onyxfall_settings::{FaultList, IniDocument, SettingsError};
use onyxfall_types::{KindName, RegionName, RequestRate};

/// Rate over time, as a step function of factors.
#[derive(Clone, Debug, PartialEq)]
pub struct RateShape {
    /// Steps in order of time.
    pub steps: Vec<RateStep>,
}

/// A factor that applies from a moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateStep {
    /// Start of the step, from the start of the load.
    pub at: Duration,
    /// Factor by which the kind's rate is multiplied.
    pub factor: f64,
}

impl RateShape {
    /// The factor at the time `at`.
    ///
    /// ```
    /// use onyxfall_load::RateShape;
    /// use std::time::Duration;
    /// let shape: RateShape = "0:0.5 1000:2".parse().unwrap();
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

impl FromStr for RateShape {
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

/// A region and the entries that its callers use.
#[derive(Clone, Debug)]
pub struct LoadRegion {
    /// Name of the region.
    pub name: RegionName,
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses of the entries, for their metrics.
    pub admins: Vec<SocketAddr>,
    /// Factor of the callers' rate over time.
    pub rate_shape: RateShape,
}

/// How a caller retries a rejected or lost request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRetry {
    /// Does not retry.
    Never,
    /// Retries up to this many times, after the delay in `retry-after`.
    AfterPause(u32),
    /// Retries up to this many times, without a delay.
    AtOnce(u32),
}

impl CallerRetry {
    /// Largest number of retries.
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
    /// Path of the requests.
    pub path: String,
    /// Rate in each region at factor 1.
    pub rate: RequestRate,
    /// Weight of a completion.
    pub weight: f64,
    /// Number of tokens in a response.
    pub tokens: u64,
    /// Number of distinct prompt prefixes.
    pub prefixes: u64,
    /// Whether a request may run more than once; such requests are not counted as doubled.
    pub repeatable: bool,
    /// Whether requests ask for a stream.
    pub stream: bool,
    /// Whether requests name the caller's region as home.
    pub home: bool,
    /// Deadline of a request; later completions are not counted.
    pub deadline: Duration,
    /// How callers retry.
    pub retry: CallerRetry,
}

/// A fault to set while the load runs.
#[derive(Clone, Debug)]
pub struct LoadEvent {
    /// Name for the report.
    pub name: String,
    /// Time of the event, from the start of the load.
    pub at: Duration,
    /// URL to post to.
    pub url: String,
    /// Body to post.
    pub body: String,
}

/// A load scenario.
#[derive(Clone, Debug)]
pub struct LoadScenario {
    /// Name for the report.
    pub name: String,
    /// Duration of the load.
    pub duration: Duration,
    /// Duration of the warm-up at the start, which is not measured.
    pub warmup: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Regions.
    pub regions: Vec<LoadRegion>,
    /// Kinds.
    pub kinds: Vec<LoadKind>,
    /// Events in order of time.
    pub events: Vec<LoadEvent>,
    /// Addresses of the stubs whose counts are read.
    pub counters: Vec<SocketAddr>,
}

/// Loads a scenario from a file.
///
/// # Errors
///
/// The file cannot be read or has faults; the error lists all of them.
pub fn load_scenario(path: &Path) -> Result<LoadScenario, SettingsError> {
    read_scenario(&IniDocument::load(path)?)
}

/// Parses a scenario; `file` is the name used in faults.
///
/// # Errors
///
/// The text has faults; the error lists all of them.
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
        let flat = RateShape {
            steps: vec![RateStep {
                at: Duration::ZERO,
                factor: 1.0,
            }],
        };
        let rate_shape = reader.or_default("rush", flat, faults);
        reader.finish(faults);
        if let Some(name) = name {
            scenario.regions.push(LoadRegion {
                name,
                entries,
                admins,
                rate_shape,
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
