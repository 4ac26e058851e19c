//! Readiness, the directory of entry VMs, and metrics.

use std::net::SocketAddr;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode, Uri};
use onyxfall_adapter::{
    DirectoryQuery, READY_PATH, RESOLVE_PATH, directory_body, read_directory_query,
};
use onyxfall_policy::{MemberBeat, MemberState};

use crate::body::ReplyBody;
use crate::gateway::Gateway;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Most addresses in one answer; callers take no more.
const MAX_ADDRESSES: usize = 64;
/// How long callers may keep an answer: short, so that a VM that dies is soon
/// left; the settings' bound is the upper end.
const DIRECTORY_TTL: std::time::Duration = std::time::Duration::from_secs(2);

/// Answers on the ports for status and directory.
pub(crate) fn handle_directory(gateway: &Gateway, target: &Uri) -> Response<ReplyBody> {
    match target.path() {
        READY_PATH if gateway.is_ready() => plain(StatusCode::OK, "ready\n".to_owned()),
        READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        METRICS_PATH => plain(StatusCode::OK, gateway.metrics.render()),
        RESOLVE_PATH => resolve(gateway, target.query().unwrap_or("")),
        _ => plain(StatusCode::NOT_FOUND, "no such path\n".to_owned()),
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
    let mut response = plain(StatusCode::OK, directory_body(&addresses, ttl));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// The nearest VMs that serve: those of the caller's data centre, else of its
/// region, else of the homes that the host's routes have in common, else all.
fn entries_for(gateway: &Gateway, query: &DirectoryQuery) -> Vec<SocketAddr> {
    let members = gateway.members.borrow();
    let ready = gateway.ready_vms.borrow();
    let own = gateway.is_ready().then(|| members.own());
    let serving: Vec<&MemberBeat> = members
        .others()
        .filter(|member| member.state == MemberState::Alive)
        .filter(|member| ready.get(&member.beat.name) == Some(&true))
        .map(|member| &member.beat)
        .chain(own)
        .collect();
    let near = |is_near: &dyn Fn(&MemberBeat) -> bool| -> Vec<SocketAddr> {
        let near = serving.iter().filter(|beat| is_near(beat));
        near.map(|beat| beat.address).take(MAX_ADDRESSES).collect()
    };
    let center = query.center.as_deref();
    let region = query.region.as_deref();
    let in_center = near(&|beat| Some(beat.center.as_str()) == center);
    if !in_center.is_empty() {
        return in_center;
    }
    let in_region = near(&|beat| Some(beat.region.as_str()) == region);
    if !in_region.is_empty() {
        return in_region;
    }
    let homes = query
        .host
        .as_deref()
        .and_then(|host| gateway.table()?.homes_of_host(host))
        .unwrap_or_default();
    let in_homes = near(&|beat| homes.contains(&beat.region));
    if !in_homes.is_empty() {
        return in_homes;
    }
    near(&|_| true)
}

fn plain(status: StatusCode, body: String) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    *response.status_mut() = status;
    response
}
