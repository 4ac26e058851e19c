//! Account of the bytes that a VM holds for others: request bodies, whole responses, and
//! bytes of streams that a slow caller has not read.
//!
//! The platform kills a VM that exceeds its memory, so the account has a bound. Beyond it, no
//! new request body is taken in ([`HeldAccount::try_hold`]); a request that is already being
//! served continues, and its bytes are counted beyond the bound ([`HeldAccount::hold`]).
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

/// Held bytes may take one part in this many of a VM's memory. The rest is for the program, its
/// copy of the store, and what is not counted.
const MEMORY_PARTS: u64 = 4;

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

    /// Checks whether `bytes` more would stay within the bound.
    fn check(&self, bytes: u64) -> Result<(), HeldFull> {
        let (held, bound) = (self.held(), self.bound());
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
        let held = self.held().bytes();
        let added = bytes.min(u64::MAX - held);
        self.0.held.store(held + added, Ordering::Relaxed);
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
    /// Holds `bytes` more if they stay within the bound; otherwise holds what it held.
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
        self.account.check(to_u64(bytes))?;
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
