//! An HTTP client that sends one request and reads the complete response.

use std::io::Read;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(30);

/// A request of the try-out.
#[derive(Clone, Debug)]
pub(crate) struct TryRequest<'a> {
    pub(crate) path: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) tokens: u64,
    pub(crate) stream: bool,
    pub(crate) home: Option<&'a str>,
}

/// A response as the caller received it.
#[derive(Clone, Debug, Default)]
pub(crate) struct TryResponse {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) region: String,
    pub(crate) body: String,
    pub(crate) chunks: usize,
    pub(crate) first_byte: Duration,
    pub(crate) whole: Duration,
    pub(crate) broken: bool,
}

impl TryRequest<'_> {
    fn body(&self) -> Value {
        json!({
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.tokens,
            "stream": self.stream,
        })
    }
}

/// Sends a request and reads the complete response.
pub(crate) fn send(entry: SocketAddr, request: &TryRequest<'_>) -> Result<TryResponse, String> {
    let started = Instant::now();
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent();
    let mut call = agent.post(format!("http://{entry}{}", request.path));
    if let Some(home) = request.home {
        call = call.header("onyxfall-home", home);
    }
    let response = call
        .send(request.body().to_string())
        .map_err(|e| e.to_string())?;
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let mut received = TryResponse {
        status: response.status().as_u16(),
        verdict: header("onyxfall-verdict"),
        region: header("onyxfall-served-region"),
        ..TryResponse::default()
    };
    let mut reader = response.into_body().into_reader();
    let mut chunk = [0; 4096];
    loop {
        match reader.read(&mut chunk) {
            Ok(0) => break,
            Ok(len) => {
                if received.chunks == 0 {
                    received.first_byte = started.elapsed();
                }
                received.chunks += 1;
                received
                    .body
                    .push_str(&String::from_utf8_lossy(&chunk[..len]));
            }
            Err(_) => {
                received.broken = true;
                break;
            }
        }
    }
    received.whole = started.elapsed();
    Ok(received)
}
