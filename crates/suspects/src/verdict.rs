//! Verdicts on requests.

use std::time::Duration;

use crate::key::EvidenceKey;

/// Verdict on a request that may have crashed servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// The request runs normally. It may have been running on a server that crashed, as
    /// many other requests were.
    Clear,
    /// The request, or one with a part of its prompt, was running on several servers that crashed
    /// a moment ago. It waits until it is known whether servers that did not run such a request
    /// crashed in the same burst.
    Pending {
        /// Time until the end of the burst.
        left: Duration,
    },
    /// The request or a part of its prompt has very likely crashed servers: it runs alone, on one
    /// VM of the whole system.
    Suspected,
    /// The request or a part of its prompt has crashed servers: it does not run.
    Quarantined {
        /// Time until the request may be tried again.
        left: Duration,
    },
}

impl SuspectVerdict {
    /// Order by how much a verdict holds a request back, and for how long.
    pub(crate) fn severity(self) -> (u8, Duration) {
        match self {
            Self::Clear => (0, Duration::ZERO),
            Self::Suspected => (1, Duration::ZERO),
            Self::Pending { left } => (2, left),
            Self::Quarantined { left } => (3, left),
        }
    }

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

/// Verdict on a request, and the key that it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallJudgement {
    /// The verdict.
    pub verdict: SuspectVerdict,
    /// The key with the evidence; that of the request itself if the verdict is clear. Requests
    /// that cannot be told apart by the evidence have the same one.
    pub key: EvidenceKey,
}

/// Evidence against a key, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectSummary {
    /// The key.
    pub key: EvidenceKey,
    /// The verdict on requests with the key and those in `together`.
    pub verdict: SuspectVerdict,
    /// Number of crashes that count against it.
    pub crashes: u32,
    /// Time since the latest of them.
    pub age: Duration,
    /// Keys that were on the same servers, so that requests without them are tested alone.
    pub together: Vec<EvidenceKey>,
}
