//! Parses an INI document into a [`ServiceBundle`].
//!
//! The parser checks the form of each declaration: value types, missing and
//! unknown keys, and references to undeclared names. The verifier checks the
//! rules between declarations.

use std::time::Duration;

use onyxfall_settings::{FaultList, IniDocument, SectionReader, SettingsError};
use onyxfall_types::{
    AdapterName, CenterName, EntityId, EntityMap, KindName, ModelName, RegionName, RequestRate,
    ServerName, TeamName,
};

use crate::model::{
    AwayRule, BackendServer, DataCenter, ModelAdapter, NameIndex, ObjectiveWeights, RequestKind,
    ResidencyRule, ServedModel, ServerRole, ServiceBundle, ServiceRegion, TeamLimit,
};

const SECTION_KINDS: &[&str] = &[
    "bundle",
    "region",
    "data-centre",
    "model",
    "service",
    "adapter",
    "server",
    "kind",
    "team",
];

const DEFAULT_CENTER_RTT: Duration = Duration::from_millis(1);
const DEFAULT_REGION_RTT: Duration = Duration::from_millis(40);
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(500);
const DEFAULT_SLOTS: u32 = 8;
const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_BURST: u32 = 10;
const MAX_SLOTS: u32 = 4096;

/// Parses a bundle from a document.
///
/// # Errors
///
/// All faults in the form of the declarations, each with its line number.
///
/// ```
/// use onyxfall_bundle::parse_bundle;
/// use onyxfall_settings::IniDocument;
/// let text = "[bundle]\nname = demo\n[region r]\n[data-centre d]\nregion = r\n";
/// let document = IniDocument::parse("demo.ini", text).unwrap();
/// assert_eq!(parse_bundle(&document).unwrap().regions.len(), 1);
/// ```
pub fn parse_bundle(document: &IniDocument) -> Result<ServiceBundle, SettingsError> {
    let mut faults = FaultList::new();
    document.check_headers(SECTION_KINDS, &mut faults);
    let mut bundle = read_bundle_section(document, &mut faults);
    read_regions(document, &mut bundle, &mut faults);
    read_models(document, &mut bundle, &mut faults);
    read_servers(document, &mut bundle, &mut faults);
    read_kinds(document, &mut bundle, &mut faults);
    read_teams(document, &mut bundle, &mut faults);
    document.finish(faults)?;
    bundle.index = NameIndex::new(&bundle.servers, &bundle.kinds, &bundle.teams);
    Ok(bundle)
}

fn read_bundle_section(document: &IniDocument, faults: &mut FaultList) -> ServiceBundle {
    let mut bundle = ServiceBundle {
        name: String::new(),
        objective: ObjectiveWeights {
            cost: 1.0,
            tail: 1.0,
            away: 1.0,
        },
        center_rtt: DEFAULT_CENTER_RTT,
        region_rtt: DEFAULT_REGION_RTT,
        regions: EntityMap::new(),
        centers: EntityMap::new(),
        models: EntityMap::new(),
        adapters: EntityMap::new(),
        servers: EntityMap::new(),
        kinds: EntityMap::new(),
        teams: EntityMap::new(),
        index: NameIndex::default(),
    };
    let Some(reader) = document.single("bundle", faults) else {
        return bundle;
    };
    bundle.name = reader.required("name", faults).unwrap_or_default();
    let weight = |key, faults: &mut FaultList| reader.ranged(key, 1.0, 0.0..=1000.0, faults);
    bundle.objective = ObjectiveWeights {
        cost: weight("cost-weight", faults),
        tail: weight("tail-weight", faults),
        away: weight("away-weight", faults),
    };
    bundle.center_rtt = reader.millis("centre-rtt-ms", DEFAULT_CENTER_RTT, faults);
    bundle.region_rtt = reader.millis("region-rtt-ms", DEFAULT_REGION_RTT, faults);
    reader.finish(faults);
    bundle
}

fn read_regions(document: &IniDocument, bundle: &mut ServiceBundle, faults: &mut FaultList) {
    for reader in document.readers("region") {
        if let Some(name) = reader.name::<RegionName>(faults) {
            bundle.regions.push(ServiceRegion { name });
        }
        reader.finish(faults);
    }
    for reader in document.readers("data-centre") {
        let name = reader.name::<CenterName>(faults);
        let region = resolve_name(&reader, "region", faults, |name| bundle.region_id(name));
        if let (Some(name), Some(region)) = (name, region) {
            bundle.centers.push(DataCenter { name, region });
        }
        reader.finish(faults);
    }
}

fn read_models(document: &IniDocument, bundle: &mut ServiceBundle, faults: &mut FaultList) {
    for reader in document.readers("model") {
        let name = reader.name::<ModelName>(faults);
        let version = reader.or_default("version", "1".to_owned(), faults);
        let refusals = read_refusals(&reader, &[429, 503], faults);
        if let Some(name) = name {
            bundle.models.push(ServedModel {
                name,
                role: ServerRole::Engine,
                version,
                refusals,
            });
        }
        reader.finish(faults);
    }
    for reader in document.readers("service") {
        let refusals = read_refusals(&reader, &[429], faults);
        if let Some(name) = reader.name::<ModelName>(faults) {
            let version = String::new();
            bundle.models.push(ServedModel {
                name,
                role: ServerRole::Service,
                version,
                refusals,
            });
        }
        reader.finish(faults);
    }
    for reader in document.readers("adapter") {
        let name = reader.name::<AdapterName>(faults);
        let model = resolve_name(&reader, "model", faults, |name| bundle.model_id(name));
        let version = reader.or_default("version", "1".to_owned(), faults);
        if let (Some(name), Some(model)) = (name, model) {
            bundle.adapters.push(ModelAdapter {
                name,
                model,
                version,
            });
        }
        reader.finish(faults);
    }
}

