//! Settings of an entry process, read from INI and checked on load.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use onyxfall_bundle::{OperatorKey, OperatorRing};
use onyxfall_held::HeldAccount;
use onyxfall_http::HttpLimits;
use onyxfall_intake::{MachineLimits, PortRole, StatedFiles, StatedMemory};
use onyxfall_platform::PlatformSettings;
use onyxfall_policy::{MemberTiming, PolicySettings, RoutingPolicy};
use onyxfall_settings::{FaultList, IniDocument, SettingsError};
use onyxfall_types::{ByteSize, CenterName, OperatorName, RegionName, VmName};

const SECTION_KINDS: &[&str] = &[
    "vm", "listen", "limits", "platform", "operator", "peer", "control", "policy", "stop", "log",
];
/// Number of operators that must sign off a bundle.
const MIN_OPERATORS: usize = 2;

/// Least severity that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(pub log::LevelFilter);

impl FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let level = text.parse().map(Self);
        level.map_err(|_| "expected one of off, error, warn, info, debug, trace".to_owned())
    }
}

/// Another entry VM that is configured, not read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedPeer {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub center: CenterName,
    /// Region of the VM.
    pub region: RegionName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other entries.
    pub peer_address: SocketAddr,
}

/// Settings of an entry process.
#[derive(Clone)]
pub struct EntrySettings {
    /// Name of this VM.
    pub name: VmName,
    /// Name of the deployment.
    pub deployment: String,
    /// Data centre of this VM.
    pub center: CenterName,
    /// Region of this VM.
    pub region: RegionName,
    /// Address to listen on for callers.
    pub caller_listen: SocketAddr,
    /// Address to listen on for other entries.
    pub peer_listen: SocketAddr,
    /// Address at which other entries reach this VM, if it is not `peer_listen`.
    pub peer_advertise: Option<SocketAddr>,
    /// Address to listen on for metrics and health checks.
    pub admin_listen: SocketAddr,
    /// Source address of connections to other entries.
    pub peer_source: Option<IpAddr>,
    /// Memory and descriptors of this VM.
    pub machine: MachineLimits,
    /// HTTP limits for callers.
    pub limits: HttpLimits,
    /// Largest request body.
    pub max_body: ByteSize,
    /// Largest response that is buffered until it is complete.
    pub max_buffered: ByteSize,
    /// Timeout for a connection to a backend server or peer.
    pub connect_timeout: Duration,
    /// Time without a byte after which a response counts as failed.
    pub idle_timeout: Duration,
    /// Settings of the platform service.
    pub platform: PlatformSettings,
    /// Operators whose signatures are accepted.
    pub operators: OperatorRing,
    /// Entries that are configured, not read from the platform.
    pub seeds: Vec<SeedPeer>,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Interval between load messages to other data centres.
    pub center_interval: Duration,
    /// Interval between polls of a backend server's load.
    pub observe_interval: Duration,
    /// Interval between polls of the platform's list and head.
    pub platform_interval: Duration,
    /// Timeouts after which an unresponsive member is suspected and dropped.
    pub member_timing: MemberTiming,
    /// Settings of the routing policy.
    pub policy: PolicySettings,
    /// Time after a shutdown request in which new requests are still accepted.
    pub shutdown_grace: Duration,
    /// Time after which a shutdown cuts off open requests.
    pub shutdown_limit: Duration,
    /// Least severity that is logged.
    pub log_level: LogLevel,
}

/// Reads settings from a file.
///
/// # Errors
///
/// The file cannot be read or is invalid; the error names every fault.
pub fn load_settings(path: &Path) -> Result<EntrySettings, SettingsError> {
    read_settings(&IniDocument::load(path)?)
}

/// Reads settings from a text; `file` is its name in errors.
///
/// # Errors
///
/// The text is invalid; the error names every fault.
pub fn parse_settings(file: &str, text: &str) -> Result<EntrySettings, SettingsError> {
    read_settings(&IniDocument::parse(file, text)?)
}

