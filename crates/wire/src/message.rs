//! The messages; fields are numbered for good, new ones get new numbers.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// What it carries; absent if this version does not know it.
    #[prost(
        oneof = "PeerPayload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 19, 20, 21, 22"
    )]
    pub payload: Option<PeerPayload>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerPayload {
    /// First frame in each direction.
    #[prost(message, tag = "1")]
    Hello(PeerHello),
    /// Starts an attempt.
    #[prost(message, tag = "2")]
    Open(OpenRequest),
    /// Status and type of an answer.
    #[prost(message, tag = "3")]
    Head(ReplyHead),
    /// Part of an answer.
    #[prost(message, tag = "4")]
    Data(ReplyData),
    /// Allows more of an answer.
    #[prost(message, tag = "5")]
    Credit(CreditGrant),
    /// Ends an attempt.
    #[prost(message, tag = "6")]
    End(ReplyEnd),
    /// Gives an attempt up.
    #[prost(message, tag = "7")]
    Cancel(AttemptCancel),
    /// Heartbeat and load of an entry.
    #[prost(message, tag = "8")]
    Beat(EntryHeartbeat),
    /// Answer to a heartbeat.
    #[prost(message, tag = "9")]
    Pong(PongReply),
    /// Load of a data centre, with grants for the receiver's.
    #[prost(message, tag = "10")]
    Load(CenterLoad),
    /// Asks for region records.
    #[prost(message, tag = "11")]
    RecordsRequest(RecordsRequest),
    /// Region records.
    #[prost(message, tag = "12")]
    Records(RecordSet),
    /// Asks for a bundle's text.
    #[prost(message, tag = "13")]
    ContentRequest(ContentRequest),
    /// A bundle's text with its signatures.
    #[prost(message, tag = "14")]
    Content(ContentText),
    /// Asks for a sign of life on a link that carries no heartbeats.
    #[prost(message, tag = "15")]
    Ping(PingRequest),
    /// Asks for the members of a data centre.
    #[prost(message, tag = "16")]
    MembersRequest(MembersRequest),
    /// The members of a data centre.
    #[prost(message, tag = "17")]
    Members(MemberSet),
    /// What one VM of the overlay tells another.
    #[prost(message, tag = "22")]
    Update(Box<VmUpdate>),
    /// Asks for a copy of the store.
    #[prost(message, tag = "19")]
    SnapshotRequest(SnapshotRequest),
    /// A copy of the store.
    #[prost(message, tag = "20")]
    Snapshot(StoreSnapshot),
    /// Changes of the store, from a VM that watches it.
    #[prost(message, tag = "21")]
    Delta(StoreDelta),
}

impl From<PeerPayload> for PeerFrame {
    fn from(payload: PeerPayload) -> Self {
        Self {
            payload: Some(payload),
        }
    }
}

/// Who is at the other end.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// [`crate::PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Name of the deployment.
    #[prost(string, tag = "2")]
    pub deployment: String,
    /// The VM itself, among entries.
    #[prost(message, optional, tag = "3")]
    pub member: Option<MemberEntry>,
    /// The VM itself, among gateways.
    #[prost(message, optional, tag = "4")]
    pub vm: Option<VmEntry>,
}

/// A member as in a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct MemberEntry {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub center: String,
    /// Its region.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Its life.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether it is stopping by plan.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Where callers reach it.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Where other entries reach it.
    #[prost(string, tag = "7")]
    pub peer_address: String,
}

/// Why a request is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum OpenMode {
    /// Sent away for capacity; runs there or is refused.
    Away = 0,
    /// Passed to the issuer of its ticket.
    Ticket = 1,
}

