//! An entry process: its supervisor tree, from start to graceful shutdown.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxfall_http::{HttpLimits, HttpServer};
use onyxfall_intake::{PortRole, ReceiveBuffers};
use onyxfall_platform::{PlatformClient, PlatformStore};
use onyxfall_policy::{MemberHeartbeat, ShutdownPhase};
use onyxfall_types::Incarnation;
use socket2::SockRef;
use thiserror::Error;

use crate::control::{run_heartbeats, run_observers, run_platform_poll, run_platform_watch};
use crate::core::EntryCore;
use crate::edge::{handle_caller, overload_reply, start_admin};
use crate::metrics::CounterName;
use crate::peer::listen_for_peers;
use crate::settings::EntrySettings;
use crate::supervisor::{ChildSpec, RestartRule, StopSignal, Supervisor};

const SHUTDOWN_POLL: Duration = Duration::from_millis(50);
/// Time for the last response bytes to be sent once no request is open.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a process did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Binding an address failed.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// Starting a thread failed.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

/// A running entry process.
pub struct EntryProcess {
    core: Arc<EntryCore>,
    server: HttpServer,
    /// Kept so that the admin port is served as long as the process runs.
    admin: HttpServer,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    stop: StopSignal,
    tree: JoinHandle<bool>,
}

fn listen(
    address: SocketAddr,
    buffers: Option<ReceiveBuffers>,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        if let Some(buffers) = buffers {
            SockRef::from(&listener).set_recv_buffer_size(buffers.inherited())?;
        }
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    bound.map_err(|error| StartError::Listen { address, error })
}

/// First incarnation of this process, larger than that of an earlier process on the
/// same VM. If the clock was set back, peers send the earlier incarnation and a larger
/// one is chosen.
fn first_incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(since.as_secs())
}

impl EntryProcess {
    /// Starts an entry with the platform client of its settings.
    ///
    /// # Errors
    ///
    /// Binding an address or starting a thread fails.
    pub fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let platform = Arc::new(PlatformClient::new(settings.platform.clone()));
        Self::start_with(settings, platform)
    }

    /// Starts an entry with a given platform store.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with(
        settings: EntrySettings,
        platform: Arc<dyn PlatformStore>,
    ) -> Result<Self, StartError> {
        let buffers = |role| settings.machine.receive_buffers(role);
        let (caller_listener, caller_address) =
            listen(settings.caller_listen, buffers(PortRole::Callers))?;
        let (peer_listener, peer_address) = listen(settings.peer_listen, buffers(PortRole::Links))?;
        let (admin_listener, admin_address) =
            listen(settings.admin_listen, buffers(PortRole::Status))?;
        let own = MemberHeartbeat {
            name: settings.name.clone(),
            center: settings.center.clone(),
            region: settings.region.clone(),
            incarnation: first_incarnation(),
            leaving: false,
            address: caller_address,
            peer_address: settings.peer_advertise.unwrap_or(peer_address),
        };
        let limits = HttpLimits {
            port: "callers",
            buffers: buffers(PortRole::Callers),
            overload_reply,
            ..settings.limits.clone()
        };
        let core = Arc::new(EntryCore::new(settings, own, platform));
        hint_seeds(&core);
        let handler_core = Arc::clone(&core);
        let server = HttpServer::start(caller_listener, limits, move |request, responder| {
            handle_caller(&handler_core, request, responder);
        })
        .map_err(StartError::Thread)?;
        let admin = start_admin(&core, admin_listener).map_err(StartError::Thread)?;
        let stop = StopSignal::new();
        let tree = start_tree(&core, peer_listener, &stop)?;
        log::info!(
            "entry {} serves callers on {caller_address}",
            core.settings.name
        );
        Ok(Self {
            core,
            server,
            admin,
            caller_address,
            peer_address,
            admin_address,
            stop,
            tree,
        })
    }

    /// Address that serves callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Address that serves other entries.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address that serves metrics.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Requests a graceful shutdown.
    pub fn request_shutdown(&self) {
        self.core.request_shutdown();
    }

    /// Whether a shutdown was requested or the supervisor tree has failed.
    pub fn has_ended(&self) -> bool {
        self.core.shutdown_requested.is_stopped() || self.tree.is_finished()
    }

    /// Waits until a shutdown is requested or the supervisor tree fails; returns
    /// whether a shutdown was requested.
    pub fn wait_for_shutdown(&self) -> bool {
        loop {
            if self.core.shutdown_requested.wait(SHUTDOWN_POLL * 4) {
                return true;
            }
            if self.tree.is_finished() {
                return false;
            }
        }
    }

    /// Shuts down gracefully: grace period, refusal of new requests, then the end of
    /// the open requests or the time limit. Returns the number of requests that were
    /// cut off.
    pub fn stop(self) -> usize {
        self.core.request_shutdown();
        while self.core.shutdown_phase() < ShutdownPhase::Stopped {
            thread::sleep(SHUTDOWN_POLL);
        }
        let cut = self.core.open_requests();
        if cut > 0 {
            self.core
                .metrics
                .add(CounterName::CutAtShutdown, cut as u64);
            log::error!("{cut} requests were cut off at the time limit of the shutdown");
        }
        self.server.shutdown(FLUSH_TIMEOUT);
        drop(self.admin);
        self.stop.stop();
        let _ = self.tree.join();
        self.core.links.close_all();
        cut
    }

    /// Ends at once, like a killed process, as far as threads allow.
    pub fn kill(self) {
        self.stop.stop();
        self.core.links.close_all();
        drop(self.server);
        drop(self.admin);
    }
}

fn hint_seeds(core: &EntryCore) {
    let now = core.now();
    for seed in &core.settings.seeds {
        let heartbeat = MemberHeartbeat {
            name: seed.name.clone(),
            center: seed.center.clone(),
            region: seed.region.clone(),
            incarnation: Incarnation::default(),
            leaving: false,
            address: seed.address,
            peer_address: seed.peer_address,
        };
        core.members.lock().hint(now, &heartbeat);
    }
}

fn start_tree(
    core: &Arc<EntryCore>,
    peer_listener: TcpListener,
    stop: &StopSignal,
) -> Result<JoinHandle<bool>, StartError> {
    let child = |name: &str, run: fn(&Arc<EntryCore>, &StopSignal)| {
        let core = Arc::clone(core);
        ChildSpec::new(name, RestartRule::Always, move |stop| run(&core, stop))
    };
    let control = Supervisor::new(
        "control",
        vec![
            child("beats", run_heartbeats),
            child("observers", run_observers),
            child("platform-poll", run_platform_poll),
        ],
    );
    // A watch may block past the shutdown, so no thread joins this one.
    let watch_core = Arc::clone(core);
    let watch_stop = stop.clone();
    thread::Builder::new()
        .name("platform-watch".to_owned())
        .spawn(move || run_platform_watch(&watch_core, &watch_stop))
        .map_err(StartError::Thread)?;
    let peer_core = Arc::clone(core);
    let peers = ChildSpec::new("peers", RestartRule::Always, move |stop| {
        listen_for_peers(&peer_core, &peer_listener, stop);
    });
    let root = Supervisor::new("root", vec![control.into_child(), peers]);
    let stop = stop.clone();
    thread::Builder::new()
        .name("root".to_owned())
        .spawn(move || root.run(&stop))
        .map_err(StartError::Thread)
}
