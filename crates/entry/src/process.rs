//! An entry process: its supervisor tree from start to planned stop.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxfall_http::{HttpLimits, HttpServer};
use onyxfall_platform::{PlatformClient, PlatformStore};
use onyxfall_policy::{MemberHeartbeat, ShutdownPhase};
use onyxfall_types::Incarnation;
use thiserror::Error;

use crate::control::{run_beats, run_observers, run_platform_poll, run_platform_watch};
use crate::core::EntryCore;
use crate::edge::{handle_caller, overload_reply, start_admin};
use crate::metrics::CounterName;
use crate::peer::listen_for_peers;
use crate::settings::EntrySettings;
use crate::supervisor::{ChildSpec, RestartRule, StopSignal, Supervisor};

const STOP_LOOK: Duration = Duration::from_millis(50);
/// Time for the last bytes of answers after nothing is open any more.
const LAST_BYTES: Duration = Duration::from_secs(2);

/// Why a process did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: std::io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

/// A running entry.
pub struct EntryProcess {
    core: Arc<EntryCore>,
    server: HttpServer,
    /// Held so that it serves as long as the process.
    admin: HttpServer,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    stop: StopSignal,
    tree: JoinHandle<bool>,
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    bound.map_err(|error| StartError::Listen { address, error })
}

/// A number that is larger in a later life of a VM; should the clock have gone
/// back, peers tell of the former life and a larger one is taken.
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
    /// An address cannot be listened on, or a thread not started.
    pub fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let platform = Arc::new(PlatformClient::new(settings.platform.clone()));
        Self::start_with(settings, platform)
    }

    /// Starts an entry with a given platform.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with(
        settings: EntrySettings,
        platform: Arc<dyn PlatformStore>,
    ) -> Result<Self, StartError> {
        let (caller_listener, caller_address) = listen(settings.caller_listen)?;
        let (peer_listener, peer_address) = listen(settings.peer_listen)?;
        let (admin_listener, admin_address) = listen(settings.admin_listen)?;
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

    /// Where callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where other entries are served.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Where metrics are served.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Asks for the planned stop.
    pub fn ask_stop(&self) {
        self.core.ask_stop();
    }

    /// Whether a stop was asked for or the tree has failed.
    pub fn has_ended(&self) -> bool {
        self.core.stop_asked.is_stopped() || self.tree.is_finished()
    }

    /// Waits for a stop to be asked for, or the tree to fail; whether a stop
    /// was asked for.
    pub fn wait_asked(&self) -> bool {
        loop {
            if self.core.stop_asked.wait(STOP_LOOK * 4) {
                return true;
            }
            if self.tree.is_finished() {
                return false;
            }
        }
    }

    /// Stops by plan: grace, refusal, the end of what is open, or the bound.
    /// Returns how many requests were cut off.
    pub fn stop(self) -> usize {
        self.core.ask_stop();
        while self.core.stop_phase() < ShutdownPhase::Stopped {
            thread::sleep(STOP_LOOK);
        }
        let cut = self.core.open_requests();
        if cut > 0 {
            self.core.metrics.add(CounterName::CutAtStop, cut as u64);
            log::error!("{cut} requests were cut off at the bound of the stop");
        }
        self.server.shutdown(LAST_BYTES);
        drop(self.admin);
        self.stop.stop();
        let _ = self.tree.join();
        self.core.links.close_all();
        cut
    }

    /// Ends at once, as a killed process does, as far as threads allow.
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
        let beat = MemberHeartbeat {
            name: seed.name.clone(),
            center: seed.center.clone(),
            region: seed.region.clone(),
            incarnation: Incarnation::default(),
            leaving: false,
            address: seed.address,
            peer_address: seed.peer_address,
        };
        core.members.lock().hint(now, &beat);
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
            child("beats", run_beats),
            child("observers", run_observers),
            child("platform-poll", run_platform_poll),
        ],
    );
    // A watch may block past the stop, so nothing waits for this thread.
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
