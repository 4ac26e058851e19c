//! Checks the rules between the declarations of a bundle.
//!
//! The verifier is independent of the parser and assumes nothing about how a
//! bundle was built. It reports all violations together, in the order of the
//! checks below.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;

use onyxfall_types::{EntityId, EntityMap};
use thiserror::Error;

use crate::model::{AwayRule, ResidencyRule, ServerRole, ServiceBundle};

/// Maximum number of regions that a residency set can hold.
const MAX_REGIONS: usize = 128;

/// A violation of a rule between declarations.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{subject}: {message}")]
pub struct BundleFault {
    subject: String,
    message: String,
}

/// Checks all rules between declarations.
///
/// # Errors
///
/// All violations found.
///
/// ```
/// use onyxfall_bundle::{parse_bundle, verify_bundle};
/// use onyxfall_settings::IniDocument;
/// let text = "[bundle]\nname = demo\n[region r]\n";
/// let bundle = parse_bundle(&IniDocument::parse("demo.ini", text).unwrap()).unwrap();
/// let faults = verify_bundle(&bundle).unwrap_err();
/// assert_eq!(faults[0].to_string(), "region r: has no data centre");
/// ```
pub fn verify_bundle(bundle: &ServiceBundle) -> Result<(), Vec<BundleFault>> {
    let mut verifier = BundleVerifier {
        bundle,
        faults: Vec::new(),
    };
    verifier.check_regions();
    verifier.check_names();
    verifier.check_servers();
    verifier.check_kinds();
    verifier.check_teams();
    if verifier.faults.is_empty() {
        Ok(())
    } else {
        Err(verifier.faults)
    }
}

struct BundleVerifier<'a> {
    bundle: &'a ServiceBundle,
    faults: Vec<BundleFault>,
}

impl BundleVerifier<'_> {
    fn report_fault(&mut self, subject: impl Display, message: impl Into<String>) {
        self.faults.push(BundleFault {
            subject: subject.to_string(),
            message: message.into(),
        });
    }

    fn check_regions(&mut self) {
        let bundle = self.bundle;
        if bundle.regions.is_empty() {
            self.report_fault("bundle", "declares no region");
        }
        if bundle.regions.len() > MAX_REGIONS {
            self.report_fault(
                "bundle",
                format!("declares more than {MAX_REGIONS} regions"),
            );
        }
        for (id, region) in bundle.regions.iter() {
            if !bundle.centers.values().any(|center| center.region == id) {
                self.report_fault(format!("region {}", region.name), "has no data centre");
            }
        }
    }

    fn check_names(&mut self) {
        let bundle = self.bundle;
        self.check_unique("region", &bundle.regions, |region| region.name.as_str());
        self.check_unique("data centre", &bundle.centers, |center| {
            center.name.as_str()
        });
        self.check_unique("model or service", &bundle.models, |model| {
            model.name.as_str()
        });
        self.check_unique("adapter", &bundle.adapters, |adapter| adapter.name.as_str());
        self.check_unique("server", &bundle.servers, |server| server.name.as_str());
        self.check_unique("kind", &bundle.kinds, |kind| kind.name.as_str());
        self.check_unique("team", &bundle.teams, |team| team.name.as_str());
    }

    fn check_unique<K: EntityId, V>(
        &mut self,
        entity: &str,
        map: &EntityMap<K, V>,
        name: impl Fn(&V) -> &str,
    ) {
        let mut seen = BTreeSet::new();
        for value in map.values() {
            if !seen.insert(name(value)) {
                self.report_fault(format!("{entity} {}", name(value)), "is declared twice");
            }
        }
    }

    fn check_servers(&mut self) {
        let bundle = self.bundle;
        let mut addresses: BTreeSet<SocketAddr> = BTreeSet::new();
        for server in bundle.servers.values() {
            let subject = format!("server {}", server.name);
            if !addresses.insert(server.address) {
                self.report_fault(
                    &subject,
                    format!("address {} is already taken", server.address),
                );
            }
            let engines = server
                .models
                .iter()
                .filter(|model| bundle.models[**model].role == ServerRole::Engine)
                .count();
            if engines != 0 && engines != server.models.len() {
                self.report_fault(&subject, "serves both models and plain services");
            }
        }
        for adapter in bundle.adapters.values() {
            if bundle.models[adapter.model].role == ServerRole::Service {
                self.report_fault(
                    format!("adapter {}", adapter.name),
                    "adapts a plain service",
                );
            }
        }
    }

    fn check_kinds(&mut self) {
        let bundle = self.bundle;
        for kind in bundle.kinds.values() {
            let subject = format!("kind {}", kind.name);
            let serving: Vec<_> = bundle
                .servers
                .values()
                .filter(|s| s.models.contains(&kind.model))
                .collect();
            if serving.is_empty() {
                let model = &bundle.models[kind.model].name;
                self.report_fault(&subject, format!("no server serves {model}"));
            }
            if kind.deadline < kind.service_time {
                self.report_fault(&subject, "deadline-ms is below service-ms");
            }
            if let ResidencyRule::Regions(regions) = &kind.residency {
                let reachable = serving
                    .iter()
                    .any(|server| regions.contains(&bundle.centers[server.center].region));
                if !serving.is_empty() && !reachable {
                    self.report_fault(
                        &subject,
                        "no server is in a region that its residency rule allows",
                    );
                }
            }
            if kind.residency == ResidencyRule::Home && kind.away == AwayRule::Allowed {
                self.report_fault(&subject, "residency = home needs away = never");
            }
        }
    }

    fn check_teams(&mut self) {
        let bundle = self.bundle;
        for team in bundle.teams.values() {
            if team.burst == 0 {
                self.report_fault(format!("team {}", team.name), "burst must be at least 1");
            }
        }
    }
}
