//! Forwards a request to another entry and receives its response.

use std::sync::Arc;
use std::time::Duration;

use onyxfall_policy::{MemberHeartbeat, MemberState, TicketId};
use onyxfall_types::{CenterName, RefusalReason, RequestError, RunVerdict};
use onyxfall_wire::{
    AttemptCancel, CreditGrant, OpenMode, OpenRequest, PeerPayload, ReplyEnd, frame_cost,
};
use rand::seq::IndexedRandom;

use crate::backend::AttemptError;
use crate::core::EntryCore;
use crate::peer::link::{PeerLink, PeerStream, StreamEvent};
use crate::response::{ResponseHead, ResponseSink};
use crate::serve::RequestContext;

/// Credit is returned in steps of this many bytes, not for each frame.
const CREDIT_STEP: u64 = 32 * 1024;
/// How long past the deadline this side waits for the end frame of the other side.
const END_SLACK: Duration = Duration::from_millis(500);

/// A request to forward.
pub(crate) struct ForwardCall<'a> {
    pub(crate) context: &'a RequestContext,
    pub(crate) attempt: u64,
    pub(crate) allowed: Vec<String>,
    pub(crate) traceparent: String,
    pub(crate) ticket: Option<&'a TicketId>,
}

/// Forwards the request to an entry of `center`.
pub(crate) fn run_forward(
    core: &Arc<EntryCore>,
    call: &ForwardCall<'_>,
    center: &CenterName,
    sink: &mut ResponseSink,
) -> Result<(), AttemptError> {
    let Some(member) = pick_member(core, center) else {
        let detail = format!("no entry of {center} is known");
        return Err(AttemptError::failed(
            RunVerdict::NotRun,
            RefusalReason::Peer,
            detail,
        ));
    };
    run_on_member(core, call, &member, sink)
}

fn pick_member(core: &EntryCore, center: &CenterName) -> Option<MemberHeartbeat> {
    let members = core.members.lock();
    let alive: Vec<&MemberHeartbeat> = members.alive_in(center).map(|m| &m.beat).collect();
    if let Some(heartbeat) = alive.choose(&mut rand::rng()) {
        return Some((*heartbeat).clone());
    }
    let hinted = |m: &&onyxfall_policy::VmMember| {
        m.beat.center == *center && matches!(m.state, MemberState::Hinted | MemberState::Suspect)
    };
    members.others().find(hinted).map(|m| m.beat.clone())
}

/// Forwards the request to one entry: a chosen one, or the issuer of its ticket.
pub(crate) fn run_on_member(
    core: &Arc<EntryCore>,
    call: &ForwardCall<'_>,
    member: &MemberHeartbeat,
    sink: &mut ResponseSink,
) -> Result<(), AttemptError> {
    let link = core.links.link_to(core, member).map_err(|_| {
        AttemptError::failed(
            RunVerdict::NotRun,
            RefusalReason::Peer,
            format!("no link to {}", member.name),
        )
    })?;
    let stream = link.open_stream(call.attempt);
    let _hook = call.context.cancel.on_cancel(stream.cancel_hook());
    // From here on the request may run there, even if sending the frame fails.
    link.send(PeerPayload::Open(open_request(core, call)))
        .map_err(|_| link_lost(&link))?;
    let result = receive(core, call, &link, &stream, sink);
    if result.is_err() {
        let _ = link.send(PeerPayload::Cancel(AttemptCancel {
            attempt: call.attempt,
        }));
    }
    result
}

fn open_request(core: &EntryCore, call: &ForwardCall<'_>) -> OpenRequest {
    let context = call.context;
    let mode = if call.ticket.is_some() {
        OpenMode::Ticket
    } else {
        OpenMode::Away
    };
    let remaining = context.deadline - core.now();
    OpenRequest {
        attempt: call.attempt,
        mode: mode.into(),
        request_id: context.request_id.clone(),
        kind: context.kind.to_string(),
        method: context.method.clone(),
        path: context.path.clone(),
        content_type: context.content_type.clone(),
        body: context.body.clone(),
        home: context
            .home
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        allowed: call.allowed.clone(),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        traceparent: call.traceparent.clone(),
        prefix: context.prefix.map_or(0, |prefix| prefix.0),
        ticket: call.ticket.map(ToString::to_string).unwrap_or_default(),
    }
}

fn link_lost(link: &PeerLink) -> AttemptError {
    let detail = format!("the link to {} was closed", link.name());
    AttemptError::failed(RunVerdict::MayHaveRun, RefusalReason::Peer, detail)
}

fn receive(
    core: &Arc<EntryCore>,
    call: &ForwardCall<'_>,
    link: &PeerLink,
    stream: &PeerStream,
    sink: &mut ResponseSink,
) -> Result<(), AttemptError> {
    let caller_gone = || {
        AttemptError::failed(
            RunVerdict::MayHaveRun,
            RefusalReason::Cancelled,
            "the caller disconnected",
        )
    };
    let mut consumed = 0;
    loop {
        let timeout = (call.context.deadline - core.now()) + END_SLACK;
        match stream.next(timeout) {
            Some(StreamEvent::Head(head)) => {
                let status = u16::try_from(head.status).unwrap_or(502);
                let head = ResponseHead {
                    status,
                    content_type: head.content_type,
                };
                sink.head(head).map_err(|_| caller_gone())?;
            }
            Some(StreamEvent::Data(data)) => {
                consumed += frame_cost(data.bytes.len());
                sink.data(data.bytes).map_err(|_| caller_gone())?;
                if consumed >= CREDIT_STEP {
                    let credit = CreditGrant {
                        attempt: call.attempt,
                        bytes: consumed,
                    };
                    link.send(PeerPayload::Credit(credit))
                        .map_err(|_| link_lost(link))?;
                    consumed = 0;
                }
            }
            Some(StreamEvent::End(end)) => return end_result(&end),
            Some(StreamEvent::Lost) => return Err(link_lost(link)),
            Some(StreamEvent::Cancelled) => return Err(caller_gone()),
            None => {
                let detail = format!("{} sent no response in time", link.name());
                return Err(AttemptError::failed(
                    RunVerdict::MayHaveRun,
                    RefusalReason::Deadline,
                    detail,
                ));
            }
        }
    }
}

fn end_result(end: &ReplyEnd) -> Result<(), AttemptError> {
    if end.reason.is_empty() {
        return Ok(());
    }
    let reason = end.reason.parse().unwrap_or(RefusalReason::Peer);
    // A verdict that this version cannot parse must not be treated as not-run.
    let verdict = end.verdict.parse().unwrap_or(RunVerdict::MayHaveRun);
    let mut error = RequestError::failed(verdict, reason, end.detail.clone());
    if end.retry_after_ms > 0 {
        error.retry_after = Some(Duration::from_millis(end.retry_after_ms));
    }
    Err(AttemptError::from_error(
        error,
        verdict == RunVerdict::NotRun,
    ))
}
