//! State shared by the threads of one entry.
//!
//! A thread that holds one of the locks takes no other, with two exceptions: router
//! before demand, and members before the table of links. No lock is held across I/O.
//! Each waiting request blocks on its own channel; a thread that changes the router's
//! state wakes the requests that can proceed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use onyxfall_bundle::{BundleVersion, ServiceBundle};
use onyxfall_platform::PlatformStore;
use onyxfall_policy::{
    AttemptEnd, AttemptOutcome, MemberHeartbeat, MemberTable, Moment, RequestArrival,
    RequestRouter, RouteStep, ShutdownPhase, ShutdownPlan, TicketLedger, WaitId,
};
use onyxfall_types::{Incarnation, RefusalReason, RequestError};
use onyxfall_wire::ServerLoad;
use parking_lot::Mutex;

use crate::clock::EntryClock;
use crate::control::ConfigStore;
use crate::metrics::EntryMetrics;
use crate::peer::PeerLinks;
use crate::settings::EntrySettings;
use crate::supervisor::StopSignal;

/// Number of tickets that are kept; the ledger evicts older ones.
const TICKET_LIMIT: usize = 65_536;

/// Message that wakes a waiting request.
#[derive(Debug)]
pub(crate) enum WakeUp {
    /// The router has made a decision.
    Step(RouteStep),
    /// The bundle has changed; the request must arrive at the router again.
    Rearrive,
}

#[derive(Default)]
struct RouterCell {
    router: Option<RequestRouter>,
    waiters: BTreeMap<WaitId, Sender<WakeUp>>,
}

/// Result of an arrival.
pub(crate) enum ArrivalStep {
    /// The router has made a decision.
    Step(RouteStep),
    /// The request must wait on the channel.
    Wait(WaitId, Receiver<WakeUp>),
}

/// Shared state of an entry.
pub(crate) struct EntryCore {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: EntryClock,
    pub(crate) metrics: EntryMetrics,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) config: Mutex<ConfigStore>,
    pub(crate) tickets: Mutex<TicketLedger>,
    pub(crate) links: PeerLinks,
    pub(crate) platform: Arc<dyn PlatformStore>,
    /// Load reports of the servers that this VM observes, sent with its heartbeats.
    pub(crate) observed: Mutex<BTreeMap<u32, ServerLoad>>,
    /// Demand of other data centres and their open requests here, from which grants are
    /// computed.
    pub(crate) demand: Mutex<crate::control::CenterDemand>,
    /// Signalled when this VM should shut down.
    pub(crate) shutdown_requested: StopSignal,
    router: Mutex<RouterCell>,
    in_force: AtomicU64,
    shutdown: Mutex<ShutdownPlan>,
    open: AtomicUsize,
}

