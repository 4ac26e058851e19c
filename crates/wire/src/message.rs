//! Messages of the protocol.
//!
//! Invariant: the number of a field never changes and is never reused; a new field gets a
//! new number, so that versions can be mixed.

use bytes::Bytes;
use prost::{Enumeration, Message, Oneof};

/// One frame between two VMs.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// Payload of the frame; absent if its kind is unknown to this version.
    #[prost(
        oneof = "PeerPayload",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 19, 20, 21, 22"
    )]
    pub payload: Option<PeerPayload>,
}

/// Payload of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerPayload {
    /// First frame in each direction.
    #[prost(message, tag = "1")]
    Hello(PeerHello),
    /// Starts an attempt.
    #[prost(message, tag = "2")]
    Open(OpenRequest),
    /// Status and content type of a response.
    #[prost(message, tag = "3")]
    Head(ReplyHead),
    /// Part of a response body.
    #[prost(message, tag = "4")]
    Data(ReplyData),
    /// Grants credit for more of a response body.
    #[prost(message, tag = "5")]
    Credit(CreditGrant),
    /// Ends an attempt.
    #[prost(message, tag = "6")]
    End(ReplyEnd),
    /// Cancels an attempt.
    #[prost(message, tag = "7")]
    Cancel(AttemptCancel),
    /// Heartbeat and load of an entry.
    #[prost(message, tag = "8")]
    Beat(EntryHeartbeat),
    /// Response to a heartbeat or a ping.
    #[prost(message, tag = "9")]
    Pong(PongReply),
    /// Load of a data centre, with grants for the receiver's data centre.
    #[prost(message, tag = "10")]
    Load(CenterLoad),
    /// Requests the region records.
    #[prost(message, tag = "11")]
    RecordsRequest(RecordsRequest),
    /// Region records.
    #[prost(message, tag = "12")]
    Records(RecordSet),
    /// Requests the text of a bundle.
    #[prost(message, tag = "13")]
    ContentRequest(ContentRequest),
    /// Text of a bundle with its signatures.
    #[prost(message, tag = "14")]
    Content(ContentText),
    /// Requests a liveness signal on a link that carries no heartbeats.
    #[prost(message, tag = "15")]
    Ping(PingRequest),
    /// Requests the members of a data centre.
    #[prost(message, tag = "16")]
    MembersRequest(MembersRequest),
    /// Members of a data centre.
    #[prost(message, tag = "17")]
    Members(MemberSet),
    /// Update from one VM of the overlay to another.
    #[prost(message, tag = "22")]
    Update(Box<VmUpdate>),
    /// Requests a copy of the store.
    #[prost(message, tag = "19")]
    SnapshotRequest(SnapshotRequest),
    /// Copy of the store, or a part of it.
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

/// Identity of the sender, exchanged when a connection opens.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// [`crate::PROTOCOL_VERSION`] of the sender.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Name of the deployment.
    #[prost(string, tag = "2")]
    pub deployment: String,
    /// Member entry of the sender, between entries.
    #[prost(message, optional, tag = "3")]
    pub member: Option<MemberEntry>,
    /// VM entry of the sender, between gateways.
    #[prost(message, optional, tag = "4")]
    pub vm: Option<VmEntry>,
}

/// Member of a data centre, as in a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct MemberEntry {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Data centre of the VM.
    #[prost(string, tag = "2")]
    pub center: String,
    /// Region of the VM.
    #[prost(string, tag = "3")]
    pub region: String,
    /// Incarnation of the VM.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether a planned shutdown of the VM is under way.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Address of the VM for callers.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Address of the VM for other entries.
    #[prost(string, tag = "7")]
    pub peer_address: String,
}

/// Reason for which a request is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum OpenMode {
    /// Forwarded for capacity; the receiver runs or refuses it.
    Away = 0,
    /// Forwarded to the issuer of its ticket.
    Ticket = 1,
}

/// Starts an attempt. A forwarded request is never forwarded again.
#[derive(Clone, PartialEq, Message)]
pub struct OpenRequest {
    /// Attempt id, unique within the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Reason for which the request is forwarded.
    #[prost(enumeration = "OpenMode", tag = "2")]
    pub mode: i32,
    /// Id of the request.
    #[prost(string, tag = "3")]
    pub request_id: String,
    /// Kind of the request.
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
    /// Body of the request.
    #[prost(bytes = "bytes", tag = "8")]
    pub body: bytes::Bytes,
    /// Home region; empty if the caller named none.
    #[prost(string, tag = "9")]
    pub home: String,
    /// Regions in which the sender allows the request to run.
    #[prost(string, repeated, tag = "10")]
    pub allowed: Vec<String>,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
    /// W3C trace context.
    #[prost(string, tag = "12")]
    pub traceparent: String,
    /// Hash of the prompt prefix; 0 for none.
    #[prost(fixed64, tag = "13")]
    pub prefix: u64,
    /// Ticket of the request; empty for none.
    #[prost(string, tag = "14")]
    pub ticket: String,
}