/// Reads the statuses that mean, by the contract of the servers, that the
/// request was not run. The default for engines includes 503, with which they
/// refuse admission. The default for plain services does not, because they may
/// return 503 after the request ran.
fn read_refusals(reader: &SectionReader<'_>, default: &[u16], faults: &mut FaultList) -> Vec<u16> {
    if reader.text("refusal-status").is_none() {
        return default.to_vec();
    }
    reader.list("refusal-status", faults)
}

fn read_servers(document: &IniDocument, bundle: &mut ServiceBundle, faults: &mut FaultList) {
    for reader in document.readers("server") {
        let name = reader.name::<ServerName>(faults);
        let center = resolve_name(&reader, "data-centre", faults, |name| {
            bundle.center_id(name)
        });
        let address = reader.required("address", faults);
        let models = resolve_names(&reader, "serves", faults, |name| bundle.model_id(name));
        let slots = reader.ranged("slots", DEFAULT_SLOTS, 1..=MAX_SLOTS, faults);
        let checks_token = reader.flag("checks-token", false, faults);
        reader.finish(faults);
        if let (Some(name), Some(center), Some(address)) = (name, center, address) {
            let server = BackendServer {
                name,
                center,
                address,
                models,
                slots,
                checks_token,
            };
            bundle.servers.push(server);
        }
    }
}

fn read_kinds(document: &IniDocument, bundle: &mut ServiceBundle, faults: &mut FaultList) {
    for reader in document.readers("kind") {
        let name = reader.name::<KindName>(faults);
        let model = resolve_name(&reader, "served-by", faults, |name| bundle.model_id(name));
        let weight = reader.ranged("weight", 1.0, 0.001..=1_000_000.0, faults);
        let repeatable = read_repeatable(&reader, faults);
        let streaming = reader.flag("streaming", false, faults);
        let deadline = reader.millis("deadline-ms", DEFAULT_DEADLINE, faults);
        let service_time = reader.millis("service-ms", DEFAULT_SERVICE_TIME, faults);
        let prefix_share = reader.ranged("prefix-share", 0.0, 0.0..=1.0, faults);
        let priority = reader.or_default("priority", DEFAULT_PRIORITY, faults);
        let away = reader.or_default("away", AwayRule::Allowed, faults);
        let residency = read_residency(&reader, bundle, faults);
        reader.finish(faults);
        if let (Some(name), Some(model)) = (name, model) {
            bundle.kinds.push(RequestKind {
                name,
                model,
                weight,
                repeatable,
                streaming,
                deadline,
                service_time,
                prefix_share,
                priority,
                away,
                residency,
            });
        }
    }
}

/// Reads whether a request kind may run more than once. The key has no default:
/// a wrong one would let non-repeatable requests run twice.
fn read_repeatable(reader: &SectionReader<'_>, faults: &mut FaultList) -> bool {
    if reader.text("repeatable").is_none() {
        reader.fault("repeatable", "missing key `repeatable`", faults);
    }
    reader.flag("repeatable", false, faults)
}

/// Reads the residency rule of a request kind. The key has no default: a wrong
/// one would send data to regions where it is not permitted.
fn read_residency(
    reader: &SectionReader<'_>,
    bundle: &ServiceBundle,
    faults: &mut FaultList,
) -> ResidencyRule {
    match reader.text("residency") {
        Some("anywhere") => ResidencyRule::Anywhere,
        Some("home") => ResidencyRule::Home,
        Some(_) => {
            let regions = resolve_names(reader, "residency", faults, |name| bundle.region_id(name));
            ResidencyRule::Regions(regions)
        }
        None => {
            let missing_key =
                "missing key `residency`: expected anywhere, home or a list of regions";
            reader.fault("residency", missing_key, faults);
            ResidencyRule::Home
        }
    }
}

fn read_teams(document: &IniDocument, bundle: &mut ServiceBundle, faults: &mut FaultList) {
    for reader in document.readers("team") {
        let name = reader.name::<TeamName>(faults);
        let rate = reader.required::<RequestRate>("rate", faults);
        let burst = reader.or_default("burst", DEFAULT_BURST, faults);
        reader.finish(faults);
        if let (Some(name), Some(rate)) = (name, rate) {
            bundle.teams.push(TeamLimit { name, rate, burst });
        }
    }
}

fn resolve_name<K: EntityId>(
    reader: &SectionReader<'_>,
    key: &'static str,
    faults: &mut FaultList,
    find_id: impl Fn(&str) -> Option<K>,
) -> Option<K> {
    let name: String = reader.required(key, faults)?;
    let id = find_id(&name);
    if id.is_none() {
        reader.fault(
            key,
            format!("key `{key}`: `{name}` is not declared"),
            faults,
        );
    }
    id
}

fn resolve_names<K: EntityId>(
    reader: &SectionReader<'_>,
    key: &'static str,
    faults: &mut FaultList,
    find_id: impl Fn(&str) -> Option<K>,
) -> Vec<K> {
    let names: Vec<String> = reader.list(key, faults);
    if names.is_empty() {
        reader.fault(
            key,
            format!("key `{key}`: expected at least one name"),
            faults,
        );
    }
    let mut ids = Vec::new();
    for name in names {
        match find_id(&name) {
            Some(id) => ids.push(id),
            None => reader.fault(
                key,
                format!("key `{key}`: `{name}` is not declared"),
                faults,
            ),
        }
    }
    ids
}
