//! Frames between entry VMs.
//!
//! A frame is a length prefix (four bytes, big endian) and one [`PeerFrame`] in
//! Protocol Buffers, for which `prost` derives the code, so that no generator
//! is needed. Unknown fields and unknown payloads are ignored, so that versions
//! can be mixed while VMs are replaced.
//!
//! Frames are few: requests (open, head, data, credit, end, cancel), control
//! (beat, pong, load of a data centre) and configuration (records, contents).
//! A stream is named by the connection's two lives and the attempt id, which
//! its sender never uses again.

mod class;
mod codec;
mod frame;
mod member;
mod message;
mod packed;
mod window;

pub use class::FrameClass;
pub use codec::PeerCodec;
pub use frame::{FrameError, FrameReader, FrameWriter, MAX_FRAME};
pub use message::{
    AttemptCancel, CenterLoad, ContentRequest, ContentText, CreditGrant, DrainEntry,
    EntryHeartbeat, EvidenceEntry, LostInstanceEntry, MemberEntry, MemberSet, MembersRequest,
    ModelLoad, OpenMode, OpenRequest, PeerFrame, PeerHello, PeerPayload, PingRequest, PongReply,
    RecordSet, RecordsRequest, RegionLoadEntry, ReplyData, ReplyEnd, ReplyHead, ServerLoad,
    ServerWorkEntry, ServiceCostEntry, ServiceLoadEntry, SnapshotItem, SnapshotRequest, StoreDelta,
    StoreSnapshot, SuspectEntry, TeamDemandEntry, VmEntry, VmRosterUpdate, VmUpdate, WorkSet,
};
pub use packed::{PackError, pack_items, unpack_items};
pub use window::{CreditWindow, INITIAL_CREDIT, frame_cost};

/// Version of this protocol; a peer of another major version is refused.
pub const PROTOCOL_VERSION: u32 = 1;
