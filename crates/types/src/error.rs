//! Errors of requests without a complete response: the reason, and whether the request may
//! have run.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::verdict::RunVerdict;

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Reason why a request was refused or failed. The set is closed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// All reasons, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable token used in messages, metrics and problem details.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status sent to the caller.
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }
    };
}

refusal_reasons! {
    /// The request is malformed.
    BadRequest = "bad-request", 400;
    /// The request has no valid API key of a team.
    Unauthorized = "unauthorized", 401;
    /// The accepted bundle does not define the request kind.
    UnknownKind = "unknown-kind", 404;
    /// The body or a header exceeds its size limit.
    TooLarge = "too-large", 413;
    /// Residency rules do not permit the data in the region that received the request.
    Residency = "residency", 421;
    /// The caller's team has exceeded its rate limit.
    RateLimited = "rate-limited", 429;
    /// The VM has not accepted a bundle yet.
    NotReady = "not-ready", 503;
    /// The VM is shutting down.
    Stopping = "stopping", 503;
    /// The queue is full, or no permitted server has free capacity.
    Overloaded = "overloaded", 503;
    /// Servers crashed while running this request, so it is blocked for a limited time.
    Quarantined = "quarantined", 503;
    /// The software version that began the stream is unknown, or has no server left.
    Unresumable = "unresumable", 503;
    /// The deadline can no longer be met.
    Deadline = "deadline", 504;
    /// A backend server failed, or disconnected before the end of its response.
    Backend = "backend-failed", 502;
    /// The connection to another entry VM was lost.
    Peer = "peer-failed", 502;
    /// The issuer of the ticket no longer exists, or the ticket has already been used.
    Ticket = "ticket", 409;
    /// The caller cancelled the request or disconnected.
    Cancelled = "cancelled", 499;
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for RefusalReason {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|reason| reason.as_str() == text)
            .ok_or_else(|| format!("`{text}` is not a refusal reason"))
    }
}

/// Error that ends a request without a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason} ({verdict}): {detail}")]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Why the request ended.
    pub reason: RefusalReason,
    /// Human-readable explanation; never contains request data.
    pub detail: String,
    /// Delay before a retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error for a refused request, with the verdict `NotRun`.
    ///
    /// ```
    /// use onyxfall_types::{RefusalReason, RequestError, RunVerdict};
    /// let error = RequestError::not_run(RefusalReason::Overloaded, "queue full");
    /// assert_eq!(error.verdict, RunVerdict::NotRun);
    /// ```
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates an error for a failed request with the given verdict.
    pub fn failed(verdict: RunVerdict, reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            verdict,
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