/// Starts an attempt; a request passed on once is never passed on again.
#[derive(Clone, PartialEq, Message)]
pub struct OpenRequest {
    /// Attempt, unique in the sender's life.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Why it is passed on.
    #[prost(enumeration = "OpenMode", tag = "2")]
    pub mode: i32,
    /// Request id.
    #[prost(string, tag = "3")]
    pub request_id: String,
    /// Request kind.
    #[prost(string, tag = "4")]
    pub kind: String,
    /// HTTP method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// HTTP path for the backend server.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Content type of the body.
    #[prost(string, tag = "7")]
    pub content_type: String,
    /// Body.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: bytes::Bytes,
    /// Home region; empty if the caller named none.
    #[prost(string, tag = "9")]
    pub home: String,
    /// Regions in which the sender allows it.
    #[prost(string, repeated, tag = "10")]
    pub allowed: Vec<String>,
    /// Time left until the deadline.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
    /// W3C trace context.
    #[prost(string, tag = "12")]
    pub traceparent: String,
    /// Hash of the prompt prefix; 0 for none.
    #[prost(fixed64, tag = "13")]
    pub prefix: u64,
    /// Ticket; empty for none.
    #[prost(string, tag = "14")]
    pub ticket: String,
}

/// Status and type of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct ReplyHead {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type.
    #[prost(string, tag = "3")]
    pub content_type: String,
}

/// Part of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct ReplyData {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Bytes, in order.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}

/// Allows more of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct CreditGrant {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Further credit, in bytes.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Ends an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct ReplyEnd {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Verdict, in its header form.
    #[prost(string, tag = "2")]
    pub verdict: String,
    /// Refusal reason; empty if the answer is whole.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Detail for people.
    #[prost(string, tag = "4")]
    pub detail: String,
    /// When to come back; 0 for no advice.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// Gives an attempt up.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptCancel {
    /// Attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Heartbeat and load of an entry, to the other entries of its data centre.
#[derive(Clone, PartialEq, Message)]
pub struct EntryHeartbeat {
    /// Number within the sender's life.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether the sender is stopping by plan.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Reports of the servers that the sender observes.
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<ServerLoad>,
    /// Work that waits in the sender, per model.
    #[prost(message, repeated, tag = "4")]
    pub queues: Vec<ModelLoad>,
    /// Drains that the sender knows.
    #[prost(message, repeated, tag = "5")]
    pub drains: Vec<DrainEntry>,
    /// Hash of the sender's region records.
    #[prost(fixed64, tag = "6")]
    pub records: u64,
    /// Life of the receiver that the sender knows.
    #[prost(uint64, tag = "7")]
    pub receiver_incarnation: u64,
    /// Hash of the serving members of the sender's data centre.
    #[prost(fixed64, tag = "9")]
    pub members: u64,
}

/// Report of one server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerLoad {
    /// [`onyxfall_types::name_tag`] of the server.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Life of the server.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Requests that it works on.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests that wait in it.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Whether it has stopped reporting.
    #[prost(bool, tag = "6")]
    pub silent: bool,
}

/// Load of one model.
#[derive(Clone, PartialEq, Message)]
pub struct ModelLoad {
    /// [`onyxfall_types::name_tag`] of the model.
    #[prost(fixed32, tag = "1")]
    pub model: u32,
    /// Service time of what waits.
    #[prost(uint32, tag = "2")]
    pub queued_ms: u32,
    /// Free slots.
    #[prost(uint32, tag = "3")]
    pub free: u32,
    /// Expected wait.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// Requests that the receiver's data centre may have under way.
    #[prost(uint32, tag = "5")]
    pub grant: u32,
    /// Requests of other data centres under way, by center tag, flattened.
    #[prost(uint32, repeated, tag = "6")]
    pub from_away: Vec<u32>,
}

