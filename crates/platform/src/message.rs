//! JSON messages of the platform's service.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use onyxfall_types::{CenterName, RegionName};
use serde::{Deserialize, Serialize};

/// Role of a machine in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// An entry VM, which runs the gateway.
    Entry,
    /// A backend server.
    Backend,
}

/// State of a machine in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The machine is running.
    Live,
    /// The machine is about to be removed.
    Leaving,
}

/// An entry VM or backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Name of the VM or backend server.
    pub name: String,
    /// Role of the machine.
    pub role: VmRole,
    /// Last state known to the platform.
    pub state: VmState,
    /// Region of the machine.
    pub region: RegionName,
    /// Data centre of the machine.
    pub center: CenterName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other entry VMs; absent for backend servers.
    pub peer_address: Option<SocketAddr>,
}

/// The platform's list of VMs and backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Entries of the list.
    pub vms: Vec<VmRecord>,
}

#[derive(Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<String>,
}

#[derive(Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: String,
    pub(crate) value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lease: Option<String>,
}

#[derive(Deserialize)]
pub(crate) struct RangeResponse {
    #[serde(default)]
    pub(crate) kvs: Vec<WireKeyValue>,
}

#[derive(Deserialize, Default)]
pub(crate) struct WireHeader {
    #[serde(default)]
    pub(crate) revision: String,
}

#[derive(Deserialize)]
pub(crate) struct WireKeyValue {
    pub(crate) key: String,
    #[serde(default)]
    pub(crate) value: String,
    #[serde(default)]
    pub(crate) mod_revision: String,
}

#[derive(Deserialize)]
pub(crate) struct TxnResponse {
    #[serde(default)]
    pub(crate) header: WireHeader,
    #[serde(default)]
    pub(crate) succeeded: bool,
    #[serde(default)]
    pub(crate) responses: Vec<TxnResponseOp>,
}

#[derive(Deserialize)]
pub(crate) struct TxnResponseOp {
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Deserialize)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID", default)]
    pub(crate) id: String,
}

#[derive(Deserialize)]
pub(crate) struct KeepAliveResponse {
    pub(crate) result: KeepAliveResult,
}

#[derive(Deserialize)]
pub(crate) struct KeepAliveResult {
    #[serde(rename = "TTL", default)]
    pub(crate) ttl: String,
}

#[derive(Deserialize)]
pub(crate) struct WatchLine {
    pub(crate) result: WatchResult,
}

#[derive(Deserialize, Default)]
pub(crate) struct WatchResult {
    #[serde(default)]
    pub(crate) events: Vec<WireEvent>,
    #[serde(default)]
    pub(crate) canceled: bool,
}

#[derive(Deserialize)]
pub(crate) struct WireEvent {
    #[serde(rename = "type", default)]
    pub(crate) kind: String,
    pub(crate) kv: WireKeyValue,
}

pub(crate) fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

pub(crate) fn decode(text: &str) -> Result<String, String> {
    let bytes = STANDARD.decode(text).map_err(|e| e.to_string())?;
    String::from_utf8(bytes).map_err(|e| e.to_string())
}

/// Returns the encoded exclusive end of the range of all keys that start with `prefix`.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut bytes = prefix.as_bytes().to_vec();
    while let Some(last) = bytes.pop() {
        if last < u8::MAX {
            bytes.push(last + 1);
            break;
        }
    }
    STANDARD.encode(bytes)
}
