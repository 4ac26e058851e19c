//! The JSON gateway client.

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

/// How much of an error answer is kept.
const DETAIL_LEN: usize = 200;
/// Largest answer that is read.
const MAX_ANSWER: u64 = 16 * 1024 * 1024;

/// How to reach the service and how hard to use it.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Base address, such as `http://127.0.0.1:2379`.
    pub url: String,
    /// Time for one call.
    pub timeout: Duration,
    /// Time without a line after which a watch is given up.
    pub watch_timeout: Duration,
    /// Calls per second that this process may make.
    pub rate: f64,
    /// Calls that it may make at once.
    pub burst: u32,
}

impl PlatformSettings {
    /// Settings with defaults for everything but the address.
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
    ration: Mutex<TokenBucket>,
    counts: CallCounts,
}

impl PlatformClient {
    /// A client; nothing is sent yet.
    pub fn new(settings: PlatformSettings) -> Self {
        let agent = ureq::Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .timeout_connect(Some(settings.timeout))
            .build()
            .new_agent();
        let ration = TokenBucket::new(settings.rate, f64::from(settings.burst), Moment::ZERO);
        Self {
            settings,
            agent,
            started: BootInstant::now(),
            ration: Mutex::new(ration),
            counts: CallCounts::default(),
        }
    }

    /// Calls made so far.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    fn take_ration(&self, call: &'static str, class: CallClass) -> Result<(), PlatformError> {
        let now = Moment::from_duration(self.started.elapsed());
        let mut ration = self
            .ration
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if !ration.take(now, 1.0) {
            let failure = PlatformFailure::Rationed;
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
        self.take_ration(call, class)?;
        let url = format!("{}{path}", self.settings.url);
        let request = self
            .agent
            .post(&url)
            .config()
            .timeout_global(Some(self.settings.timeout))
            .build()
            .header("content-type", "application/json");
        classify_response(call, class, request.send(body.to_string()))
    }

    fn fetch<T: DeserializeOwned>(
        &self,
        call: &'static str,
        path: &str,
    ) -> Result<T, PlatformError> {
        self.take_ration(call, CallClass::Read)?;
        let url = format!("{}{path}", self.settings.url);
        let request = self
            .agent
            .get(&url)
            .config()
            .timeout_global(Some(self.settings.timeout))
            .build();
        classify_response(call, CallClass::Read, request.call())
    }

    fn open_watch(&self, prefix: &str) -> Result<ureq::Body, PlatformError> {
        const CALL: &str = "watch";
        self.take_ration(CALL, CallClass::Watch)?;
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

fn classify_response<T: DeserializeOwned>(
    call: &'static str,
    class: CallClass,
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<T, PlatformError> {
    let mut response = answer.map_err(|e| unreachable_error(call, class, &e))?;
    let status = response.status().as_u16();
    let text = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER)
        .read_to_string()
        .map_err(|e| unreachable_error(call, class, &e))?;
    if status != 200 {
        let detail: String = text.chars().take(DETAIL_LEN).collect();
        return Err(status_error(call, class, status, detail));
    }
    serde_json::from_str(&text).map_err(|e| malformed(call, class, e.to_string()))
}

/// What a failure leaves open: a read has no effect.
fn lost_verdict(class: CallClass) -> RunVerdict {
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
        lost_verdict(class)
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
        verdict: lost_verdict(class),
    }
}

fn malformed(call: &'static str, class: CallClass, detail: String) -> PlatformError {
    let failure = PlatformFailure::Malformed(detail);
    PlatformError {
        call,
        failure,
        verdict: lost_verdict(class),
    }
}

fn key_value(call: &'static str, wire: &WireKeyValue) -> Result<KeyValue, PlatformError> {
    let bad = |e: String| malformed(call, CallClass::Read, e);
    let revision = wire.mod_revision.parse().unwrap_or(0);
    Ok(KeyValue {
        key: decode(&wire.key).map_err(bad)?,
        value: decode(&wire.value).map_err(bad)?,
        revision: StoreRevision(revision),
    })
}

fn watch_event(event: &WireEvent) -> Result<WatchEvent, PlatformError> {
    let found = key_value("watch", &event.kv)?;
    if event.kind == "DELETE" {
        return Ok(WatchEvent::Deleted(found.key));
    }
    Ok(WatchEvent::Put(found))
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
        let found = response
            .responses
            .into_iter()
            .find_map(|op| op.response_range);
        let first = found.and_then(|range| range.kvs.into_iter().next());
        let current = first.map(|wire| key_value(CALL, &wire)).transpose()?;
        Ok(SwapOutcome::Lost(current))
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError> {
        const CALL: &str = "lease-grant";
        let body = json!({"TTL": ttl.as_secs().max(1).to_string()});
        let response: LeaseResponse =
            self.post(CALL, CallClass::Lease, "/v3/lease/grant", &body)?;
        let id = response.id.parse();
        id.map(LeaseId)
            .map_err(|_| malformed(CALL, CallClass::Lease, response.id))
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
        each: &mut dyn FnMut(WatchEvent) -> ControlFlow<()>,
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
                .map_err(|e| malformed("watch", CallClass::Watch, e.to_string()))?;
            if parsed.result.canceled {
                return Ok(());
            }
            if parsed.result.events.is_empty() && each(WatchEvent::Idle).is_break() {
                return Ok(());
            }
            for event in &parsed.result.events {
                if each(watch_event(event)?).is_break() {
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
