//! Stub of the platform's service: the JSON gateway of etcd v3 over an in-memory map, the
//! VM list and the directory, with faults.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use onyxfall_http::{HttpLimits, HttpReply, HttpRequest, HttpServer, Responder};
use onyxfall_platform::{VmList, VmRecord};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::control::{BODY_LIMIT, apply_faults, send};

const VALUE_LIMIT: usize = 1024 * 1024;
const WATCH_POLL: Duration = Duration::from_millis(20);
const WATCH_IDLE: Duration = Duration::from_secs(1);

/// Faults that can be set while the service runs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Fails every call with 503 and ends watches.
    pub outage: bool,
    /// Delay of every response.
    pub delay_ms: u64,
    /// Number of future writes that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Number of future calls that are rejected with 429.
    pub refuse_calls: u32,
}

#[derive(Clone)]
struct StoredValue {
    value: Vec<u8>,
    created: i64,
    modified: i64,
    lease: Option<i64>,
}

#[derive(Default)]
struct PlatformState {
    faults: PlatformFaults,
    revision: i64,
    values: BTreeMap<Vec<u8>, StoredValue>,
    history: Vec<(i64, Vec<u8>, Option<StoredValue>)>,
    leases: BTreeMap<i64, (Instant, Duration)>,
    vms: VmList,
    directory: BTreeMap<String, Vec<VmRecord>>,
    calls: BTreeMap<String, u64>,
}

/// A running platform service.
pub struct FakePlatform {
    server: HttpServer,
    state: Arc<Mutex<PlatformState>>,
}

impl FakePlatform {
    /// Starts the service with no keys and no VMs.
    ///
    /// # Errors
    ///
    /// The listener cannot be used.
    pub fn start(listener: TcpListener) -> io::Result<Self> {
        let state: Arc<Mutex<PlatformState>> = Arc::default();
        let handler_state = Arc::clone(&state);
        let server = HttpServer::start(
            listener,
            HttpLimits::default(),
            move |request, responder| {
                handle(&handler_state, request, responder);
            },
        )?;
        Ok(Self { server, state })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.lock().vms = VmList { vms };
    }

    /// Number of calls so far, by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.state.lock().calls.clone()
    }

    /// Copies all keys, for [`Self::restore`].
    pub fn snapshot(&self) -> Vec<(Vec<u8>, Vec<u8>)> {
        let state = self.state.lock();
        state
            .values
            .iter()
            .map(|(key, stored)| (key.clone(), stored.value.clone()))
            .collect()
    }

    /// Restores a snapshot, like a service restored from an old backup.
    pub fn restore(&self, snapshot: &[(Vec<u8>, Vec<u8>)]) {
        let mut state = self.state.lock();
        let keys: Vec<Vec<u8>> = state.values.keys().cloned().collect();
        for key in keys {
            write(&mut state, &key, None, None);
        }
        for (key, value) in snapshot {
            write(&mut state, key, Some(value.clone()), None);
        }
    }
}

fn handle(shared: &Arc<Mutex<PlatformState>>, mut request: HttpRequest, responder: Responder) {
    let path = request.path().to_owned();
    if path == "/fake/control" {
        return apply_faults(request, responder, |faults| shared.lock().faults = faults);
    }
    let body = request.read_body(BODY_LIMIT).unwrap_or_default();
    let delay = shared.lock().faults.delay_ms;
    std::thread::sleep(Duration::from_millis(delay));
    {
        let mut state = shared.lock();
        *state.calls.entry(path.clone()).or_default() += 1;
        if state.faults.outage {
            drop(state);
            return send(responder, 503, &json!({"error": "outage"}));
        }
        if state.faults.refuse_calls > 0 {
            state.faults.refuse_calls -= 1;
            drop(state);
            return send(responder, 429, &json!({"error": "rate"}));
        }
    }
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if path == "/v3/watch" {
        return watch(shared, &body["create_request"], responder);
    }
    let mut state = shared.lock();
    expire_leases(&mut state);
    let response = call(&mut state, &path, &body);
    let is_write = matches!(
        path.as_str(),
        "/v3/kv/put" | "/v3/kv/txn" | "/v3/kv/deleterange"
    );
    let lost = is_write && state.faults.lose_answers > 0;
    if lost {
        state.faults.lose_answers -= 1;
    }
    drop(state);
    if lost {
        return drop(responder.stream(HttpReply::stream(200, "application/json")));
    }
    match response {
        Ok(response) => send(responder, 200, &response),
        Err(e) => send(responder, 400, &json!({"error": e})),
    }
}