impl EntryCore {
    pub(crate) fn new(
        settings: EntrySettings,
        own: MemberHeartbeat,
        platform: Arc<dyn PlatformStore>,
    ) -> Self {
        let incarnation = own.incarnation;
        let tickets = TicketLedger::new(
            settings.name.clone(),
            incarnation,
            rand::random(),
            TICKET_LIMIT,
        );
        let config = ConfigStore::new(settings.operators.clone());
        Self {
            clock: EntryClock::start(),
            metrics: EntryMetrics::default(),
            members: Mutex::new(MemberTable::new(own, settings.member_timing)),
            config: Mutex::new(config),
            tickets: Mutex::new(tickets),
            links: PeerLinks::default(),
            platform,
            observed: Mutex::default(),
            demand: Mutex::default(),
            shutdown_requested: StopSignal::new(),
            router: Mutex::default(),
            in_force: AtomicU64::new(0),
            shutdown: Mutex::new(ShutdownPlan::new(
                settings.shutdown_grace,
                settings.shutdown_limit,
            )),
            open: AtomicUsize::new(0),
            settings,
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Runs `f` on the router, then wakes the requests that can proceed after the
    /// change.
    pub(crate) fn with_router<T>(&self, f: impl FnOnce(&mut RequestRouter) -> T) -> Option<T> {
        let mut cell = self.router.lock();
        let result = f(cell.router.as_mut()?);
        self.wake(&mut cell);
        Some(result)
    }

    /// Returns the bundle in force.
    pub(crate) fn bundle(&self) -> Option<Arc<ServiceBundle>> {
        let cell = self.router.lock();
        cell.router
            .as_ref()
            .map(|router| Arc::clone(router.bundle()))
    }

    /// Brings a bundle into force; waiting requests arrive again under it.
    pub(crate) fn set_bundle(
        &self,
        bundle: &Arc<ServiceBundle>,
        version: BundleVersion,
    ) -> Result<(), String> {
        let center = bundle
            .center_id(self.settings.center.as_str())
            .ok_or_else(|| format!("data centre {} is not declared", self.settings.center))?;
        let now = self.now();
        let (rank, members) = self.members.lock().own_rank();
        let mut cell = self.router.lock();
        let again = if let Some(router) = &mut cell.router {
            router.rebundle(now, bundle, center)
        } else {
            let policy = self.settings.policy.clone();
            cell.router = Some(RequestRouter::new(Arc::clone(bundle), center, policy, now));
            Vec::new()
        };
        if let Some(router) = &mut cell.router {
            router.set_members(now, rank, members);
        }
        self.in_force.store(version.get(), Ordering::SeqCst);
        for id in again {
            if let Some(waiter) = cell.waiters.remove(&id) {
                let _ = waiter.send(WakeUp::Rearrive);
            }
        }
        Ok(())
    }

    /// Version of the bundle in force; `v0` before the first one.
    pub(crate) fn version_in_force(&self) -> BundleVersion {
        BundleVersion::new(self.in_force.load(Ordering::SeqCst))
    }

    /// Passes an arrival to the router; `make` builds it for the bundle in force.
    pub(crate) fn arrive(
        &self,
        make: impl FnOnce(&RequestRouter) -> Result<RequestArrival, RequestError>,
    ) -> Result<ArrivalStep, RequestError> {
        let now = self.now();
        let mut cell = self.router.lock();
        let router = cell.router.as_mut().ok_or_else(not_ready)?;
        let arrival = make(router)?;
        let step = router.arrive(now, arrival);
        let result = match step {
            RouteStep::Wait(id) => {
                let (sender, receiver) = bounded(1);
                cell.waiters.insert(id, sender);
                ArrivalStep::Wait(id, receiver)
            }
            step => ArrivalStep::Step(step),
        };
        self.wake(&mut cell);
        Ok(result)
    }

    /// Cancels the wait of a request whose caller disconnected.
    pub(crate) fn cancel_wait(&self, id: WaitId) {
        let mut cell = self.router.lock();
        let waited = cell.router.as_mut().is_some_and(|router| router.cancel(id));
        if let (true, Some(waiter)) = (waited, cell.waiters.remove(&id)) {
            let error = RequestError::not_run(RefusalReason::Cancelled, "the caller disconnected");
            let _ = waiter.send(WakeUp::Step(RouteStep::Refuse(error)));
        }
    }

    /// Records that the server of an attempt asks this VM to back off for `time`.
    pub(crate) fn record_backoff(&self, attempt: u64, time: Duration) {
        let now = self.now();
        self.with_router(|router| router.record_backoff(now, attempt, time));
    }

    /// Reports the end of an attempt.
    pub(crate) fn end_attempt(&self, attempt: u64, outcome: AttemptOutcome, elapsed: Duration) {
        let now = self.now();
        let end = AttemptEnd {
            attempt,
            outcome,
            elapsed,
        };
        let opened = self.with_router(|router| {
            let server = router.end(now, &end)?;
            Some(router.bundle().servers[server].name.clone())
        });
        if let Some(Some(name)) = opened {
            log::warn!("circuit of server {name} opened");
        }
    }

    /// Lets waiting requests proceed or expire; called on each tick.
    pub(crate) fn poll_waiting(&self) {
        self.with_router(|_| ());
    }

    fn wake(&self, cell: &mut RouterCell) {
        let now = self.now();
        let Some(router) = &mut cell.router else {
            return;
        };
        if router.waiting() == 0 {
            return;
        }
        for (id, step) in router.poll(now) {
            let undelivered = match cell.waiters.remove(&id) {
                Some(waiter) => waiter.send(WakeUp::Step(step.clone())).is_err(),
                None => true,
            };
            if undelivered
                && let RouteStep::Run { attempt, .. } | RouteStep::Forward { attempt, .. } = step
            {
                let outcome = AttemptOutcome::Cancelled;
                router.end(
                    now,
                    &AttemptEnd {
                        attempt,
                        outcome,
                        elapsed: Duration::ZERO,
                    },
                );
            }
        }
    }

    /// Starts a graceful shutdown; later calls have no effect.
    pub(crate) fn request_shutdown(&self) {
        self.shutdown.lock().request(self.now());
        self.members.lock().leave();
        self.shutdown_requested.stop();
    }

    /// Phase of the shutdown.
    pub(crate) fn shutdown_phase(&self) -> ShutdownPhase {
        self.shutdown.lock().phase(self.now(), self.open_requests())
    }

    /// Number of open requests, from callers and from peers.
    pub(crate) fn open_requests(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Counts a request as open, or rejects it if this VM accepts no new requests.
    pub(crate) fn open_request(self: &Arc<Self>) -> Result<OpenRequestGuard, RequestError> {
        let guard = OpenRequestGuard {
            core: Arc::clone(self),
        };
        self.open.fetch_add(1, Ordering::SeqCst);
        if self.shutdown_phase() >= ShutdownPhase::Refusing {
            let error = RequestError::not_run(RefusalReason::Stopping, "this VM is shutting down");
            return Err(error.with_retry_after(Duration::from_secs(1)));
        }
        Ok(guard)
    }

    /// Incarnation of this VM.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.members.lock().own().incarnation
    }
}

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequestGuard {
    core: Arc<EntryCore>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.core.open.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(crate) fn not_ready() -> RequestError {
    let detail = "this VM has no bundle in force yet";
    RequestError::not_run(RefusalReason::NotReady, detail).with_retry_after(Duration::from_secs(1))
}
