//! Rollouts: how the traffic of a service shifts to servers of a new version, and when the
//! new version is aborted.
//!
//! The operator orders a version ([`RolloutOrder`]) whose servers start beside the old
//! ones. Each VM sends a small canary share of its requests to it ([`CanaryShare`]), counts
//! their outcomes ([`RolloutEvidence`]) and adds the counts of the other VMs of its region.
//! Every VM with these counts closes a version that does worse than the old one at once
//! ([`judge`]), and a record in the store makes this permanent. A version that does as well
//! takes over region by region, late in the time given by the operator
//! ([`RolloutTimeline`]): until then it usually gets at most a twentieth of the requests.
//!
//! Pure code: no I/O, no clock; the gateway transfers records and counts. Invariants: no
//! request is sent to a closed version, by any path; a record changes only from running to
//! one of its final states, by a compare-and-swap on the revision that was read.

mod canary;
mod evidence;
mod history;
mod judge;
mod order;
mod record;
mod service;
mod table;
mod timeline;
mod unanswered;

pub use canary::CanaryShare;
pub use evidence::{
    EvidenceCounts, EvidenceTag, ResponseOutcome, RolloutEvidence, SLOW_RATIOS, VersionSide,
};
pub use judge::{BadMetric, RolloutJudgement, judge};
pub use order::{LONGEST_ROLLOUT, RolloutOrder};
pub use record::{RolloutReason, RolloutRecord, RolloutState};
pub use service::{RolloutPhase, ServerCounts, VersionRule};
pub use table::{RolloutStatus, RolloutTable, RolloutWrite, StoreWriter};
pub use timeline::RolloutTimeline;