/// A drain.
#[derive(Clone, PartialEq, Message)]
pub struct DrainEntry {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Life that is leaving.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Asks for a sign of life.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Answer to a heartbeat or a ping.
#[derive(Clone, PartialEq, Message)]
pub struct PongReply {
    /// Number of the heartbeat.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Load of a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct CenterLoad {
    /// Its name.
    #[prost(string, tag = "1")]
    pub center: String,
    /// Order of its messages: seconds of the speaker's life and a number.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Per model.
    #[prost(message, repeated, tag = "3")]
    pub models: Vec<ModelLoad>,
    /// Round trip that the receiving entry measured, when it passes this on.
    #[prost(uint32, tag = "4")]
    pub rtt_us: u32,
    /// Hash of the data centre's serving members.
    #[prost(fixed64, tag = "5")]
    pub members: u64,
}

/// Asks for the members of a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct MembersRequest {
    /// Its name.
    #[prost(string, tag = "1")]
    pub center: String,
}

/// The serving members of a data centre, all of them.
#[derive(Clone, PartialEq, Message)]
pub struct MemberSet {
    /// Its name.
    #[prost(string, tag = "1")]
    pub center: String,
    /// The members.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<MemberEntry>,
}

/// Asks for region records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {}

/// Region records, as JSON.
#[derive(Clone, PartialEq, Message)]
pub struct RecordSet {
    /// Each a region record in JSON.
    #[prost(string, repeated, tag = "1")]
    pub records: Vec<String>,
}

/// Asks for a bundle's text.
#[derive(Clone, PartialEq, Message)]
pub struct ContentRequest {
    /// Its digest.
    #[prost(string, tag = "1")]
    pub digest: String,
}

/// A bundle's text with its signatures.
#[derive(Clone, PartialEq, Message)]
pub struct ContentText {
    /// A signed bundle in JSON; empty if the sender does not hold it.
    #[prost(string, tag = "1")]
    pub bundle: String,
}

/// A VM as it describes itself.
#[derive(Clone, PartialEq, Message)]
pub struct VmEntry {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub center: String,
    /// Its life.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Changes within that life.
    #[prost(uint32, tag = "4")]
    pub change: u32,
    /// Its address: four bytes, or sixteen.
    #[prost(bytes = "bytes", tag = "5")]
    pub ip: bytes::Bytes,
    /// Port for callers.
    #[prost(uint32, tag = "6")]
    pub callers_port: u32,
    /// Port for other VMs.
    #[prost(uint32, tag = "7")]
    pub peers_port: u32,
    /// Thousandths of a core.
    #[prost(uint32, tag = "8")]
    pub millicores: u32,
    /// Whether callers may be sent there.
    #[prost(bool, tag = "9")]
    pub ready: bool,
    /// Whether it is stopping by plan.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// Whether it watches the store and reaches it.
    #[prost(bool, tag = "11")]
    pub watches_store: bool,
}

/// What one VM of the overlay tells another.
#[derive(Clone, PartialEq, Message)]
pub struct VmUpdate {
    /// Whether the sender waits for the answer; without it, a member is told when it is due.
    #[prost(bool, tag = "13")]
    pub asks: bool,
    /// What the sender is to the receiver, by the order of the relations.
    #[prost(uint32, tag = "1")]
    pub relation: u32,
    /// What the sender says of itself, if that is news on the link.
    #[prost(message, optional, tag = "2")]
    pub record: Option<VmEntry>,
    /// Which VMs live, if that is news on the link.
    #[prost(message, optional, tag = "3")]
    pub word: Option<VmRosterUpdate>,
    /// Work at servers of the region, if the relation tells it.
    #[prost(message, optional, tag = "4")]
    pub work: Option<WorkSet>,
    /// Whether the sender's sums are those of all its members.
    #[prost(bool, tag = "5")]
    pub is_warm: bool,
    /// Hash of its copy of the store.
    #[prost(fixed64, tag = "6")]
    pub copy_hash: u64,
    /// Revision of its copy of the store.
    #[prost(uint64, tag = "7")]
    pub copy_revision: u64,
    /// Whether its copy holds everything.
    #[prost(bool, tag = "8")]
    pub copy_is_whole: bool,
    /// What was learned of services; not in every message.
    #[prost(message, repeated, tag = "9")]
    pub costs: Vec<ServiceCostEntry>,
    /// What regions have free, if that is news on the link.
    #[prost(message, repeated, tag = "10")]
    pub regions: Vec<RegionLoadEntry>,
    /// Requests that were on servers that broke off, if that is news on the link.
    #[prost(message, repeated, tag = "11")]
    pub suspects: Vec<SuspectEntry>,
    /// Lives of servers that broke off, if that is news on the link.
    #[prost(message, repeated, tag = "12")]
    pub lost_lives: Vec<LostInstanceEntry>,
}

