//! The optional section `[capacity]`: whether service capacity is planned, and by which rules.
//!
//! The key `plan` takes precedence over the features that the deployment asks for, so that an
//! operator can disable or freeze a plan that the deployment enables. Without either, no plan
//! is computed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use onyxfall_adapter::asks_for_capacity_plan;
use onyxfall_settings::{FaultList, IniDocument, SectionReader};
use onyxfall_types::{NameError, PlanMode, ServiceName};
use thiserror::Error;

/// Share of its demand that every class gets before more important classes get the rest; its
/// value is that of `docs/design/contended-capacity.md`.
const DEFAULT_FLOOR: f64 = 0.2;
/// Tolerance of the sum of a service's shares, for decimal fractions such as 0.7 + 0.2 + 0.1.
const SUM_TOLERANCE: f64 = 1e-9;

/// A share from 0 to 1.
struct CapacityShare(f64);

/// Error for text that is not a [`CapacityShare`].
#[derive(Debug, Error)]
#[error("expected a share from 0 to 1")]
pub(crate) struct ShareError;

impl FromStr for CapacityShare {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let share = text.parse().map_err(|_| ShareError)?;
        // NaN is in no range.
        if (0.0..=1.0).contains(&share) {
            Ok(Self(share))
        } else {
            Err(ShareError)
        }
    }
}

/// Capacity of a service that is kept for one rank of requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CapacityReserve {
    /// Service whose capacity is reserved.
    pub(crate) service: ServiceName,
    /// Rank of the requests' routes; 0 is the highest.
    pub(crate) kind: u8,
    /// Share of the service's capacity, from 0 to 1.
    pub(crate) share: f64,
}

/// Error for text that is not a [`CapacityReserve`].
#[derive(Debug, Error)]
pub(crate) enum ReserveError {
    #[error("reserve `{0}`: expected SERVICE KIND SHARE, such as `search 0 0.3`")]
    Form(String),
    #[error("reserve `{text}`: {cause}")]
    Service { text: String, cause: NameError },
    #[error("reserve `{0}`: expected a rank from 0 to 255 as KIND")]
    Kind(String),
    #[error("reserve `{text}`: {cause}")]
    Share { text: String, cause: ShareError },
}

impl FromStr for CapacityReserve {
    type Err = ReserveError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let owned = || text.to_owned();
        let words: Vec<&str> = text.split_whitespace().collect();
        let [service, kind, share] = words[..] else {
            return Err(ReserveError::Form(owned()));
        };
        let service = service.parse().map_err(|cause| ReserveError::Service {
            text: owned(),
            cause,
        })?;
        let kind = kind.parse().map_err(|_| ReserveError::Kind(owned()))?;
        let CapacityShare(share) = share.parse().map_err(|cause| ReserveError::Share {
            text: owned(),
            cause,
        })?;
        Ok(Self {
            service,
            kind,
            share,
        })
    }
}

/// Whether service capacity is planned, and by which rules.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CapacitySettings {
    /// Whether a plan is computed and followed.
    pub(crate) mode: PlanMode,
    /// Share of its demand that every class gets first, from 0 to 1.
    pub(crate) floor: f64,
    /// Capacity kept for ranks of requests; the shares of a service add up to at most 1.
    pub(crate) reserves: Vec<CapacityReserve>,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            mode: PlanMode::Off,
            floor: DEFAULT_FLOOR,
            reserves: Vec::new(),
        }
    }
}

impl fmt::Display for CapacitySettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "capacity plan {}, floor {}", self.mode, self.floor)?;
        for reserve in &self.reserves {
            write!(
                f,
                ", reserve {} {} {}",
                reserve.service, reserve.kind, reserve.share
            )?;
        }
        Ok(())
    }
}

/// Reads the optional section.
pub(crate) fn read_capacity(document: &IniDocument, faults: &mut FaultList) -> CapacitySettings {
    let defaults = CapacitySettings::default();
    let Some(section) = document.readers("capacity").next() else {
        return defaults;
    };
    let features: Vec<String> = section.list("features", faults);
    let requested = if asks_for_capacity_plan(&features) {
        PlanMode::On
    } else {
        defaults.mode
    };
    let mode = section.or_default("plan", requested, faults);
    let CapacityShare(floor) = section.or_default("floor", CapacityShare(defaults.floor), faults);
    let reserves: Vec<CapacityReserve> = section.list("reserve", faults);
    check_reserves(&section, &reserves, faults);
    section.finish(faults);
    CapacitySettings {
        mode,
        floor,
        reserves,
    }
}

