//! Reads the capacity plan of a gateway from its status port.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::PlanReport;
use thiserror::Error;

use crate::status_port::status_agent;

/// Error of reading a VM's capacity plan.
#[derive(Debug, Error)]
pub enum PlanError {
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
    /// The program at the address has no plan to report.
    #[error(
        "{address}: has no path {path}: expected a gateway whose build reports its capacity plan",
        path = PlanReport::PATH
    )]
    NoSuchPath {
        /// Queried address.
        address: SocketAddr,
    },
    /// The response is an error.
    #[error("{address}: status {status}: expected 200")]
    Status {
        /// Queried address.
        address: SocketAddr,
        /// Status of the response.
        status: u16,
    },
    /// The response is not a plan.
    #[error("{address}: the response is not a capacity plan in JSON: {cause}")]
    NotPlan {
        /// Queried address.
        address: SocketAddr,
        /// What was found, with its position.
        cause: serde_json::Error,
    },
}

/// Reads the capacity plan of the VM whose status port is at `address`.
///
/// # Errors
///
/// The address does not respond within `timeout`, or its response is not a plan.
///
/// ```
/// use std::time::Duration;
/// use onyxfall_operator::{PlanError, read_plan};
/// let nobody = "127.0.0.1:1".parse().unwrap();
/// let result = read_plan(nobody, Duration::from_secs(1));
/// assert!(matches!(result, Err(PlanError::Unreachable { .. })));
/// ```
pub fn read_plan(address: SocketAddr, timeout: Duration) -> Result<PlanReport, PlanError> {
    let agent = status_agent(timeout);
    let unreachable = |cause| PlanError::Unreachable {
        address,
        cause: Box::new(cause),
    };
    let url = format!("http://{address}{}", PlanReport::PATH);
    let mut response = agent.get(url).call().map_err(unreachable)?;
    match response.status().as_u16() {
        200 => {}
        404 => return Err(PlanError::NoSuchPath { address }),
        status => return Err(PlanError::Status { address, status }),
    }
    let body = response.body_mut().read_to_vec().map_err(unreachable)?;
    serde_json::from_slice(&body).map_err(|cause| PlanError::NotPlan { address, cause })
}