fn call(state: &mut PlatformState, path: &str, body: &Value) -> Result<Value, String> {
    match path {
        "/v3/kv/range" => Ok(range(state, body)),
        "/v3/kv/put" => put(state, body),
        "/v3/kv/deleterange" => {
            let key = bytes_of(&body["key"]);
            write(state, &key, None, None);
            Ok(json!({}))
        }
        "/v3/kv/txn" => txn(state, body),
        "/v3/lease/grant" => {
            let ttl = body["TTL"]
                .as_str()
                .and_then(|t| t.parse().ok())
                .unwrap_or(1);
            state.revision += 1;
            let id = state.revision;
            let ttl = Duration::from_secs(ttl);
            state.leases.insert(id, (Instant::now() + ttl, ttl));
            Ok(json!({"ID": id.to_string(), "TTL": ttl.as_secs().to_string()}))
        }
        "/v3/lease/keepalive" => Ok(keep_alive(state, lease_of(body))),
        "/v3/lease/revoke" => {
            state.leases.remove(&lease_of(body));
            expire_leases(state);
            Ok(json!({}))
        }
        "/platform/v1/vms" => Ok(json!(state.vms)),
        "/platform/v1/directory" => Ok(json!(state.directory)),
        _ => publish(state, path, body),
    }
}

fn publish(state: &mut PlatformState, path: &str, body: &Value) -> Result<Value, String> {
    let center = path
        .strip_prefix("/platform/v1/directory/")
        .ok_or("no such path")?;
    let entries = serde_json::from_value(body.clone()).map_err(|e| e.to_string())?;
    state.directory.insert(center.to_owned(), entries);
    Ok(json!({}))
}

fn lease_of(body: &Value) -> i64 {
    body["ID"]
        .as_str()
        .and_then(|id| id.parse().ok())
        .unwrap_or(0)
}

fn keep_alive(state: &mut PlatformState, id: i64) -> Value {
    let ttl = state.leases.get_mut(&id).map(|(until, ttl)| {
        *until = Instant::now() + *ttl;
        ttl.as_secs()
    });
    json!({"result": {"ID": id.to_string(), "TTL": ttl.unwrap_or(0).to_string()}})
}

fn expire_leases(state: &mut PlatformState) {
    let now = Instant::now();
    state.leases.retain(|_, (until, _)| *until > now);
    let expired: Vec<Vec<u8>> = state
        .values
        .iter()
        .filter(|(_, stored)| {
            stored
                .lease
                .is_some_and(|id| !state.leases.contains_key(&id))
        })
        .map(|(key, _)| key.clone())
        .collect();
    for key in expired {
        write(state, &key, None, None);
    }
}

fn bytes_of(value: &Value) -> Vec<u8> {
    value
        .as_str()
        .and_then(|text| STANDARD.decode(text).ok())
        .unwrap_or_default()
}

fn key_value(key: &[u8], stored: &StoredValue) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "create_revision": stored.created.to_string(),
        "mod_revision": stored.modified.to_string(),
    })
}

fn in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        key == start
    } else {
        key >= start && key < end
    }
}

fn range(state: &PlatformState, body: &Value) -> Value {
    let (start, end) = (bytes_of(&body["key"]), bytes_of(&body["range_end"]));
    let found: Vec<Value> = state
        .values
        .iter()
        .filter(|(key, _)| in_range(key, &start, &end))
        .map(|(key, stored)| key_value(key, stored))
        .collect();
    json!({"header": {"revision": state.revision.to_string()}, "kvs": found})
}

