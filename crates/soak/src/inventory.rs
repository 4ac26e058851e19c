//! Names of what runs bring about and check, by which the table of what others may do refers to
//! them.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::time::Duration;

use crate::callers::CallPaths;
use crate::checks::BrokenPromise;
use crate::deployment::{RequestKind, has_model_servers, has_two_versions};
use crate::plan::{RunSize, draw_plan, paces};
use crate::run::Phase;

/// A fault counts as drawn if one of these seeds draws it, at the usual size of a run.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=50;
const SIZE: RunSize = RunSize {
    vms: 6,
    servers: 6,
    time: Duration::from_secs(8),
};

/// Prints a line for each switch and each check: its kind and its name.
///
/// # Errors
///
/// The output cannot be written.
pub(crate) fn print() -> io::Result<()> {
    let mut output = io::stdout().lock();
    for name in switches() {
        writeln!(output, "switch {name}")?;
    }
    for name in BrokenPromise::NAMES {
        writeln!(output, "check {name}")?;
    }
    Ok(())
}

fn switches() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for seed in SEEDS {
        let plan = draw_plan(seed, &SIZE);
        names.extend(plan.iter().map(|planned| planned.fault.switch()));
        let phases = Phase::of_seed(seed);
        names.extend(phases.iter().map(|phase| format!("phase {phase:?}")));
        if has_model_servers(seed) {
            names.insert("ModelServers".to_owned());
        }
        if has_two_versions(seed) {
            names.insert("TwoVersions".to_owned());
        }
    }
    // Names are listed with commas between them.
    names.extend(paces().map(|pace| match pace {
        "" => "Pace empty".to_owned(),
        pace => format!("Pace {}", pace.replace(',', "")),
    }));
    for paths in [CallPaths::Usual, CallPaths::LongStreams] {
        names.insert(format!("Callers {paths:?}"));
    }
    names.extend(RequestKind::ALL.map(|kind| format!("Request {kind:?}")));
    names
}
