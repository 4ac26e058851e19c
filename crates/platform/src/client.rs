//! HTTP client of the platform's service.
//!
//! Every call takes a token from the client's token bucket before it is sent,
//! and fails within its timeout. A failure of a write or lease call is reported
//! as `MayHaveRun`, unless the call was not sent or was refused.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::ops::ControlFlow;
use std::sync::Mutex;
use std::time::Duration;

use onyxfall_clock::BootInstant;
use onyxfall_policy::{Moment, TokenBucket};
use onyxfall_types::RunVerdict;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::count::{CallClass, CallCounts};
use crate::error::{PlatformError, PlatformFailure};
use crate::message::{
    KeepAliveResponse, LeaseResponse, PutRequest, RangeRequest, RangeResponse, TxnResponse, VmList,
    VmRecord, WatchLine, WireEvent, WireKeyValue, decode, encode, prefix_end,
};
use crate::store::{
    Expected, KeyValue, LeaseId, PlatformStore, StoreRevision, SwapOutcome, WatchEvent,
};

/// Number of characters of an error response that are kept.
const MAX_DETAIL_CHARS: usize = 200;
/// Maximum size of a response body in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Address, timeouts and rate limit of a [`PlatformClient`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base address, such as `http://127.0.0.1:2379`.
    pub url: String,
    /// Timeout of one call; for a watch, of its opening.
    pub timeout: Duration,
    /// Timeout for receiving data on a watch, after which the watch fails.
    pub watch_timeout: Duration,
    /// Maximum sustained rate of calls per second by this client.
    pub rate: f64,
    /// Maximum number of calls in a burst.
    pub burst: u32,
}

impl PlatformSettings {
    /// Creates settings with defaults for everything but the address.
    pub fn new(url: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            timeout: Duration::from_secs(2),
            watch_timeout: Duration::from_secs(15),
            rate: 10.0,
            burst: 20,
        }
    }
}

/// Client of the platform's service.
pub struct PlatformClient {
    settings: PlatformSettings,
    agent: ureq::Agent,
    started: BootInstant,
    call_bucket: Mutex<TokenBucket>,
    counts: CallCounts,
}

impl PlatformClient {
    /// Creates a client without contacting the service.
    pub fn new(settings: PlatformSettings) -> Self {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .timeout_connect(Some(settings.timeout))
            .build()
            .new_agent();
        let call_bucket = TokenBucket::new(settings.rate, f64::from(settings.burst), Moment::ZERO);
        Self {
            settings,
            agent,
            started: BootInstant::now(),
            call_bucket: Mutex::new(call_bucket),
            counts: CallCounts::default(),
        }
    }

    /// Number of calls made so far, by class.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    fn take_call_token(&self, call: &'static str, class: CallClass) -> Result<(), PlatformError> {
        let now = Moment::from_duration(self.started.elapsed());
        let mut call_bucket = self
            .call_bucket
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if !call_bucket.take(now, 1.0) {
            let failure = PlatformFailure::ClientRateLimited;
            return Err(PlatformError {
                call,
                failure,
                verdict: RunVerdict::NotRun,
            });
        }
        self.counts.add(class);
        Ok(())
    }

    fn post<T: DeserializeOwned>(
        &self,
        call: &'static str,
        class: CallClass,
        path: &str,
        body: &Value,
    ) -> Result<T, PlatformError> {
        self.take_call_token(call, class)?;
        let url = format!("{}{path}", self.settings.url);
        let request = self
            .agent
            .post(&url)
            .config()
            .timeout_global(Some(self.settings.timeout))
            .build()
            .header("content-type", "application/json");
        read_response(call, class, request.send(body.to_string()))
    }

    fn fetch<T: DeserializeOwned>(
        &self,
        call: &'static str,
        path: &str,
    ) -> Result<T, PlatformError> {
        self.take_call_token(call, CallClass::Read)?;
        let url = format!("{}{path}", self.settings.url);
        let request = self
            .agent
            .get(&url)
            .config()
            .timeout_global(Some(self.settings.timeout))
            .build();
        read_response(call, CallClass::Read, request.call())
    }

    fn open_watch(&self, prefix: &str) -> Result<ureq::Body, PlatformError> {
        const CALL: &str = "watch";
        self.take_call_token(CALL, CallClass::Watch)?;
        let create = json!({"create_request": {
            "key": encode(prefix), "range_end": prefix_end(prefix), "progress_notify": true,
        }});
        let url = format!("{}/v3/watch", self.settings.url);
        let request = self
            .agent
            .post(&url)
            .config()
            .timeout_recv_response(Some(self.settings.timeout))
            .timeout_recv_body(Some(self.settings.watch_timeout))
            .build();
        let response = request
            .send(create.to_string())
            .map_err(|e| unreachable_error(CALL, CallClass::Watch, &e))?;
        if response.status() != 200 {
            let status = response.status().as_u16();
            return Err(status_error(CALL, CallClass::Watch, status, String::new()));
        }
        Ok(response.into_body())
    }
}

