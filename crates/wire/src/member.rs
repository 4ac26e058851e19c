//! Conversion between the members in frames and those in the member table.

use onyxfall_policy::MemberHeartbeat;
use onyxfall_types::Incarnation;

use crate::message::MemberEntry;

impl From<&MemberHeartbeat> for MemberEntry {
    fn from(heartbeat: &MemberHeartbeat) -> Self {
        Self {
            name: heartbeat.name.to_string(),
            center: heartbeat.center.to_string(),
            region: heartbeat.region.to_string(),
            incarnation: heartbeat.incarnation.get(),
            leaving: heartbeat.leaving,
            address: heartbeat.address.to_string(),
            peer_address: heartbeat.peer_address.to_string(),
        }
    }
}

impl MemberEntry {
    /// Converts the entry to a heartbeat of the member; none if a field is malformed.
    ///
    /// ```
    /// assert!(onyxfall_wire::MemberEntry::default().to_beat().is_none());
    /// ```
    pub fn to_beat(&self) -> Option<MemberHeartbeat> {
        Some(MemberHeartbeat {
            name: self.name.parse().ok()?,
            center: self.center.parse().ok()?,
            region: self.region.parse().ok()?,
            incarnation: Incarnation::new(self.incarnation),
            leaving: self.leaving,
            address: self.address.parse().ok()?,
            peer_address: self.peer_address.parse().ok()?,
        })
    }
}