fn put(state: &mut PlatformState, body: &Value) -> Result<Value, String> {
    let value = bytes_of(&body["value"]);
    if value.len() > VALUE_LIMIT {
        return Err("value too large".to_owned());
    }
    let lease = body["lease"].as_str().and_then(|id| id.parse().ok());
    if lease.is_some_and(|id| !state.leases.contains_key(&id)) {
        return Err("lease not found".to_owned());
    }
    write(state, &bytes_of(&body["key"]), Some(value), lease);
    Ok(json!({"header": {"revision": state.revision.to_string()}}))
}

fn write(state: &mut PlatformState, key: &[u8], value: Option<Vec<u8>>, lease: Option<i64>) {
    state.revision += 1;
    let modified = state.revision;
    let created = state
        .values
        .get(key)
        .map_or(modified, |stored| stored.created);
    let stored = value.map(|value| StoredValue {
        value,
        created,
        modified,
        lease,
    });
    match &stored {
        Some(stored) => state.values.insert(key.to_vec(), stored.clone()),
        None => state.values.remove(key),
    };
    state.history.push((modified, key.to_vec(), stored));
}

fn txn(state: &mut PlatformState, body: &Value) -> Result<Value, String> {
    let holds = body["compare"]
        .as_array()
        .into_iter()
        .flatten()
        .all(|compare| {
            let stored = state.values.get(&bytes_of(&compare["key"]));
            let number = |field: &str| compare[field].as_str().and_then(|n| n.parse::<i64>().ok());
            match compare["target"].as_str() {
                Some("CREATE") => {
                    stored.map_or(0, |s| s.created) == number("create_revision").unwrap_or(0)
                }
                _ => stored.map_or(0, |s| s.modified) == number("mod_revision").unwrap_or(0),
            }
        });
    let branch = if holds { "success" } else { "failure" };
    let mut responses = Vec::new();
    for op in body[branch].as_array().into_iter().flatten() {
        if op["request_put"].is_object() {
            responses.push(json!({"response_put": put(state, &op["request_put"])?}));
        } else {
            responses.push(json!({"response_range": range(state, &op["request_range"])}));
        }
    }
    let header = json!({"revision": state.revision.to_string()});
    Ok(json!({"header": header, "succeeded": holds, "responses": responses}))
}

fn watch(shared: &Arc<Mutex<PlatformState>>, create: &Value, responder: Responder) {
    let (start, end) = (bytes_of(&create["key"]), bytes_of(&create["range_end"]));
    let Ok(stream) = responder.stream(HttpReply::stream(200, "application/json")) else {
        return;
    };
    let mut seen = shared.lock().revision;
    let line = |result: Value| Bytes::from(format!("{}\n", json!({ "result": result })));
    if stream.send(line(json!({"created": true}))).is_err() {
        return;
    }
    let mut idle = Instant::now();
    loop {
        std::thread::sleep(WATCH_POLL);
        let events = {
            let state = shared.lock();
            if state.faults.outage {
                return;
            }
            let events = events_since(&state, seen, &start, &end);
            seen = state.revision;
            events
        };
        if events.is_empty() && idle.elapsed() < WATCH_IDLE {
            continue;
        }
        idle = Instant::now();
        if stream.send(line(json!({ "events": events }))).is_err() {
            return;
        }
    }
}

fn events_since(state: &PlatformState, seen: i64, start: &[u8], end: &[u8]) -> Vec<Value> {
    let from = state
        .history
        .partition_point(|(revision, _, _)| *revision <= seen);
    state.history[from..]
        .iter()
        .filter(|(_, key, _)| in_range(key, start, end))
        .map(|(_, key, stored)| match stored {
            Some(stored) => json!({"type": "PUT", "kv": key_value(key, stored)}),
            None => json!({"type": "DELETE", "kv": {"key": STANDARD.encode(key)}}),
        })
        .collect()
}
