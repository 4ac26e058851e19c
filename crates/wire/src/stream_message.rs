//! Messages between gateways on the versions that began streams. They travel as bodies of
//! requests to another VM's port for forwarded requests.

use prost::{Enumeration, Message};

/// Records for an owner.
#[derive(Clone, PartialEq, Message)]
pub struct StreamRecords {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<StreamRecord>,
}

/// Version of the server that sent the first event of a stream.
#[derive(Clone, PartialEq, Message)]
pub struct StreamRecord {
    /// Tag of the caller's attempt.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// [`onyxfall_types::name_tag`] of the service.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    /// Software version.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Time for which the record is kept, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub lasts_ms: u64,
}

/// Asks an owner where a stream began.
#[derive(Clone, PartialEq, Message)]
pub struct StreamQuestion {
    /// Tag of the caller's attempt.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Life of a stream that the sender assumes, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub life_ms: u64,
}

/// What a VM knows of the versions of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum ClaimKind {
    /// No server, or a claim of a later build.
    Nothing = 0,
    /// One version during the life of a stream.
    Single = 1,
    /// Several versions.
    Several = 2,
    /// One version, but the VM has not been looking for long enough.
    Young = 3,
}

/// Response to a [`StreamQuestion`].
#[derive(Clone, PartialEq, Message)]
pub struct StreamAnswer {
    /// The record, if there is one.
    #[prost(message, optional, tag = "1")]
    pub record: Option<StreamRecord>,
    /// What the VM knows of the service's versions.
    #[prost(enumeration = "ClaimKind", tag = "2")]
    pub claim: i32,
    /// The version of the claim; empty if it has none.
    #[prost(string, tag = "3")]
    pub claimed: String,
}

/// Versions that a VM has seen, for a VM that has just started.
#[derive(Clone, PartialEq, Message)]
pub struct VersionHistorySet {
    /// How long the VM has known every version, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub age_ms: u64,
    /// The versions.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<VersionHistoryEntry>,
}

/// A version of a service.
#[derive(Clone, PartialEq, Message)]
pub struct VersionHistoryEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The version; empty if an entry has no valid one.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Time since it was last seen, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}
