//! Forwarding of requests between VMs, of different regions or of one.
//!
//! Requests travel as HTTP/1.1 over a port between VMs: a request is cancelled by closing
//! its connection, and a slow caller blocks only its own stream. Internal headers carry what
//! the sending VM has decided (service, goal, homes), so that the two VMs may have different
//! versions of the configuration.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use onyxfall_adapter::{forward_headers, read_call};
use onyxfall_clock::BootInstant;
use onyxfall_fleet::{CallRequirements, HomeRegions, RouteTable, TimePrediction};
use onyxfall_suspects::InstanceTag;
use onyxfall_types::{
    RefusalReason, RegionName, RequestError, RunVerdict, SoftwareVersion, TeamName, VmName,
};

use crate::body::ReplyBody;
use crate::call::{CallContext, CallOrigin, CallRules, ResponseRule};
use crate::gateway::Gateway;
use crate::listen::read_body;
use crate::numbered::{FRAMES, encode_stream, has_frames, set_frames};
use crate::origin_messages::{answer_origin_message, is_origin_message};
use crate::serve::{CallFailure, serve};

const VM: &str = "onyxfall-vm";
const SERVICE: &str = "onyxfall-service";
const GOAL: &str = "onyxfall-goal-ms";
const HOMES: &str = "onyxfall-homes";
const TEAM: &str = "onyxfall-team";
const ROUTE: &str = "onyxfall-route";
const URGENCY: &str = "onyxfall-urgency";
const STREAM: &str = "onyxfall-stream";
/// Kinds of streams: lost with their server, or resumed by the sender.
const ONCE: &str = "once";
const RESUMABLE: &str = "resumable";
/// Software version that must serve the request.
const NEEDED_VERSION: &str = "onyxfall-needed-version";
/// Software version of the server that sends a response.
const SERVED_VERSION: &str = "onyxfall-served-version";
/// Tag of the instance of the server that sends a response.
const SERVED_INSTANCE: &str = "onyxfall-served-instance";
const VERDICT: &str = "onyxfall-verdict";
const ARRIVED: &str = "onyxfall-arrived";
/// Whether the server that lost a request has ended.
const ENDED: &str = "onyxfall-ended";
const RELAY_HEADERS: [&str; 10] = [
    VM,
    SERVICE,
    GOAL,
    HOMES,
    TEAM,
    ROUTE,
    URGENCY,
    STREAM,
    FRAMES,
    NEEDED_VERSION,
];
/// Urgency of a request whose sender sets none: the middle of 0 to 9.
const DEFAULT_URGENCY: u8 = 5;

/// Largest body accepted from another VM, which has already checked the size of its
/// caller's body.
const MAX_RELAYED_BODY: usize = 8 * 1024 * 1024;

/// Why a request is forwarded to another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerReason {
    /// Its region responds earlier, or is the only one that may serve the request.
    Remote,
    /// It is a VM of this region, whose servers this VM does not reach.
    Neighbour,
    /// It is the only VM that may run the request, which is suspected of crashing servers.
    Holder,
}

impl PeerReason {
    /// Name of the reason in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Remote => "away",
            Self::Neighbour => "neighbour",
            Self::Holder => "holder",
        }
    }
}

/// A VM to forward a request to.
#[derive(Clone, Debug)]
pub(crate) struct PeerTarget {
    /// Name of the VM.
    pub(crate) vm: VmName,
    /// Address for requests forwarded by other VMs.
    pub(crate) address: SocketAddr,
    /// Region of the VM.
    pub(crate) region: RegionName,
    /// Predicted times including the round trip; all zero unless the reason is a region's.
    pub(crate) predicted: TimePrediction,
    /// Why the request is forwarded to this VM.
    pub(crate) reason: PeerReason,
}

/// Verdict of another VM on a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerVerdict {
    /// Whether the request may have run.
    pub(crate) verdict: RunVerdict,
    /// Whether the request reached a server.
    pub(crate) arrived: bool,
    /// Whether all servers that may have run it have ended.
    pub(crate) is_ended: bool,
}

/// Adds the headers for a forwarded request.
pub(crate) fn set_relay_headers(headers: &mut HeaderMap, vm: &VmName, call: &CallContext) {
    set(headers, VM, vm.as_str());
    set(headers, SERVICE, call.needs.service.as_str());
    set(headers, GOAL, &call.needs.goal.as_millis().to_string());
    set(headers, URGENCY, &call.needs.urgency.to_string());
    set(headers, ROUTE, &call.route);
    set(headers, HOMES, &call.needs.homes.to_string());
    if let Some(team) = &call.team {
        set(headers, TEAM, team.as_str());
    }
    headers.remove(NEEDED_VERSION);
    if let Some(version) = &call.needs.version {
        set(headers, NEEDED_VERSION, version.as_str());
    }
    headers.remove(FRAMES);
    if call.rules.response.is_stream() {
        set_frames(headers);
    }
    match call.rules.response {
        ResponseRule::Whole => {}
        ResponseRule::LostWithServer => set(headers, STREAM, ONCE),
        ResponseRule::Resumable | ResponseRule::ResumedBySender => set(headers, STREAM, RESUMABLE),
    }
}

/// Parses the verdict of another VM. `None` if the response comes from a server.
pub(crate) fn parse_verdict(headers: &HeaderMap) -> Option<PeerVerdict> {
    let verdict = headers.get(VERDICT)?.to_str().ok()?.parse().ok()?;
    let has = |name| headers.get(name).is_some_and(|value| value == "1");
    Some(PeerVerdict {
        verdict,
        arrived: has(ARRIVED),
        is_ended: has(ENDED),
    })
}

