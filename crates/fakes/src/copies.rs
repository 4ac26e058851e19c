//! Backups of runs that the server stubs of this process hold for each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use parking_lot::Mutex;

static COPIES: Mutex<BTreeSet<(SocketAddr, String)>> = Mutex::new(BTreeSet::new());

/// Records that the server at `backup` holds a copy of a run.
pub(crate) fn put_copy(backup: SocketAddr, run: String) {
    COPIES.lock().insert((backup, run));
}

/// Removes the copy of a run from the server at `backup`; returns whether it held one.
/// Each copy can be used once.
pub(crate) fn take_copy(backup: SocketAddr, run: &str) -> bool {
    COPIES.lock().remove(&(backup, run.to_owned()))
}