/// Checks that no rank of a service has two reserves, and that the shares of each service add
/// up to at most 1.
fn check_reserves(
    section: &SectionReader<'_>,
    reserves: &[CapacityReserve],
    faults: &mut FaultList,
) {
    let mut seen = BTreeSet::new();
    let mut totals: BTreeMap<&ServiceName, f64> = BTreeMap::new();
    for reserve in reserves {
        let (service, kind) = (&reserve.service, reserve.kind);
        if !seen.insert((service, kind)) {
            let message = format!(
                "key `reserve`: duplicate reserve `{service} {kind}`: expected one for each service and rank"
            );
            section.fault("reserve", message, faults);
        }
        *totals.entry(service).or_default() += reserve.share;
    }
    for (service, total) in totals {
        if total > 1.0 + SUM_TOLERANCE {
            let message = format!(
                "key `reserve`: the shares of `{service}` add up to {total:.3}: expected at most 1"
            );
            section.fault("reserve", message, faults);
        }
    }
}

#[cfg(test)]
mod tests {
    use onyxfall_adapter::CAPACITY_PLAN_FEATURE;

    use super::*;

    /// Parses a document with a section as the gateway does; `{feature}` stands for the word
    /// by which a deployment asks for the plan.
    fn parse(section: &str) -> Result<CapacitySettings, String> {
        let section = section.replace("{feature}", CAPACITY_PLAN_FEATURE);
        let text = format!("[vm]\nname = vm1\n{section}");
        let document = IniDocument::parse("gateway.ini", &text).map_err(|e| e.to_string())?;
        let mut faults = FaultList::new();
        document.check_headers(&["vm", "capacity"], &mut faults);
        let settings = read_capacity(&document, &mut faults);
        document.finish(faults).map_err(|e| e.to_string())?;
        Ok(settings)
    }

    struct ValidCase {
        name: &'static str,
        section: &'static str,
        expected: &'static str,
    }

    /// Guards against a plan in deployments that do not ask for one, and against a setting
    /// that is accepted without taking effect.
    #[test]
    fn valid_sections_are_read() {
        let cases = [
            ValidCase {
                name: "no section",
                section: "",
                expected: "capacity plan off, floor 0.2",
            },
            ValidCase {
                name: "no key",
                section: "[capacity]\n",
                expected: "capacity plan off, floor 0.2",
            },
            ValidCase {
                name: "no features, as the template leaves the key",
                section: "[capacity]\nfeatures =\n",
                expected: "capacity plan off, floor 0.2",
            },
            ValidCase {
                name: "other features",
                section: "[capacity]\nfeatures = streams, teams\n",
                expected: "capacity plan off, floor 0.2",
            },
            ValidCase {
                name: "the feature",
                section: "[capacity]\nfeatures = streams,{feature}\n",
                expected: "capacity plan on, floor 0.2",
            },
            ValidCase {
                name: "the key alone",
                section: "[capacity]\nplan = on\n",
                expected: "capacity plan on, floor 0.2",
            },
            ValidCase {
                name: "the key disables what the deployment asks for",
                section: "[capacity]\nfeatures = {feature}\nplan = off\n",
                expected: "capacity plan off, floor 0.2",
            },
            ValidCase {
                name: "the key freezes what the deployment asks for",
                section: "[capacity]\nplan = frozen\nfeatures = {feature}\n",
                expected: "capacity plan frozen, floor 0.2",
            },
            ValidCase {
                name: "bounds of shares; each service has its own total",
                section: "[capacity]\nfloor = 0\nreserve = a 0 1, b 0 0.7, b 1 0.2, b 2 0.1\n",
                expected: "capacity plan off, floor 0, reserve a 0 1, reserve b 0 0.7, \
                           reserve b 1 0.2, reserve b 2 0.1",
            },
        ];
        for case in cases {
            let read = parse(case.section).map(|settings| settings.to_string());
            assert_eq!(read, Ok(case.expected.to_owned()), "{}", case.name);
        }
    }

    struct InvalidCase {
        name: &'static str,
        keys: &'static str,
        /// The whole error.
        error: &'static str,
    }

    fn check_refusals(cases: &[InvalidCase]) {
        for case in cases {
            let read = parse(&format!("[capacity]\n{}", case.keys));
            assert_eq!(read, Err(case.error.to_owned()), "{}", case.name);
        }
    }

