//! Failures of a call, with what is known about its effect.

use onyxfall_types::RunVerdict;
use thiserror::Error;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformFailure {
    /// Our own ration is used up; the call was not sent.
    #[error("own ration of calls is used up")]
    Rationed,
    /// The service refused the call for its rate limit.
    #[error("refused for its rate limit")]
    RateLimited,
    /// The service could not be reached, or the link broke.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The service answered with an error.
    #[error("answered {status}: {detail}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Start of the answer.
        detail: String,
    },
    /// The answer is not what the protocol says.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A failed call and whether a write in it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("platform {call}: {failure} ({verdict})")]
pub struct PlatformError {
    /// Name of the call.
    pub call: &'static str,
    /// Why it failed.
    pub failure: PlatformFailure,
    /// Whether its effect may have happened.
    pub verdict: RunVerdict,
}
