//! The hello message, which is the first frame of a link.

use onyxfall_policy::MemberHeartbeat;
use onyxfall_wire::{MemberEntry, PROTOCOL_VERSION, PeerHello, PeerPayload};

use crate::core::EntryCore;

/// The hello message of this VM.
pub(crate) fn own_hello(core: &EntryCore) -> PeerPayload {
    let member = MemberEntry::from(core.members.lock().own());
    PeerPayload::Hello(PeerHello {
        protocol: PROTOCOL_VERSION,
        deployment: core.settings.deployment.clone(),
        member: Some(member),
        vm: None,
    })
}

/// Checks the first frame of a link; returns the member that it names.
pub(crate) fn check_hello(
    core: &EntryCore,
    payload: Option<PeerPayload>,
) -> Result<MemberHeartbeat, String> {
    let Some(PeerPayload::Hello(hello)) = payload else {
        return Err("the first frame is not a hello".to_owned());
    };
    if hello.protocol != PROTOCOL_VERSION {
        return Err(format!(
            "protocol version {} is not {PROTOCOL_VERSION}",
            hello.protocol
        ));
    }
    if hello.deployment != core.settings.deployment {
        return Err(format!(
            "deployment {} is not the deployment of this VM",
            hello.deployment
        ));
    }
    let member = hello.member.as_ref().and_then(MemberEntry::to_beat);
    member.ok_or_else(|| "the hello names no valid member".to_owned())
}
