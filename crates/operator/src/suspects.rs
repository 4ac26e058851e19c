//! What gateways refuse because servers crash under it, read from their metrics, and the end of
//! such a verdict by an operator's order.
//!
//! All VMs exchange the evidence, so that their reports agree but for some tenths of a second,
//! and an order to one VM reaches the others. The report shows the longest time left of each
//! request or part, and the VMs that know it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_suspects::{EvidenceKey, PartScope};
use thiserror::Error;

use crate::status_port::status_agent;
use crate::versions::{MetricLabels, parse_labels};

/// Team of the prompts of callers without one, in labels of metrics.
const NO_TEAM: &str = "none";
/// Most characters of a response that an error shows.
const SHOWN_CHARACTERS: usize = 100;

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

    /// Key of the evidence; none if the labels name no service, team or number.
    fn key(&self) -> Option<EvidenceKey> {
        match self {
            Self::Part { service, team, id } => {
                let service = service.parse().ok()?;
                let team = match team.as_str() {
                    NO_TEAM => None,
                    team => Some(team.parse().ok()?),
                };
                let hash = u64::from_str_radix(id, 16).ok()?;
                Some(PartScope::of(&service, team.as_ref()).key(hash))
            }
            Self::Request { id } => id.parse().ok(),
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
            if let Some(key) = suspect.key() {
                write!(f, ", key {key}")?;
            }
            let vms: Vec<&str> = figures.vms.iter().map(String::as_str).collect();
            writeln!(f, " ({})", vms.join(" "))?;
        }
        Ok(())
    }
}

/// Error of lifting a verdict.
#[derive(Debug, Error)]
pub enum LiftError {
    /// No response was received.
    #[error(
        "{address}: cannot be reached: {cause}; expected the address at which a gateway serves readiness and metrics"
    )]
    Unreachable {
        /// Queried address.
        address: SocketAddr,
        /// Error of the connection.
        cause: Box<ureq::Error>,
    },
    /// The VM did not lift the verdict, or the program at the address is no such gateway.
    #[error("{address}: status {status} ({detail}): expected 200")]
    Status {
        /// Queried address.
        address: SocketAddr,
        /// Status of the response.
        status: u16,
        /// Beginning of the response.
        detail: String,
    },
}

/// Lifts the verdict on a key at the VM whose status port is at `address`, which tells all others.
///
/// # Errors
///
/// The address does not respond within `timeout`, or the VM has no evidence against the key.
///
/// ```
/// use std::time::Duration;
/// use onyxfall_operator::{LiftError, lift_suspect};
/// let nobody = "127.0.0.1:1".parse().unwrap();
/// let key = "00112233445566778899aabbccddeeff".parse().unwrap();
/// let result = lift_suspect(nobody, key, Duration::from_secs(1));
/// assert!(matches!(result, Err(LiftError::Unreachable { .. })));
/// ```
pub fn lift_suspect(
    address: SocketAddr,
    key: EvidenceKey,
    timeout: Duration,
) -> Result<(), LiftError> {
    let unreachable = |cause| LiftError::Unreachable {
        address,
        cause: Box::new(cause),
    };
    let url = format!("http://{address}{}{key}", EvidenceKey::VERDICTS_PATH);
    let response = status_agent(timeout).delete(url).call();
    let mut response = response.map_err(unreachable)?;
    let status = response.status().as_u16();
    if status == 200 {
        return Ok(());
    }
    let body = response.body_mut().read_to_vec().map_err(unreachable)?;
    let text = String::from_utf8_lossy(&body);
    let detail = text.trim().chars().take(SHOWN_CHARACTERS).collect();
    Err(LiftError::Status {
        address,
        status,
        detail,
    })
}