/// Status and content type of a response.
#[derive(Clone, PartialEq, Message)]
pub struct ReplyHead {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Content type of the response body.
    #[prost(string, tag = "3")]
    pub content_type: String,
}

/// Part of a response body.
#[derive(Clone, PartialEq, Message)]
pub struct ReplyData {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Bytes of the body, in order.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}

/// Grants credit for more of a response body.
#[derive(Clone, PartialEq, Message)]
pub struct CreditGrant {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Additional credit in bytes.
    #[prost(uint64, tag = "2")]
    pub bytes: u64,
}

/// Ends an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct ReplyEnd {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// Verdict, in its header form.
    #[prost(string, tag = "2")]
    pub verdict: String,
    /// Reason of a refusal; empty if the response is complete.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// Human-readable detail.
    #[prost(string, tag = "4")]
    pub detail: String,
    /// Delay in milliseconds after which to retry; 0 for no advice.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// Cancels an attempt.
#[derive(Clone, PartialEq, Message)]
pub struct AttemptCancel {
    /// Attempt id.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
}

/// Heartbeat and load of an entry, sent to the other entries of its data centre.
#[derive(Clone, PartialEq, Message)]
pub struct EntryHeartbeat {
    /// Sequence number within the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether a planned shutdown of the sender is under way.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Load of the servers that the sender observes.
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<ServerLoad>,
    /// Load of work queued at the sender, by model.
    #[prost(message, repeated, tag = "4")]
    pub queues: Vec<ModelLoad>,
    /// Drains known to the sender.
    #[prost(message, repeated, tag = "5")]
    pub drains: Vec<DrainEntry>,
    /// Hash of the sender's region records.
    #[prost(fixed64, tag = "6")]
    pub records: u64,
    /// Incarnation of the receiver that is known to the sender.
    #[prost(uint64, tag = "7")]
    pub receiver_incarnation: u64,
    /// Hash of the serving members of the sender's data centre.
    #[prost(fixed64, tag = "9")]
    pub members: u64,
}

/// Load of one server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerLoad {
    /// [`onyxfall_types::name_tag`] of the server.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Incarnation of the server.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of requests that run on the server.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Number of requests queued on the server.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Whether the server is draining.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// Whether the server no longer reports.
    #[prost(bool, tag = "6")]
    pub silent: bool,
}

/// Load of one model.
#[derive(Clone, PartialEq, Message)]
pub struct ModelLoad {
    /// [`onyxfall_types::name_tag`] of the model.
    #[prost(fixed32, tag = "1")]
    pub model: u32,
    /// Service time of the queued requests, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub queued_ms: u32,
    /// Number of free slots.
    #[prost(uint32, tag = "3")]
    pub free: u32,
    /// Expected wait in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// Number of requests that the receiver's data centre may have in flight.
    #[prost(uint32, tag = "5")]
    pub grant: u32,
    /// In-flight requests from other data centres: pairs of data centre tag and count, flattened.
    #[prost(uint32, repeated, tag = "6")]
    pub from_away: Vec<u32>,
}

/// Drain of one server.
#[derive(Clone, PartialEq, Message)]
pub struct DrainEntry {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Incarnation of the server that is draining.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Requests a liveness signal.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequest {
    /// Sequence number that the response repeats.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Response to a heartbeat or a ping.
#[derive(Clone, PartialEq, Message)]
pub struct PongReply {
    /// Sequence number of the heartbeat or ping.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// Load of a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct CenterLoad {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub center: String,
    /// Order of the messages: seconds of the sender's incarnation, then a sequence number.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Load by model.
    #[prost(message, repeated, tag = "3")]
    pub models: Vec<ModelLoad>,
    /// Round-trip time in microseconds as measured by the receiving entry, set when it relays
    /// this message.
    #[prost(uint32, tag = "4")]
    pub rtt_us: u32,
    /// Hash of the serving members of the data centre.
    #[prost(fixed64, tag = "5")]
    pub members: u64,
}

/// Requests the members of a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct MembersRequest {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub center: String,
}

/// All serving members of a data centre.
#[derive(Clone, PartialEq, Message)]
pub struct MemberSet {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub center: String,
    /// Serving members of the data centre.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<MemberEntry>,
}

/// Requests the region records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {}

/// Region records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordSet {
    /// Region records, each as JSON.
    #[prost(string, repeated, tag = "1")]
    pub records: Vec<String>,
}

