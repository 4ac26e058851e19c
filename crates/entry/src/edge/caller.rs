//! The HTTP interface for callers: requests, plain services, tickets and the list of
//! entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fastrace::Span;
use onyxfall_bundle::{RequestKind, ServerRole, ServiceBundle};
use onyxfall_http::{BodyError, HttpReply, HttpRequest, Responder};
use onyxfall_policy::{PrefixKey, TicketId};
use onyxfall_types::{KindName, RefusalReason, RegionName, RequestError, stable_hash};
use serde_json::{Value, json};
use uuid::Uuid;

use crate::control::entries_for_callers;
use crate::core::{EntryCore, not_ready};
use crate::edge::problem_json;
use crate::edge::ticket::{issue_ticket, serve_ticket};
use crate::metrics::CounterName;
use crate::response::{CallerResponse, ResponseSink};
use crate::serve::{RequestContext, RequestOrigin, permitted_regions, serve_request, unknown_kind};
use crate::trace::{context_of, header_of};

const REQUESTS: &str = "/v1/requests/";
const SERVICES: &str = "/v1/services/";
const CHAT: &str = "/v1/chat/completions";
/// Retry delay sent to a caller whose body found no room.
const HELD_FULL_RETRY: Duration = Duration::from_secs(1);
/// How long callers may cache the list of entries.
const ENTRIES_TTL: Duration = Duration::from_secs(10);

/// Response when too many requests are open.
pub(crate) fn overload_reply() -> HttpReply {
    let error = RequestError::not_run(RefusalReason::Overloaded, "too many open requests");
    error_reply(&error.with_retry_after(Duration::from_secs(1)), "")
}

fn error_reply(error: &RequestError, request_id: &str) -> HttpReply {
    let body = problem_json(error, request_id).to_string();
    let reply = HttpReply::full(error.reason.status(), "application/problem+json", body)
        .with_header("onyxfall-verdict", error.verdict.as_str())
        .with_header("onyxfall-request-id", request_id);
    match error.retry_after {
        Some(after) => reply.with_header(
            "retry-after",
            &format!("{}", after.as_secs_f64().ceil().max(1.0)),
        ),
        None => reply,
    }
}

/// Handles one request of a caller.
pub(crate) fn handle_caller(core: &Arc<EntryCore>, request: HttpRequest, responder: Responder) {
    let request_id = Uuid::new_v4().to_string();
    let path = request.path().to_owned();
    let result = match path.as_str() {
        "/healthz" => Ok(HttpReply::full(200, "text/plain", "ok\n")),
        "/v1/version" => Ok(version_reply(core)),
        "/v1/entries" => Ok(list_entries(core, &request)),
        "/v1/tickets" => issue_ticket(core).map(|ticket| {
            HttpReply::full(
                200,
                "application/json",
                json!({"ticket": ticket}).to_string(),
            )
        }),
        _ => match serve(core, request, responder, &request_id, &path) {
            ServeOutcome::Done => return,
            ServeOutcome::Refused(responder, error) => {
                let _ = responder.reply(error_reply(&error, &request_id));
                return;
            }
        },
    };
    let reply = result.unwrap_or_else(|error| error_reply(&error, &request_id));
    let _ = responder.reply(reply);
}

/// Lists the entries in order of preference. The home region that a caller names comes
/// first.
fn list_entries(core: &EntryCore, request: &HttpRequest) -> HttpReply {
    let home = request
        .header("onyxfall-home")
        .and_then(|home| home.parse::<RegionName>().ok());
    let entries = entries_for_callers(core, home.as_ref());
    let body = json!({"entries": entries, "valid_ms": ENTRIES_TTL.as_millis()});
    let age = format!("max-age={}", ENTRIES_TTL.as_secs());
    HttpReply::full(200, "application/json", body.to_string()).with_header("cache-control", &age)
}

/// The version in force in this VM, which a rollout polls.
fn version_reply(core: &EntryCore) -> HttpReply {
    let region = &core.settings.region;
    let version = core.version_in_force().get();
    let body =
        json!({"vm": core.settings.name.as_str(), "region": region.as_str(), "version": version});
    HttpReply::full(200, "application/json", body.to_string())
}

enum ServeOutcome {
    Done,
    Refused(Responder, RequestError),
}

