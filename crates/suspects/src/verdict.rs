//! What may be done with a request.

use std::time::Duration;

/// What may be done with a request that may have crashed servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It runs as any other. It may have been on a server that crashed, as many others
    /// were.
    Clear,
    /// It was on servers that crashed a moment ago, one after the other: whether others
    /// crash without it is seen when that is over.
    Pending {
        /// Time until then.
        left: Duration,
    },
    /// It has very likely crashed servers: it runs alone, on one VM for the whole
    /// system.
    Suspected,
    /// It has crashed servers: it does not run.
    Quarantined {
        /// Time until it may be tried again.
        left: Duration,
    },
}

impl SuspectVerdict {
    /// Word for logs.
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
