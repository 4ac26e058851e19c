//! Tickets: at most one run across a caller's own retries.

use std::sync::Arc;

use bytes::Bytes;
use onyxfall_policy::{MemberState, TicketError, TicketId, TicketOutcome, TicketState};
use onyxfall_types::{RefusalReason, RequestError, RunVerdict};

use crate::answer::{AnswerHead, AnswerSink, HeldAnswer, MemoryAnswer};
use crate::core::EntryCore;
use crate::metrics::CounterName;
use crate::peer::{AwayCall, run_on};
use crate::serve::{RequestContext, RequestOrigin, serve_into};
use crate::trace::header_of;

/// Attempt ids of passed-on tickets count down from here; the router's count up.
const TICKET_ATTEMPTS: u64 = 1 << 62;

/// Issues a ticket of this VM's life.
pub(crate) fn issue_ticket(core: &EntryCore) -> Result<String, RequestError> {
    let ticket = core.tickets.lock().issue();
    ticket.map(|ticket| ticket.to_string()).map_err(|e| {
        RequestError::not_run(RefusalReason::Overloaded, e.to_string())
            .with_retry_after(std::time::Duration::from_secs(1))
    })
}

/// Serves a request that came with a ticket, here or at its issuer.
pub(crate) fn serve_ticket(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    ticket: &TicketId,
    sink: AnswerSink,
) -> Result<(), RequestError> {
    let is_own = ticket.issuer == core.settings.name;
    let result = match (&context.origin, is_own) {
        (_, true) => redeem(core, context, ticket),
        (RequestOrigin::Caller, false) => pass_on(core, context, ticket),
        (RequestOrigin::Peer { .. }, false) => {
            let detail = "the ticket was passed to a VM that did not issue it";
            Err(RequestError::not_run(RefusalReason::Ticket, detail))
        }
    };
    match result {
        Ok(held) => send_held(held, sink),
        Err(error) => {
            core.metrics
                .note_refusal(&context.kind, error.verdict, error.reason);
            sink.fail(&error);
            Err(error)
        }
    }
}

fn send_held(held: HeldAnswer, mut sink: AnswerSink) -> Result<(), RequestError> {
    let gone = || {
        let detail = "the caller went away before the end";
        RequestError::failed(RunVerdict::Ran, RefusalReason::Cancelled, detail)
    };
    sink.head(held.head).map_err(|_| gone())?;
    sink.data(held.body).map_err(|_| gone())?;
    sink.finish().map_err(|_| gone())
}

fn redeem(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    ticket: &TicketId,
) -> Result<HeldAnswer, RequestError> {
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

/// What cannot be told from a life that is over, or forgotten, may have run.
fn ticket_error(error: TicketError) -> RequestError {
    RequestError::failed(
        RunVerdict::MayHaveRun,
        RefusalReason::Ticket,
        error.to_string(),
    )
}

fn replay(outcome: TicketOutcome) -> Result<HeldAnswer, RequestError> {
    match outcome {
        TicketOutcome::Answer {
            status,
            content_type,
            body,
        } => {
            let head = AnswerHead {
                status,
                content_type,
            };
            Ok(HeldAnswer {
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
) -> Result<HeldAnswer, RequestError> {
    let mut sink = AnswerSink::Memory(MemoryAnswer::default());
    let result = serve_into(core, context, &mut sink);
    let held = match sink {
        AnswerSink::Memory(answer) => answer.into_held(),
        AnswerSink::Caller(_) | AnswerSink::Peer(_) => None,
    };
    let result = result.and_then(|()| {
        let detail = "the answer has no head";
        held.ok_or_else(|| RequestError::failed(RunVerdict::Ran, RefusalReason::Backend, detail))
    });
    let outcome = match &result {
        Ok(held) => TicketOutcome::Answer {
            status: held.head.status,
            content_type: held.head.content_type.clone(),
            body: held.body.to_vec(),
        },
        Err(error) => TicketOutcome::Failed(error.clone()),
    };
    core.tickets.lock().end(ticket, outcome);
    result
}

/// Passes the request to the issuer; if that is gone, it may have run there.
fn pass_on(
    core: &Arc<EntryCore>,
    context: &RequestContext,
    ticket: &TicketId,
) -> Result<HeldAnswer, RequestError> {
    let gone =
        |detail: &str| RequestError::failed(RunVerdict::MayHaveRun, RefusalReason::Ticket, detail);
    let issuer = {
        let members = core.members.lock();
        let member = members
            .get(&ticket.issuer)
            .filter(|m| m.state != MemberState::Gone);
        let same = member.filter(|m| m.beat.incarnation == ticket.incarnation);
        same.map(|m| m.beat.clone())
    };
    let issuer = issuer.ok_or_else(|| gone("the VM that issued the ticket is gone"))?;
    let bundle = core.bundle().ok_or_else(crate::core::not_ready)?;
    check_issuer_region(&bundle, context, &issuer)?;
    let call = AwayCall {
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
    let mut sink = AnswerSink::Memory(MemoryAnswer::default());
    let result = run_on(core, &call, &issuer, &mut sink);
    // An earlier use of the ticket may have run, whatever this one's verdict
    // is; only the issuer's own word says not-run.
    result.map_err(|failure| {
        let mut error = failure.error;
        if !failure.refused {
            error.verdict = error.verdict.max(RunVerdict::MayHaveRun);
        }
        error
    })?;
    match sink {
        AnswerSink::Memory(answer) => answer.into_held().ok_or_else(|| gone("no answer")),
        AnswerSink::Caller(_) | AnswerSink::Peer(_) => Err(gone("no answer")),
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
    let detail = "the ticket was issued in a region where this data may not live";
    Err(RequestError::not_run(RefusalReason::Residency, detail))
}