fn read_settings(document: &IniDocument) -> Result<EntrySettings, SettingsError> {
    let mut faults = FaultList::new();
    document.check_headers(SECTION_KINDS, &mut faults);
    let mut settings = default_settings();
    read_vm(document, &mut settings, &mut faults);
    read_listen(document, &mut settings, &mut faults);
    apply_machine(&mut settings);
    read_limits(document, &mut settings, &mut faults);
    read_platform(document, &mut settings, &mut faults);
    read_operators(document, &mut settings, &mut faults);
    read_seeds(document, &mut settings, &mut faults);
    read_control(document, &mut settings, &mut faults);
    read_policy(document, &mut settings, &mut faults);
    read_shutdown(document, &mut settings, &mut faults);
    document.finish(faults)?;
    Ok(settings)
}

/// Default settings, with placeholders for the required keys. A missing required key is
/// a fault, so no placeholder remains after a successful load.
fn default_settings() -> EntrySettings {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let name = |text: &str| text.parse();
    EntrySettings {
        name: name("unset").unwrap_or_else(|_| unreachable!("a constant name")),
        deployment: String::new(),
        center: "unset"
            .parse()
            .unwrap_or_else(|_| unreachable!("a constant name")),
        region: "unset"
            .parse()
            .unwrap_or_else(|_| unreachable!("a constant name")),
        caller_listen: any,
        peer_listen: any,
        peer_advertise: None,
        admin_listen: any,
        peer_source: None,
        machine: MachineLimits::detect(StatedMemory::default(), StatedFiles::default()),
        limits: HttpLimits::default(),
        max_body: ByteSize::new(4 * 1024 * 1024),
        max_buffered: ByteSize::new(1024 * 1024),
        connect_timeout: Duration::from_millis(500),
        idle_timeout: Duration::from_secs(15),
        platform: PlatformSettings::new(""),
        operators: OperatorRing::default(),
        seeds: Vec::new(),
        heartbeat_interval: Duration::from_secs(1),
        center_interval: Duration::from_secs(1),
        observe_interval: Duration::from_millis(500),
        platform_interval: Duration::from_secs(5),
        member_timing: MemberTiming::default(),
        policy: PolicySettings::default(),
        shutdown_grace: Duration::from_secs(5),
        shutdown_limit: Duration::from_mins(2),
        log_level: LogLevel(log::LevelFilter::Info),
    }
}

fn read_vm(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    let Some(reader) = document.single("vm", faults) else {
        return;
    };
    if let Some(name) = reader.required("name", faults) {
        settings.name = name;
    }
    if let Some(center) = reader.required("data-centre", faults) {
        settings.center = center;
    }
    if let Some(region) = reader.required("region", faults) {
        settings.region = region;
    }
    settings.deployment = reader.required("deployment", faults).unwrap_or_default();
    let memory = reader.or_default("memory-mb", StatedMemory::default(), faults);
    let open_files = reader.or_default("open-files", StatedFiles::default(), faults);
    settings.machine = MachineLimits::detect(memory, open_files);
    reader.finish(faults);
}

/// Lowers the default limits to what the machine of this VM bears.
fn apply_machine(settings: &mut EntrySettings) {
    let (machine, limits) = (&settings.machine, &mut settings.limits);
    limits.held = HeldAccount::new(HeldAccount::bound_for(machine.memory));
    let connections = machine.connections(PortRole::Callers);
    limits.max_connections = limits.max_connections.min(connections);
}

fn read_listen(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    let Some(reader) = document.single("listen", faults) else {
        return;
    };
    if let Some(address) = reader.required("callers", faults) {
        settings.caller_listen = address;
    }
    if let Some(address) = reader.required("peers", faults) {
        settings.peer_listen = address;
    }
    if let Some(address) = reader.required("admin", faults) {
        settings.admin_listen = address;
    }
    settings.peer_advertise = reader.optional("peers-advertised", faults);
    settings.peer_source = reader.optional("peers-source", faults);
    reader.finish(faults);
}

fn read_limits(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    let Some(reader) = document.readers("limits").next() else {
        return;
    };
    let limits = &mut settings.limits;
    limits.max_connections =
        reader.ranged("connections", limits.max_connections, 1..=100_000, faults);
    limits.max_requests = reader.ranged("open-requests", limits.max_requests, 1..=100_000, faults);
    limits.max_head = reader.or_default("head-size", limits.max_head, faults);
    limits.head_timeout = reader.millis("idle-ms", limits.head_timeout, faults);
    limits.body_timeout = reader.millis("body-ms", limits.body_timeout, faults);
    limits.stall_timeout = reader.millis("stall-ms", limits.stall_timeout, faults);
    settings.max_body = reader.or_default("body-size", settings.max_body, faults);
    settings.max_buffered = reader.or_default("held-answer-size", settings.max_buffered, faults);
    settings.connect_timeout = reader.millis("connect-ms", settings.connect_timeout, faults);
    settings.idle_timeout = reader.millis("answer-idle-ms", settings.idle_timeout, faults);
    reader.finish(faults);
}