/// A request that was on servers that broke off.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectEntry {
    /// Digest of its content and caller.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// Tags of the servers' lives.
    #[prost(fixed64, repeated, tag = "2")]
    pub lives: Vec<u64>,
    /// How long ago each broke off, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ages_ms: Vec<u32>,
    /// How often each had survived before.
    #[prost(uint32, repeated, tag = "4")]
    pub survivals: Vec<u32>,
    /// How often it ran to a good end after servers had broken off under it.
    #[prost(uint32, tag = "5")]
    pub good_runs: u32,
}

/// A life of a server that broke off.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LostInstanceEntry {
    /// Its tag.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// How often it gave a sign of life after it had broken off.
    #[prost(uint32, tag = "2")]
    pub survivals: u32,
    /// How long ago it broke off since the last of these, in milliseconds, if it did.
    #[prost(uint32, optional, tag = "3")]
    pub lost_ms: Option<u32>,
}

/// Which VMs live: whole at first, then what has changed.
#[derive(Clone, PartialEq, Message)]
pub struct VmRosterUpdate {
    /// Whom it names, by the order of the scopes.
    #[prost(uint32, tag = "1")]
    pub scope: u32,
    /// Whether it replaces every earlier word on the link.
    #[prost(bool, tag = "2")]
    pub is_whole: bool,
    /// VMs that are new, or have changed.
    #[prost(message, repeated, tag = "3")]
    pub vms: Vec<VmEntry>,
    /// Names of VMs that are no longer vouched for.
    #[prost(string, repeated, tag = "4")]
    pub gone: Vec<String>,
}

/// Work at servers: whole at first, then what has changed.
#[derive(Clone, PartialEq, Message)]
pub struct WorkSet {
    /// Whether servers that are not named have none.
    #[prost(bool, tag = "1")]
    pub is_whole: bool,
    /// Work by server.
    #[prost(message, repeated, tag = "2")]
    pub servers: Vec<ServerWorkEntry>,
}

/// What a region has free.
#[derive(Clone, PartialEq, Message)]
pub struct RegionLoadEntry {
    /// Its name.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Age of the word when it was sent.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// What is free, by service.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceLoadEntry>,
    /// What teams with limits ask of the region.
    #[prost(message, repeated, tag = "4")]
    pub teams: Vec<TeamDemandEntry>,
    /// What came of requests during roll-outs.
    #[prost(message, repeated, tag = "5")]
    pub evidence: Vec<EvidenceEntry>,
}

/// Counts of answers of one version on one route.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceEntry {
    /// Short name of the counts.
    #[prost(fixed32, tag = "1")]
    pub tag: u32,
    /// Answers, failures, those whose time is known, and the slow ones in steps.
    #[prost(uint64, repeated, tag = "2")]
    pub figures: Vec<u64>,
}

/// What one team asks of a region.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TeamDemandEntry {
    /// Tag of the team's name.
    #[prost(fixed32, tag = "1")]
    pub team: u32,
    /// Units of its limit a second.
    #[prost(uint64, tag = "2")]
    pub demand: u64,
}

/// What a region has free of one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoadEntry {
    /// Tag of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Expected time to a first byte for a usual request, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// Servers that take work.
    #[prost(uint32, tag = "3")]
    pub usable: u32,
    /// Expected time between two events of an answer, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub pace_ms: u32,
    /// The part of the wait that is others' work, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub backlog_ms: u32,
    /// Thousandths of a request a second that a plain service has to spare.
    #[prost(uint32, tag = "6")]
    pub spare: u32,
}

