//! Settings of a gateway process, read from an INI file and validated on load.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use onyxfall_fleet::{
    BudgetLimits, ChoicePolicy, DecisionSwitch, DecisionSwitches, QuotaSettings, QuotaSpend,
    REPREFILL_PENALTY, VmLocation,
};
use onyxfall_intake::{MachineLimits, StatedFiles, StatedMemory};
use onyxfall_overlay::VmCapacity;
use onyxfall_settings::{FaultList, IniDocument, SettingsError};
use onyxfall_types::{CenterName, PlanMode, RegionName, VmName};

use crate::capacity_settings::{CapacitySettings, read_capacity};

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
    "capacity",
];
/// Default time between the stop signal and the kill, as the known platforms give it.
const DEFAULT_STOP_GRACE_S: u64 = 8;
/// Default cost of copying a GB: one request. A run of 20 MB is then copied if 2 in 100 of its
/// kind are being lost.
const DEFAULT_COPIED_GB: f64 = 1.0;

/// Allowed window, in seconds, over which limits of teams are enforced.
const QUOTA_WINDOW_S: RangeInclusive<f64> = 0.1..=3600.0;
/// Longest delay that can be accepted for 1,000 tokens: an hour.
const MAX_REPREFILL_MS: f64 = 3_600_000.0;

/// Costs that decisions trade off against each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CostSettings {
    /// Cost of copying a GB of a run's memory to another server, in lost requests that may not
    /// be repeated.
    pub(crate) copied_gb: f64,
    /// Delay that is accepted to save the prefill of 1,000 tokens of a shared prefix.
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

/// All settings of a gateway process.
#[derive(Clone, Debug)]
pub(crate) struct GatewaySettings {
    /// Name, data centre and region of this VM.
    pub(crate) place: VmLocation,
    /// CPU capacity of this VM; larger VMs are given duties first.
    pub(crate) capacity: VmCapacity,
    /// Memory and descriptors of this VM.
    pub(crate) machine: MachineLimits,
    /// Source address of this VM's outgoing connections; `None` if the system picks one.
    pub(crate) source: Option<IpAddr>,
    /// Address that serves callers.
    pub(crate) callers: SocketAddr,
    /// Address that serves readiness and metrics.
    pub(crate) ready: SocketAddr,
    /// Address that serves the directory.
    pub(crate) directory: SocketAddr,
    /// Address that accepts links from other VMs.
    pub(crate) peers: SocketAddr,
    /// Address that accepts requests forwarded by other VMs.
    pub(crate) relay: SocketAddr,
    /// Peer addresses to start from; they may be down or stale.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
    /// Time between the stop signal and the kill.
    pub(crate) stop_grace: Duration,
    /// Retry budget of each service.
    pub(crate) retries: BudgetLimits,
    /// How long callers may cache a directory response.
    pub(crate) directory_ttl: Duration,
    /// Costs that decisions trade off against each other.
    pub(crate) costs: CostSettings,
    /// How strictly the limits of teams are enforced.
    pub(crate) quotas: QuotaSettings,
    /// Whether and by which rules service capacity is planned.
    pub(crate) capacity_plan: CapacitySettings,
    /// Offset added to the clock, for tests.
    pub(crate) clock_offset: Duration,
    /// Which mechanisms of routing decisions are enabled.
    pub(crate) switches: DecisionSwitches,
}

/// Loads and validates a settings file.
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
        Duration::from_secs(bounds.or_default("stop-grace-s", DEFAULT_STOP_GRACE_S, faults));
    let retries = BudgetLimits {
        ratio: bounds.or_default("retry-ratio", 0.1, faults),
        extra: bounds.or_default("retry-extra", 0.0, faults),
        window: Duration::from_secs(bounds.or_default("retry-window-s", 10, faults)),
    };
    let directory_ttl = Duration::from_secs(bounds.or_default("directory-ttl-s", 5, faults));
    bounds.finish(faults);
    let clock_offset = read_clock(document, faults);
    let switches = read_switches(document, faults);
    let costs = read_costs(document, faults);
    let capacity_plan = read_capacity(document, faults);
    let quotas = read_quotas(document, &capacity_plan, faults);
    let (vm, peers) = (vm?, peers?);
    Some(GatewaySettings {
        place: vm.place,
        capacity: vm.capacity,
        machine: vm.machine,
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
        capacity_plan,
        clock_offset,
        switches,
    })
}

