//! State shared by the tasks of a gateway process.
//!
//! Each part of the state has its own cell. A task borrows a part for one decision and
//! never holds the borrow across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxfall_adapter::OPERATOR_PREFIX;
use onyxfall_clock::{BootInstant, SuspensionWatch};
use onyxfall_fleet::{
    DecisionSwitch, FleetView, QuotaTable, RemoteTable, ResponseLengths, RetryPurpose, RetryShare,
    RoundTrips, RouteTable, SharerCount, StoreMirror,
};
use onyxfall_held::HeldAccount;
use onyxfall_overlay::{KnownVm, OverlayNode, RecordVersion, RosterTiming, VmRecord, VmStatus};
use onyxfall_policy::Moment;
use onyxfall_rollout::RolloutTable;
use onyxfall_types::{Incarnation, ServerId, ServiceName, VmName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;

use crate::call::CallContext;
use crate::connection::DialPlan;
use crate::copies::{CachedParts, IncomingCopy};
use crate::metrics::GatewayMetrics;
use crate::origins::StreamOrigins;
use crate::pool::ConnectionPool;
use crate::reach::{LostRun, region_peers};
use crate::relays::RelayTable;
use crate::settings::GatewaySettings;
use crate::share::StoreShare;
use crate::store::StoreLink;
use crate::suspects::SharedSuspects;
use crate::work_queries::WorkQueries;
use onyxfall_capacity::CapacityState;

/// Interval of the periodic check for changes that come with time alone. An unresponsive
/// VM or server is detected up to this much later.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a heartbeat after which another VM counts as down: three heartbeats.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1300);
/// Age up to which an aggregator's summary of the fleet counts. A VM takes
/// [`UNRESPONSIVE_AFTER`] to detect that both of its aggregators are down, and the next ones
/// need a second to complete their summaries.
const SUMMARY_LIFETIME: Duration = Duration::from_secs(4);
/// Time without a heartbeat after which another VM is dropped from the roster. Until then
/// it counts where limits are shared, and this VM tries to reconnect to it.
const DROP_AFTER: Duration = Duration::from_mins(2);

/// Age up to which a VM may not have discovered every other VM. Handshakes take three
/// round trips, and member lists spread within one more.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// Most VM names in one log line.
const LOGGED_NAMES: usize = 6;

/// Shared state of a gateway.
pub(crate) struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    vm: VmName,
    pub(crate) started: BootInstant,
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) fleet: RefCell<FleetView>,
    pub(crate) mirror: RefCell<StoreMirror>,
    /// This VM's node of the overlay: the other VMs and the work that they report.
    pub(crate) overlay: RefCell<OverlayNode>,
    /// When this VM last computed its own work for sending.
    pub(crate) own_work_at: Cell<Option<Moment>>,
    /// Unknown signal headers of servers that were already logged.
    pub(crate) unknown_signal_headers: RefCell<BTreeSet<String>>,
    pub(crate) relays: RefCell<RelayTable>,
    pub(crate) remote_table: RefCell<RemoteTable>,
    /// Round-trip times to other regions.
    pub(crate) trips: RefCell<RoundTrips>,
    /// Response lengths by route.
    pub(crate) lengths: RefCell<ResponseLengths>,
    retries: RefCell<BTreeMap<ServiceName, RetryShare>>,
    /// VMs that share the retry budgets.
    sharers: RefCell<SharerCount>,
    /// Usage of the team quotas.
    pub(crate) quotas: RefCell<QuotaTable>,
    /// Classes, load and plans of model services.
    pub(crate) capacity: RefCell<CapacityState>,
    /// Rollouts in progress.
    pub(crate) rollouts: RefCell<RolloutTable>,
    /// Notified when the first rollout becomes known.
    pub(crate) rollout_known: Notify,
    /// Rollout phases as last logged.
    pub(crate) logged_phases: RefCell<BTreeMap<ServiceName, &'static str>>,
    /// Requests suspected of crashing servers.
    pub(crate) suspects: SharedSuspects,
    pub(crate) pool: ConnectionPool,
    pub(crate) store: RefCell<StoreLink>,
    pub(crate) share: RefCell<StoreShare>,
    /// Order in which VMs watch the store, with the roster change count that it was computed
    /// from.
    pub(crate) watch_order: RefCell<Option<(u64, Rc<[VmName]>)>>,
    /// This VM's copy of the store, split into parts for other VMs.
    pub(crate) cached_parts: RefCell<CachedParts>,
    /// Copy of the store that is being received from another VM.
    pub(crate) incoming_copy: RefCell<Option<IncomingCopy>>,
    /// Bytes held for callers.
    pub(crate) held: HeldAccount,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) shutdown_requested: Cell<Option<BootInstant>>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_streams: Cell<usize>,
    /// Notified after a suspension of the VM.
    pub(crate) woken: Notify,
    pub(crate) suspension: Cell<SuspensionWatch>,
    /// Notified to send an update on every link that this VM has dialled.
    pub(crate) send_updates_now: Notify,
    pub(crate) queries: WorkQueries,
    /// Versions that began streams.
    pub(crate) origins: StreamOrigins,
    /// Notified when a server is suspected to have ended, or has ended.
    pub(crate) suspicion: Notify,
    /// Lost runs that may be those of a lost path, until a check of it has ended.
    pub(crate) lost_runs: RefCell<Vec<LostRun>>,
    /// Notified while a path to servers is not open.
    pub(crate) path_closed: Notify,
    /// Servers that were suspected at the last check.
    pub(crate) suspected_servers: RefCell<BTreeSet<ServerId>>,
    /// Notified to send store changes to the VMs that report to this one.
    pub(crate) send_deltas_now: Notify,
    pub(crate) rng: RefCell<StdRng>,
    next_attempt: Cell<u64>,
}

