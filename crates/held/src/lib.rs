//! Account of the bytes that a VM holds for others: request bodies, whole responses, and
//! bytes of streams that a slow caller has not read.
//!
//! The platform kills a VM that exceeds its memory, so the account has a bound. Beyond it, no
//! new request body is taken in ([`HeldAccount::try_hold`]); a request that is already being
//! served continues, and its bytes are counted beyond the bound ([`HeldAccount::hold`]).
//!
//! Large bodies leave a part of the bound to small ones ([`HeldBytes::try_grow`]). While the account
//! is full, [`HeldAccount::demand_room`] tells those who hold bytes that others need room
//! ([`HeldAccount::room_demanded`]).
//!
//! Invariant: the account is the sum of its live [`HeldBytes`], whatever their sizes and the
//! order in which they are dropped.
//!
//! Bytes are counted until the last reference to them is dropped, which is in hyper's queue
//! of unsent data, not in the task that served the request. So a hold can be attached to a
//! [`Bytes`] value, whose owner must be `Send`; the account is therefore atomic although the
//! gateway has one thread.
//!
//! The backlog of one slow caller is bounded by construction: hyper takes the next chunk of a
//! body only while less than the head size limit and fewer than 16 chunks are queued on the
//! connection, and a stream is read from its server only when the caller's connection takes
//! its next chunk. A chunk is at most hyper's largest read buffer, 408 KiB. An event whose end
//! has not arrived is the exception: it is collected whole and counted. Read buffers of
//! connections and data in the kernel's socket buffers are not counted.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use onyxfall_types::ByteSize;
use thiserror::Error;
use tokio::sync::Notify;

/// Held bytes may take one part in this many of a VM's memory. The rest is for the program, its
/// copy of the store, and what is not counted.
const MEMORY_PARTS: u64 = 4;

/// Bodies beyond this size leave one part in [`RESERVED_PARTS`] of the bound to smaller ones, so that
/// ordinary requests are taken in while large ones fill the account.
const SMALL_BODY: u64 = 64 * 1024;
const RESERVED_PARTS: u64 = 4;

/// Error for bytes that the account has no room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this VM holds {held} of at most {bound} for its callers")]
pub struct HeldFull {
    /// Bytes held at the time of the refusal.
    pub held: ByteSize,
    /// The bound.
    pub bound: ByteSize,
}

#[derive(Debug)]
struct AccountState {
    held: AtomicU64,
    bound: AtomicU64,
    room_demanded: Notify,
}

/// The account of all held bytes of a VM. Clones share one account; the default has no bound.
#[derive(Clone, Debug)]
pub struct HeldAccount(Arc<AccountState>);

impl Default for HeldAccount {
    fn default() -> Self {
        Self::new(Self::UNBOUNDED)
    }
}

impl HeldAccount {
    /// The bound of an account without one.
    pub const UNBOUNDED: ByteSize = ByteSize::new(u64::MAX);

    /// Creates an empty account.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// use onyxfall_types::ByteSize;
    /// let account = HeldAccount::new(ByteSize::new(100));
    /// assert_eq!(account.held(), ByteSize::new(0));
    /// ```
    pub fn new(bound: ByteSize) -> Self {
        Self(Arc::new(AccountState {
            held: AtomicU64::new(0),
            bound: AtomicU64::new(bound.bytes()),
            room_demanded: Notify::new(),
        }))
    }

    /// The bound for a VM with `memory`; without a known size there is none.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// use onyxfall_types::ByteSize;
    /// let bound = HeldAccount::bound_for(Some(ByteSize::new(400)));
    /// assert_eq!(bound, ByteSize::new(100));
    /// assert_eq!(HeldAccount::bound_for(None), HeldAccount::UNBOUNDED);
    /// ```
    pub fn bound_for(memory: Option<ByteSize>) -> ByteSize {
        memory.map_or(Self::UNBOUNDED, |memory| {
            ByteSize::new(memory.bytes() / MEMORY_PARTS)
        })
    }

    /// Changes the bound. Bytes beyond a lower bound stay held.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// use onyxfall_types::ByteSize;
    /// let account = HeldAccount::default();
    /// account.set_bound(ByteSize::new(10));
    /// assert!(account.try_hold(11).is_err());
    /// ```
    pub fn set_bound(&self, bound: ByteSize) {
        self.0.bound.store(bound.bytes(), Ordering::Relaxed);
    }

    /// Number of bytes held.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// let account = HeldAccount::default();
    /// let bytes = account.hold(7);
    /// assert_eq!(account.held().bytes(), 7);
    /// drop(bytes);
    /// assert_eq!(account.held().bytes(), 0);
    /// ```
    pub fn held(&self) -> ByteSize {
        ByteSize::new(self.0.held.load(Ordering::Relaxed))
    }

    fn bound(&self) -> ByteSize {
        ByteSize::new(self.0.bound.load(Ordering::Relaxed))
    }

    /// The bytes held now and the bound, as the cause of a refusal.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// use onyxfall_types::ByteSize;
    /// let full = HeldAccount::new(ByteSize::new(10)).fullness();
    /// assert_eq!(full.bound.bytes(), 10);
    /// ```
    pub fn fullness(&self) -> HeldFull {
        HeldFull {
            held: self.held(),
            bound: self.bound(),
        }
    }

