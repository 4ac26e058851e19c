//! Metrics, health and status, on a port of their own.
//!
//! This is where `astra` fits: few short requests, whole answers.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::panic::catch_unwind;
use std::sync::Arc;

use astra::{Body, Request, Response, ResponseBuilder, Server};
use onyxfall_policy::StopPhase;
use serde_json::{Value, json};

use crate::core::EntryCore;

const WORKERS: usize = 8;

/// Binds the admin port. `astra` panics where others return an error.
pub(crate) fn bind_admin(address: SocketAddr) -> io::Result<(Server, SocketAddr)> {
    let bound = catch_unwind(|| Server::bind(address).max_workers(WORKERS).http1_only());
    let server = bound.map_err(|_| io::Error::from(io::ErrorKind::AddrInUse))?;
    let address = server.local_addr()?;
    Ok((server, address))
}

/// Serves the admin port; returns only on an error of its listener.
pub(crate) fn serve_admin(core: &Arc<EntryCore>, server: Server) {
    let core = Arc::clone(core);
    let result = server.serve(move |request: Request, _info| answer(&core, &request));
    log::error!("admin port ended: {result:?}");
}

fn answer(core: &EntryCore, request: &Request) -> Response {
    match request.uri().path() {
        "/metrics" => reply(200, "text/plain; version=0.0.4", render_metrics(core)),
        "/healthz" => {
            let ready = core.bundle().is_some() && core.stop_phase() == StopPhase::Running;
            let status = if ready { 200 } else { 503 };
            reply(
                status,
                "application/json",
                json!({"ready": ready}).to_string(),
            )
        }
        "/status" => reply(200, "application/json", status(core).to_string()),
        _ => reply(404, "text/plain", "no such path\n".to_owned()),
    }
}

fn reply(status: u16, content_type: &str, body: String) -> Response {
    ResponseBuilder::new()
        .status(status)
        .header("content-type", content_type)
        .body(Body::new(body))
        .unwrap_or_else(|_| Response::new(Body::new("bad reply")))
}

fn render_metrics(core: &EntryCore) -> String {
    let mut text = core.metrics.render();
    let counts = core.with_router(|router| (router.counts(), router.waiting()));
    if let Some((counts, waiting)) = counts {
        let rows = [
            ("onyxfall_attempts_local_total", counts.local),
            ("onyxfall_attempts_away_total", counts.away),
            ("onyxfall_router_refused_total", counts.refused),
            ("onyxfall_router_expired_total", counts.expired),
            ("onyxfall_retries_total", counts.retries),
            ("onyxfall_away_switches_total", counts.switches),
            ("onyxfall_waiting", waiting as u64),
        ];
        for (name, value) in rows {
            let _ = writeln!(text, "{name} {value}");
        }
    }
    let _ = writeln!(text, "onyxfall_open_requests {}", core.open_requests());
    let version = core.version_in_force();
    let _ = writeln!(text, "onyxfall_bundle_version {}", version.get());
    text
}

fn status(core: &EntryCore) -> Value {
    let (own, members) = {
        let table = core.members.lock();
        let members: Vec<Value> = table
            .others()
            .map(|m| {
                json!({
                    "name": m.beat.name.as_str(),
                    "center": m.beat.center.as_str(),
                    "incarnation": m.beat.incarnation.get(),
                    "state": format!("{:?}", m.state).to_lowercase(),
                })
            })
            .collect();
        (table.own().clone(), members)
    };
    let version = core.version_in_force();
    let bundle = core.bundle().map(|bundle| bundle.to_string());
    json!({
        "name": own.name.as_str(),
        "region": own.region.as_str(),
        "center": own.center.as_str(),
        "incarnation": own.incarnation.get(),
        "version": version.to_string(),
        "bundle": bundle,
        "open": core.open_requests(),
        "stop": format!("{:?}", core.stop_phase()).to_lowercase(),
        "members": members,
    })
}
