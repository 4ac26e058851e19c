//! Client for the platform's store: one call at a time over a persistent connection.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use onyxfall_adapter::{DecodeError, StoreError};
use thiserror::Error;

use crate::connection::{HttpConnection, SendError};
use crate::gateway::Gateway;

/// Timeout for a response, in addition to the time that the store may hold the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a call that the store answers at once may take before it is repeated over another
/// connection. A store that is slow answers most calls within this time.
const REPEAT_DELAY: Duration = Duration::from_millis(500);
/// Timeout for connecting to the store, which may be in another region and slow.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest response: a page holds at most about a megabyte, encoded in base64.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("cannot encode the request: {0}")]
    Encoding(#[from] DecodeError),
    #[error("cannot connect: {0}")]
    Unreachable(#[from] std::io::Error),
    #[error("connection lost")]
    Broken,
    #[error("no response in time")]
    TimedOut,
    #[error("this VM was suspended")]
    Suspended,
    #[error("a page does not continue after the one before it")]
    NoProgress,
}

/// A response of the store.
pub(crate) struct StoreReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Client of the store that connects when needed.
pub(crate) struct StoreClient {
    gateway: Rc<Gateway>,
    connection: Option<HttpConnection>,
}

impl StoreClient {
    /// Creates a client that is not connected yet.
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            connection: None,
        }
    }

    /// The store's address, for the `Host` header of requests.
    pub(crate) fn host(&self) -> String {
        self.gateway.settings().store.to_string()
    }

    /// Sends a call that the store may hold for `wait`. `cause` labels it in the metrics.
    pub(crate) async fn call(
        &mut self,
        request: Request<Bytes>,
        wait: Duration,
        cause: &'static str,
    ) -> Result<StoreReply, CallError> {
        // A connection is not reused after a call on it has failed or timed out.
        let idle = self.connection.take();
        let attempt = send_call(&self.gateway, idle, request, cause);
        let called = tokio::time::timeout(wait + RESPONSE_TIMEOUT, attempt).await;
        let (connection, reply) = called.unwrap_or(Err(CallError::TimedOut))?;
        self.connection = Some(connection);
        Ok(reply)
    }

    /// Sends a read that the store answers at once. After each [`REPEAT_DELAY`] without a
    /// response it is sent again, since the store may have lost it; the first response counts.
    pub(crate) async fn call_repeatedly(
        &mut self,
        request: Request<Bytes>,
        cause: &'static str,
    ) -> Result<StoreReply, CallError> {
        let mut attempts = FuturesUnordered::new();
        let idle = self.connection.take();
        attempts.push(send_call(&self.gateway, idle, request.clone(), cause));
        let called = tokio::time::timeout(RESPONSE_TIMEOUT, async {
            loop {
                tokio::select! {
                    Some(ended) = attempts.next() => {
                        if ended.is_ok() || attempts.is_empty() {
                            return ended;
                        }
                    }
                    () = tokio::time::sleep(REPEAT_DELAY) => {
                        attempts.push(send_call(&self.gateway, None, request.clone(), cause));
                    }
                }
            }
        });
        let (connection, reply) = called.await.unwrap_or(Err(CallError::TimedOut))?;
        self.connection = Some(connection);
        Ok(reply)
    }
}

/// Sends one call over the connection `idle`, or over a new one if that is not ready. Returns
/// the connection for the next call.
async fn send_call(
    gateway: &Gateway,
    idle: Option<HttpConnection>,
    request: Request<Bytes>,
    cause: &'static str,
) -> Result<(HttpConnection, StoreReply), CallError> {
    let address = gateway.settings().store;
    gateway.metrics.count_store_call(cause);
    let ready = idle.filter(HttpConnection::is_ready);
    let mut connection = if let Some(connection) = ready {
        connection
    } else {
        let plan = gateway.dial_plan(CONNECT_TIMEOUT);
        HttpConnection::open(address, plan).await?
    };
    let sent = connection.send(request.map(Full::new)).await;
    let response = sent.map_err(|e| match e {
        SendError::Unsent | SendError::Broken(_) | SendError::Flooded | SendError::Malformed(_) => {
            CallError::Broken
        }
    })?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| CallError::Broken)?.to_bytes();
    let reply = StoreReply {
        status: head.status,
        headers: head.headers,
        body,
    };
    Ok((connection, reply))
}
