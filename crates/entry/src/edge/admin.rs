//! The admin port: metrics, health and status.

use std::fmt::Write as _;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use onyxfall_http::{HttpLimits, HttpReply, HttpServer};
use onyxfall_policy::ShutdownPhase;
use serde_json::{Value, json};

use crate::core::EntryCore;

/// Maximum number of concurrent requests; only metric scrapers and operators use this
/// port.
const MAX_REQUESTS: usize = 16;

/// Serves the admin port until the returned server is dropped.
pub(crate) fn start_admin(core: &Arc<EntryCore>, listener: TcpListener) -> io::Result<HttpServer> {
    let core = Arc::clone(core);
    let limits = HttpLimits {
        port: "admin",
        max_connections: MAX_REQUESTS * 4,
        max_requests: MAX_REQUESTS,
        io_threads: 1,
        ..HttpLimits::default()
    };
    HttpServer::start(listener, limits, move |request, responder| {
        let _ = responder.reply(response(&core, request.path()));
    })
}

fn response(core: &EntryCore, path: &str) -> HttpReply {
    match path {
        "/metrics" => HttpReply::full(200, "text/plain; version=0.0.4", render_metrics(core)),
        "/healthz" => {
            let ready = core.bundle().is_some() && core.shutdown_phase() == ShutdownPhase::Running;
            let status = if ready { 200 } else { 503 };
            HttpReply::full(
                status,
                "application/json",
                json!({"ready": ready}).to_string(),
            )
        }
        "/status" => HttpReply::full(200, "application/json", status(core).to_string()),
        _ => HttpReply::full(404, "text/plain", "no such path\n"),
    }
}

fn render_metrics(core: &EntryCore) -> String {
    let mut text = core.metrics.render();
    let counts = core.with_router(|router| (router.counts(), router.waiting()));
    if let Some((counts, waiting)) = counts {
        let rows = [
            ("onyxfall_attempts_local_total", counts.local),
            ("onyxfall_attempts_away_total", counts.remote),
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
    let held = core.settings.limits.held.held();
    let _ = writeln!(text, "onyxfall_held_bytes {}", held.bytes());
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
        "stop": format!("{:?}", core.shutdown_phase()).to_lowercase(),
        "members": members,
    })
}
