//! Members between the wire and the policy.

use onyxfall_policy::MemberBeat;
use onyxfall_types::Incarnation;
use onyxfall_wire::{MemberEntry, PROTOCOL_VERSION, PeerHello, PeerPayload};

use crate::core::EntryCore;

/// A member as sent.
pub(crate) fn member_entry(beat: &MemberBeat) -> MemberEntry {
    MemberEntry {
        name: beat.name.to_string(),
        center: beat.center.to_string(),
        region: beat.region.to_string(),
        incarnation: beat.incarnation.get(),
        leaving: beat.leaving,
        address: beat.address.to_string(),
        peer_address: beat.peer_address.to_string(),
    }
}

/// A member as received; `None` if a field is malformed.
pub(crate) fn beat_of(entry: &MemberEntry) -> Option<MemberBeat> {
    Some(MemberBeat {
        name: entry.name.parse().ok()?,
        center: entry.center.parse().ok()?,
        region: entry.region.parse().ok()?,
        incarnation: Incarnation::new(entry.incarnation),
        leaving: entry.leaving,
        address: entry.address.parse().ok()?,
        peer_address: entry.peer_address.parse().ok()?,
    })
}

/// This VM's first frame on a link.
pub(crate) fn own_hello(core: &EntryCore) -> PeerPayload {
    let member = member_entry(core.members.lock().own());
    PeerPayload::Hello(PeerHello {
        protocol: PROTOCOL_VERSION,
        deployment: core.settings.deployment.clone(),
        member: Some(member),
    })
}

/// The member that a first frame names, if it may be talked to.
pub(crate) fn check_hello(
    core: &EntryCore,
    payload: Option<PeerPayload>,
) -> Result<MemberBeat, String> {
    let Some(PeerPayload::Hello(hello)) = payload else {
        return Err("the first frame is not a hello".to_owned());
    };
    if hello.protocol != PROTOCOL_VERSION {
        return Err(format!(
            "protocol {} is not {PROTOCOL_VERSION}",
            hello.protocol
        ));
    }
    if hello.deployment != core.settings.deployment {
        return Err(format!("deployment {} is not ours", hello.deployment));
    }
    let member = hello.member.as_ref().and_then(beat_of);
    member.ok_or_else(|| "the hello names no valid member".to_owned())
}
