//! Roll-outs: how the traffic of a service moves to servers of another version, and when
//! that version is given up.
//!
//! The operator orders a version ([`RolloutOrder`]) whose servers start beside the old
//! ones. Each VM sends a small part of its requests to it ([`CanaryShare`]), counts what
//! came of them ([`RolloutEvidence`]) and joins the counts of its region. A version that
//! does worse than the old one is closed at once by every VM that knows the counts
//! ([`judge`]), and the store's record says so. One that does as well takes over region by
//! region, late in the time that the operator gives ([`RolloutTimeline`]): until then at
//! most a twentieth of the requests reach it.
//!
//! Pure code: no I/O, no clock; the gateway carries records and counts. Invariants: no
//! request goes to a version that was closed, by whatever path; a record changes only from
//! running to one of its ends, under the condition that it is the one that was read.

mod evidence;
mod history;
mod judge;
mod order;
mod record;
mod sample;
mod service;
mod table;
mod timeline;

pub use evidence::{
    EvidenceCounts, EvidenceTag, ResponseOutcome, RolloutEvidence, SLOW_RATIOS, VersionSide,
};
pub use judge::{BadMetric, RolloutJudgement, judge};
pub use order::{LONGEST_ROLLOUT, RolloutOrder};
pub use record::{RolloutReason, RolloutRecord, RolloutState};
pub use sample::CanaryShare;
pub use service::{RolloutPhase, ServerCounts, VersionRule};
pub use table::{RolloutStatus, RolloutTable, RolloutWrite, StoreWriter};
pub use timeline::RolloutTimeline;