fn read_response<T: DeserializeOwned>(
    call: &'static str,
    class: CallClass,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, PlatformError> {
    let mut response = result.map_err(|e| unreachable_error(call, class, &e))?;
    let status = response.status().as_u16();
    let text = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_BYTES)
        .read_to_string()
        .map_err(|e| unreachable_error(call, class, &e))?;
    if status != 200 {
        let detail: String = text.chars().take(MAX_DETAIL_CHARS).collect();
        return Err(status_error(call, class, status, detail));
    }
    serde_json::from_str(&text).map_err(|e| malformed_error(call, class, e.to_string()))
}

/// Verdict for a call that may have reached the service. Reads have no effect,
/// so they count as not run.
fn failure_verdict(class: CallClass) -> RunVerdict {
    match class {
        CallClass::Read | CallClass::Watch => RunVerdict::NotRun,
        CallClass::Write | CallClass::Lease => RunVerdict::MayHaveRun,
    }
}

fn unreachable_error(call: &'static str, class: CallClass, error: &ureq::Error) -> PlatformError {
    let refused =
        matches!(error, ureq::Error::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused);
    let verdict = if refused {
        RunVerdict::NotRun
    } else {
        failure_verdict(class)
    };
    PlatformError {
        call,
        failure: PlatformFailure::Unreachable(error.to_string()),
        verdict,
    }
}

fn status_error(
    call: &'static str,
    class: CallClass,
    status: u16,
    detail: String,
) -> PlatformError {
    if status == 429 {
        let failure = PlatformFailure::RateLimited;
        return PlatformError {
            call,
            failure,
            verdict: RunVerdict::NotRun,
        };
    }
    let failure = PlatformFailure::Status { status, detail };
    PlatformError {
        call,
        failure,
        verdict: failure_verdict(class),
    }
}

fn malformed_error(call: &'static str, class: CallClass, detail: String) -> PlatformError {
    let failure = PlatformFailure::Malformed(detail);
    PlatformError {
        call,
        failure,
        verdict: failure_verdict(class),
    }
}

fn key_value(call: &'static str, wire: &WireKeyValue) -> Result<KeyValue, PlatformError> {
    let to_error = |e: String| malformed_error(call, CallClass::Read, e);
    let revision = wire.mod_revision.parse().unwrap_or(0);
    Ok(KeyValue {
        key: decode(&wire.key).map_err(to_error)?,
        value: decode(&wire.value).map_err(to_error)?,
        revision: StoreRevision(revision),
    })
}

fn watch_event(event: &WireEvent) -> Result<WatchEvent, PlatformError> {
    let entry = key_value("watch", &event.kv)?;
    if event.kind == "DELETE" {
        return Ok(WatchEvent::Deleted(entry.key));
    }
    Ok(WatchEvent::Put(entry))
}

impl PlatformStore for PlatformClient {
    fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError> {
        const CALL: &str = "range";
        let request = RangeRequest {
            key: encode(key),
            range_end: None,
        };
        let body = json!(request);
        let response: RangeResponse = self.post(CALL, CallClass::Read, "/v3/kv/range", &body)?;
        response
            .kvs
            .first()
            .map(|wire| key_value(CALL, wire))
            .transpose()
    }

    fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, PlatformError> {
        const CALL: &str = "range";
        let request = RangeRequest {
            key: encode(prefix),
            range_end: Some(prefix_end(prefix)),
        };
        let body = json!(request);
        let response: RangeResponse = self.post(CALL, CallClass::Read, "/v3/kv/range", &body)?;
        response
            .kvs
            .iter()
            .map(|wire| key_value(CALL, wire))
            .collect()
    }