fn read_platform(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    let Some(reader) = document.single("platform", faults) else {
        return;
    };
    let platform = &mut settings.platform;
    platform.url = reader.required("url", faults).unwrap_or_default();
    if !platform.url.is_empty() && !platform.url.starts_with("http://") {
        let message = format!(
            "key `url`, value `{}`: expected http://IP:PORT",
            platform.url
        );
        reader.fault("url", message, faults);
    }
    platform.timeout = reader.millis("timeout-ms", platform.timeout, faults);
    platform.watch_timeout = reader.millis("watch-ms", platform.watch_timeout, faults);
    platform.rate = reader.ranged("calls-per-second", platform.rate, 0.01..=1000.0, faults);
    platform.burst = reader.ranged("calls-at-once", platform.burst, 1..=1000, faults);
    settings.platform_interval = reader.millis("interval-ms", settings.platform_interval, faults);
    reader.finish(faults);
}

fn read_operators(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    for reader in document.readers("operator") {
        let name = reader.name::<OperatorName>(faults);
        let key = reader.required::<OperatorKey>("key", faults);
        reader.finish(faults);
        if let (Some(name), Some(key)) = (name, key) {
            settings.operators.insert(name, key);
        }
    }
    if settings.operators.len() < MIN_OPERATORS {
        let message = format!("expected at least {MIN_OPERATORS} sections [operator NAME]");
        faults.push(document.header_fault("vm", message));
    }
}

fn read_seeds(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    for reader in document.readers("peer") {
        let name = reader.name::<VmName>(faults);
        let center = reader.required("data-centre", faults);
        let region = reader.required("region", faults);
        let address = reader.required("callers", faults);
        let peer_address = reader.required("peers", faults);
        reader.finish(faults);
        if let (Some(name), Some(center), Some(region), Some(address), Some(peer_address)) =
            (name, center, region, address, peer_address)
        {
            settings.seeds.push(SeedPeer {
                name,
                center,
                region,
                address,
                peer_address,
            });
        }
    }
}

fn read_control(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    let Some(reader) = document.readers("control").next() else {
        return;
    };
    settings.heartbeat_interval = reader.millis("beat-ms", settings.heartbeat_interval, faults);
    settings.center_interval =
        reader.millis("data-centre-beat-ms", settings.center_interval, faults);
    settings.observe_interval = reader.millis("observe-ms", settings.observe_interval, faults);
    let timing = &mut settings.member_timing;
    timing.suspect_after = reader.millis("suspect-ms", timing.suspect_after, faults);
    timing.gone_after = reader.millis("gone-ms", timing.gone_after, faults);
    if timing.gone_after <= timing.suspect_after {
        reader.fault(
            "gone-ms",
            "key `gone-ms` must be above `suspect-ms`",
            faults,
        );
    }
    reader.finish(faults);
}

fn read_policy(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    let Some(reader) = document.readers("policy").next() else {
        return;
    };
    let policy = &mut settings.policy;
    policy.routing = reader.or_default::<RoutingPolicy>("routing", policy.routing, faults);
    policy.queue_limit = reader.ranged("queue", policy.queue_limit, 1..=1_000_000, faults);
    policy.prefix_limit = reader.ranged("prefixes", policy.prefix_limit, 1..=10_000_000, faults);
    policy.seed = reader.or_default("seed", policy.seed, faults);
    reader.finish(faults);
}

fn read_shutdown(document: &IniDocument, settings: &mut EntrySettings, faults: &mut FaultList) {
    if let Some(reader) = document.readers("stop").next() {
        settings.shutdown_grace = reader.millis("grace-ms", settings.shutdown_grace, faults);
        settings.shutdown_limit = reader.millis("bound-ms", settings.shutdown_limit, faults);
        reader.finish(faults);
    }
    if let Some(reader) = document.readers("log").next() {
        settings.log_level = reader.or_default("level", settings.log_level, faults);
        reader.finish(faults);
    }
}