    /// Guards against a file with a fault being accepted in part, and against errors that do
    /// not name the file, the line and what was expected.
    #[test]
    fn invalid_keys_are_refused_with_line_and_expectation() {
        let cases = [
            InvalidCase {
                name: "unknown word",
                keys: "plans = on\n",
                error: "gateway.ini:4: [capacity]: unknown key `plans`: expected one of \
                        features, floor, plan, reserve",
            },
            InvalidCase {
                name: "unknown mode",
                keys: "floor = 0.1\nplan = later\n",
                error: "gateway.ini:5: [capacity]: key `plan`, value `later`: \
                        unknown mode `later`: expected off, on or frozen",
            },
            InvalidCase {
                name: "floor below 0",
                keys: "floor = -0.1\n",
                error: "gateway.ini:4: [capacity]: key `floor`, value `-0.1`: \
                        expected a share from 0 to 1",
            },
            InvalidCase {
                name: "floor above 1",
                keys: "floor = 1.1\n",
                error: "gateway.ini:4: [capacity]: key `floor`, value `1.1`: \
                        expected a share from 0 to 1",
            },
            InvalidCase {
                name: "floor NaN",
                keys: "floor = NaN\n",
                error: "gateway.ini:4: [capacity]: key `floor`, value `NaN`: \
                        expected a share from 0 to 1",
            },
            InvalidCase {
                name: "floor without a number",
                keys: "floor = much\n",
                error: "gateway.ini:4: [capacity]: key `floor`, value `much`: \
                        expected a share from 0 to 1",
            },
            InvalidCase {
                name: "duplicate key",
                keys: "plan = on\nplan = off\n",
                error: "gateway.ini:5: [capacity]: duplicate key `plan`",
            },
            InvalidCase {
                name: "duplicate section",
                keys: "[capacity]\nplan = on\n",
                error: "gateway.ini:4: duplicate section [capacity]",
            },
            InvalidCase {
                name: "all faults of a file",
                keys: "plan = later\nfloor = 2\n",
                error: "gateway.ini:4: [capacity]: key `plan`, value `later`: \
                        unknown mode `later`: expected off, on or frozen\n\
                        gateway.ini:5: [capacity]: key `floor`, value `2`: \
                        expected a share from 0 to 1",
            },
        ];
        check_refusals(&cases);
    }
    /// Guards against reserves that the plan cannot meet, or whose meaning is ambiguous.
    #[test]
    fn invalid_reserves_are_refused_with_line_and_expectation() {
        let cases = [
            InvalidCase {
                name: "share below 0",
                keys: "reserve = a 0 -0.1\n",
                error: "gateway.ini:4: [capacity]: key `reserve`: reserve `a 0 -0.1`: \
                        expected a share from 0 to 1",
            },
            InvalidCase {
                name: "one share above 1",
                keys: "reserve = a 0 1.5\n",
                error: "gateway.ini:4: [capacity]: key `reserve`: reserve `a 0 1.5`: \
                        expected a share from 0 to 1",
            },
            InvalidCase {
                name: "share NaN",
                keys: "reserve = a 0 NaN\n",
                error: "gateway.ini:4: [capacity]: key `reserve`: reserve `a 0 NaN`: \
                        expected a share from 0 to 1",
            },
            InvalidCase {
                name: "shares above 1 in total",
                keys: "plan = on\nreserve = a 0 0.6, b 0 0.6, a 1 0.5\n",
                error: "gateway.ini:5: [capacity]: key `reserve`: the shares of `a` add up to \
                        1.100: expected at most 1",
            },
            InvalidCase {
                name: "duplicate reserve",
                keys: "reserve = a 0 0.1, a 1 0.1, a 0 0.2\n",
                error: "gateway.ini:4: [capacity]: key `reserve`: duplicate reserve `a 0`: \
                        expected one for each service and rank",
            },
            InvalidCase {
                name: "reserve without a share",
                keys: "reserve = a 0\n",
                error: "gateway.ini:4: [capacity]: key `reserve`: reserve `a 0`: \
                        expected SERVICE KIND SHARE, such as `search 0 0.3`",
            },
            InvalidCase {
                name: "rank out of range",
                keys: "reserve = a 256 0.1\n",
                error: "gateway.ini:4: [capacity]: key `reserve`: reserve `a 256 0.1`: \
                        expected a rank from 0 to 255 as KIND",
            },
            InvalidCase {
                name: "no name of a service",
                keys: "reserve = A 0 0.1\n",
                error: "gateway.ini:4: [capacity]: key `reserve`: reserve `A 0 0.1`: `A` is \
                        not a name: expected 1 to 63 of a-z, 0-9, `-`, `_`, `.`",
            },
        ];
        check_refusals(&cases);
    }
}
