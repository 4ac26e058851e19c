//! Usage of team limits, summed over the metrics of gateways.
//!
//! Each gateway reports, per team, the units that it admitted, refused and gave back,
//! the team's limit and the current demand. A limit applies to the sum over all VMs, so
//! usage is summed. The versions in force show which VMs are behind.

use std::collections::BTreeMap;
use std::fmt;

/// Usage of one team, summed over the queried VMs, in units of its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct TeamUsage {
    limit: f64,
    demand: f64,
    admitted: f64,
    refused: f64,
    given_back: f64,
}

/// Usage of all teams, summed over the queried VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamReport {
    teams: BTreeMap<String, TeamUsage>,
    /// VMs by the configuration version that they report as in force.
    versions: BTreeMap<String, Vec<String>>,
}

impl TeamReport {
    /// Adds the metrics of a VM.
    ///
    /// ```
    /// use onyxfall_operator::TeamReport;
    /// let mut report = TeamReport::default();
    /// report.read("vm1", "onyxfall_team_limit{team=\"a\"} 10\n");
    /// report.read("vm2", "onyxfall_team_demand{team=\"a\"} 4\n");
    /// assert!(report.to_string().contains("a"));
    /// ```
    pub fn read(&mut self, vm: &str, metrics: &str) {
        for line in metrics.lines() {
            if let Some(version) = line.strip_prefix("onyxfall_config_version ") {
                let vms = self.versions.entry(version.to_owned()).or_default();
                vms.push(vm.to_owned());
            }
            self.add_line(line);
        }
    }

    fn add_line(&mut self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once("{team=\"")?;
        let (team, rest) = rest.split_once('"')?;
        let (labels, value) = rest.split_once("} ")?;
        let value: f64 = value.parse().ok()?;
        let usage = self.teams.entry(team.to_owned()).or_default();
        match (name, labels) {
            // A limit applies to all VMs together, so it is not summed. A VM that is
            // behind may report an older limit.
            ("onyxfall_team_limit", _) => usage.limit = value,
            ("onyxfall_team_demand", _) => usage.demand += value,
            ("onyxfall_team_units_total", ",outcome=\"admitted\"") => usage.admitted += value,
            ("onyxfall_team_units_total", ",outcome=\"refused\"") => usage.refused += value,
            ("onyxfall_team_units_total", ",outcome=\"given-back\"") => usage.given_back += value,
            _ => {}
        }
        Some(())
    }

    /// Whether no VM reported a team.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }
}

impl fmt::Display for TeamReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<24} {:>12} {:>12} {:>14} {:>14} {:>12}",
            "team", "limit/s", "asked/s", "admitted", "refused", "given back"
        )?;
        for (team, usage) in &self.teams {
            writeln!(
                f,
                "{team:<24} {:>12.0} {:>12.0} {:>14.0} {:>14.0} {:>12.0}",
                usage.limit, usage.demand, usage.admitted, usage.refused, usage.given_back
            )?;
        }
        for (version, vms) in &self.versions {
            writeln!(f, "version {version}: {}", vms.join(" "))?;
        }
        Ok(())
    }
}
