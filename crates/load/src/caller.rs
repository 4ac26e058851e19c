//! One caller: sends, reads the whole answer, tries again when refused.

use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::scenario::{CallerRetry, LoadKind, LoadRegion};

/// Time beyond the deadline for which a caller still reads.
const READ_SLACK: Duration = Duration::from_secs(20);

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// A whole answer.
    Answered,
    /// Told that it was not run.
    NotRun,
    /// Told that it may have run.
    MayHaveRun,
    /// An answer that broke off.
    Broken,
    /// No connection to any entry, or no answer.
    Lost,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How it ended.
    pub outcome: CallOutcome,
    /// From the intended start to the first byte of the answer.
    pub first_byte: Duration,
    /// From the intended start to the end.
    pub whole: Duration,
    /// Whether another region served it.
    pub away: bool,
    /// Attempts that the caller made.
    pub attempts: u32,
    /// Ids of every attempt that was answered.
    pub request_ids: Vec<String>,
    /// Ids of the attempts that were told not-run.
    pub not_run_ids: Vec<String>,
}

/// Sends one request; `late` is how long after the intended start this began.
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
        away: false,
        attempts: 0,
        request_ids: Vec::new(),
        not_run_ids: Vec::new(),
    };
    let mut tries = 0;
    loop {
        let address = region.entries[(entry + tries as usize) % region.entries.len()];
        result.attempts += 1;
        let seen = attempt(address, region, kind, prefix);
        result.outcome = seen.outcome;
        result.away = seen.away;
        result.first_byte = late + seen.first_byte.saturating_duration_since(started);
        result.whole = late + started.elapsed();
        if seen.outcome == CallOutcome::NotRun {
            result.not_run_ids.push(seen.request_id.clone());
        }
        if !seen.request_id.is_empty() {
            result.request_ids.push(seen.request_id);
        }
        let again = matches!(seen.outcome, CallOutcome::NotRun | CallOutcome::Lost);
        if !again || tries >= kind.retry.limit() || result.whole >= kind.deadline {
            return result;
        }
        tries += 1;
        if let CallerRetry::AfterPause(_) = kind.retry {
            thread::sleep(seen.retry_after);
        }
    }
}

struct AttemptSeen {
    outcome: CallOutcome,
    first_byte: Instant,
    away: bool,
    request_id: String,
    retry_after: Duration,
}

fn attempt(address: SocketAddr, region: &LoadRegion, kind: &LoadKind, prefix: u64) -> AttemptSeen {
    let mut seen = AttemptSeen {
        outcome: CallOutcome::Lost,
        first_byte: Instant::now(),
        away: false,
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
        return seen;
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
    seen.request_id = header("onyxfall-request-id");
    seen.away = !served.is_empty() && served != region.name.as_str();
    seen.retry_after = Duration::from_secs(header("retry-after").parse().unwrap_or(0));
    let status = response.status().as_u16();
    let mut reader = response.into_body().into_reader();
    seen.outcome = match (status, verdict.as_str()) {
        (200, _) => classify_response(&mut reader, kind, &mut seen.first_byte),
        (_, "not-run") => CallOutcome::NotRun,
        _ => CallOutcome::MayHaveRun,
    };
    seen
}

/// Reads to the end; a stream must end with its sentinel.
fn classify_response(
    reader: &mut impl Read,
    kind: &LoadKind,
    first_byte: &mut Instant,
) -> CallOutcome {
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