/// Requests the text of a bundle.
#[derive(Clone, PartialEq, Message)]
pub struct ContentRequest {
    /// Digest of the bundle.
    #[prost(string, tag = "1")]
    pub digest: String,
}

/// Text of a bundle with its signatures.
#[derive(Clone, PartialEq, Message)]
pub struct ContentText {
    /// Signed bundle as JSON; empty if the sender does not have it.
    #[prost(string, tag = "1")]
    pub bundle: String,
}

/// Description of a VM, issued by the VM itself.
#[derive(Clone, PartialEq, Message)]
pub struct VmEntry {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Data centre of the VM.
    #[prost(string, tag = "2")]
    pub center: String,
    /// Incarnation of the VM.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Number of changes to this description within the incarnation.
    #[prost(uint32, tag = "4")]
    pub change: u32,
    /// IP address of the VM: 4 bytes, or 16.
    #[prost(bytes = "bytes", tag = "5")]
    pub ip: bytes::Bytes,
    /// Port for callers.
    #[prost(uint32, tag = "6")]
    pub callers_port: u32,
    /// Port for other VMs.
    #[prost(uint32, tag = "7")]
    pub peers_port: u32,
    /// CPU capacity in thousandths of a core.
    #[prost(uint32, tag = "8")]
    pub millicores: u32,
    /// Whether callers may be directed to the VM.
    #[prost(bool, tag = "9")]
    pub ready: bool,
    /// Whether a planned shutdown of the VM is under way.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// Whether the VM watches the store and can reach it.
    #[prost(bool, tag = "11")]
    pub watches_store: bool,
    /// Services whose servers the VM does not reach, as a set of bits by hashed name.
    #[prost(fixed64, tag = "12")]
    pub unreached: u64,
}

/// Update from one VM of the overlay to another.
#[derive(Clone, PartialEq, Message)]
pub struct VmUpdate {
    /// Whether the sender waits for the response. Without this flag, a member gets the next
    /// update when it is due.
    #[prost(bool, tag = "13")]
    pub asks: bool,
    /// Relation of the sender to the receiver, as an index into the list of relations.
    #[prost(uint32, tag = "1")]
    pub relation: u32,
    /// Description of the sender, if it changed since it was last sent on the link.
    #[prost(message, optional, tag = "2")]
    pub record: Option<VmEntry>,
    /// Changes of the roster, if there are any that were not yet sent on the link.
    #[prost(message, optional, tag = "3")]
    pub word: Option<VmRosterUpdate>,
    /// Work at servers of the region, if the relation includes it.
    #[prost(message, optional, tag = "4")]
    pub work: Option<WorkSet>,
    /// Whether the sender's totals cover all its members.
    #[prost(bool, tag = "5")]
    pub is_warm: bool,
    /// Hash of the sender's copy of the store.
    #[prost(fixed64, tag = "6")]
    pub copy_hash: u64,
    /// Revision of the sender's copy of the store.
    #[prost(uint64, tag = "7")]
    pub copy_revision: u64,
    /// Whether the sender's copy of the store is complete.
    #[prost(bool, tag = "8")]
    pub copy_is_whole: bool,
    /// Time since the sender's copy of the store was last proved to be current, in milliseconds;
    /// absent if it is not complete or was never proved.
    #[prost(uint32, optional, tag = "14")]
    pub copy_age_ms: Option<u32>,
    /// Learned costs of services; not in every message.
    #[prost(message, repeated, tag = "9")]
    pub costs: Vec<ServiceCostEntry>,
    /// Free capacity of regions, if it changed since it was last sent on the link.
    #[prost(message, repeated, tag = "10")]
    pub regions: Vec<RegionLoadEntry>,
    /// Requests that were on servers whose connection was lost, if they changed since they
    /// were last sent on the link.
    #[prost(message, repeated, tag = "11")]
    pub suspects: Vec<SuspectEntry>,
    /// Server instances whose connection was lost, if they changed since they were last sent
    /// on the link.
    #[prost(message, repeated, tag = "12")]
    pub lost_lives: Vec<LostInstanceEntry>,
}

