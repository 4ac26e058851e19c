//! How streams go on when a server or a VM fails: which software version began a stream, so that a
//! caller can resume it at any VM, and which of two runs of a request its answer comes from
//! ([`RunRace`]), whether a run has ended at the server that lost its connection
//! ([`RunEndCheck`]), and which attempts of a request count against its limit ([`AttemptLog`]).
//!
//! Servers of several versions may serve one service side by side, and what two versions write
//! does not fit together. While a service has several versions, the VM that forwards the first
//! event of a stream records the version at a few VMs, its *owners*, which every VM computes from
//! the id of the attempt ([`stream_owners`]). A VM that receives a resumption asks the owners
//! ([`judge_resumption`]). While a service has one version, nothing is recorded: what the VMs have
//! seen of the service tells its version ([`VersionHistory`]).
//!
//! Pure code: no I/O, no clock. Invariants: a record is written once, by the VM that forwarded
//! the first event, and never changed; without a record, a version is only assumed if no VM that
//! was asked has seen another one within the life of a stream. State is bounded, and no VM
//! records more than its share of the streams.

mod attempts;
mod history;
mod judge;
mod memory;
mod owners;
mod race;
mod run_end;
mod tag;

pub use attempts::{AttemptLog, MAX_ARRIVALS, MAX_UNREACHED};
pub use history::{HISTORY, HistoryEntry, VersionClaim, VersionHistory};
pub use judge::{KnowledgeSource, OwnerAnswer, ResumptionVerdict, ViewState, judge_resumption};
pub use memory::{MAX_STREAMS, StreamMemory, StreamOrigin};
pub use owners::stream_owners;
pub use race::{RunEvent, RunRace, RunSide, RunStep};
pub use run_end::{EndStep, RunEndCheck, RunSighting};
pub use tag::{StreamTag, TagError};
