//! One caller: sends a request, reads the complete response, and retries a request that
//! was rejected or lost.

use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::scenario::{CallerRetry, LoadKind, LoadRegion};

/// Time after the deadline for which a caller keeps reading.
const READ_SLACK: Duration = Duration::from_secs(20);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// The caller received a complete response.
    Answered,
    /// The response states that the request was not run.
    NotRun,
    /// The response states that the request may have run.
    MayHaveRun,
    /// The response ended early.
    Broken,
    /// No connection to an entry, or no response.
    Lost,
}

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How the request ended.
    pub outcome: CallOutcome,
    /// Time from the intended start to the first byte of the response.
    pub first_byte: Duration,
    /// Time from the intended start to the end.
    pub whole: Duration,
    /// Whether another region served the request.
    pub is_remote: bool,
    /// Number of attempts that the caller made.
    pub attempts: u32,
    /// Ids of the attempts that were answered.
    pub request_ids: Vec<String>,
    /// Ids of the attempts whose response states that they were not run.
    pub not_run_ids: Vec<String>,
}

/// Sends one request, with retries; `late` is the delay since the intended start.
pub(crate) fn call(
    region: &LoadRegion,
    kind: &LoadKind,
    prefix: u64,
    entry: usize,
    late: Duration,
) -> CallResult {
    let started = Instant::now();
    let mut result = CallResult {
        outcome: CallOutcome::Lost,
        first_byte: Duration::ZERO,
        whole: Duration::ZERO,
        is_remote: false,
        attempts: 0,
        request_ids: Vec::new(),
        not_run_ids: Vec::new(),
    };
    let mut tries = 0;
    loop {
        let address = region.entries[(entry + tries as usize) % region.entries.len()];
        result.attempts += 1;
        let attempted = attempt(address, region, kind, prefix);
        result.outcome = attempted.outcome;
        result.is_remote = attempted.is_remote;
        result.first_byte = late + attempted.first_byte.saturating_duration_since(started);
        result.whole = late + started.elapsed();
        if attempted.outcome == CallOutcome::NotRun {
            result.not_run_ids.push(attempted.request_id.clone());
        }
        if !attempted.request_id.is_empty() {
            result.request_ids.push(attempted.request_id);
        }
        let again = matches!(attempted.outcome, CallOutcome::NotRun | CallOutcome::Lost);
        if !again || tries >= kind.retry.limit() || result.whole >= kind.deadline {
            return result;
        }
        tries += 1;
        if let CallerRetry::AfterPause(_) = kind.retry {
            thread::sleep(attempted.retry_after);
        }
    }
}

struct AttemptResult {
    outcome: CallOutcome,
    first_byte: Instant,
    is_remote: bool,
    request_id: String,
    retry_after: Duration,
}

fn attempt(
    address: SocketAddr,
    region: &LoadRegion,
    kind: &LoadKind,
    prefix: u64,
) -> AttemptResult {
    let mut attempted = AttemptResult {
        outcome: CallOutcome::Lost,
        first_byte: Instant::now(),
        is_remote: false,
        request_id: String::new(),
        retry_after: Duration::ZERO,
    };
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(kind.deadline + READ_SLACK))
        .build()
        .new_agent();
    let mut call = agent.post(format!("http://{address}{}", kind.path)).header(
        "onyxfall-deadline-ms",
        kind.deadline.as_millis().to_string(),
    );
    if kind.home {
        call = call.header("onyxfall-home", region.name.as_str());
    }
    let body = json!({
        "messages": [{"role": "user", "content": format!("{} {prefix}", kind.name)}],
        "max_tokens": kind.tokens,
        "stream": kind.stream,
    });
    let Ok(response) = call.send(body.to_string()) else {
        return attempted;
    };
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let verdict = header("onyxfall-verdict");
    let served = header("onyxfall-served-region");
    attempted.request_id = header("onyxfall-request-id");
    attempted.is_remote = !served.is_empty() && served != region.name.as_str();
    attempted.retry_after = Duration::from_secs(header("retry-after").parse().unwrap_or(0));
    let status = response.status().as_u16();
    let mut reader = response.into_body().into_reader();
    attempted.outcome = match (status, verdict.as_str()) {
        (200, _) => read_response(&mut reader, kind, &mut attempted.first_byte),
        (_, "not-run") => CallOutcome::NotRun,
        _ => CallOutcome::MayHaveRun,
    };
    attempted
}

/// Reads the body to its end; a stream must end with its `[DONE]` event.
fn read_response(reader: &mut impl Read, kind: &LoadKind, first_byte: &mut Instant) -> CallOutcome {
    let mut chunk = [0; 4096];
    let mut tail = Vec::new();
    let mut any = false;
    loop {
        match reader.read(&mut chunk) {
            Ok(0) => break,
            Ok(len) => {
                if !any {
                    *first_byte = Instant::now();
                    any = true;
                }
                tail.extend_from_slice(&chunk[..len]);
                let keep = tail.len().saturating_sub(32);
                tail.drain(..keep);
            }
            Err(_) => return CallOutcome::Broken,
        }
    }
    let is_whole = !kind.stream || tail.ends_with(b"data: [DONE]\n\n");
    if any && is_whole {
        CallOutcome::Answered
    } else {
        CallOutcome::Broken
    }
}
