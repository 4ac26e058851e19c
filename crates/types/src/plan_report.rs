//! Report of a VM's capacity plan, served as JSON by gateways and printed by operators.
//!
//! Both programs use these types, so that a field cannot differ between them. Unknown fields
//! are ignored, so that reports of later builds remain readable.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::{RegionName, ServiceName};
use crate::plan_mode::PlanMode;

/// Age from which a region's report is not used; the region is then planned without capacity.
/// Reports are sent every 0.4 s, so that three in a row are lost.
pub const PLAN_REPORT_LIFETIME: Duration = Duration::from_millis(1500);
/// Refused share below which a flow counts as wholly served; the table prints three decimals.
const MIN_REFUSED: f64 = 0.0005;

/// How a VM decides about requests of a class from a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanStanding {
    /// Wholly served.
    Served,
    /// Served in part.
    Partial,
    /// Refused while more important classes need the capacity.
    Refused,
}

impl fmt::Display for PlanStanding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Served => "served",
            Self::Partial => "partial",
            Self::Refused => "refused",
        })
    }
}

/// Why a part of a flow is not served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanConstraint {
    /// The flow is wholly served.
    #[default]
    None,
    /// A region that may serve it has no fresh report and is planned without capacity.
    Report,
    /// The regions that may serve it are full, and others are not.
    Homes,
    /// All regions are full.
    Capacity,
    /// A region that may serve it is not full: a reserve or a cap applies.
    Rules,
}

impl fmt::Display for PlanConstraint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::None => "-",
            Self::Report => "report",
            Self::Homes => "homes",
            Self::Capacity => "capacity",
            Self::Rules => "rules",
        })
    }
}

/// A service's capacity in a region, as the plan uses it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanRegion {
    /// Service whose servers are counted.
    pub service: ServiceName,
    /// Region of the servers.
    pub region: RegionName,
    /// Seconds of server time a second.
    pub capacity: f64,
    /// Whether all usable capacity is allocated.
    pub full: bool,
    /// Age of the region's last report; `None` if none was received.
    pub report_age_ms: Option<u64>,
}

/// What the plan decides for requests of a class from one region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanFlow {
    /// Region of the callers.
    pub callers: RegionName,
    /// Demand in seconds of server time a second.
    pub offered: f64,
    /// Share of the demand that each region serves.
    pub served: BTreeMap<RegionName, f64>,
    /// Share of the demand that is refused.
    pub refused: f64,
    /// How a VM decides about these requests.
    pub standing: PlanStanding,
    /// Time that others' prompts at a server may take before a request is refused there;
    /// `None` if the plan sets no limit.
    pub backlog_limit_ms: Option<u64>,
    /// Why a part is refused; set by [`PlanReport::new`].
    #[serde(default)]
    pub constraint: PlanConstraint,
}

/// A class of requests and its flows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanClass {
    /// Service that the requests are for.
    pub service: ServiceName,
    /// Rank of the route and rank of the team, such as `0.2`; `0.0` is the highest.
    pub importance: String,
    /// Regions that may serve the requests; empty if any may.
    pub homes: Vec<RegionName>,
    /// Flows by region of the callers.
    pub flows: Vec<PlanFlow>,
}

/// A VM's capacity plan and the age of its figures.
///
/// ```
/// use onyxfall_types::{PlanMode, PlanReport};
/// let report = PlanReport::new(PlanMode::Off, None, Vec::new(), Vec::new());
/// assert!(report.to_string().starts_with("plan off, never computed\n"));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanReport {
    /// Whether the VM computes a plan and follows it.
    pub mode: PlanMode,
    /// Age of the plan; `None` before the first one.
    pub age_ms: Option<u64>,
    /// Capacity by service and region.
    pub regions: Vec<PlanRegion>,
    /// Classes in order of service and importance.
    pub classes: Vec<PlanClass>,
}