fn serve(
    core: &Arc<EntryCore>,
    mut request: HttpRequest,
    responder: Responder,
    request_id: &str,
    path: &str,
) -> ServeOutcome {
    let guard = match core.open_request() {
        Ok(guard) => guard,
        Err(error) => return ServeOutcome::Refused(responder, error),
    };
    let prepared = match prepare(core, &mut request, request_id, path) {
        Ok(prepared) => prepared,
        Err(error) => return ServeOutcome::Refused(responder, error),
    };
    let PreparedRequest {
        context,
        ticket,
        streaming,
    } = prepared;
    let max_buffered = core.settings.max_buffered.as_usize();
    let traceparent = header_of(&context.span);
    let response = CallerResponse::new(
        responder,
        request_id.to_owned(),
        traceparent,
        streaming,
        max_buffered,
    );
    let sink = ResponseSink::Caller(response);
    let _ = match ticket {
        Some(ticket) => serve_ticket(core, &context, &ticket, sink),
        None => serve_request(core, &context, sink),
    };
    drop(guard);
    ServeOutcome::Done
}

struct PreparedRequest {
    context: RequestContext,
    ticket: Option<TicketId>,
    streaming: bool,
}

/// Target of a path: the kind, and the path at the backend server.
enum RequestTarget {
    Engine(KindName),
    Service(KindName, String),
    /// The body names the kind.
    Chat,
}

fn target_of(path: &str) -> Result<RequestTarget, RequestError> {
    let bad = |_| RequestError::not_run(RefusalReason::UnknownKind, "malformed kind in the path");
    if path == CHAT {
        return Ok(RequestTarget::Chat);
    }
    if let Some(kind) = path.strip_prefix(REQUESTS) {
        return Ok(RequestTarget::Engine(kind.parse().map_err(bad)?));
    }
    if let Some(rest) = path.strip_prefix(SERVICES) {
        let (kind, subpath) = rest.split_once('/').unwrap_or((rest, ""));
        return Ok(RequestTarget::Service(
            kind.parse().map_err(bad)?,
            format!("/{subpath}"),
        ));
    }
    Err(RequestError::not_run(
        RefusalReason::UnknownKind,
        "no such path",
    ))
}

/// Checks a request and reads its body. What the head alone rules out is refused before
/// the body is read; only for chat requests the body is read first, because it names
/// the kind.
fn prepare(
    core: &Arc<EntryCore>,
    request: &mut HttpRequest,
    request_id: &str,
    path: &str,
) -> Result<PreparedRequest, RequestError> {
    let bundle = core.bundle().ok_or_else(not_ready)?;
    let target = target_of(path)?;
    let home = home_of(request)?;
    let span = Span::root("request", context_of(request.header("traceparent")))
        .with_property(|| ("vm", core.settings.name.to_string()));
    let mut context = RequestContext {
        request_id: request_id.to_owned(),
        kind: "unset"
            .parse()
            .unwrap_or_else(|_| unreachable!("a constant name")),
        home,
        method: request.head.method.as_str().to_owned(),
        path: CHAT.to_owned(),
        content_type: request
            .header("content-type")
            .unwrap_or("application/json")
            .to_owned(),
        body: Bytes::new(),
        prefix: None,
        deadline: core.now(),
        origin: RequestOrigin::Caller,
        cancel: request.cancel.clone(),
        span,
    };
    match target {
        RequestTarget::Engine(kind) => context.kind = kind,
        RequestTarget::Service(kind, subpath) => {
            context.kind = kind;
            context.path = service_path(request, subpath);
        }
        RequestTarget::Chat => {
            context.body = read_body(core, request)?;
            context.kind = kind_in(&context.body)?;
        }
    }
    let kind = check_kind(core, &bundle, &context, path)?;
    check_team(core, &bundle, request)?;
    let ticket = ticket_of(request, &kind)?;
    if context.body.is_empty() {
        context.body = read_body(core, request)?;
    }
    if bundle.models[kind.model].role == ServerRole::Engine {
        context.prefix = prefix_of(request, &context.body);
    }
    context.deadline = core.now() + deadline_of(request, &kind)?;
    Ok(PreparedRequest {
        context,
        ticket,
        streaming: kind.streaming,
    })
}

fn service_path(request: &HttpRequest, subpath: String) -> String {
    match request.head.uri.query() {
        Some(query) => format!("{subpath}?{query}"),
        None => subpath,
    }
}

fn home_of(request: &HttpRequest) -> Result<Option<RegionName>, RequestError> {
    let Some(home) = request.header("onyxfall-home") else {
        return Ok(None);
    };
    home.parse().map(Some).map_err(|e| {
        RequestError::not_run(RefusalReason::BadRequest, format!("onyxfall-home: {e}"))
    })
}