/// Key of requests that were on servers whose connection was lost.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectEntry {
    /// Digest of a request's content and team, or key of a part that prompts have in common.
    #[prost(bytes = "bytes", tag = "1")]
    pub fingerprint: Bytes,
    /// Tags of the server instances.
    #[prost(fixed64, repeated, tag = "2")]
    pub lives: Vec<u64>,
    /// Time since the loss of each instance, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ages_ms: Vec<u32>,
    /// Number of survivals of each instance before this loss.
    #[prost(uint32, repeated, tag = "4")]
    pub survivals: Vec<u32>,
    /// Number of times that a request with the key succeeded after servers had been lost while
    /// they ran one.
    #[prost(uint32, tag = "5")]
    pub good_runs: u32,
    /// Whether a request without the key has succeeded at the service between its losses.
    #[prost(bool, tag = "6")]
    pub has_control: bool,
}

/// Server instance whose connection was lost.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LostInstanceEntry {
    /// Tag of the instance.
    #[prost(fixed64, tag = "1")]
    pub life: u64,
    /// Number of times a liveness signal of the instance followed a loss.
    #[prost(uint32, tag = "2")]
    pub survivals: u32,
    /// Time since the first loss after the last survival, in milliseconds; absent if there
    /// was none.
    #[prost(uint32, optional, tag = "3")]
    pub lost_ms: Option<u32>,
}

/// Roster of live VMs: complete in the first message on a link, then the changes.
#[derive(Clone, PartialEq, Message)]
pub struct VmRosterUpdate {
    /// Scope of the VMs that the update lists, as an index into the list of scopes.
    #[prost(uint32, tag = "1")]
    pub scope: u32,
    /// Whether this update replaces every earlier one on the link.
    #[prost(bool, tag = "2")]
    pub is_whole: bool,
    /// VMs that are new or have changed.
    #[prost(message, repeated, tag = "3")]
    pub vms: Vec<VmEntry>,
    /// Names of VMs that the sender no longer lists as live.
    #[prost(string, repeated, tag = "4")]
    pub gone: Vec<String>,
}

/// Work at servers: complete in the first message on a link, then the changes.
#[derive(Clone, PartialEq, Message)]
pub struct WorkSet {
    /// Whether servers that are not listed have no work.
    #[prost(bool, tag = "1")]
    pub is_whole: bool,
    /// Work by server.
    #[prost(message, repeated, tag = "2")]
    pub servers: Vec<ServerWorkEntry>,
}

/// Free capacity of a region.
#[derive(Clone, PartialEq, Message)]
pub struct RegionLoadEntry {
    /// Name of the region.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Age of this entry when it was sent, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_ms: u32,
    /// Free capacity by service.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceLoadEntry>,
    /// Demand on the region from teams with limits.
    #[prost(message, repeated, tag = "4")]
    pub teams: Vec<TeamDemandEntry>,
    /// Outcomes of requests during rollouts.
    #[prost(message, repeated, tag = "5")]
    pub evidence: Vec<EvidenceEntry>,
    /// Work that the region's callers ask for, by class of requests.
    #[prost(message, repeated, tag = "6")]
    pub classes: Vec<ClassFlowEntry>,
}

/// Work that callers of a region ask for in one class of requests.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ClassFlowEntry {
    /// Tag of the class.
    #[prost(fixed32, tag = "1")]
    pub class: u32,
    /// Microseconds of server time per second.
    #[prost(uint64, tag = "2")]
    pub micros: u64,
}

/// Response counts of one version on one route.
#[derive(Clone, PartialEq, Message)]
pub struct EvidenceEntry {
    /// Tag of the counts.
    #[prost(fixed32, tag = "1")]
    pub tag: u32,
    /// Number of responses, of failures, of responses with a known time, and of slow ones in
    /// steps.
    #[prost(uint64, repeated, tag = "2")]
    pub figures: Vec<u64>,
}

/// Demand of one team on a region.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TeamDemandEntry {
    /// Tag of the team's name.
    #[prost(fixed32, tag = "1")]
    pub team: u32,
    /// Demand in units of the team's limit per second.
    #[prost(uint64, tag = "2")]
    pub demand: u64,
    /// Units a second that were admitted and not refunded; missing if they are not metered.
    #[prost(uint64, optional, tag = "3")]
    pub used: Option<u64>,
}

/// Free capacity of a region for one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoadEntry {
    /// Tag of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Expected time to first byte of a typical request, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// Number of servers that accept work.
    #[prost(uint32, tag = "3")]
    pub usable: u32,
    /// Expected interval between two events of a response, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub pace_ms: u32,
    /// Part of the wait that is due to other requests, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub backlog_ms: u32,
    /// Spare capacity of a plain service, in thousandths of a request per second.
    #[prost(uint32, tag = "6")]
    pub spare: u32,
    /// Capacity of a model service, in thousandths of a second of server time per second.
    #[prost(uint32, tag = "7")]
    pub capacity: u32,
}