impl PlanReport {
    /// Path on a gateway's status port at which the report is served.
    pub const PATH: &'static str = "/plan";

    /// Builds a report and sets the constraint of each flow.
    pub fn new(
        mode: PlanMode,
        age_ms: Option<u64>,
        regions: Vec<PlanRegion>,
        mut classes: Vec<PlanClass>,
    ) -> Self {
        for class in &mut classes {
            let (service, homes) = (&class.service, &class.homes);
            for flow in &mut class.flows {
                flow.constraint = if flow.refused < MIN_REFUSED {
                    PlanConstraint::None
                } else {
                    constraint(&regions, service, homes)
                };
            }
        }
        Self {
            mode,
            age_ms,
            regions,
            classes,
        }
    }
}

/// Constraint of a flow of which a part is refused.
fn constraint(
    regions: &[PlanRegion],
    service: &ServiceName,
    homes: &[RegionName],
) -> PlanConstraint {
    let (allowed, others): (Vec<&PlanRegion>, Vec<&PlanRegion>) = regions
        .iter()
        .filter(|region| region.service == *service)
        .partition(|region| homes.is_empty() || homes.contains(&region.region));
    let is_stale = |region: &&PlanRegion| {
        region
            .report_age_ms
            .is_none_or(|age| Duration::from_millis(age) > PLAN_REPORT_LIFETIME)
    };
    if allowed.iter().any(is_stale) {
        PlanConstraint::Report
    } else if allowed.iter().any(|region| !region.full) {
        PlanConstraint::Rules
    } else if others.iter().any(|region| !region.full) {
        PlanConstraint::Homes
    } else {
        PlanConstraint::Capacity
    }
}

impl fmt::Display for PlanReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.age_ms {
            Some(age) => writeln!(f, "plan {}, computed {age} ms ago", self.mode)?,
            None => writeln!(f, "plan {}, never computed", self.mode)?,
        }
        if !self.regions.is_empty() {
            writeln!(
                f,
                "\n{:<20} {:<14} {:>12} {:>5} {:>10}",
                "service", "region", "capacity s/s", "full", "report ms"
            )?;
        }
        for region in &self.regions {
            writeln!(
                f,
                "{:<20} {:<14} {:>12.3} {:>5} {:>10}",
                region.service.as_str(),
                region.region.as_str(),
                region.capacity,
                if region.full { "yes" } else { "no" },
                optional(region.report_age_ms)
            )?;
        }
        if !self.classes.is_empty() {
            writeln!(
                f,
                "\n{:<20} {:>7} {:<14} {:>11} {:>7} {:<8} {:>8} {:<10} {:<28} homes",
                "service",
                "rank",
                "callers",
                "offered s/s",
                "refused",
                "standing",
                "limit ms",
                "constraint",
                "served by"
            )?;
        }
        for class in &self.classes {
            for flow in &class.flows {
                write_flow(f, class, flow)?;
            }
        }
        Ok(())
    }
}

fn write_flow(f: &mut fmt::Formatter<'_>, class: &PlanClass, flow: &PlanFlow) -> fmt::Result {
    let served: Vec<String> = flow
        .served
        .iter()
        .map(|(region, share)| format!("{region} {share:.3}"))
        .collect();
    let homes: Vec<&str> = class.homes.iter().map(RegionName::as_str).collect();
    writeln!(
        f,
        "{:<20} {:>7} {:<14} {:>11.3} {:>7.3} {:<8} {:>8} {:<10} {:<28} {}",
        class.service.as_str(),
        class.importance,
        flow.callers.as_str(),
        flow.offered,
        flow.refused,
        flow.standing,
        optional(flow.backlog_limit_ms),
        flow.constraint,
        or_else(served.join(", "), "-"),
        or_else(homes.join(", "), "any"),
    )
}

fn optional(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn or_else(text: String, default: &str) -> String {
    if text.is_empty() {
        default.to_owned()
    } else {
        text
    }
}