/// Wall-clock time at the start of the process. Later jumps of that clock have no effect.
fn unix_start() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Initial incarnation, which grows from one process of a VM to the next. If the clock was
/// set back in between, peers report the former incarnation and a larger one is chosen.
fn first_incarnation(start: Duration) -> Incarnation {
    Incarnation::new(u64::try_from(start.as_millis()).unwrap_or(u64::MAX))
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let place = settings.place.clone();
        let unix_start = unix_start();
        let own = VmRecord {
            name: place.vm.clone(),
            center: place.center.clone(),
            region: place.region.clone(),
            address: settings.callers,
            peer_address: settings.peers,
            capacity: settings.capacity,
            version: RecordVersion {
                incarnation: first_incarnation(unix_start),
                change: 0,
            },
            status: VmStatus::default(),
        };
        let timing = RosterTiming {
            unresponsive_after: UNRESPONSIVE_AFTER,
            fleet_update_lifetime: SUMMARY_LIFETIME,
            forget_after: DROP_AFTER,
        };
        let overlay = OverlayNode::new(own, timing, settings.seeds.clone());
        let mut fleet = FleetView::new(place.clone());
        fleet.set_unix_start(unix_start);
        fleet.set_switches(settings.switches.clone());
        fleet.set_reprefill_penalty(settings.costs.reprefill_penalty);
        let held = HeldAccount::new(HeldAccount::bound_for(settings.machine.memory));
        let mut quotas = QuotaTable::default();
        quotas.set_settings(settings.quotas);
        let sharers = SharerCount::new(place.centers.keys().cloned());
        let regions = place.centers.values().cloned();
        let capacity = CapacityState::new(regions, &place.region);
        Self {
            vm: place.vm,
            started: BootInstant::now(),
            table: RefCell::default(),
            fleet: RefCell::new(fleet),
            mirror: RefCell::new(StoreMirror::with_operator(OPERATOR_PREFIX)),
            overlay: RefCell::new(overlay),
            own_work_at: Cell::new(None),
            unknown_signal_headers: RefCell::default(),
            relays: RefCell::default(),
            remote_table: RefCell::default(),
            trips: RefCell::default(),
            lengths: RefCell::default(),
            retries: RefCell::default(),
            sharers: RefCell::new(sharers),
            quotas: RefCell::new(quotas),
            capacity: RefCell::new(capacity),
            rollouts: RefCell::new(RolloutTable::new(place.region, unix_start)),
            rollout_known: Notify::new(),
            logged_phases: RefCell::default(),
            suspects: SharedSuspects::default(),
            pool: ConnectionPool::default(),
            store: RefCell::default(),
            share: RefCell::default(),
            watch_order: RefCell::default(),
            cached_parts: RefCell::default(),
            incoming_copy: RefCell::default(),
            metrics: GatewayMetrics::new(held.clone()),
            held,
            shutdown_requested: Cell::new(None),
            open_requests: Cell::new(0),
            open_streams: Cell::new(0),
            woken: Notify::new(),
            suspension: Cell::new(SuspensionWatch::start()),
            send_updates_now: Notify::new(),
            queries: WorkQueries::default(),
            origins: StreamOrigins::default(),
            suspicion: Notify::new(),
            lost_runs: RefCell::default(),
            path_closed: Notify::new(),
            suspected_servers: RefCell::default(),
            send_deltas_now: Notify::new(),
            rng: RefCell::new(StdRng::from_os_rng()),
            next_attempt: Cell::new(1),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    pub(crate) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts new settings into force.
    pub(crate) fn set_settings(&self, settings: GatewaySettings) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_switches(settings.switches.clone());
        fleet.set_reprefill_penalty(settings.costs.reprefill_penalty);
        self.quotas.borrow_mut().set_settings(settings.quotas);
        self.held
            .set_bound(HeldAccount::bound_for(settings.machine.memory));
        self.overlay.borrow_mut().set_seeds(settings.seeds.clone());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Whether `switch` is on in the settings.
    pub(crate) fn is_on(&self, switch: DecisionSwitch) -> bool {
        self.settings.borrow().switches.is_on(switch)
    }

    /// Returns how to dial a connection that must be established within `limit`.
    pub(crate) fn dial_plan(&self, limit: Duration) -> DialPlan {
        let source = self.settings.borrow().source;
        DialPlan { limit, source }
    }

    /// Time since the process started.
    pub(crate) fn now(&self) -> Moment {
        Moment::from_duration(self.started.elapsed())
    }

    /// Converts an instant to the time since the process started.
    pub(crate) fn moment_of(&self, instant: BootInstant) -> Moment {
        self.now().before(instant.elapsed())
    }

    /// The configuration in force, if there is one.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether shutdown has begun.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown_requested.get().is_some()
    }

    /// Whether the VM accepts requests from callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && !self.is_shutting_down()
    }

    /// Number of open streams.
    pub(crate) fn open_streams(&self) -> usize {
        self.open_streams.get()
    }

    /// Returns an id for a new attempt.
    pub(crate) fn next_attempt(&self) -> u64 {
        let id = self.next_attempt.get();
        self.next_attempt.set(id + 1);
        id
    }

    /// Records a first request to `service` for its retry budget.
    pub(crate) fn record_first_request(&self, service: &ServiceName) {
        let now = self.now();
        let mut retries = self.retries.borrow_mut();
        retries
            .entry(service.clone())
            .or_default()
            .record_first(now);
    }

    /// Whether the retry budget of the service of `call` has a retry left.
    pub(crate) fn has_retry(&self, call: &CallContext, purpose: RetryPurpose) -> bool {
        let vms = self.sharers.borrow().known(self.now());
        let limits = self.settings().retries;
        let mut retries = self.retries.borrow_mut();
        let share = retries.entry(call.needs.service.clone()).or_default();
        share.usage(self.now(), &limits, vms).has_left(purpose)
    }

    /// Claims one retry of `call` from the retry budget of its service.
    pub(crate) fn take_retry(&self, call: &CallContext, purpose: RetryPurpose) -> bool {
        let now = self.now();
        let vms = self.sharers.borrow().known(now);
        let limits = self.settings().retries;
        let mut retries = self.retries.borrow_mut();
        let share = retries.entry(call.needs.service.clone()).or_default();
        let usage = share.usage(now, &limits, vms);
        let is_claimed = share.try_retry(now, &limits, vms, purpose);
        self.log_retry(call, purpose, usage, vms, is_claimed);
        is_claimed
    }

    /// Whether any other VM is alive.
    pub(crate) fn has_live_peers(&self) -> bool {
        let overlay = self.overlay.borrow();
        overlay.roster().others().any(KnownVm::is_alive)
    }

    /// Applies everything that depends on time alone: unresponsive VMs and servers, expired
    /// entries, idle connections.
    fn tick(&self) {
        self.check_suspension(BootInstant::now());
        let now = self.now();
        self.overlay.borrow_mut().tick(now);
        self.apply_work(now);
        self.refresh_reach(now);
        self.refresh_suspected(now);
        self.log_member_changes();
        self.log_copy_age();
        self.refresh_status();
        self.refresh_quota_peers(now);
        self.refresh_plans(now);
        self.refresh_suspects(now);
        self.refresh_rollouts(now);
        self.observe_versions(now);
        let (base, expired) = {
            let mut mirror = self.mirror.borrow_mut();
            (mirror.revision(), mirror.expire(now))
        };
        self.pass_on(base, &expired);
        self.apply_changes(expired);
        self.pool.close_expired();
        let mut overlay = self.overlay.borrow_mut();
        let age = overlay.plan(now).knowledge_age();
        let roster = overlay.roster();
        let others = roster.others().map(|vm| &vm.record.center);
        self.sharers
            .borrow_mut()
            .update(others.chain([&self.settings().place.center]));
        let mut fleet = self.fleet.borrow_mut();
        let peers = region_peers(roster, self.table.borrow().as_deref());
        fleet.update_region_peers(now, peers, DISCOVERY_TIME);
        fleet.resize_pools();
        fleet.set_knowledge_age(age);
    }

    /// Logs which VMs have become alive or unresponsive.
    fn log_member_changes(&self) {
        let mut overlay = self.overlay.borrow_mut();
        let mut changed = overlay.roster_mut().take_changes();
        changed.sort_unstable();
        changed.dedup();
        if changed.is_empty() {
            return;
        }
        let roster = overlay.roster();
        let is_alive = |vm: &&VmName| roster.get(vm).is_some_and(KnownVm::is_alive);
        let (alive, unresponsive): (Vec<&VmName>, Vec<&VmName>) =
            changed.iter().partition(is_alive);
        log::info!(
            known = roster.others().count(),
            alive = alive.len(),
            silent = unresponsive.len(),
            first_alive:% = first_names(&alive),
            first_silent:% = first_names(&unresponsive);
            "members changed"
        );
    }
}

fn first_names(names: &[&VmName]) -> String {
    let first: Vec<&str> = names
        .iter()
        .take(LOGGED_NAMES)
        .map(|vm| vm.as_str())
        .collect();
    first.join(" ")
}

/// Starts the task that runs [`Gateway::tick`] periodically.
pub(crate) fn start_ticker(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            gateway.tick();
        }
    });
}
