//! Requests, as handlers receive them.

use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use onyxfall_types::ByteSize;
use tokio::runtime::Handle;

use crate::cancel::CancelToken;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The body was not received in time.
    TimedOut,
    /// The caller disconnected.
    Broken,
}

/// A request whose body has not been read yet.
pub struct HttpRequest {
    /// Method, path and headers.
    pub head: Parts,
    /// Cancelled when the caller disconnects before the whole response is sent.
    pub cancel: CancelToken,
    pub(crate) body: Option<Incoming>,
    pub(crate) handle: Handle,
    pub(crate) body_timeout: Duration,
}

impl HttpRequest {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// The value of a header, if it is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Reads the whole body, at most `limit` bytes. A second call yields an empty body.
    ///
    /// # Errors
    ///
    /// The body is too large, too slow or incomplete.
    pub fn read_body(&mut self, limit: ByteSize) -> Result<Bytes, BodyError> {
        let Some(body) = self.body.take() else {
            return Ok(Bytes::new());
        };
        let collect = Limited::new(body, limit.as_usize()).collect();
        let collected = self
            .handle
            .block_on(async { tokio::time::timeout(self.body_timeout, collect).await });
        match collected {
            Err(_elapsed) => Err(BodyError::TimedOut),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge),
            Ok(Err(_)) => Err(BodyError::Broken),
            Ok(Ok(body)) => Ok(body.to_bytes()),
        }
    }
}
