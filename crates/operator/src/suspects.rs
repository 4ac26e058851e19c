//! What gateways refuse because servers crash under it, read from their metrics.
//!
//! All VMs exchange the evidence, so that their reports agree but for some tenths of a second.
//! The report shows the longest time left of each request or part, and the VMs that know it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::versions::{MetricLabels, parse_labels};

/// A request, or a part of the prompts of a service and a team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SuspectName {
    Part {
        service: String,
        team: String,
        id: String,
    },
    Request {
        id: String,
    },
}

impl SuspectName {
    fn of(labels: &MetricLabels<'_>) -> Option<Self> {
        let label = |name: &str| labels.get(name).copied().map(str::to_owned);
        let id = label("id")?;
        match labels.get("kind").copied()? {
            "part" => Some(Self::Part {
                service: label("service")?,
                team: label("team")?,
                id,
            }),
            "request" => Some(Self::Request { id }),
            _ => None,
        }
    }
}

impl fmt::Display for SuspectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part { service, team, id } => {
                write!(f, "part {id} of prompts to {service}, team {team}")
            }
            Self::Request { id } => write!(f, "request {id}"),
        }
    }
}

/// Evidence against one request or part.
#[derive(Clone, Debug, Default, PartialEq)]
struct SuspectFigures {
    seconds_left: f64,
    crashes: f64,
    together: f64,
    vms: BTreeSet<String>,
}

/// Requests and parts that the queried VMs refuse or test.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspectReport {
    suspects: BTreeMap<SuspectName, SuspectFigures>,
}

impl SuspectReport {
    /// Adds the metrics of a VM. Lines that are no evidence are left out.
    ///
    /// ```
    /// use onyxfall_operator::SuspectReport;
    /// let mut report = SuspectReport::default();
    /// let labels = "kind=\"part\",service=\"models\",team=\"none\",id=\"91bd\"";
    /// report.read("vm1", &format!("onyxfall_suspect_crashes{{{labels}}} 3\n"));
    /// assert!(report.to_string().contains("part 91bd of prompts to models"));
    /// ```
    pub fn read(&mut self, vm: &str, metrics: &str) {
        for line in metrics.lines() {
            self.add_line(vm, line);
        }
    }

    fn add_line(&mut self, vm: &str, line: &str) -> Option<()> {
        let (name, rest) = line.strip_prefix("onyxfall_suspect_")?.split_once('{')?;
        let (labels, value) = rest.split_once("} ")?;
        let value: f64 = value.parse().ok()?;
        let suspect = SuspectName::of(&parse_labels(labels))?;
        let figures = self.suspects.entry(suspect).or_default();
        figures.vms.insert(vm.to_owned());
        let figure = match name {
            "seconds_left" => &mut figures.seconds_left,
            "crashes" => &mut figures.crashes,
            "together" => &mut figures.together,
            _ => return None,
        };
        *figure = figure.max(value);
        Some(())
    }

    /// Whether no VM refuses or tests anything.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}

impl fmt::Display for SuspectReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (suspect, figures) in &self.suspects {
            write!(f, "{suspect}: {} servers crashed, ", figures.crashes)?;
            if figures.seconds_left > 0.0 {
                write!(f, "refused for {:.0} s", figures.seconds_left)?;
            } else {
                write!(f, "tested by one request at a time")?;
            }
            if figures.together > 0.0 {
                write!(f, ", on the same servers as {} others", figures.together)?;
            }
            let vms: Vec<&str> = figures.vms.iter().map(String::as_str).collect();
            writeln!(f, " ({})", vms.join(" "))?;
        }
        Ok(())
    }
}
