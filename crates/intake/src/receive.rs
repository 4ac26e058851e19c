//! Sizes of the kernel's receive buffers, which count as memory of the machine.
//!
//! Without a size, the kernel lets a buffer grow to megabytes, which a caller can fill while its
//! request is served. A window that is always small would slow down callers that are far away. So
//! the first connections to a port get large buffers, and those beyond them small ones.

use std::os::fd::AsFd;

use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Connections to callers' ports may have unread bytes in one part in this many of the memory.
const MEMORY_PARTS: u64 = 4;
/// The kernel allocates this many times the size that a program sets.
const KERNEL_FACTOR: u64 = 2;
/// One connection in this many gets a large buffer. They take half of the memory, the others the rest.
const LARGE_EVERY: usize = 8;
/// Least and most bytes of a buffer.
const MIN_SIZE: u64 = 4 * 1024;
const MAX_SIZE: u64 = 256 * 1024;

/// Sizes of the receive buffers of the connections to a port, in bytes as for `SO_RCVBUF`.
///
/// ```
/// use onyxfall_intake::{MachineLimits, PortRole};
/// let limits = MachineLimits { memory: None, open_files: 3400 };
/// assert!(limits.receive_buffers(PortRole::Callers).is_some());
/// assert!(limits.receive_buffers(PortRole::Relay).is_none());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiveBuffers {
    large: usize,
    small: usize,
    max_large: usize,
}

impl ReceiveBuffers {
    /// Sizes for a port that takes `connections`, where all callers' ports together take `all` on a
    /// machine with `memory` bytes.
    pub(crate) fn new(memory: Option<u64>, connections: usize, all: usize) -> Self {
        let even = memory.map_or(MAX_SIZE, |memory| {
            memory / MEMORY_PARTS / KERNEL_FACTOR / u64::try_from(all).unwrap_or(u64::MAX).max(1)
        });
        let size =
            |bytes: u64| usize::try_from(bytes.clamp(MIN_SIZE, MAX_SIZE)).unwrap_or(usize::MAX);
        Self {
            large: size(even.saturating_mul(LARGE_EVERY as u64 / 2)),
            small: size(even / 2),
            max_large: connections / LARGE_EVERY,
        }
    }

    /// Size for a listening socket. Its connections inherit it, and may fill it before they are
    /// accepted.
    ///
    /// ```
    /// use onyxfall_intake::{MachineLimits, PortRole};
    /// let limits = MachineLimits { memory: None, open_files: 3400 };
    /// let buffers = limits.receive_buffers(PortRole::Status).unwrap();
    /// assert_eq!(buffers.inherited(), 128 * 1024);
    /// ```
    pub fn inherited(&self) -> usize {
        self.small
    }

    /// Size for an accepted connection with which the port has `open` connections, if it is not the
    /// inherited one.
    ///
    /// ```
    /// use onyxfall_intake::{MachineLimits, PortRole};
    /// let memory = "160".parse::<onyxfall_intake::StatedMemory>().unwrap().0;
    /// let limits = MachineLimits { memory, open_files: 4100 };
    /// let buffers = limits.receive_buffers(PortRole::Callers).unwrap();
    /// assert!(buffers.enlarged(1).unwrap() > buffers.inherited());
    /// assert_eq!(buffers.enlarged(1000), None);
    /// ```
    pub fn enlarged(&self, open: usize) -> Option<usize> {
        (open <= self.max_large && self.large > self.small).then_some(self.large)
    }

    /// Sets the size of an accepted connection with which the port has `open` connections. A size
    /// that cannot be set is logged.
    ///
    /// ```
    /// use onyxfall_intake::{MachineLimits, PortRole};
    /// let limits = MachineLimits { memory: None, open_files: 3400 };
    /// let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    /// limits.receive_buffers(PortRole::Status).unwrap().enlarge(&listener, 1);
    /// ```
    pub fn enlarge(&self, socket: impl AsFd, open: usize) {
        let size = self.enlarged(open);
        let set = size.map_or(Ok(()), |size| set_socket_recv_buffer_size(socket, size));
        if let Err(e) = set {
            log::warn!(error:% = e; "cannot enlarge the receive buffer of a connection");
        }
    }
}
