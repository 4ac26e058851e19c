//! Classes of frames, for counting bytes.

use crate::message::PeerPayload;

/// Traffic class of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameClass {
    /// Requests and responses.
    Request,
    /// Heartbeats and load within and between data centres.
    Control,
    /// Records and bundle texts.
    Configuration,
}

impl FrameClass {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Request, Self::Control, Self::Configuration];

    /// Label of the class in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Control => "control",
            Self::Configuration => "configuration",
        }
    }

    /// Traffic class of a payload.
    pub const fn of(payload: &PeerPayload) -> Self {
        match payload {
            PeerPayload::Open(_)
            | PeerPayload::Head(_)
            | PeerPayload::Data(_)
            | PeerPayload::Credit(_)
            | PeerPayload::End(_)
            | PeerPayload::Cancel(_) => Self::Request,
            PeerPayload::Hello(_)
            | PeerPayload::Beat(_)
            | PeerPayload::Pong(_)
            | PeerPayload::Ping(_)
            | PeerPayload::MembersRequest(_)
            | PeerPayload::Members(_)
            | PeerPayload::Update(_)
            | PeerPayload::Load(_) => Self::Control,
            PeerPayload::RecordsRequest(_)
            | PeerPayload::Records(_)
            | PeerPayload::ContentRequest(_)
            | PeerPayload::Content(_)
            | PeerPayload::SnapshotRequest(_)
            | PeerPayload::Snapshot(_)
            | PeerPayload::Delta(_) => Self::Configuration,
        }
    }
}