    fn put(&self, key: &str, value: &str, lease: Option<LeaseId>) -> Result<(), PlatformError> {
        let request = put_request(key, value, lease);
        let _: Value = self.post("put", CallClass::Write, "/v3/kv/put", &json!(request))?;
        Ok(())
    }

    fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let body = json!({"key": encode(key)});
        let _: Value = self.post("delete", CallClass::Write, "/v3/kv/deleterange", &body)?;
        Ok(())
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Expected,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, PlatformError> {
        const CALL: &str = "txn";
        let compare = match expected {
            Expected::Absent => json!({
                "key": encode(key), "result": "EQUAL", "target": "CREATE", "create_revision": "0",
            }),
            Expected::At(revision) => json!({
                "key": encode(key), "result": "EQUAL", "target": "MOD",
                "mod_revision": revision.0.to_string(),
            }),
        };
        let body = json!({
            "compare": [compare],
            "success": [{"request_put": put_request(key, value, lease)}],
            "failure": [{"request_range": {"key": encode(key)}}],
        });
        let response: TxnResponse = self.post(CALL, CallClass::Write, "/v3/kv/txn", &body)?;
        if response.succeeded {
            let revision = response.header.revision.parse().unwrap_or(0);
            return Ok(SwapOutcome::Swapped(StoreRevision(revision)));
        }
        let range = response
            .responses
            .into_iter()
            .find_map(|op| op.response_range);
        let first = range.and_then(|range| range.kvs.into_iter().next());
        let current = first.map(|wire| key_value(CALL, &wire)).transpose()?;
        Ok(SwapOutcome::Conflict(current))
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        const CALL: &str = "lease-grant";
        let body = json!({"TTL": ttl.as_secs().max(1).to_string()});
        let response: LeaseResponse =
            self.post(CALL, CallClass::Lease, "/v3/lease/grant", &body)?;
        let id = response.id.parse();
        id.map(LeaseId)
            .map_err(|_| malformed_error(CALL, CallClass::Lease, response.id))
    }

    fn keep_alive(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        let body = json!({"ID": lease.0.to_string()});
        let response: KeepAliveResponse = self.post(
            "lease-keepalive",
            CallClass::Lease,
            "/v3/lease/keepalive",
            &body,
        )?;
        Ok(response.result.ttl.parse::<i64>().is_ok_and(|ttl| ttl > 0))
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), PlatformError> {
        let body = json!({"ID": lease.0.to_string()});
        let _: Value = self.post("lease-revoke", CallClass::Lease, "/v3/lease/revoke", &body)?;
        Ok(())
    }

    fn watch(
        &self,
        prefix: &str,
        on_event: &mut dyn FnMut(WatchEvent) -> ControlFlow<()>,
    ) -> Result<(), PlatformError> {
        let body = self.open_watch(prefix)?;
        for line in BufReader::new(body.into_reader()).lines() {
            let line = line.map_err(|e| {
                let failure = PlatformFailure::Unreachable(e.to_string());
                PlatformError {
                    call: "watch",
                    failure,
                    verdict: RunVerdict::NotRun,
                }
            })?;
            let parsed: WatchLine = serde_json::from_str(&line)
                .map_err(|e| malformed_error("watch", CallClass::Watch, e.to_string()))?;
            if parsed.result.canceled {
                return Ok(());
            }
            if parsed.result.events.is_empty() && on_event(WatchEvent::Idle).is_break() {
                return Ok(());
            }
            for event in &parsed.result.events {
                if on_event(watch_event(event)?).is_break() {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn vm_list(&self) -> Result<VmList, PlatformError> {
        self.fetch("vm-list", "/platform/v1/vms")
    }

    fn publish(&self, center: &str, entries: &[VmRecord]) -> Result<(), PlatformError> {
        let path = format!("/platform/v1/directory/{center}");
        let _: Value = self.post("publish", CallClass::Write, &path, &json!(entries))?;
        Ok(())
    }

    fn directory(&self) -> Result<BTreeMap<String, Vec<VmRecord>>, PlatformError> {
        self.fetch("directory", "/platform/v1/directory")
    }
}

fn put_request(key: &str, value: &str, lease: Option<LeaseId>) -> PutRequest {
    let lease = lease.map(|lease| lease.0.to_string());
    PutRequest {
        key: encode(key),
        value: encode(value),
        lease,
    }
}
