//! Settings of a gateway process, read from INI and checked on load.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use onyxfall_fleet::{
    BudgetLimits, ChoicePolicy, DecisionSwitch, DecisionSwitches, QuotaSettings, REPREFILL_PENALTY,
    VmLocation,
};
use onyxfall_overlay::VmCapacity;
use onyxfall_settings::{FaultList, IniDocument, SettingsError};
use onyxfall_types::{CenterName, RegionName, VmName};

const SECTION_KINDS: &[&str] = &[
    "vm",
    "listen",
    "peers",
    "store",
    "bounds",
    "center",
    "quotas",
    "decisions",
    "costs",
    "clock",
];
/// Where settings name no grace, as long as the platforms known give.
const DEFAULT_GRACE_S: u64 = 8;
/// Where settings name no cost of a copied GB: one request, so that a run of 20 MB is
/// copied when 2 in 100 of its kind are being lost.
const DEFAULT_COPIED_GB: f64 = 1.0;

/// Windows in seconds over which limits of teams can be held.
const QUOTA_WINDOW_S: RangeInclusive<f64> = 0.1..=3600.0;
/// Longest delay that can be accepted for 1,000 tokens: an hour.
const MOST_REREAD_MS: f64 = 3_600_000.0;

/// What costs are weighed against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CostSettings {
    /// What copying a GB of a run's memory to another server costs, in requests that
    /// may not be repeated and are lost.
    pub(crate) copied_gb: f64,
    /// Delay that is accepted for 1,000 tokens of a shared part that need not be read
    /// again.
    pub(crate) reprefill_penalty: Duration,
}

impl Default for CostSettings {
    fn default() -> Self {
        Self {
            copied_gb: DEFAULT_COPIED_GB,
            reprefill_penalty: REPREFILL_PENALTY,
        }
    }
}

/// Everything that a gateway process is told.
#[derive(Clone, Debug)]
pub(crate) struct GatewaySettings {
    /// Where this VM stands.
    pub(crate) place: VmLocation,
    /// Processor of this VM; larger ones have duties first.
    pub(crate) capacity: VmCapacity,
    /// Address that this VM's own connections come from; none if the system picks one.
    pub(crate) source: Option<IpAddr>,
    /// Where callers are served.
    pub(crate) callers: SocketAddr,
    /// Where readiness and metrics are told.
    pub(crate) ready: SocketAddr,
    /// Where the directory is served.
    pub(crate) directory: SocketAddr,
    /// Where other VMs send heartbeats.
    pub(crate) peers: SocketAddr,
    /// Where other VMs pass requests on.
    pub(crate) relay: SocketAddr,
    /// Peer addresses to begin with; may be down or stale.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub(crate) store: SocketAddr,
    /// Time between the order to stop and the kill.
    pub(crate) stop_grace: Duration,
    /// Retry budget of each service.
    pub(crate) retries: BudgetLimits,
    /// How long callers may keep a directory answer.
    pub(crate) directory_ttl: Duration,
    /// What costs are weighed against.
    pub(crate) costs: CostSettings,
    /// How exactly teams are held to their limits.
    pub(crate) quotas: QuotaSettings,
    /// How far the clock is moved on, for tests.
    pub(crate) ahead: Duration,
    /// Which mechanisms of the decisions are on.
    pub(crate) switches: DecisionSwitches,
}

/// Loads and checks a settings file.
pub(crate) fn load_settings(path: &Path) -> Result<GatewaySettings, SettingsError> {
    let document = IniDocument::load(path)?;
    let mut faults = FaultList::new();
    document.check_headers(SECTION_KINDS, &mut faults);
    let read = read_sections(&document, &mut faults);
    document.finish(faults)?;
    read.ok_or_else(|| {
        let cause = io::Error::other("a section is missing");
        SettingsError::unreadable(document.file(), &cause)
    })
}