/// Sets the version of the server that sends a response, for the VM that forwarded the request.
pub(crate) fn set_version(headers: &mut HeaderMap, version: Option<&SoftwareVersion>) {
    headers.remove(SERVED_VERSION);
    if let Some(version) = version {
        set(headers, SERVED_VERSION, version.as_str());
    }
}

/// Removes the version of the server from the response of another VM and returns it. A VM of an
/// older build names none.
pub(crate) fn take_version(headers: &mut HeaderMap) -> Option<SoftwareVersion> {
    headers.remove(SERVED_VERSION)?.to_str().ok()?.parse().ok()
}

/// Names the server that sends a response, for the VM that forwarded the request.
pub(crate) fn set_server(headers: &mut HeaderMap, server: Option<InstanceTag>) {
    headers.remove(SERVED_INSTANCE);
    if let Some(server) = server {
        set(headers, SERVED_INSTANCE, &server.to_string());
    }
}

/// Removes the name of the server from the response of another VM and returns it. A VM of an
/// older build names none.
pub(crate) fn take_server(headers: &mut HeaderMap) -> Option<InstanceTag> {
    headers.remove(SERVED_INSTANCE)?.to_str().ok()?.parse().ok()
}

/// Serves a request that another VM forwarded.
pub(crate) async fn handle_relayed(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let arrived = BootInstant::now();
    if !request.headers().contains_key(SERVICE) && is_origin_message(request.uri()) {
        return answer_origin_message(&gateway, request).await;
    }
    let is_numbered = has_frames(request.headers());
    let result = match read_relayed(&gateway, request, arrived).await {
        Ok(call) => serve(&gateway, &Rc::new(call)).await,
        Err(error) => Err(error.into()),
    };
    match result {
        Ok(response) if is_numbered => encode_stream(&gateway, response),
        Ok(response) => response,
        Err(failure) => reject_relayed(&failure),
    }
}

async fn read_relayed(
    gateway: &Gateway,
    request: Request<Incoming>,
    arrived: BootInstant,
) -> Result<CallContext, RequestError> {
    let (head, body) = request.into_parts();
    let invalid = || RequestError::not_run(RefusalReason::BadRequest, "invalid forwarded request");
    let call = read_call(&head.headers).ok_or_else(invalid)?;
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    let integer = |name: &str| text(name).and_then(|t| t.parse::<u64>().ok());
    let service = text(SERVICE)
        .and_then(|name| name.parse().ok())
        .ok_or_else(invalid)?;
    let vm: VmName = text(VM)
        .and_then(|name| name.parse().ok())
        .ok_or_else(invalid)?;
    let homes: HomeRegions = text(HOMES).unwrap_or("").parse().map_err(|_| invalid())?;
    let team = text(TEAM)
        .map(str::parse)
        .transpose()
        .map_err(|_| invalid())?;
    let table = gateway.table();
    let engine = table
        .as_ref()
        .and_then(|table| table.service(&service)?.engine);
    let time_left = call.time_left.ok_or_else(invalid)?;
    let route = text(ROUTE).unwrap_or("relayed").to_owned();
    let homes = match &table {
        Some(table) => homes.and(&local_homes(table, &route, team.as_ref())),
        None => homes,
    };
    let version = text(NEEDED_VERSION)
        .map(str::parse)
        .transpose()
        .map_err(|_| invalid())?;
    let urgency = integer(URGENCY).and_then(|urgency| u8::try_from(urgency).ok());
    let rule = table.as_ref().and_then(|table| table.route(&route));
    let backlog_limit = rule.and_then(|rule| gateway.backlog_limit(&service, rule.priority));
    let needs = CallRequirements {
        backlog_limit,
        service,
        engine,
        goal: Duration::from_millis(integer(GOAL).ok_or_else(invalid)?),
        urgency: urgency.unwrap_or(DEFAULT_URGENCY),
        deadline: gateway.now() + time_left,
        events: gateway.expected_events(&route, &call.prompt),
        prompt: call.prompt,
        homes,
        version,
    };
    let mut headers = forward_headers(&head.headers);
    for name in RELAY_HEADERS {
        headers.remove(name);
    }
    let body = read_body(gateway, &head, body, MAX_RELAYED_BODY, time_left).await?;
    Ok(CallContext {
        request_id: call.request_id,
        route,
        team,
        keys: OnceCell::new(),
        version: table.map(|table| table.version()).unwrap_or_default(),
        needs,
        class: None,
        rules: CallRules {
            // Only the forwarding VM retries.
            repeatable: false,
            response: match text(STREAM) {
                None => ResponseRule::Whole,
                Some(ONCE) => ResponseRule::LostWithServer,
                Some(_) => ResponseRule::ResumedBySender,
            },
            max_attempts: 1,
            gap_goal: None,
        },
        method: head.method,
        target: head.uri,
        headers,
        body,
        origin: CallOrigin::Peer(vm),
        arrived,
        deadline: arrived + time_left,
    })
}

/// Home regions by this VM's own configuration, which may be newer than the sender's.
fn local_homes(table: &RouteTable, route: &str, team: Option<&TeamName>) -> HomeRegions {
    let route = table.route(route);
    let mut homes = route.map_or(HomeRegions::Any, |rule| rule.homes.clone());
    if let (Some(teams), Some(name)) = (table.teams(), team)
        && let Some(id) = teams.named(name.as_str())
    {
        homes = homes.and(&teams.rule(id).homes);
    }
    homes
}

fn reject_relayed(failure: &CallFailure) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(""));
    *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    let flag = |is_set| if is_set { "1" } else { "0" };
    let headers = response.headers_mut();
    set(headers, VERDICT, failure.error.verdict.as_str());
    set(headers, ARRIVED, flag(failure.arrivals > 0));
    set(headers, ENDED, flag(failure.is_ended));
    response
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
