//! Readiness checks, the directory of entry VMs, the metrics and the capacity plan.

use std::net::SocketAddr;

use http::header::{ALLOW, CONTENT_TYPE};
use http::{HeaderValue, Method, Response, StatusCode, Uri};
use onyxfall_adapter::{
    DirectoryQuery, READY_PATH, RESOLVE_PATH, directory_body, read_directory_query,
};
use onyxfall_overlay::VmRecord;
use onyxfall_suspects::EvidenceKey;
use onyxfall_types::{PlanReport, RegionName};

use crate::body::ReplyBody;
use crate::gateway::Gateway;

const METRICS_PATH: &str = "/metrics";
/// Most addresses in one response; callers use no more.
const MAX_ADDRESSES: usize = 64;
/// How long callers may cache a response. It is short so that callers soon stop using a VM
/// that has failed; the setting is an upper bound.
const DIRECTORY_TTL: std::time::Duration = std::time::Duration::from_secs(1);

/// Handles requests to the status and directory ports.
pub(crate) fn handle_directory(gateway: &Gateway, target: &Uri) -> Response<ReplyBody> {
    match target.path() {
        READY_PATH if gateway.is_ready() => plain(StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => plain(
            StatusCode::OK,
            gateway.metrics.render()
                + &gateway.team_gauges()
                + &gateway.rollout_gauges()
                + &gateway.path_gauges()
                + &gateway.copy_gauges()
                + &gateway.suspect_gauges(),
        ),
        PlanReport::PATH => plan(gateway),
        RESOLVE_PATH => resolve(gateway, target.query().unwrap_or("")),
        _ => plain(StatusCode::NOT_FOUND, "no such path\n".to_owned()),
    }
}

/// Handles requests to lift the verdict on a key, which all VMs learn from this one.
pub(crate) fn handle_verdict(gateway: &Gateway, method: &Method, key: &str) -> Response<ReplyBody> {
    if method != Method::DELETE {
        let mut response = plain(
            StatusCode::METHOD_NOT_ALLOWED,
            "expected DELETE\n".to_owned(),
        );
        let allowed = HeaderValue::from_static("DELETE");
        response.headers_mut().insert(ALLOW, allowed);
        return response;
    }
    let key: EvidenceKey = match key.parse() {
        Ok(key) => key,
        Err(e) => return plain(StatusCode::BAD_REQUEST, format!("{e}\n")),
    };
    if gateway.lift_suspect(key) {
        plain(StatusCode::OK, format!("lifted {key}\n"))
    } else {
        plain(
            StatusCode::NOT_FOUND,
            format!("no evidence against {key}\n"),
        )
    }
}

fn resolve(gateway: &Gateway, query: &str) -> Response<ReplyBody> {
    let query = read_directory_query(query);
    let addresses = entries_for(gateway, &query);
    if addresses.is_empty() {
        return plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "no VM is ready\n".to_owned(),
        );
    }
    let ttl = DIRECTORY_TTL.min(gateway.settings().directory_ttl);
    json(directory_body(&addresses, ttl))
}

fn plan(gateway: &Gateway) -> Response<ReplyBody> {
    let report = gateway.plan_report();
    match serde_json::to_string(&report) {
        Ok(body) => json(body),
        Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    }
}

fn json(body: String) -> Response<ReplyBody> {
    let mut response = plain(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns the nearest VMs that serve, in the caller's region those first that reach servers
/// themselves. VMs that are shutting down are listed before those of
/// a region that is neither the caller's own nor a home, because they still serve and data
/// may not leave its home regions.
fn entries_for(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let overlay = gateway.overlay.borrow();
    let roster = overlay.roster();
    let alive = || {
        roster
            .others()
            .filter(|vm| vm.is_alive())
            .map(|vm| &vm.record)
    };
    let serving: Vec<&VmRecord> = alive()
        .filter(|vm| vm.status.is_ready && !vm.status.is_leaving)
        .chain(gateway.is_ready().then(|| roster.own()))
        .collect();
    let stopping: Vec<&VmRecord> = alive()
        .filter(|vm| vm.status.is_leaving)
        .chain(gateway.is_shutting_down().then(|| roster.own()))
        .collect();
    let reaching: Vec<&VmRecord> = serving
        .iter()
        .copied()
        .filter(|vm| vm.status.unreached.is_empty())
        .collect();
    let homes = homes_of(gateway, query);
    let center = |vm: &VmRecord| Some(vm.center.as_str()) == query.center.as_deref();
    let region = |vm: &VmRecord| Some(vm.region.as_str()) == query.region.as_deref();
    let home = |vm: &VmRecord| homes.contains(&vm.region);
    let choices = [
        select(&reaching, center),
        select(&reaching, region),
        select(&serving, region),
        select(&reaching, home),
        select(&serving, home),
        select(&stopping, |vm| {
            !homes.is_empty() && (region(vm) || home(vm))
        }),
        select(&reaching, |_| true),
        select(&serving, |_| true),
    ];
    let chosen = choices.into_iter().find(|chosen| !chosen.is_empty());
    chosen.unwrap_or_default()
}

/// Regions that are a home for most routes of the queried host that have home regions.
fn homes_of(gateway: &Gateway, query: &DirectoryQuery) -> Vec<RegionName> {
    query
        .host
        .as_deref()
        .and_then(|host| Some(gateway.table()?.homes_of_host(host)))
        .unwrap_or_default()
}

fn select(vms: &[&VmRecord], matches: impl Fn(&VmRecord) -> bool) -> Vec<SocketAddr> {
    vms.iter()
        .filter(|vm| matches(vm))
        .map(|vm| vm.address)
        .take(MAX_ADDRESSES)
        .collect()
}

fn plain(status: StatusCode, body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    response
}
