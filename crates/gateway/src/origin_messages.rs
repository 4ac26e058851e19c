//! Messages between VMs on the versions that began streams, as requests to the port for
//! forwarded requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use onyxfall_intake::{HoldRule, collect_body};
use onyxfall_policy::Moment;
use onyxfall_streams::{
    HistoryEntry, OwnerAnswer, StreamOrigin, StreamTag, VersionClaim, VersionHistory,
};
use onyxfall_types::{ServiceName, VmName};
use onyxfall_wire::{
    ClaimKind, StreamAnswer, StreamQuestion, StreamRecord, StreamRecords, VersionHistoryEntry,
    VersionHistorySet,
};
use prost::Message;

use crate::body::ReplyBody;
use crate::connection::{HttpConnection, SendError};
use crate::gateway::Gateway;
use crate::pool::ConnectionChoice;
use crate::report::millis;

/// Records versions at an owner.
const RECORD_PATH: &str = "/onyxfall/origins/record";
/// Asks an owner for a version.
const QUESTION_PATH: &str = "/onyxfall/origins/question";
/// Asks for the versions that a VM has seen.
const HISTORY_PATH: &str = "/onyxfall/origins/history";
/// Largest message; a record takes some 30 bytes.
const MAX_MESSAGE: usize = 256 * 1024;
/// Longest time for the answer to a message: a new connection to another region and back, twice.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Whether a request to the port for forwarded requests is a message. Forwarded requests name
/// their service.
pub(crate) fn is_origin_message(target: &Uri) -> bool {
    [RECORD_PATH, QUESTION_PATH, HISTORY_PATH].contains(&target.path())
}

/// Applies and answers a message of another VM.
pub(crate) async fn answer_origin_message(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, mut body) = request.into_parts();
    let hold = gateway.held.hold(0);
    let collecting = collect_body(&mut body, MAX_MESSAGE, hold, HoldRule::WithinBound);
    let answer = match tokio::time::timeout(ANSWER_LIMIT, collecting).await {
        Ok(Ok(message)) => answer_message(gateway, head.uri.path(), &message),
        _ => None,
    };
    let mut response = Response::new(ReplyBody::whole(""));
    match answer {
        Some(answer) => *response.body_mut() = ReplyBody::whole(answer),
        None => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    response
}

/// The answer to a message; `None` if it is malformed.
fn answer_message(gateway: &Gateway, path: &str, body: &[u8]) -> Option<Bytes> {
    let answer = match path {
        RECORD_PATH => {
            let records = StreamRecords::decode(body).ok()?.records;
            gateway.keep_records(records.iter().filter_map(decode_record));
            Vec::new()
        }
        QUESTION_PATH => {
            let question = StreamQuestion::decode(body).ok()?;
            let service = question.service.parse().ok()?;
            let tag = StreamTag::from_number(question.stream);
            let life = Duration::from_millis(question.life_ms);
            encode_answer(tag, &gateway.origin_answer(&service, tag, life)).encode_to_vec()
        }
        _ => gateway.history_message().encode_to_vec(),
    };
    Some(answer.into())
}

/// Sends records to an owner. What is lost on the way is not sent again.
pub(crate) async fn send_records(gateway: &Gateway, vm: &VmName, records: Vec<StreamRecord>) {
    let message = StreamRecords { records }.encode_to_vec();
    // A lost message is counted where it was sent.
    let _ = send_message(gateway, vm, RECORD_PATH, message).await;
}

/// Asks an owner what it knows of a stream.
pub(crate) async fn ask_origin(
    gateway: &Gateway,
    vm: &VmName,
    service: &ServiceName,
    tag: StreamTag,
    life: Duration,
) -> Option<OwnerAnswer> {
    let question = StreamQuestion {
        stream: tag.number(),
        service: service.to_string(),
        life_ms: millis(life),
    };
    let answer = send_message(gateway, vm, QUESTION_PATH, question.encode_to_vec()).await?;
    decode_answer(&StreamAnswer::decode(answer).ok()?)
}

/// Asks a VM for its history; returns how long it reaches back, and its entries.
pub(crate) async fn ask_history(
    gateway: &Gateway,
    vm: &VmName,
) -> Option<(Duration, Vec<HistoryEntry>)> {
    let answer = send_message(gateway, vm, HISTORY_PATH, Vec::new()).await?;
    let history = VersionHistorySet::decode(answer).ok()?;
    let entries = history.entries.iter().map(|entry| {
        Some(HistoryEntry {
            service: entry.service.parse().ok()?,
            version: entry.version.parse().ok(),
            age: Duration::from_millis(entry.age_ms),
        })
    });
    let entries = entries.collect::<Option<Vec<_>>>()?;
    Some((Duration::from_millis(history.age_ms), entries))
}

