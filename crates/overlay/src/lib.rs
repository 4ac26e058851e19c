//! The overlay network between VMs: who tells whom what, as pure code.
//!
//! A full mesh costs each VM messages, connections and work that grow with the
//! fleet. Here a few VMs of each data centre are *aggregators*: the others report to
//! two of them and get back one digest of everybody's news. Aggregators of a region
//! tell each other the sum of what was reported to them, and aggregators of different
//! regions tell each other which VMs live. A region of few VMs is a mesh of
//! aggregators without members.
//!
//! Nothing is agreed: every VM works out the aggregators from the VMs that it sees
//! ([`Roster`]), largest first. Two views that differ for a moment cost bytes or age.
//! No I/O and no clock in here; the gateway carries frames between [`OverlayNode`]s.
//!
//! Invariants: what a VM is told of others never comes back as its own word
//! ([`Evidence`]); work is counted at one aggregator only ([`WorkTotals`]).

mod evidence;
mod levels;
mod node;
mod plan;
mod record;
mod roster;
mod totals;
mod word;

pub use evidence::{Evidence, UpdateScope};
pub use levels::{FleetLevels, GROUP_VMS, MESH_VMS};
pub use node::{LinkState, OverlayNode, OverlayUpdate};
pub use plan::{LinkPlan, LinkRelation, PlannedLink};
pub use record::{CapacityError, RecordVersion, VmCapacity, VmRecord, VmStatus};
pub use roster::{KnownVm, Roster, RosterTiming};
pub use totals::{
    ReceivedWork, ServerTag, WorkCursor, WorkEntry, WorkOrigin, WorkTotals, WorkUpdate, WorkView,
};
pub use word::{RosterCursor, RosterUpdate};