/// Work of one VM, or of several, at one server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerWorkEntry {
    /// Tag of the server's name.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Requests under way.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens not yet read, by urgency from the most urgent on.
    #[prost(uint64, repeated, tag = "5")]
    pub unread: Vec<u64>,
    /// Tokens of memory that the requests will hold.
    #[prost(uint64, tag = "4")]
    pub memory: u64,
    /// Tokens a second that flow into the server's memory.
    #[prost(uint64, tag = "6")]
    pub flow: u64,
    /// VMs that have had a sign of life of the server lately.
    #[prost(uint32, tag = "7")]
    pub good: u32,
    /// VMs that miss one.
    #[prost(uint32, tag = "8")]
    pub bad: u32,
    /// VMs that have read in its answers how many requests a second it takes.
    #[prost(uint32, tag = "9")]
    pub limit_vms: u32,
    /// Sum of what they read, in thousandths of a request a second.
    #[prost(uint64, tag = "10")]
    pub limit_thousandths: u64,
}

/// What a VM has learned of the costs of a service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceCostEntry {
    /// Tag of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Weights of the time to a first byte.
    #[prost(float, repeated, tag = "2")]
    pub first: Vec<f32>,
    /// Answers behind them.
    #[prost(uint32, tag = "3")]
    pub first_samples: u32,
    /// Weights of the time between two events.
    #[prost(float, repeated, tag = "4")]
    pub pace: Vec<f32>,
    /// Answers behind them.
    #[prost(uint32, tag = "5")]
    pub pace_samples: u32,
    /// Milliseconds of a request to a plain service.
    #[prost(float, tag = "6")]
    pub plain_ms: f32,
    /// Answers behind it.
    #[prost(uint32, tag = "7")]
    pub plain_samples: u32,
    /// VMs behind all of these.
    #[prost(uint32, tag = "8")]
    pub vms: u32,
}

/// Asks for the peer's copy of the store.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Whether the one who asks understands packed items.
    #[prost(bool, tag = "1")]
    pub takes_packed: bool,
}

/// A copy of the store.
#[derive(Clone, PartialEq, Message)]
pub struct StoreSnapshot {
    /// Revision that it reflects.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Its items.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<SnapshotItem>,
    /// Whether what is missing in it is gone for good: the sender's copy is current,
    /// and holds no item that may come back.
    #[prost(bool, tag = "3")]
    pub is_steady: bool,
    /// Number of this part of the copy; the first is 0.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// Whether further parts follow.
    #[prost(bool, tag = "5")]
    pub has_more: bool,
    /// Items that are packed, beside those that are not.
    #[prost(bytes = "bytes", tag = "6")]
    pub packed: bytes::Bytes,
}

impl StoreSnapshot {
    /// Its bytes in a frame.
    ///
    /// ```
    /// use onyxfall_wire::StoreSnapshot;
    /// assert_eq!(StoreSnapshot::default().bytes(), 0);
    /// ```
    pub fn bytes(&self) -> usize {
        self.encoded_len()
    }
}

/// Changes of a copy of the store.
#[derive(Clone, PartialEq, Message)]
pub struct StoreDelta {
    /// Revision that the sender's copy reflects.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Items as they were written; large ones are left out.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<SnapshotItem>,
    /// Keys that are gone.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
    /// Revision of the sender's copy before these changes.
    #[prost(uint64, tag = "4")]
    pub base: u64,
    /// Whether items were left out for their size.
    #[prost(bool, tag = "5")]
    pub is_partial: bool,
    /// The items that were left out, packed; empty if they are too large for that.
    #[prost(bytes = "bytes", tag = "6")]
    pub packed: bytes::Bytes,
}

/// One item of a copy of the store.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotItem {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
    /// Revision of its last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}
