//! Stub of a model engine with OpenAI-style streaming, slots, a prefix cache, a delayed
//! load report, drain and faults.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use onyxfall_http::{HttpLimits, HttpReply, HttpRequest, HttpServer, Responder};
use onyxfall_types::stable_hash;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::control::{BODY_LIMIT, apply_faults, send};
use crate::slots::{SlotGate, SlotLoad};

const DEFAULT_TOKENS: u64 = 8;
const MAX_EVENTS: usize = 256;

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Time until the first token when the prefix is not cached.
    pub prefill: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Capacity of the prefix cache.
    pub cache: usize,
    /// Delay of its load report.
    pub lag: Duration,
    /// Incarnation in its load report.
    pub incarnation: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill: Duration::from_millis(20),
            token: Duration::from_millis(5),
            cache: 64,
            lag: Duration::from_millis(200),
            incarnation: 1,
        }
    }
}

/// Faults that can be set while an engine runs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Rejects new requests and reports that it is draining.
    pub draining: bool,
    /// Responds to every request with 500.
    pub failing: bool,
    /// Ends every response after this many tokens.
    pub break_after: Option<u64>,
    /// Factor by which it is slower than its settings; 0 stands for 1.
    pub slowness: f64,
    /// Closes connections without a response, like a VM that is down.
    pub dead: bool,
}

#[derive(Default)]
struct EngineState {
    faults: EngineFaults,
    cache: VecDeque<u64>,
    events: VecDeque<Value>,
    next_event: u64,
    runs: BTreeMap<String, u64>,
    cancelled: u64,
    work: Duration,
    loads: VecDeque<(Instant, SlotLoad)>,
    orders: Vec<Value>,
    token: i64,
}

struct EngineShared {
    settings: EngineSettings,
    gate: Arc<SlotGate>,
    state: Mutex<EngineState>,
}

/// A running engine.
pub struct FakeEngine {
    server: HttpServer,
    shared: Arc<EngineShared>,
}

impl FakeEngine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The listener cannot be used.
    pub fn start(listener: TcpListener, settings: EngineSettings) -> io::Result<Self> {
        let shared = Arc::new(EngineShared {
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
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.state.lock().faults = faults;
    }

    /// Number of runs started, by request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.state.lock().runs.clone()
    }

    /// Number of runs that ended because the caller disconnected.
    pub fn cancelled(&self) -> u64 {
        self.shared.state.lock().cancelled
    }

    /// Orders accepted, oldest first.
    pub fn orders(&self) -> Vec<Value> {
        self.shared.state.lock().orders.clone()
    }
}

fn handle(shared: &Arc<EngineShared>, request: HttpRequest, responder: Responder) {
    if shared.state.lock().faults.dead && request.path() != "/fake/control" {
        drop(responder);
        return;
    }
    match request.path() {
        "/load" => send(responder, 200, &load_report(shared)),
        "/fake/control" => {
            apply_faults(request, responder, |faults| {
                shared.state.lock().faults = faults;
            });
        }
        "/fake/runs" => {
            let state = shared.state.lock();
            let counts = json!({"runs": state.runs, "work_ms": state.work.as_millis()});
            drop(state);
            send(responder, 200, &counts);
        }
        "/orders" => order(shared, request, responder),
        _ => complete(shared, request, responder),
    }
}

/// Accepts an order unless its fencing token is lower than the highest one received.
fn order(shared: &EngineShared, mut request: HttpRequest, responder: Responder) {
    let body = request.read_body(BODY_LIMIT).unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<Value>(&body) else {
        return send(responder, 400, &json!({"error": "not JSON"}));
    };
    let token = order["token"].as_i64().unwrap_or(0);
    let mut state = shared.state.lock();
    if token < state.token {
        let known = state.token;
        drop(state);
        return send(
            responder,
            409,
            &json!({"error": "stale token", "token": known}),
        );
    }
    state.token = token;
    state.orders.push(order);
    drop(state);
    send(responder, 200, &json!({}));
}

fn load_report(shared: &EngineShared) -> Value {
    let load = shared.gate.load();
    let mut state = shared.state.lock();
    let now = Instant::now();
    state.loads.push_back((now, load));
    while state.loads.len() > 1 && now - state.loads[1].0 >= shared.settings.lag {
        state.loads.pop_front();
    }
    let lagged = state.loads[0].1;
    let first = state.next_event - state.events.len() as u64;
    let events: Vec<Value> = state.events.drain(..).collect();
    json!({
        "incarnation": shared.settings.incarnation,
        "running": lagged.running,
        "queued": lagged.queued,
        "slots": shared.settings.slots,
        "draining": state.faults.draining,
        "first_event": first,
        "events": events,
    })
}

