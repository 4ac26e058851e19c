//! Failures of calls, and whether a failed call may have taken effect.

use onyxfall_types::RunVerdict;
use thiserror::Error;

/// Reason for which a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformFailure {
    /// The client's own rate limit was exceeded; the call was not sent.
    #[error("rate limit of the client exceeded; call not sent")]
    ClientRateLimited,
    /// The service rejected the call because of its rate limit.
    #[error("rejected by the rate limit of the service")]
    RateLimited,
    /// The service could not be reached, or the connection was lost.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The service returned an error status.
    #[error("status {status}: {detail}")]
    Status {
        /// HTTP status of the response.
        status: u16,
        /// Start of the response body.
        detail: String,
    },
    /// The response does not conform to the protocol.
    #[error("malformed response: {0}")]
    Malformed(String),
}

/// A failed call, and whether it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("platform {call}: {failure} ({verdict})")]
pub struct PlatformError {
    /// Name of the call.
    pub call: &'static str,
    /// Reason of the failure.
    pub failure: PlatformFailure,
    /// Whether the call may have taken effect.
    pub verdict: RunVerdict,
}
