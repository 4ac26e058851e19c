//! Callers that send requests to the gateways throughout a run, on connections kept alive
//! until they break, and report what they received.

use std::io::Read;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, Sender};
use http::{Method, Request};
use onyxfall_adapter::stub::{
    caller_headers, claim_team, is_signed, response_request_id, resume_stream, set_prompt_parts,
    set_prompt_size,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use ureq::Agent;

use crate::deployment::{HOST, KEY, RequestKind};

/// Timeout of a caller for a response.
const PATIENCE: Duration = Duration::from_secs(4);
/// Interval between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(8);
/// Times that a caller resumes a stream that was broken off.
const MAX_RESUMPTIONS: usize = 3;
/// Size of the prompts, in tokens; servers of plain services ignore it.
const PROMPT_TOKENS: (u32, u32) = (200, 20);
/// Size of each part of a prompt that has parts.
const PART_TOKENS: u32 = 60;
/// Largest response body that is read, in bytes.
const ANSWER_BYTES: u64 = 64 * 1024;

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub(crate) struct CallReport {
    /// Unique id of the request.
    pub(crate) id: String,
    /// Kind of the request.
    pub(crate) kind: RequestKind,
    /// Address of the VM that it was sent to.
    pub(crate) to: SocketAddr,
    /// When the request was sent.
    pub(crate) sent: Instant,
    /// When the head of the response had been received.
    pub(crate) answered: Option<Instant>,
    /// When the response had ended, or the request had failed.
    pub(crate) ended: Instant,
    /// Status of the response; `None` if no response began.
    pub(crate) status: Option<u16>,
    /// Whether the response carries the id of this request and the signature of a server.
    pub(crate) is_own: bool,
    /// The part of the body that was received.
    pub(crate) body: String,
    /// Whether the body was received to its regular end.
    pub(crate) is_whole: bool,
    /// The part of the stream that the request resumes; `None` for a new request.
    pub(crate) resumes: Option<StreamPart>,
}

/// The part of a stream that a caller has received, in whole events.
#[derive(Clone, Debug)]
pub(crate) struct StreamPart {
    /// Id of the request that received the first event.
    pub(crate) first_attempt: String,
    pub(crate) events: String,
}

impl CallReport {
    /// The whole stream as far as it was received, over all tries.
    pub(crate) fn stream(&self) -> String {
        let before = self
            .resumes
            .as_ref()
            .map_or("", |part| part.events.as_str());
        format!("{before}{}", self.body)
    }

    /// The part to resume from if the stream was broken off after an event.
    pub(crate) fn part(&self) -> Option<StreamPart> {
        let was_begun = self.kind == RequestKind::ResumableStream
            && (self.resumes.is_some() || self.status == Some(200));
        if self.is_whole || !was_begun {
            return None;
        }
        let mut events = self.stream();
        events.truncate(events.rfind("\n\n")? + 2);
        let first = self.resumes.as_ref().map(|part| &part.first_attempt);
        Some(StreamPart {
            first_attempt: first.unwrap_or(&self.id).clone(),
            events,
        })
    }
}

impl StreamPart {
    fn last_id(&self) -> &str {
        let mut lines = self.events.lines().rev();
        lines
            .find_map(|line| line.strip_prefix("id: "))
            .unwrap_or("0")
    }
}

/// A client that keeps its connections alive.
pub(crate) fn new_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into()
}

/// Sends one request and reads its response.
pub(crate) fn call(
    agent: &Agent,
    to: SocketAddr,
    path: &str,
    id: &str,
    kind: RequestKind,
    resumes: Option<StreamPart>,
) -> CallReport {
    send(agent, to, path, id, kind, resumes, &[])
}

/// Sends one request whose prompt has the given parts, and reads its response.
pub(crate) fn call_with_parts(
    agent: &Agent,
    to: SocketAddr,
    path: &str,
    id: &str,
    kind: RequestKind,
    parts: &[u64],
) -> CallReport {
    send(agent, to, path, id, kind, None, parts)
}