    /// Tells those who wait in [`Self::room_demanded`] that the account has no room for others.
    ///
    /// ```
    /// onyxfall_held::HeldAccount::default().demand_room();
    /// ```
    pub fn demand_room(&self) {
        self.0.room_demanded.notify_waiters();
    }

    /// Waits until room is demanded after this call.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// let account = HeldAccount::default();
    /// let demanded = account.room_demanded();
    /// account.demand_room();
    /// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// runtime.block_on(demanded);
    /// ```
    pub fn room_demanded(&self) -> impl Future<Output = ()> + '_ {
        self.0.room_demanded.notified()
    }

    /// Checks whether `bytes` more of a body of which `own` bytes are held would stay within the
    /// part of the bound that is open to it.
    fn check(&self, own: u64, bytes: u64) -> Result<(), HeldFull> {
        let (held, mut bound) = (self.held(), self.bound());
        if own.saturating_add(bytes) > SMALL_BODY && bound != Self::UNBOUNDED {
            bound = ByteSize::new(bound.bytes() - bound.bytes() / RESERVED_PARTS);
        }
        match held.bytes().checked_add(bytes) {
            Some(sum) if sum <= bound.bytes() => Ok(()),
            _ => Err(HeldFull { held, bound }),
        }
    }

    /// Holds `bytes` if they stay within the bound.
    ///
    /// # Errors
    ///
    /// The bound would be exceeded.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// use onyxfall_types::ByteSize;
    /// let account = HeldAccount::new(ByteSize::new(10));
    /// let _bytes = account.try_hold(10).unwrap();
    /// assert!(account.try_hold(1).is_err());
    /// ```
    pub fn try_hold(&self, bytes: usize) -> Result<HeldBytes, HeldFull> {
        let mut held = self.hold(0);
        held.try_grow(bytes)?;
        Ok(held)
    }

    /// Holds `bytes` of a request that is already being served, even beyond the bound.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// use onyxfall_types::ByteSize;
    /// let account = HeldAccount::new(ByteSize::new(10));
    /// let _bytes = account.hold(20);
    /// assert_eq!(account.held().bytes(), 20);
    /// ```
    pub fn hold(&self, bytes: usize) -> HeldBytes {
        let mut held = HeldBytes {
            account: self.clone(),
            bytes: 0,
        };
        held.grow(bytes);
        held
    }

    /// Adds `bytes`, but no more than the counter can take. Returns how many were added.
    fn add(&self, bytes: u64) -> u64 {
        let mut added = 0;
        self.0
            .held
            .update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                added = bytes.min(u64::MAX - held);
                held + added
            });
        added
    }

    fn remove(&self, bytes: u64) {
        self.0.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes counted in an account until dropped.
#[derive(Debug)]
pub struct HeldBytes {
    account: HeldAccount,
    bytes: u64,
}

impl HeldBytes {
    /// Holds `bytes` more if they stay within the bound; otherwise holds what it held. A hold of
    /// more than 64 KiB may take three quarters of the bound.
    ///
    /// # Errors
    ///
    /// The bound would be exceeded.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// use onyxfall_types::ByteSize;
    /// let account = HeldAccount::new(ByteSize::new(10));
    /// let mut bytes = account.hold(6);
    /// assert!(bytes.try_grow(5).is_err());
    /// assert_eq!(account.held().bytes(), 6);
    /// ```
    pub fn try_grow(&mut self, bytes: usize) -> Result<(), HeldFull> {
        self.account.check(self.bytes, to_u64(bytes))?;
        self.grow(bytes);
        Ok(())
    }

    /// Holds `bytes` more, even beyond the bound.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// let account = HeldAccount::default();
    /// let mut bytes = account.hold(6);
    /// bytes.grow(5);
    /// assert_eq!(account.held().bytes(), 11);
    /// ```
    pub fn grow(&mut self, bytes: usize) {
        self.bytes += self.account.add(to_u64(bytes));
    }

    /// Changes the number of bytes held, even beyond the bound.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// let account = HeldAccount::default();
    /// let mut bytes = account.hold(6);
    /// bytes.resize(2);
    /// assert_eq!(account.held().bytes(), 2);
    /// ```
    pub fn resize(&mut self, bytes: usize) {
        self.account.remove(std::mem::take(&mut self.bytes));
        self.grow(bytes);
    }

    /// The account that counts the bytes.
    ///
    /// ```
    /// use onyxfall_held::HeldAccount;
    /// let bytes = HeldAccount::default().hold(3);
    /// assert_eq!(bytes.account().held().bytes(), 3);
    /// ```
    pub fn account(&self) -> &HeldAccount {
        &self.account
    }

    /// Attaches the hold to `bytes`: it is released when their last reference is dropped.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use onyxfall_held::HeldAccount;
    /// let account = HeldAccount::default();
    /// let chunk = account.hold(3).attach(Bytes::from_static(b"abc"));
    /// let clone = chunk.clone();
    /// drop(chunk);
    /// assert_eq!(account.held().bytes(), 3);
    /// drop(clone);
    /// assert_eq!(account.held().bytes(), 0);
    /// ```
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(OwnedChunk { bytes, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.account.remove(self.bytes);
    }
}

/// Bytes with the hold that counts them.
struct OwnedChunk {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for OwnedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn to_u64(bytes: usize) -> u64 {
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
