//! What the machine of a VM has, and how much of it the connections to each port may take.

use std::fmt;
use std::fs;
use std::str::FromStr;

use onyxfall_types::ByteSize;
use rustix::process::{Resource, getrlimit};

use crate::receive::ReceiveBuffers;

/// Descriptors that are left for files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the other descriptors, in 32nds, that the connections to each port may take. The rest is
/// for connections to servers, other VMs and the store. All VMs of a deployment connect to a seed
/// when they start together.
const CALLER_SHARE: usize = 10;
const LINK_SHARE: usize = 10;
const RELAY_SHARE: usize = 4;
const DIRECTORY_SHARE: usize = 2;
const STATUS_SHARE: usize = 1;
const ALL_SHARES: usize = 32;
const PORT_SHARES: usize = CALLER_SHARE + LINK_SHARE + RELAY_SHARE + DIRECTORY_SHARE + STATUS_SHARE;
/// The connections to all ports may take one part in this many of the memory.
const MEMORY_PARTS: u64 = 2;
/// Memory of a connection: its read and write buffers, and the state of its request.
const CONNECTION_BYTES: u64 = 24 * 1024;
/// Fewest connections that a port takes, however little memory and however few descriptors there
/// are.
const MIN_BY_MEMORY: usize = 64;
const MIN_BY_FILES: usize = 8;
/// Descriptors where the system tells no limit.
const DEFAULT_OPEN_FILES: usize = 1024;
/// Fewest descriptors that leave room for connections beside files.
const MIN_OPEN_FILES: usize = 256;
/// The smaller reading of a megabyte, so that a bound is not above the one meant.
const BYTES_PER_MB: f64 = 1e6;
/// Sizes from here on are mistakes: an exabyte.
const MAX_MEMORY_BYTES: f64 = 1e18;
/// Bytes of a kibibyte, the unit of `/proc/meminfo`.
const KIB: u64 = 1024;

/// Who connects to a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortRole {
    /// Callers, with requests.
    Callers,
    /// Other VMs, with requests that they forward.
    Relay,
    /// Other VMs, with links.
    Links,
    /// Callers that look up where to send requests.
    Directory,
    /// Health checks, metric scrapers and operators.
    Status,
}

impl PortRole {
    /// Name in logs.
    ///
    /// ```
    /// assert_eq!(onyxfall_intake::PortRole::Callers.as_str(), "callers");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Relay => "relay",
            Self::Links => "links",
            Self::Directory => "directory",
            Self::Status => "status",
        }
    }
}

/// Memory that settings state, in megabytes. An empty value stands for a size that is not known:
/// the settings template yields it on platforms that state none.
///
/// ```
/// use onyxfall_intake::StatedMemory;
/// let memory: StatedMemory = "0.5".parse().unwrap();
/// assert_eq!(memory.0.unwrap().bytes(), 500_000);
/// assert_eq!(memory.to_string(), "0.5");
/// assert!("0".parse::<StatedMemory>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedMemory(pub Option<ByteSize>);

impl FromStr for StatedMemory {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "expected megabytes above 0, such as 128 or 0.5, or nothing";
        if text.is_empty() {
            return Ok(Self(None));
        }
        let megabytes: f64 = text.parse().map_err(|_| EXPECTED)?;
        let bytes = megabytes * BYTES_PER_MB;
        if !(1.0..MAX_MEMORY_BYTES).contains(&bytes) {
            return Err(EXPECTED);
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bytes = bytes as u64;
        Ok(Self(Some(ByteSize::new(bytes))))
    }
}

impl fmt::Display for StatedMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(memory) => write!(f, "{}", memory.bytes() as f64 / BYTES_PER_MB),
            None => Ok(()),
        }
    }
}

/// Descriptors that settings state. An empty value stands for a number that is not known.
///
/// ```
/// use onyxfall_intake::StatedFiles;
/// let files: StatedFiles = "4100".parse().unwrap();
/// assert_eq!(files.to_string(), "4100");
/// assert!("200".parse::<StatedFiles>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedFiles(pub Option<usize>);

