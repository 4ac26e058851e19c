//! Callers outside the limits, which send nothing that a server could run.

use std::fmt::Write as _;
use std::time::Duration;

use onyxfall_adapter::stub::{caller_headers, claim_team};
use onyxfall_fakes::{RawUpload, UploadShape};

use crate::deployment::{HOST, KEY, RequestKind};

/// Callers of each kind.
const CALLERS: usize = 8;
/// How long they say that they wait for a response.
const PATIENCE: Duration = Duration::from_secs(2);
/// Nearly the largest legal body.
const LARGE: usize = 60_000;
const SHAPES: [UploadShape; 6] = [
    UploadShape::Idle,
    UploadShape::HalfHead(10_000),
    UploadShape::Announced {
        length: LARGE,
        sent: LARGE,
        piece: 1000,
    },
    UploadShape::Announced {
        length: 1 << 30,
        sent: LARGE,
        piece: 1000,
    },
    UploadShape::Chunked {
        chunk: LARGE / 4,
        chunks: 4,
    },
    UploadShape::Chunked {
        chunk: 1,
        chunks: 4000,
    },
];

/// What the callers of a crowd send; no body is complete.
pub(crate) fn crowd_uploads() -> Vec<RawUpload> {
    let path = format!("{}x", RequestKind::Repeatable.prefix());
    let callers = SHAPES.iter().cycle().take(CALLERS * SHAPES.len());
    let uploads = callers.enumerate().map(|(number, shape)| {
        let mut headers = caller_headers(HOST, &format!("crowd-{number}"), PATIENCE);
        claim_team(&mut headers, &format!("Bearer {KEY}"), "forged");
        let mut lines = String::new();
        for (name, value) in &headers {
            let _ = write!(lines, "{name}: {}\r\n", value.to_str().unwrap_or_default());
        }
        shape.upload(&path, &lines, false)
    });
    uploads.collect()
}
