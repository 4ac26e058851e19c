//! Wire protocol between VMs.
//!
//! A frame is a length prefix (4 bytes, big endian) followed by one [`PeerFrame`] in Protocol
//! Buffers. `prost` derives the encoding from the types, so no code generator is needed.
//! Unknown fields and unknown payloads are ignored, so that VMs of different versions can
//! communicate during an upgrade.
//!
//! Between entries, frames carry requests (open, head, data, credit, end, cancel), control
//! traffic (heartbeat, pong, load of a data centre) and configuration (records, contents).
//! A stream is identified by the incarnations at both ends of the connection and the attempt
//! id, which its sender never reuses.

mod class;
mod codec;
mod frame;
mod member;
mod message;
mod packed;
mod stream_message;
mod window;

pub use class::FrameClass;
pub use codec::PeerCodec;
pub use frame::{FrameError, FrameReader, FrameWriter, MAX_FRAME};
pub use message::{
    AttemptCancel, CenterLoad, ClassFlowEntry, ContentRequest, ContentText, CreditGrant,
    DrainEntry, EntryHeartbeat, EvidenceEntry, LostInstanceEntry, MemberEntry, MemberSet,
    MembersRequest, ModelLoad, OpenMode, OpenRequest, PeerFrame, PeerHello, PeerPayload,
    PingRequest, PongReply, RecordSet, RecordsRequest, RegionLoadEntry, ReplyData, ReplyEnd,
    ReplyHead, ServerLoad, ServerWorkEntry, ServiceCostEntry, ServiceLoadEntry, SnapshotItem,
    SnapshotRequest, StoreDelta, StoreSnapshot, SuspectEntry, TeamDemandEntry, VmEntry,
    VmRosterUpdate, VmUpdate, WorkSet,
};
pub use packed::{PackError, pack_items, unpack_items};
pub use stream_message::{
    ClaimKind, StreamAnswer, StreamQuestion, StreamRecord, StreamRecords, VersionHistoryEntry,
    VersionHistorySet,
};
pub use window::{CreditWindow, INITIAL_CREDIT, frame_cost};

/// Version of the protocol. A peer of another version is rejected.
pub const PROTOCOL_VERSION: u32 = 1;