/// Checks that the kind is declared, matches the path and may be served in this region.
fn check_kind(
    core: &EntryCore,
    bundle: &ServiceBundle,
    context: &RequestContext,
    path: &str,
) -> Result<RequestKind, RequestError> {
    let kind_id = bundle
        .kind_id(context.kind.as_str())
        .ok_or_else(|| unknown_kind(&context.kind))?;
    let kind = bundle.kinds[kind_id].clone();
    let is_service = bundle.models[kind.model].role == ServerRole::Service;
    if is_service != path.starts_with(SERVICES) {
        let detail = format!("kind {} is not served under this path", kind.name);
        return Err(RequestError::not_run(RefusalReason::UnknownKind, detail));
    }
    let allowed = permitted_regions(bundle, &kind, context)?;
    let own = bundle.region_id(core.settings.region.as_str());
    if own.is_some_and(|own| allowed.contains(own)) {
        return Ok(kind);
    }
    let names = bundle
        .regions
        .iter()
        .filter(|(id, _)| allowed.contains(*id));
    let names: Vec<&str> = names.map(|(_, region)| region.name.as_str()).collect();
    let detail = format!("use an entry of: {}", names.join(", "));
    Err(RequestError::not_run(RefusalReason::Residency, detail))
}

fn check_team(
    core: &EntryCore,
    bundle: &ServiceBundle,
    request: &HttpRequest,
) -> Result<(), RequestError> {
    let Some(team) = request
        .header("onyxfall-team")
        .and_then(|team| bundle.team_id(team))
    else {
        return Ok(());
    };
    let name = bundle.teams[team].name.clone();
    let now = core.now();
    let admitted = core.with_router(|router| match router.bundle().team_id(name.as_str()) {
        Some(team) => router.admit_team(now, team),
        None => Ok(()),
    });
    admitted.unwrap_or(Ok(()))
}

/// Ticket of a request whose kind is not repeatable; other kinds need none.
fn ticket_of(request: &HttpRequest, kind: &RequestKind) -> Result<Option<TicketId>, RequestError> {
    let Some(text) = request.header("idempotency-key") else {
        return Ok(None);
    };
    if kind.repeatable {
        return Ok(None);
    }
    text.parse().map(Some).map_err(|_| {
        let detail = "idempotency-key is not a ticket: get one from POST /v1/tickets";
        RequestError::not_run(RefusalReason::BadRequest, detail)
    })
}

fn deadline_of(request: &HttpRequest, kind: &RequestKind) -> Result<Duration, RequestError> {
    let Some(text) = request.header("onyxfall-deadline-ms") else {
        return Ok(kind.deadline);
    };
    let millis: u64 = text.parse().map_err(|_| {
        let detail = "onyxfall-deadline-ms: expected a number of milliseconds";
        RequestError::not_run(RefusalReason::BadRequest, detail)
    })?;
    Ok(Duration::from_millis(millis).min(kind.deadline))
}

fn read_body(core: &EntryCore, request: &mut HttpRequest) -> Result<Bytes, RequestError> {
    let limit = core.settings.max_body;
    let error = match request.read_body(limit) {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    Err(match error {
        BodyError::TooLarge => {
            RequestError::not_run(RefusalReason::TooLarge, format!("the body exceeds {limit}"))
        }
        BodyError::TimedOut => {
            RequestError::not_run(RefusalReason::BadRequest, "the body took too long")
        }
        BodyError::Broken => RequestError::not_run(RefusalReason::Cancelled, "body incomplete"),
        BodyError::Held(full) => {
            core.metrics.count(CounterName::HeldRefusals);
            RequestError::not_run(RefusalReason::Overloaded, full.to_string())
                .with_retry_after(HELD_FULL_RETRY)
        }
    })
}

fn kind_in(body: &Bytes) -> Result<KindName, RequestError> {
    let bad = |detail: String| RequestError::not_run(RefusalReason::BadRequest, detail);
    let value: Value =
        serde_json::from_slice(body).map_err(|e| bad(format!("the body is not JSON: {e}")))?;
    let model = value["model"]
        .as_str()
        .ok_or_else(|| bad("`model` is missing or not a string".to_owned()))?;
    model.parse().map_err(|e| bad(format!("`model`: {e}")))
}

/// Hash of the prompt prefix: from a header if the caller sends one, otherwise from the
/// first message.
fn prefix_of(request: &HttpRequest, body: &Bytes) -> Option<PrefixKey> {
    if let Some(prefix) = request.header("onyxfall-prefix") {
        return Some(PrefixKey(stable_hash(&[prefix])));
    }
    let value: Value = serde_json::from_slice(body).ok()?;
    let first = value["messages"][0]["content"].as_str()?;
    Some(PrefixKey(stable_hash(&[first])))
}