fn complete(shared: &Arc<EngineShared>, mut request: HttpRequest, responder: Responder) {
    let Ok(body) = request.read_body(BODY_LIMIT) else {
        return send(responder, 413, &json!({"error": "body"}));
    };
    let id = request
        .header("onyxfall-request-id")
        .unwrap_or("")
        .to_owned();
    let priority = request
        .header("onyxfall-priority")
        .and_then(|p| p.parse().ok())
        .unwrap_or(5);
    let faults = shared.state.lock().faults.clone();
    if faults.draining {
        let reply = HttpReply::full(503, "application/json", "{\"error\":\"draining\"}");
        let _ = responder.reply(reply.with_header("retry-after", "1"));
        return;
    }
    *shared.state.lock().runs.entry(id).or_default() += 1;
    if faults.failing {
        return send(responder, 500, &json!({"error": "failing"}));
    }
    let cancel = request.cancel.clone();
    let Some(_slot) = shared
        .gate
        .take(shared.settings.slots, priority, || cancel.is_cancelled())
    else {
        shared.state.lock().cancelled += 1;
        return;
    };
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let started = Instant::now();
    let ended = respond(shared, &body, &request, responder);
    shared.state.lock().work += started.elapsed();
    if !ended {
        shared.state.lock().cancelled += 1;
    }
}

fn scaled_time(shared: &EngineShared, time: Duration) -> Duration {
    let slowness = shared.state.lock().faults.slowness;
    if slowness > 0.0 {
        time.mul_f64(slowness)
    } else {
        time
    }
}

/// Responds in full or as a stream; returns `false` if the caller disconnected.
fn respond(
    shared: &EngineShared,
    body: &Value,
    request: &HttpRequest,
    responder: Responder,
) -> bool {
    let prompt = body["messages"][0]["content"].as_str().unwrap_or("");
    let tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    let cached = touch_cache(shared, stable_hash(&[prompt]));
    if !cached {
        std::thread::sleep(scaled_time(shared, shared.settings.prefill));
    }
    if body["stream"].as_bool() != Some(true) {
        return respond_in_full(shared, request, responder, tokens);
    }
    let Ok(stream) = responder.stream(HttpReply::stream(200, "text/event-stream")) else {
        return false;
    };
    for token in 0..tokens {
        std::thread::sleep(scaled_time(shared, shared.settings.token));
        if shared.state.lock().faults.break_after == Some(token) {
            return true;
        }
        let chunk = json!({"choices": [{"delta": {"content": format!("w{token} ")}}]});
        if stream
            .send(Bytes::from(format!("data: {chunk}\n\n")))
            .is_err()
        {
            return false;
        }
    }
    stream.send(Bytes::from_static(b"data: [DONE]\n\n")).is_ok() && stream.finish().is_ok()
}

fn respond_in_full(
    shared: &EngineShared,
    request: &HttpRequest,
    responder: Responder,
    tokens: u64,
) -> bool {
    for _ in 0..tokens {
        std::thread::sleep(scaled_time(shared, shared.settings.token));
        if request.cancel.is_cancelled() {
            return false;
        }
    }
    let words: Vec<String> = (0..tokens).map(|token| format!("w{token}")).collect();
    let text = words.join(" ");
    let body = json!({"choices": [{"message": {"content": text}}]});
    responder
        .reply(HttpReply::full(200, "application/json", body.to_string()))
        .is_ok()
}

/// Moves a prefix to the front of the cache; returns whether it was cached.
fn touch_cache(shared: &EngineShared, prefix: u64) -> bool {
    let mut state = shared.state.lock();
    let found = state.cache.iter().position(|cached| *cached == prefix);
    if let Some(at) = found {
        state.cache.remove(at);
    }
    state.cache.push_front(prefix);
    if found.is_none() {
        record_event(&mut state, json!({"stored": prefix.to_string()}));
    }
    if state.cache.len() > shared.settings.cache
        && let Some(evicted) = state.cache.pop_back()
    {
        record_event(&mut state, json!({"evicted": evicted.to_string()}));
    }
    found.is_some()
}

fn record_event(state: &mut EngineState, event: Value) {
    state.events.push_back(event);
    state.next_event += 1;
    if state.events.len() > MAX_EVENTS {
        state.events.pop_front();
    }
}
