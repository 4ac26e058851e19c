//! Calls of the platform's store, one after the other on a kept connection.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use onyxfall_adapter::{DecodeError, StoreError};
use thiserror::Error;

use crate::connection::{HttpConnection, SendError};
use crate::gateway::Gateway;

/// Longest time for an answer beyond the wait.
const ANSWER_LIMIT: Duration = Duration::from_millis(1500);
/// Longest time for a connection to the store to come up; it may be in another
/// region, and slow.
const DIAL_LIMIT: Duration = Duration::from_millis(700);
/// Largest answer: a page holds at most about a megabyte, in base64.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("not to be encoded: {0}")]
    Encoding(#[from] DecodeError),
    #[error("no connection: {0}")]
    Unreachable(#[from] std::io::Error),
    #[error("the connection broke")]
    Broken,
    #[error("no answer")]
    TimedOut,
    #[error("this VM was suspended")]
    Suspended,
    #[error("other VMs know of changes that the watch did not bring")]
    Deaf,
}

/// An answer of the store.
pub(crate) struct StoreReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A connection to the store, opened when it is needed.
pub(crate) struct StoreClient {
    gateway: Rc<Gateway>,
    connection: Option<HttpConnection>,
}

impl StoreClient {
    /// A client without a connection.
    pub(crate) fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            connection: None,
        }
    }

    /// The store's address, as requests name it.
    pub(crate) fn host(&self) -> String {
        self.gateway.settings().store.to_string()
    }

    /// Sends a call that the store may hold for `wait`; `cause` counts it in the metrics.
    pub(crate) async fn call(
        &mut self,
        request: Request<Bytes>,
        wait: Duration,
        cause: &'static str,
    ) -> Result<StoreReply, CallError> {
        let address = self.gateway.settings().store;
        self.gateway.metrics.count_store_call(cause);
        // A connection that has lost an answer brings no other one.
        let kept = self.connection.take();
        let called = tokio::time::timeout(wait + ANSWER_LIMIT, async {
            let ready = kept.filter(HttpConnection::is_ready);
            let mut connection = if let Some(connection) = ready {
                connection
            } else {
                let plan = self.gateway.dial_plan(DIAL_LIMIT);
                HttpConnection::open(address, plan).await?
            };
            let sent = connection.send(request.map(Full::new)).await;
            let response = sent.map_err(|e| match e {
                SendError::Unsent | SendError::Broken(_) => CallError::Broken,
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, ANSWER_BYTES).collect().await;
            let body = body.map_err(|_| CallError::Broken)?.to_bytes();
            let reply = StoreReply {
                status: head.status,
                headers: head.headers,
                body,
            };
            Ok((connection, reply))
        });
        let (connection, reply) = called.await.unwrap_or(Err(CallError::TimedOut))?;
        self.connection = Some(connection);
        Ok(reply)
    }
}