/// The history of this VM as a message.
pub(crate) fn encode_history(history: &VersionHistory, now: Moment) -> VersionHistorySet {
    let entries = history.entries(now).map(|entry| VersionHistoryEntry {
        service: entry.service.to_string(),
        version: entry.version.map_or_else(String::new, |v| v.to_string()),
        age_ms: millis(entry.age),
    });
    VersionHistorySet {
        age_ms: millis(history.age(now)),
        entries: entries.collect(),
    }
}

/// A record as a message.
pub(crate) fn encode_record(
    tag: StreamTag,
    origin: &StreamOrigin,
    lasts: Duration,
) -> StreamRecord {
    StreamRecord {
        stream: tag.number(),
        service: origin.service_tag,
        version: origin.version.to_string(),
        lasts_ms: millis(lasts),
    }
}

fn decode_record(record: &StreamRecord) -> Option<(StreamTag, StreamOrigin, Duration)> {
    let origin = StreamOrigin {
        service_tag: record.service,
        version: record.version.parse().ok()?,
    };
    let lasts = Duration::from_millis(record.lasts_ms);
    Some((StreamTag::from_number(record.stream), origin, lasts))
}

fn encode_answer(tag: StreamTag, answer: &OwnerAnswer) -> StreamAnswer {
    let (claim, claimed) = match &answer.claim {
        VersionClaim::Nothing => (ClaimKind::Nothing, ""),
        VersionClaim::Several => (ClaimKind::Several, ""),
        VersionClaim::Single(version) => (ClaimKind::Single, version.as_str()),
        VersionClaim::Young(version) => (ClaimKind::Young, version.as_str()),
    };
    let origin = answer.origin.as_ref();
    StreamAnswer {
        record: origin.map(|origin| encode_record(tag, origin, Duration::ZERO)),
        claim: claim.into(),
        claimed: claimed.to_owned(),
    }
}

fn decode_answer(answer: &StreamAnswer) -> Option<OwnerAnswer> {
    let claim = match answer.claim() {
        ClaimKind::Nothing => VersionClaim::Nothing,
        ClaimKind::Several => VersionClaim::Several,
        ClaimKind::Single => VersionClaim::Single(answer.claimed.parse().ok()?),
        ClaimKind::Young => VersionClaim::Young(answer.claimed.parse().ok()?),
    };
    let record = match &answer.record {
        Some(record) => Some(decode_record(record)?.1),
        None => None,
    };
    Some(OwnerAnswer {
        origin: record,
        claim,
    })
}

/// Sends a message to a VM; returns its answer. `None` if there is none in time.
async fn send_message(
    gateway: &Gateway,
    vm: &VmName,
    path: &'static str,
    message: Vec<u8>,
) -> Option<Bytes> {
    let address = {
        let overlay = gateway.overlay.borrow();
        let ip = overlay.roster().get(vm)?.record.peer_address.ip();
        SocketAddr::new(ip, gateway.settings().relay.port())
    };
    let message = Bytes::from(message);
    let exchanged = tokio::time::timeout(ANSWER_LIMIT, async {
        while let Some(pooled) = gateway.pool.claim(address, ConnectionChoice::Any) {
            match exchange(gateway, address, pooled, path, message.clone()).await {
                Err(SendError::Unsent) => {}
                answered => return answered.ok(),
            }
        }
        let opened = HttpConnection::open_to_vm(address, gateway.dial_plan(ANSWER_LIMIT)).await;
        exchange(gateway, address, opened.ok()?, path, message)
            .await
            .ok()
    });
    let answer = exchanged.await.ok().flatten().flatten();
    if answer.is_none() {
        gateway.metrics.count("onyxfall_lost_origin_messages_total");
    }
    answer
}

/// Exchanges a message on a connection. `Ok(None)` if the other side does not know the message.
async fn exchange(
    gateway: &Gateway,
    address: SocketAddr,
    mut connection: HttpConnection,
    path: &'static str,
    message: Bytes,
) -> Result<Option<Bytes>, SendError> {
    let mut request = Request::new(Full::new(message));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    let (head, body) = connection.send(request).await?.into_parts();
    let collected = Limited::new(body, MAX_MESSAGE).collect().await;
    let Ok(body) = collected else {
        return Ok(None);
    };
    gateway.pool.put(address, connection, None);
    Ok((head.status == StatusCode::OK).then(|| body.to_bytes()))
}
