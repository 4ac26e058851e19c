//! How the body of an HTTP/1 response is delimited, by its head.
//!
//! HTTP libraries accept heads from which two readers take different bodies: they fall back to the
//! end of the connection for an unknown transfer coding, or prefer one of two contradicting fields.
//! A gateway that passes such a response on sends a body that is not its server's. Here, a head
//! has one meaning or is malformed (RFC 9112, section 6).
//!
//! Pure code: no I/O.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode, Version};
use thiserror::Error;

/// The only transfer coding of responses: the gateway asks for no other one.
const CHUNKED: &str = "chunked";
/// What every response begins with.
const RESPONSE_BEGIN: &[u8] = b"HTTP/1.";
/// Lowest and highest status of a final response.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// How the body of a response is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// There is no body.
    Empty,
    /// The body has this number of bytes.
    Length(u64),
    /// The body consists of chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl ResponseFraming {
    /// Whether the end of the body can be told from a lost connection.
    ///
    /// ```
    /// use onyxfall_framing::ResponseFraming;
    /// assert!(ResponseFraming::Chunked.is_delimited());
    /// assert!(!ResponseFraming::UntilClose.is_delimited());
    /// ```
    pub const fn is_delimited(self) -> bool {
        !matches!(self, Self::UntilClose)
    }
}

/// Why a head does not tell how its body is delimited, or is no head of a final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MalformedHead {
    /// The status is not one of a final response.
    #[error("status {0} is not one of a final response")]
    Status(u16),
    /// The transfer coding is not `chunked`, there are several, or HTTP/1.0 knows none.
    #[error("the transfer coding is not `chunked`")]
    Coding,
    /// There are a length and a transfer coding.
    #[error("the head has a length and a transfer coding")]
    LengthAndCoding,
    /// The length is no number, or there are several.
    #[error("the length is not one decimal number")]
    Length,
}

/// Determines how the body of a response to any request but HEAD is delimited.
///
/// ```
/// use http::{HeaderMap, HeaderValue, StatusCode, Version};
/// use onyxfall_framing::{MalformedHead, ResponseFraming, response_framing};
/// let mut headers = HeaderMap::new();
/// headers.insert("content-length", HeaderValue::from_static("5"));
/// let framing = response_framing(Version::HTTP_11, StatusCode::OK, &headers);
/// assert_eq!(framing, Ok(ResponseFraming::Length(5)));
/// headers.insert("transfer-encoding", HeaderValue::from_static("chunked"));
/// let framing = response_framing(Version::HTTP_11, StatusCode::OK, &headers);
/// assert_eq!(framing, Err(MalformedHead::LengthAndCoding));
/// ```
///
/// # Errors
///
/// The head does not tell how the body is delimited, or tells it in two ways.
pub fn response_framing(
    version: Version,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<ResponseFraming, MalformedHead> {
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(MalformedHead::Status(status.as_u16()));
    }
    let framing = match (read_coding(version, headers)?, read_length(headers)?) {
        (true, Some(_)) => return Err(MalformedHead::LengthAndCoding),
        (true, None) => ResponseFraming::Chunked,
        (false, Some(length)) => ResponseFraming::Length(length),
        (false, None) => ResponseFraming::UntilClose,
    };
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    Ok(if is_bodiless {
        ResponseFraming::Empty
    } else {
        framing
    })
}

/// Whether the head has the transfer coding `chunked`.
fn read_coding(version: Version, headers: &HeaderMap) -> Result<bool, MalformedHead> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let is_chunked = value.as_bytes().eq_ignore_ascii_case(CHUNKED.as_bytes());
    if is_chunked && values.next().is_none() && version == Version::HTTP_11 {
        Ok(true)
    } else {
        Err(MalformedHead::Coding)
    }
}

fn read_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedHead> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    // Parsing alone would accept a sign.
    let digits = value.to_str().ok();
    let digits = digits.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let length = digits.and_then(|text| text.parse().ok());
    match (length, values.next()) {
        (Some(length), None) => Ok(Some(length)),
        _ => Err(MalformedHead::Length),
    }
}

/// Whether bytes that follow a whole response begin another one. Any other bytes show that the
/// length of the response was wrong.
///
/// ```
/// assert!(onyxfall_framing::begins_response(b"HTTP/1.1 200 OK\r\n"));
/// assert!(onyxfall_framing::begins_response(b"HTT"));
/// assert!(!onyxfall_framing::begins_response(b"rest of a body"));
/// ```
pub fn begins_response(bytes: &[u8]) -> bool {
    let compared = bytes.len().min(RESPONSE_BEGIN.len());
    bytes[..compared] == RESPONSE_BEGIN[..compared]
}
