//! The overlay network between VMs: which VM sends which state to which other VM.
//!
//! A full mesh costs each VM messages, connections and work that grow with the
//! fleet. Here a few VMs of each data centre are *aggregators*: the others report to
//! two of them and receive one digest of the state of all VMs. Aggregators of a region
//! exchange the sums of the reports that they received, and aggregators of different
//! regions exchange which VMs are alive. A region of few VMs is a full mesh of
//! aggregators without members.
//!
//! There is no consensus: every VM computes the aggregators from the VMs that it sees
//! ([`Roster`]), largest first. Views that differ temporarily only cost bytes or delay.
//! This crate does no I/O and reads no clock; the gateway carries frames between
//! [`OverlayNode`]s.
//!
//! Invariants: a VM never forwards second-hand liveness as its own observation
//! ([`Evidence`]); the work of a VM is counted at one aggregator only ([`WorkTotals`]).

mod evidence;
mod levels;
mod node;
mod plan;
mod record;
mod roster;
mod totals;
mod update;

pub use evidence::{Evidence, UpdateScope};
pub use levels::{FleetLevels, GROUP_VMS, MESH_VMS};
pub use node::{LinkState, OverlayNode, OverlayUpdate};
pub use plan::{LinkPlan, LinkRelation, PlannedLink};
pub use record::{CapacityError, RecordVersion, ServiceSet, VmCapacity, VmRecord, VmStatus};
pub use roster::{KnownVm, Roster, RosterTiming};
pub use totals::{
    ReceivedWork, ServerTag, WorkCursor, WorkEntry, WorkOrigin, WorkTotals, WorkUpdate, WorkView,
};
pub use update::{RosterCursor, RosterUpdate};
