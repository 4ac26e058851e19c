//! Bodies that are received whole, within an account of held bytes.
//!
//! A body is copied into blocks, whatever the pieces are in which it arrives, so that its memory is
//! that of its bytes. It grows with the bytes that have arrived, never with the length that was
//! announced. Blocks have few sizes, so that those of bodies that were given up fit others.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use onyxfall_clock::BootInstant;
use onyxfall_held::{HeldAccount, HeldBytes, HeldFull};

/// How long an upload may take while others need its room. The largest body that callers send
/// arrives in less on a connection of 12 Mbit/s.
pub const UPLOAD_GRACE: Duration = Duration::from_secs(3);
/// Pause in which uploads that give way release their bytes.
const RECLAIM_PAUSE: Duration = Duration::from_millis(5);
/// Longest time for which the rest of a refused body is read and discarded.
const DISCARD_TIME: Duration = Duration::from_millis(500);
/// Sizes of the first block of a body and of the largest ones.
const MIN_BLOCK: usize = 4 * 1024;
const MAX_BLOCK: usize = 64 * 1024;

/// Whether the bytes of a body may exceed the bound on held bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldRule {
    /// The body of a new request is refused beyond the bound, and gives way to others if it takes
    /// long.
    WithinBound,
    /// The response to a request that has run is held beyond the bound.
    BeyondBound,
}

/// Why a body was not received whole.
#[derive(Debug)]
pub enum BodyError<E> {
    /// It has more bytes than allowed.
    TooLarge,
    /// The account of held bytes is full, and this body was refused or gave way to others.
    Held(HeldFull),
    /// The connection failed.
    Broken(E),
}

/// Receives a body of at most `limit` bytes, each counted in `held`. A body that announces more is
/// refused before it arrives.
///
/// # Errors
///
/// The body is too large, its connection failed, or the account has no room for it.
///
/// ```
/// use bytes::Bytes;
/// use http_body_util::Full;
/// use onyxfall_held::HeldAccount;
/// use onyxfall_intake::{BodyError, HoldRule, collect_body};
/// let account = HeldAccount::default();
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(async {
///     let mut body = Full::new(Bytes::from_static(b"body"));
///     let whole = collect_body(&mut body, 4, account.hold(0), HoldRule::WithinBound).await;
///     assert_eq!(whole.unwrap(), "body");
///     let mut body = Full::new(Bytes::from_static(b"longer"));
///     let refused = collect_body(&mut body, 4, account.hold(0), HoldRule::WithinBound).await;
///     assert!(matches!(refused, Err(BodyError::TooLarge)));
/// });
/// ```
pub async fn collect_body<B>(
    body: &mut B,
    limit: usize,
    mut held: HeldBytes,
    rule: HoldRule,
) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let account = held.account().clone();
    let giving_way = must_give_way(&account, BootInstant::now());
    let mut giving_way = std::pin::pin!(giving_way);
    let announced = body.size_hint().lower();
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    if announced > limit {
        return Err(BodyError::TooLarge);
    }
    if rule == HoldRule::WithinBound {
        // Only bytes that have arrived are counted, so that a caller cannot fill the account by
        // announcing a body that it does not send.
        hold_within(&mut held, announced).await?;
        held.resize(0);
    }
    let mut collected = BlockBuffer::new(announced);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut giving_way, if rule == HoldRule::WithinBound => {
                return Err(BodyError::Held(account.fullness()));
            }
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
            continue;
        };
        if data.len() > limit - collected.len {
            return Err(BodyError::TooLarge);
        }
        match rule {
            HoldRule::WithinBound => hold_within(&mut held, data.len()).await?,
            HoldRule::BeyondBound => held.grow(data.len()),
        }
        collected.append(&data);
    }
    Ok(held.attach(collected.into_bytes()))
}

/// Holds `bytes` more. If the account is full, uploads that have taken long give way first.
async fn hold_within<E>(held: &mut HeldBytes, bytes: usize) -> Result<(), BodyError<E>> {
    if held.try_grow(bytes).is_ok() {
        return Ok(());
    }
    held.account().demand_room();
    tokio::time::sleep(RECLAIM_PAUSE).await;
    held.try_grow(bytes).map_err(BodyError::Held)
}

/// Waits until an upload has taken long and others need its room.
async fn must_give_way(account: &HeldAccount, started: BootInstant) {
    tokio::time::sleep(UPLOAD_GRACE.saturating_sub(started.elapsed())).await;
    account.room_demanded().await;
}

/// The bytes of a body that have arrived.
struct BlockBuffer {
    /// All but the last one are full.
    blocks: Vec<BytesMut>,
    len: usize,
    announced: usize,
}

impl BlockBuffer {
    fn new(announced: usize) -> Self {
        Self {
            blocks: Vec::new(),
            len: 0,
            announced,
        }
    }

    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let room = self.blocks.last().map_or(0, |b| b.capacity() - b.len());
            if room == 0 {
                let block = BytesMut::with_capacity(self.next_block(data.len()));
                self.blocks.push(block);
                continue;
            }
            let (part, rest) = data.split_at(room.min(data.len()));
            if let Some(last) = self.blocks.last_mut() {
                last.extend_from_slice(part);
            }
            self.len += part.len();
            data = rest;
        }
    }

    /// Size of the next block, for `arrived` bytes or more: as many as there are, but no more than
    /// are announced.
    fn next_block(&self, arrived: usize) -> usize {
        let size = self
            .len
            .clamp(MIN_BLOCK, MAX_BLOCK)
            .max(arrived.min(MAX_BLOCK));
        match self.announced.saturating_sub(self.len) {
            0 => size,
            left => size.min(left),
        }
    }

    fn into_bytes(mut self) -> Bytes {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default().freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len);
        for block in self.blocks {
            whole.extend_from_slice(&block);
        }
        whole.freeze()
    }
}

/// Reads and discards the rest of a refused body for a while, up to `limit` bytes, so that its
/// caller can read the refusal: closing a connection with unread bytes resets it.
///
/// ```
/// use bytes::Bytes;
/// use http_body_util::Full;
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// runtime.block_on(onyxfall_intake::discard_body(Full::new(Bytes::from_static(b"rest")), 10));
/// ```
pub async fn discard_body<B>(mut body: B, limit: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let discarding = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > limit {
                return;
            }
        }
    };
    // The time is a limit, so that its end is no error.
    let _ = tokio::time::timeout(DISCARD_TIME, discarding).await;
}