fn read_sections(document: &IniDocument, faults: &mut FaultList) -> Option<GatewaySettings> {
    let vm = read_vm(document, faults);
    let listen = document.single("listen", faults)?;
    let callers = listen.required("callers", faults);
    let ready = listen.required("ready", faults);
    let directory = listen.required("directory", faults);
    let peers: Option<SocketAddr> = listen.required("peers", faults);
    let ports: Vec<u16> = listen.list("peer-ports", faults);
    if ports.is_empty() {
        listen.fault("peer-ports", "expected a range, such as 7660,7675", faults);
    }
    listen.finish(faults);
    let seeds_section = document.single("peers", faults)?;
    let seeds = seeds_section.list("seeds", faults);
    seeds_section.finish(faults);
    let store_section = document.single("store", faults)?;
    let store = store_section.required("address", faults);
    store_section.finish(faults);
    let bounds = document.single("bounds", faults)?;
    let stop_grace =
        Duration::from_secs(bounds.or_default("stop-grace-s", DEFAULT_GRACE_S, faults));
    let retries = BudgetLimits {
        ratio: bounds.or_default("retry-ratio", 0.1, faults),
        extra: bounds.or_default("retry-extra", 0.0, faults),
        window: Duration::from_secs(bounds.or_default("retry-window-s", 10, faults)),
    };
    let directory_ttl = Duration::from_secs(bounds.or_default("directory-ttl-s", 5, faults));
    bounds.finish(faults);
    let ahead = read_clock(document, faults);
    let switches = read_switches(document, faults);
    let costs = read_costs(document, faults);
    let quotas = read_quotas(document, faults);
    let (vm, peers) = (vm?, peers?);
    Some(GatewaySettings {
        place: vm.place,
        capacity: vm.capacity,
        source: vm.source,
        callers: callers?,
        ready: ready?,
        directory: directory?,
        peers,
        relay: SocketAddr::new(peers.ip(), *ports.first()?),
        seeds,
        store: store?,
        stop_grace,
        retries,
        directory_ttl,
        costs,
        quotas,
        ahead,
        switches,
    })
}

/// The section is for tests only: it moves the process's clock on, as a suspension does.
fn read_clock(document: &IniDocument, faults: &mut FaultList) -> Duration {
    let Some(clock) = document.readers("clock").next() else {
        return Duration::ZERO;
    };
    let ahead = clock.or_default("ahead-ms", 0, faults);
    clock.finish(faults);
    Duration::from_millis(ahead)
}

/// The section may be left out: then nothing beside the limits may be used.
fn read_quotas(document: &IniDocument, faults: &mut FaultList) -> QuotaSettings {
    let usual = QuotaSettings::default();
    let Some(section) = document.readers("quotas").next() else {
        return usual;
    };
    let way = section.or_default("way", usual.way, faults);
    let window = usual.window.as_secs_f64();
    let window = section.ranged("window-s", window, QUOTA_WINDOW_S, faults);
    let over = section.ranged("over", usual.over, 0.0..=1.0, faults);
    let slack = section.ranged("slack", usual.slack, 0.0..=f64::MAX, faults);
    section.finish(faults);
    QuotaSettings {
        way,
        window: Duration::from_secs_f64(window),
        over,
        slack,
    }
}

/// The section may be left out.
fn read_costs(document: &IniDocument, faults: &mut FaultList) -> CostSettings {
    let Some(costs) = document.readers("costs").next() else {
        return CostSettings::default();
    };
    let usual = CostSettings::default();
    let range = 0.0..=f64::MAX;
    let copied_gb = costs.ranged("copied-gb", usual.copied_gb, range, faults);
    let reread_ms = usual.reprefill_penalty.as_secs_f64() * 1e3;
    let reread_ms = costs.ranged("reread-ms", reread_ms, 0.0..=MOST_REREAD_MS, faults);
    costs.finish(faults);
    CostSettings {
        copied_gb,
        reprefill_penalty: Duration::from_secs_f64(reread_ms / 1e3),
    }
}

/// The section may be left out: then everything is on.
fn read_switches(document: &IniDocument, faults: &mut FaultList) -> DecisionSwitches {
    let Some(decisions) = document.readers("decisions").next() else {
        return DecisionSwitches::default();
    };
    let policy = decisions.or_default("policy", ChoicePolicy::Expected, faults);
    let off: Vec<DecisionSwitch> = decisions.list("off", faults);
    decisions.finish(faults);
    DecisionSwitches::new(policy, off)
}

/// What the settings say of this VM.
struct VmSettings {
    place: VmLocation,
    capacity: VmCapacity,
    source: Option<IpAddr>,
}

fn read_vm(document: &IniDocument, faults: &mut FaultList) -> Option<VmSettings> {
    let mut centers: BTreeMap<CenterName, RegionName> = BTreeMap::new();
    for reader in document.readers("center") {
        let name = reader.name(faults);
        let region = reader.required("region", faults);
        reader.finish(faults);
        if let (Some(name), Some(region)) = (name, region) {
            centers.insert(name, region);
        }
    }
    let vm_section = document.single("vm", faults)?;
    let vm: Option<VmName> = vm_section.required("name", faults);
    let center: Option<CenterName> = vm_section.required("center", faults);
    let region = center.as_ref().and_then(|name| centers.get(name)).cloned();
    if region.is_none() {
        vm_section.fault("center", "expected the name of a [center] section", faults);
    }
    let capacity = vm_section.or_default("cores", VmCapacity::default(), faults);
    let source = vm_section.optional("source-address", faults);
    vm_section.finish(faults);
    Some(VmSettings {
        place: VmLocation {
            vm: vm?,
            center: center?,
            region: region?,
            centers,
        },
        capacity,
        source,
    })
}