fn send(
    agent: &Agent,
    to: SocketAddr,
    path: &str,
    id: &str,
    kind: RequestKind,
    resumes: Option<StreamPart>,
    parts: &[u64],
) -> CallReport {
    let sent = Instant::now();
    let mut report = CallReport {
        id: id.to_owned(),
        kind,
        to,
        sent,
        answered: None,
        ended: sent,
        status: None,
        is_own: false,
        body: String::new(),
        is_whole: false,
        resumes,
    };
    let mut request = Request::new(kind.body(id));
    *request.method_mut() = Method::POST;
    let Ok(target) = format!("http://{to}{path}").parse() else {
        return report;
    };
    *request.uri_mut() = target;
    let mut headers = caller_headers(HOST, id, PATIENCE);
    claim_team(&mut headers, &format!("Bearer {KEY}"), "forged");
    set_prompt_size(&mut headers, PROMPT_TOKENS.0, PROMPT_TOKENS.1);
    if !parts.is_empty() {
        set_prompt_parts(&mut headers, parts, PART_TOKENS);
    }
    if let Some(part) = &report.resumes {
        resume_stream(&mut headers, &part.first_attempt, part.last_id());
    }
    *request.headers_mut() = headers;
    let Ok(answer) = agent.run(request) else {
        report.ended = Instant::now();
        return report;
    };
    let (head, body) = answer.into_parts();
    report.answered = Some(Instant::now());
    report.status = Some(head.status.as_u16());
    report.is_own = is_signed(&head.headers) && response_request_id(&head.headers) == Some(id);
    let mut bytes = Vec::new();
    let read = body
        .into_with_config()
        .limit(ANSWER_BYTES)
        .reader()
        .read_to_end(&mut bytes);
    report.ended = Instant::now();
    report.is_whole = read.is_ok();
    report.body = String::from_utf8_lossy(&bytes).into_owned();
    report
}

/// What a group of callers sends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallPaths {
    /// Requests of all kinds.
    Usual,
    /// Streams that take a second.
    LongStreams,
}

impl CallPaths {
    const fn kinds(self) -> &'static [RequestKind] {
        match self {
            Self::Usual => &RequestKind::ALL,
            Self::LongStreams => &[RequestKind::Stream, RequestKind::ResumableStream],
        }
    }

    /// End of the paths.
    const fn end(self) -> &'static str {
        match self {
            Self::Usual => "x",
            Self::LongStreams => "x?pause-ms=250",
        }
    }
}

/// A group of running callers.
pub(crate) struct CallerGroup {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    reports: Receiver<CallReport>,
}

impl CallerGroup {
    /// Starts callers of the gateways at `targets`; `numbers` differ from those of other groups.
    pub(crate) fn start(
        seed: u64,
        numbers: Range<usize>,
        paths: CallPaths,
        targets: &[SocketAddr],
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (sender, reports) = channel::unbounded();
        let threads = numbers
            .map(|caller| {
                let (stop, sender) = (Arc::clone(&stop), sender.clone());
                let targets = targets.to_vec();
                thread::spawn(move || run_caller(seed, caller, paths, &targets, &stop, &sender))
            })
            .collect();
        Self {
            stop,
            threads,
            reports,
        }
    }

    /// Reports since the last call.
    pub(crate) fn drain_reports(&self) -> Vec<CallReport> {
        self.reports.try_iter().collect()
    }

    /// Stops the callers; returns their last reports.
    pub(crate) fn finish(self) -> Vec<CallReport> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A caller that panicked sends no more reports.
            let _ = thread.join();
        }
        self.reports.try_iter().collect()
    }
}

fn run_caller(
    seed: u64,
    caller: usize,
    paths: CallPaths,
    targets: &[SocketAddr],
    stop: &AtomicBool,
    reports: &Sender<CallReport>,
) {
    let mut rng = StdRng::seed_from_u64(seed ^ (caller as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let agent = new_agent();
    let mut number = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let to = targets[rng.random_range(0..targets.len())];
        let kinds = paths.kinds();
        let kind = kinds[rng.random_range(0..kinds.len())];
        let path = format!("{}{}", kind.prefix(), paths.end());
        let id = format!("c{caller}-{number}");
        let mut report = call(&agent, to, &path, &id, kind, None);
        for retry in 1..=MAX_RESUMPTIONS {
            let Some(part) = report.part() else {
                break;
            };
            if reports.send(report).is_err() {
                return;
            }
            let to = targets[rng.random_range(0..targets.len())];
            let id = format!("{id}-{retry}");
            report = call(&agent, to, &path, &id, kind, Some(part));
        }
        if reports.send(report).is_err() {
            return;
        }
        thread::sleep(PAUSE);
    }
}