impl FromStr for StatedFiles {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const EXPECTED: &str = "expected a number of descriptors from 256, or nothing";
        if text.is_empty() {
            return Ok(Self(None));
        }
        let files = text.parse().map_err(|_| EXPECTED)?;
        if files < MIN_OPEN_FILES {
            return Err(EXPECTED);
        }
        Ok(Self(Some(files)))
    }
}

impl fmt::Display for StatedFiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(files) => write!(f, "{files}"),
            None => Ok(()),
        }
    }
}

/// Memory and descriptors of a process's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory that the process may take; `None` if it is not known.
    pub memory: Option<ByteSize>,
    /// Descriptors that the process may have open.
    pub open_files: usize,
}

impl MachineLimits {
    /// Completes stated limits by what the system tells: `/proc/meminfo` and the limit of open
    /// files. The lower limit of open files counts.
    ///
    /// ```
    /// use onyxfall_intake::{MachineLimits, StatedFiles};
    /// let limits = MachineLimits::detect("1".parse().unwrap(), StatedFiles(Some(300)));
    /// assert_eq!(limits.memory.unwrap().bytes(), 1_000_000);
    /// assert!(limits.open_files <= 300);
    /// ```
    pub fn detect(memory: StatedMemory, open_files: StatedFiles) -> Self {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.and_then(|files| usize::try_from(files).ok());
        let known = open_files.0.into_iter().chain(allowed).min();
        Self {
            memory: memory.0.or_else(system_memory),
            open_files: known.unwrap_or(DEFAULT_OPEN_FILES),
        }
    }

    /// Most connections that a port takes.
    ///
    /// ```
    /// use onyxfall_intake::{MachineLimits, PortRole};
    /// let limits = MachineLimits { memory: None, open_files: 3400 };
    /// assert_eq!(limits.connections(PortRole::Callers), 1000);
    /// assert_eq!(limits.connections(PortRole::Status), 100);
    /// ```
    pub fn connections(&self, role: PortRole) -> usize {
        let share = match role {
            PortRole::Callers => CALLER_SHARE,
            PortRole::Relay => RELAY_SHARE,
            PortRole::Links => LINK_SHARE,
            PortRole::Directory => DIRECTORY_SHARE,
            PortRole::Status => STATUS_SHARE,
        };
        let sockets = self.open_files.saturating_sub(FILE_DESCRIPTORS);
        let by_files = sockets * share / ALL_SHARES;
        let by_memory = self.memory.map_or(usize::MAX, |memory| {
            let all = memory.bytes() / MEMORY_PARTS / CONNECTION_BYTES;
            let all = usize::try_from(all).unwrap_or(usize::MAX);
            (all / PORT_SHARES * share).max(MIN_BY_MEMORY)
        });
        by_files.min(by_memory).max(MIN_BY_FILES)
    }

    /// Sizes of the kernel's receive buffers of the connections to a port. `None` for ports of other
    /// VMs, which may be far away and send a lot: the kernel chooses them.
    ///
    /// ```
    /// use onyxfall_intake::{MachineLimits, PortRole};
    /// let limits = MachineLimits { memory: None, open_files: 456 };
    /// assert!(limits.receive_buffers(PortRole::Callers).is_some());
    /// assert!(limits.receive_buffers(PortRole::Relay).is_none());
    /// ```
    pub fn receive_buffers(&self, role: PortRole) -> Option<ReceiveBuffers> {
        const CALLER_PORTS: [PortRole; 3] =
            [PortRole::Callers, PortRole::Directory, PortRole::Status];
        let all = CALLER_PORTS.map(|role| self.connections(role)).iter().sum();
        let memory = self.memory.map(ByteSize::bytes);
        CALLER_PORTS
            .contains(&role)
            .then(|| ReceiveBuffers::new(memory, self.connections(role), all))
    }
}

/// Memory of the machine; `None` if the system does not tell it.
fn system_memory() -> Option<ByteSize> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kibibytes: u64 = line?.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(ByteSize::new(kibibytes.saturating_mul(KIB)))
}
