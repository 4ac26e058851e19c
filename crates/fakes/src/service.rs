//! Stub of a plain service that counts its runs by request id.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use onyxfall_http::{HttpLimits, HttpReply, HttpRequest, HttpServer, Responder};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;

use crate::control::{BODY_LIMIT, apply_faults, send};
use crate::slots::SlotGate;

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Processing time of one request.
    pub work: Duration,
    /// Incarnation in its load report.
    pub incarnation: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            work: Duration::from_millis(10),
            incarnation: 1,
        }
    }
}

/// Faults that can be set while a service runs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Runs the request, then drops the connection without a response.
    pub drop_answer: bool,
    /// Rejects requests with 429 before running them.
    pub refusing: bool,
    /// Rejects requests with 429 and reports that it is draining.
    pub draining: bool,
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    runs: BTreeMap<String, u64>,
}

struct ServiceShared {
    settings: ServiceSettings,
    gate: Arc<SlotGate>,
    state: Mutex<ServiceState>,
}

/// A running service.
pub struct FakeService {
    server: HttpServer,
    shared: Arc<ServiceShared>,
}

impl FakeService {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// The listener cannot be used.
    pub fn start(listener: TcpListener, settings: ServiceSettings) -> io::Result<Self> {
        let shared = Arc::new(ServiceShared {
            settings,
            gate: Arc::default(),
            state: Mutex::default(),
        });
        let handler_shared = Arc::clone(&shared);
        let server = HttpServer::start(
            listener,
            HttpLimits::default(),
            move |request, responder| {
                handle(&handler_shared, request, responder);
            },
        )?;
        Ok(Self { server, shared })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.state.lock().faults = faults;
    }

    /// Number of runs, by request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.state.lock().runs.clone()
    }
}

fn handle(shared: &Arc<ServiceShared>, mut request: HttpRequest, responder: Responder) {
    let faults = shared.state.lock().faults.clone();
    match request.path() {
        "/load" => {
            let load = shared.gate.load();
            let report = json!({
                "incarnation": shared.settings.incarnation,
                "running": load.running,
                "queued": load.queued,
                "slots": shared.settings.slots,
                "draining": faults.draining,
            });
            return send(responder, 200, &report);
        }
        "/fake/control" => {
            let set = |faults| shared.state.lock().faults = faults;
            return apply_faults(request, responder, set);
        }
        "/fake/runs" => {
            let runs = json!({"runs": shared.state.lock().runs});
            return send(responder, 200, &runs);
        }
        _ => {}
    }
    if faults.refusing || faults.draining {
        return send(responder, 429, &json!({"error": "refusing"}));
    }
    let body = request.read_body(BODY_LIMIT).unwrap_or_default();
    let id = request
        .header("onyxfall-request-id")
        .unwrap_or("")
        .to_owned();
    let Some(_slot) = shared.gate.take(shared.settings.slots, 5, || false) else {
        return;
    };
    let count = {
        let mut state = shared.state.lock();
        let count = state.runs.entry(id.clone()).or_default();
        *count += 1;
        *count
    };
    std::thread::sleep(shared.settings.work);
    if shared.state.lock().faults.drop_answer {
        drop(request);
        if let Ok(stream) = responder.stream(HttpReply::stream(200, "application/json")) {
            drop(stream);
        }
        return;
    }
    let path = request.path().to_owned();
    let response = json!({"id": id, "count": count, "path": path, "length": body.len()});
    send(responder, 200, &response);
}
