//! Verdicts on requests.

use std::time::Duration;

/// Verdict on a request that may have crashed servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// The request runs normally. It may have been running on a server that crashed, as
    /// many other requests were.
    Clear,
    /// The request was running on several servers that crashed a moment ago. It waits until
    /// it is known whether servers that did not run it crashed in the same burst.
    Pending {
        /// Time until the end of the burst.
        left: Duration,
    },
    /// The request has very likely crashed servers: it runs alone, on one VM of the whole
    /// system.
    Suspected,
    /// The request has crashed servers: it does not run.
    Quarantined {
        /// Time until the request may be tried again.
        left: Duration,
    },
}

impl SuspectVerdict {
    /// Name of the verdict in logs.
    ///
    /// ```
    /// use onyxfall_suspects::SuspectVerdict;
    /// assert_eq!(SuspectVerdict::Suspected.as_str(), "suspected");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Pending { .. } => "pending",
            Self::Suspected => "suspected",
            Self::Quarantined { .. } => "quarantined",
        }
    }
}
