//! Tickets: at most one run across a caller's own retries.

use std::sync::Arc;

use bytes::Bytes;
use onyxfall_policy::{MemberState, TicketError, TicketId, TicketOutcome, TicketState};
use onyxfall_types::{RefusalReason, RequestError, RunVerdict};

use crate::core::EntryCore;
use crate::metrics::CounterName;
use crate::peer::{ForwardCall, run_on_member};
use crate::response::{BufferedResponse, MemoryResponse, ResponseHead, ResponseSink};
use crate::serve::{RequestContext, RequestOrigin, serve_into};
use crate::trace::header_of;

/// Start of the attempt ids of forwarded tickets, which are random. The ids of the
/// router count up and stay below.
const TICKET_ATTEMPTS: u64 = 1 << 62;

/// Issues a ticket of this VM's incarnation.
pub(crate) fn issue_ticket(core: &EntryCore) -> Result<String, RequestError> {
    let ticket = core.tickets.lock().issue();
    ticket.map(|ticket| ticket.to_string()).map_err(|e| {
        RequestError::not_run(RefusalReason::Overloaded, e.to_string())
            .with_retry_after(std::time::Duration::from_secs(1))
    })
}

/// Serves a request that has a ticket, here or at the issuer of the ticket.
pub(crate) fn serve_ticket(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    ticket: &TicketId,
    sink: ResponseSink,
) -> Result<(), RequestError> {
    let is_own = ticket.issuer == core.settings.name;
    let result = match (&context.origin, is_own) {
        (_, true) => redeem(core, context, ticket),
        (RequestOrigin::Caller, false) => forward_to_issuer(core, context, ticket),
        (RequestOrigin::Peer { .. }, false) => {
            let detail = "the ticket was forwarded to a VM that did not issue it";
            Err(RequestError::not_run(RefusalReason::Ticket, detail))
        }
    };
    match result {
        Ok(buffered) => send_buffered(buffered, sink),
        Err(error) => {
            core.metrics
                .record_refusal(&context.kind, error.verdict, error.reason);
            sink.fail(&error);
            Err(error)
        }
    }
}

fn send_buffered(buffered: BufferedResponse, mut sink: ResponseSink) -> Result<(), RequestError> {
    let caller_gone = || {
        let detail = "the caller disconnected before the end of the response";
        RequestError::failed(RunVerdict::Ran, RefusalReason::Cancelled, detail)
    };
    sink.head(buffered.head).map_err(|_| caller_gone())?;
    sink.data(buffered.body).map_err(|_| caller_gone())?;
    sink.finish().map_err(|_| caller_gone())
}

fn redeem(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    ticket: &TicketId,
) -> Result<BufferedResponse, RequestError> {
    let state = core.tickets.lock().redeem(ticket).map_err(ticket_error)?;
    match state {
        TicketState::Fresh => run_fresh(core, context, ticket),
        TicketState::Running => {
            core.metrics.count(CounterName::TicketRepeats);
            let detail = "the ticket's request is still running";
            Err(RequestError::failed(
                RunVerdict::MayHaveRun,
                RefusalReason::Ticket,
                detail,
            ))
        }
        TicketState::Ended(outcome) => {
            core.metrics.count(CounterName::TicketRepeats);
            replay(outcome)
        }
    }
}

/// A ticket of an earlier incarnation, or one that was evicted, gets may-have-run,
/// because its request may have run.
fn ticket_error(error: TicketError) -> RequestError {
    RequestError::failed(
        RunVerdict::MayHaveRun,
        RefusalReason::Ticket,
        error.to_string(),
    )
}

fn replay(outcome: TicketOutcome) -> Result<BufferedResponse, RequestError> {
    match outcome {
        TicketOutcome::Answer {
            status,
            content_type,
            body,
        } => {
            let head = ResponseHead {
                status,
                content_type,
            };
            Ok(BufferedResponse {
                head,
                body: Bytes::from(body),
            })
        }
        TicketOutcome::Failed(error) => Err(error),
    }
}

fn run_fresh(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    ticket: &TicketId,
) -> Result<BufferedResponse, RequestError> {
    let mut sink = ResponseSink::Memory(MemoryResponse::default());
    let result = serve_into(core, context, &mut sink);
    let buffered = match sink {
        ResponseSink::Memory(response) => response.into_buffered(),
        ResponseSink::Caller(_) | ResponseSink::Peer(_) => None,
    };
    let result = result.and_then(|()| {
        let detail = "the response has no head";
        buffered
            .ok_or_else(|| RequestError::failed(RunVerdict::Ran, RefusalReason::Backend, detail))
    });
    let outcome = match &result {
        Ok(buffered) => TicketOutcome::Answer {
            status: buffered.head.status,
            content_type: buffered.head.content_type.clone(),
            body: buffered.body.to_vec(),
        },
        Err(error) => TicketOutcome::Failed(error.clone()),
    };
    core.tickets.lock().end(ticket, outcome);
    result
}

/// Forwards the request to the issuer of its ticket. If the issuer is gone, the request
/// may have run there.
fn forward_to_issuer(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    ticket: &TicketId,
) -> Result<BufferedResponse, RequestError> {
    let may_have_run =
        |detail: &str| RequestError::failed(RunVerdict::MayHaveRun, RefusalReason::Ticket, detail);
    let issuer = {
        let members = core.members.lock();
        let member = members
            .get(&ticket.issuer)
            .filter(|m| m.state != MemberState::Gone);
        let same = member.filter(|m| m.beat.incarnation == ticket.incarnation);
        same.map(|m| m.beat.clone())
    };
    let issuer = issuer.ok_or_else(|| may_have_run("the VM that issued the ticket is gone"))?;
    let bundle = core.bundle().ok_or_else(crate::core::not_ready)?;
    check_issuer_region(&bundle, context, &issuer)?;
    let call = ForwardCall {
        context,
        attempt: TICKET_ATTEMPTS + rand::random_range(0..TICKET_ATTEMPTS),
        allowed: bundle
            .regions
            .values()
            .map(|region| region.name.to_string())
            .collect(),
        traceparent: header_of(&context.span),
        ticket: Some(ticket),
    };
    let mut sink = ResponseSink::Memory(MemoryResponse::default());
    let result = run_on_member(core, &call, &issuer, &mut sink);
    // An earlier use of the ticket may have run, whatever the verdict of this attempt.
    // Only the issuer's own response can prove not-run.
    result.map_err(|failure| {
        let mut error = failure.error;
        if !failure.refused {
            error.verdict = error.verdict.max(RunVerdict::MayHaveRun);
        }
        error
    })?;
    match sink {
        ResponseSink::Memory(response) => response
            .into_buffered()
            .ok_or_else(|| may_have_run("no response")),
        ResponseSink::Caller(_) | ResponseSink::Peer(_) => Err(may_have_run("no response")),
    }
}

fn check_issuer_region(
    bundle: &onyxfall_bundle::ServiceBundle,
    context: &RequestContext,
    issuer: &onyxfall_policy::MemberHeartbeat,
) -> Result<(), RequestError> {
    let kind_id = bundle
        .kind_id(context.kind.as_str())
        .ok_or_else(|| crate::serve::unknown_kind(&context.kind))?;
    let allowed = crate::serve::permitted_regions(bundle, &bundle.kinds[kind_id], context)?;
    let region = bundle.region_id(issuer.region.as_str());
    if region.is_some_and(|region| allowed.contains(region)) {
        return Ok(());
    }
    let detail = "the ticket was issued in a region where this kind may not be served";
    Err(RequestError::not_run(RefusalReason::Residency, detail))
}