/// Reads the optional section for tests, which advances the process's clock as a suspension
/// would.
fn read_clock(document: &IniDocument, faults: &mut FaultList) -> Duration {
    let Some(clock) = document.readers("clock").next() else {
        return Duration::ZERO;
    };
    let clock_offset = clock.or_default("ahead-ms", 0, faults);
    clock.finish(faults);
    Duration::from_millis(clock_offset)
}

/// Reads an optional section. Without it, no team may exceed its limit. Where capacity is
/// planned by importance, limits are spent by it unless the section says otherwise.
fn read_quotas(
    document: &IniDocument,
    capacity_plan: &CapacitySettings,
    faults: &mut FaultList,
) -> QuotaSettings {
    let spend = match capacity_plan.mode {
        PlanMode::Off => QuotaSpend::Even,
        PlanMode::On | PlanMode::Frozen => QuotaSpend::ByImportance,
    };
    let defaults = QuotaSettings {
        spend,
        ..QuotaSettings::default()
    };
    let Some(section) = document.readers("quotas").next() else {
        return defaults;
    };
    let way = section.or_default("way", defaults.way, faults);
    let spend = section.or_default("spend", defaults.spend, faults);
    let window = defaults.window.as_secs_f64();
    let window = section.ranged("window-s", window, QUOTA_WINDOW_S, faults);
    let over = section.ranged("over", defaults.over, 0.0..=1.0, faults);
    let slack = section.ranged("slack", defaults.slack, 0.0..=f64::MAX, faults);
    section.finish(faults);
    QuotaSettings {
        way,
        spend,
        window: Duration::from_secs_f64(window),
        over,
        slack,
    }
}

/// Reads an optional section.
fn read_costs(document: &IniDocument, faults: &mut FaultList) -> CostSettings {
    let Some(costs) = document.readers("costs").next() else {
        return CostSettings::default();
    };
    let defaults = CostSettings::default();
    let range = 0.0..=f64::MAX;
    let copied_gb = costs.ranged("copied-gb", defaults.copied_gb, range, faults);
    let reprefill_ms = defaults.reprefill_penalty.as_secs_f64() * 1e3;
    let reprefill_ms = costs.ranged("reread-ms", reprefill_ms, 0.0..=MAX_REPREFILL_MS, faults);
    costs.finish(faults);
    CostSettings {
        copied_gb,
        reprefill_penalty: Duration::from_secs_f64(reprefill_ms / 1e3),
    }
}

/// Reads an optional section. Without it, every mechanism is enabled.
fn read_switches(document: &IniDocument, faults: &mut FaultList) -> DecisionSwitches {
    let Some(decisions) = document.readers("decisions").next() else {
        return DecisionSwitches::default();
    };
    let policy = decisions.or_default("policy", ChoicePolicy::Expected, faults);
    let off: Vec<DecisionSwitch> = decisions.list("off", faults);
    decisions.finish(faults);
    DecisionSwitches::new(policy, off)
}

/// The settings that describe this VM.
struct VmSettings {
    place: VmLocation,
    capacity: VmCapacity,
    machine: MachineLimits,
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
    let memory = vm_section.or_default("memory-mb", StatedMemory::default(), faults);
    let open_files = vm_section.or_default("open-files", StatedFiles::default(), faults);
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
        machine: MachineLimits::detect(memory, open_files),
        source,
    })
}
