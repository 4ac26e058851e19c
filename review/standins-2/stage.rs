//! Addresses and folders of one play.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;

/// Loopback addresses and a temporary folder of this play; dropping it removes the folder.
pub struct Stage {
    network: (u8, u8),
    folder: PathBuf,
}

impl Stage {
    pub fn new() -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("onyxfall-review-{id}"));
        fs::create_dir_all(&folder)?;
        let part = |shift: u32| u8::try_from(id >> shift & 127).unwrap_or(0) + 1;
        Ok(Self {
            network: (part(0), part(7)),
            folder,
        })
    }

    /// A loopback address of this play.
    pub fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.network.0, self.network.1, host).into()
    }

    pub fn folder(&self) -> PathBuf {
        self.folder.clone()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
