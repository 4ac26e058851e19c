//! Members as frames carry them, and as the table of members holds them.

use onyxfall_policy::MemberHeartbeat;
use onyxfall_types::Incarnation;

use crate::message::MemberEntry;

impl From<&MemberHeartbeat> for MemberEntry {
    fn from(beat: &MemberHeartbeat) -> Self {
        Self {
            name: beat.name.to_string(),
            center: beat.center.to_string(),
            region: beat.region.to_string(),
            incarnation: beat.incarnation.get(),
            leaving: beat.leaving,
            address: beat.address.to_string(),
            peer_address: beat.peer_address.to_string(),
        }
    }
}

impl MemberEntry {
    /// The member; none if a field is malformed.
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
