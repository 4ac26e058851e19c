//! Copies of runs that stand-ins of servers of this process hold for each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use parking_lot::Mutex;

static COPIES: Mutex<BTreeSet<(SocketAddr, String)>> = Mutex::new(BTreeSet::new());

/// Notes that the server at `backup` holds a copy of a run.
pub(crate) fn put_copy(backup: SocketAddr, run: String) {
    COPIES.lock().insert((backup, run));
}

/// Takes the copy of a run that the server at `backup` holds; whether there was one.
/// Each copy serves once.
pub(crate) fn take_copy(backup: SocketAddr, run: &str) -> bool {
    COPIES.lock().remove(&(backup, run.to_owned()))
}