/// Work of one or several VMs at one server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerWorkEntry {
    /// Tag of the server's name.
    #[prost(fixed32, tag = "1")]
    pub server: u32,
    /// Number of requests in flight.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens pending prefill, by urgency, the most urgent first.
    #[prost(uint64, repeated, tag = "5")]
    pub unread: Vec<u64>,
    /// Memory that the requests will occupy, in tokens.
    #[prost(uint64, tag = "4")]
    pub memory: u64,
    /// Rate at which the server's memory fills, in tokens per second.
    #[prost(uint64, tag = "6")]
    pub flow: u64,
    /// Number of VMs with a recent liveness signal from the server.
    #[prost(uint32, tag = "7")]
    pub good: u32,
    /// Number of VMs that lost a connection to the server since, or whose response is long
    /// overdue.
    #[prost(uint32, tag = "8")]
    pub bad: u32,
    /// Number of VMs that received the server's request rate limit in its responses.
    #[prost(uint32, tag = "9")]
    pub limit_vms: u32,
    /// Sum of the limits that these VMs received, in thousandths of a request per second.
    #[prost(uint64, tag = "10")]
    pub limit_thousandths: u64,
    /// Number of VMs that have lately received the server's pace in its responses; absent
    /// without any.
    #[prost(uint32, optional, tag = "11")]
    pub pace_vms: Option<u32>,
    /// Sum of the paces that these VMs received, in percent of the usual time.
    #[prost(uint64, optional, tag = "12")]
    pub pace_percent: Option<u64>,
}

/// Learned costs of a service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceCostEntry {
    /// Tag of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Weights of the time to first byte.
    #[prost(float, repeated, tag = "2")]
    pub first: Vec<f32>,
    /// Number of responses behind `first`.
    #[prost(uint32, tag = "3")]
    pub first_samples: u32,
    /// Weights of the interval between two events.
    #[prost(float, repeated, tag = "4")]
    pub pace: Vec<f32>,
    /// Number of responses behind `pace`.
    #[prost(uint32, tag = "5")]
    pub pace_samples: u32,
    /// Duration of a request to a plain service, in milliseconds.
    #[prost(float, tag = "6")]
    pub plain_ms: f32,
    /// Number of responses behind `plain_ms`.
    #[prost(uint32, tag = "7")]
    pub plain_samples: u32,
    /// Number of VMs behind all of these values.
    #[prost(uint32, tag = "8")]
    pub vms: u32,
}

/// Requests the peer's copy of the store.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Whether the sender supports packed items.
    #[prost(bool, tag = "1")]
    pub takes_packed: bool,
}

/// Copy of the store, or a part of it.
#[derive(Clone, PartialEq, Message)]
pub struct StoreSnapshot {
    /// Revision of the store that the copy reflects.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Items that are not packed.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<SnapshotItem>,
    /// Whether items missing from the copy are permanently deleted: the sender's copy is
    /// current and has no item that may reappear.
    #[prost(bool, tag = "3")]
    pub is_steady: bool,
    /// Number of this part of the copy; the first is 0.
    #[prost(uint32, tag = "4")]
    pub part: u32,
    /// Whether further parts follow.
    #[prost(bool, tag = "5")]
    pub has_more: bool,
    /// Packed items, in addition to `items`.
    #[prost(bytes = "bytes", tag = "6")]
    pub packed: bytes::Bytes,
}

impl StoreSnapshot {
    /// Encoded length of the message in bytes.
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
    /// Revision of the store that the sender's copy reflects.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Items as written to the store; large ones are omitted.
    #[prost(message, repeated, tag = "2")]
    pub items: Vec<SnapshotItem>,
    /// Keys of deleted items.
    #[prost(string, repeated, tag = "3")]
    pub removed: Vec<String>,
    /// Revision of the sender's copy before these changes.
    #[prost(uint64, tag = "4")]
    pub base: u64,
    /// Whether items were omitted for their size.
    #[prost(bool, tag = "5")]
    pub is_partial: bool,
    /// The omitted items, packed; empty if they are too large even then.
    #[prost(bytes = "bytes", tag = "6")]
    pub packed: bytes::Bytes,
}

/// One item of a copy of the store.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotItem {
    /// Key of the item.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the item.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
    /// Revision of the item's last change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}
