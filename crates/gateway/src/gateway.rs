//! State that the tasks of one process share.
//!
//! Each part has a cell of its own. A part is borrowed for one decision and
//! never across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use onyxfall_adapter::OPERATOR_PREFIX;
use onyxfall_clock::{BootInstant, SuspensionWatch};
use onyxfall_fleet::{
    DecisionSwitch, FleetView, QuotaTable, RemoteTable, ResponseLengths, RetryShare, RoundTrips,
    RouteTable, StoreMirror,
};
use onyxfall_overlay::{KnownVm, OverlayNode, RecordVersion, RosterTiming, VmRecord, VmStatus};
use onyxfall_policy::Moment;
use onyxfall_rollout::RolloutTable;
use onyxfall_types::{Incarnation, ServerId, ServiceName, VmName};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;

use crate::connection::DialPlan;
use crate::copies::{CachedParts, IncomingCopy};
use crate::metrics::GatewayMetrics;
use crate::pool::ConnectionPool;
use crate::relays::RelayTable;
use crate::settings::GatewaySettings;
use crate::share::StoreShare;
use crate::store::StoreLink;
use crate::suspects::SharedBoard;
use crate::work_queries::WorkQueries;

/// Look at what has changed by time alone: silence is noticed this much later.
const TICK: Duration = Duration::from_millis(100);
/// Silence after which another VM is not taken for alive: three signs of life.
const SILENT_AFTER: Duration = Duration::from_millis(1300);
/// Age up to which an aggregator's word on the fleet counts: both aggregators of a VM
/// are missed after the silence above, and the next ones need a second to be complete.
const FLEET_WORD_LIFE: Duration = Duration::from_secs(4);
/// Silence after which another VM is forgotten. Until then it counts where limits are
/// shared, and is looked for.
const FORGET_AFTER: Duration = Duration::from_mins(2);

/// Age up to which a VM may not have heard of every other one. Greetings take three
/// round trips, and lists of members spread within one more.
const ALONE_FOR: Duration = Duration::from_millis(1500);

/// Names of VMs in one line of the log.
const LOGGED_NAMES: usize = 6;

/// Shared state of a gateway.
pub(crate) struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    vm: VmName,
    pub(crate) started: BootInstant,
    pub(crate) table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) fleet: RefCell<FleetView>,
    pub(crate) mirror: RefCell<StoreMirror>,
    /// This VM's end of the overlay: other VMs, and the work that they tell of.
    pub(crate) overlay: RefCell<OverlayNode>,
    /// When this VM last looked at its own work to tell it.
    pub(crate) own_work_at: Cell<Option<Moment>>,
    /// Unknown headers by which servers describe themselves, as far as they were logged.
    pub(crate) unknown_signal_headers: RefCell<BTreeSet<String>>,
    pub(crate) relays: RefCell<RelayTable>,
    pub(crate) remote_table: RefCell<RemoteTable>,
    /// Round trips to other regions.
    pub(crate) trips: RefCell<RoundTrips>,
    /// Lengths of the answers of each route.
    pub(crate) lengths: RefCell<ResponseLengths>,
    retries: RefCell<BTreeMap<ServiceName, RetryShare>>,
    /// What teams use of their limits.
    pub(crate) quotas: RefCell<QuotaTable>,
    /// Versions that the operator moves services to.
    pub(crate) rollouts: RefCell<RolloutTable>,
    /// Notified when the first roll-out is heard of.
    pub(crate) rollout_known: Notify,
    /// Steps of roll-outs as they were last logged.
    pub(crate) logged_phases: RefCell<BTreeMap<ServiceName, &'static str>>,
    /// Requests that crash servers.
    pub(crate) suspects: SharedBoard,
    pub(crate) pool: ConnectionPool,
    pub(crate) store: RefCell<StoreLink>,
    pub(crate) share: RefCell<StoreShare>,
    /// The order in which VMs watch the store, and the roster's changes that it is of.
    pub(crate) watch_order: RefCell<Option<(u64, Rc<[VmName]>)>>,
    /// This VM's copy of the store, cut into parts for others.
    pub(crate) cached_parts: RefCell<CachedParts>,
    /// A copy of the store that another VM is giving to this one.
    pub(crate) incoming_copy: RefCell<Option<IncomingCopy>>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) stop_asked: Cell<Option<BootInstant>>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_streams: Cell<usize>,
    /// Sends an update on every link that this VM has dialled at once.
    /// Notified after a suspension.
    pub(crate) woken: Notify,
    pub(crate) suspension: Cell<SuspensionWatch>,
    pub(crate) send_updates_now: Notify,
    pub(crate) queries: WorkQueries,
    /// Wakes what waits for a server that is taken for silent.
    pub(crate) silence: Notify,
    /// Servers that were taken for silent when they were last looked at.
    pub(crate) unresponsive_servers: RefCell<BTreeSet<ServerId>>,
    /// Sends changes of the store to the VMs that report to this one.
    pub(crate) send_deltas_now: Notify,
    pub(crate) rng: RefCell<StdRng>,
    next_attempt: Cell<u64>,
}

/// The time of day at the start of the process. Later jumps of that clock change nothing.
fn unix_start() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// A number that is larger in a later life of a VM; should the clock have gone
/// back, peers tell of the former life and a larger one is taken.
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
            unresponsive_after: SILENT_AFTER,
            fleet_update_lifetime: FLEET_WORD_LIFE,
            forget_after: FORGET_AFTER,
        };
        let overlay = OverlayNode::new(own, timing, settings.seeds.clone());
        let mut fleet = FleetView::new(place.clone());
        fleet.set_unix_start(unix_start);
        fleet.set_switches(settings.switches.clone());
        fleet.set_reprefill_penalty(settings.costs.reprefill_penalty);
        let mut quotas = QuotaTable::default();
        quotas.set_settings(settings.quotas);
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
            quotas: RefCell::new(quotas),
            rollouts: RefCell::new(RolloutTable::new(place.region, unix_start)),
            rollout_known: Notify::new(),
            logged_phases: RefCell::default(),
            suspects: SharedBoard::default(),
            pool: ConnectionPool::default(),
            store: RefCell::default(),
            share: RefCell::default(),
            watch_order: RefCell::default(),
            cached_parts: RefCell::default(),
            incoming_copy: RefCell::default(),
            metrics: GatewayMetrics::default(),
            stop_asked: Cell::new(None),
            open_requests: Cell::new(0),
            open_streams: Cell::new(0),
            woken: Notify::new(),
            suspension: Cell::new(SuspensionWatch::start()),
            send_updates_now: Notify::new(),
            queries: WorkQueries::default(),
            silence: Notify::new(),
            unresponsive_servers: RefCell::default(),
            send_deltas_now: Notify::new(),
            rng: RefCell::new(StdRng::from_os_rng()),
            next_attempt: Cell::new(1),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Name of this VM.
    pub(crate) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Brings new settings into force.
    pub(crate) fn set_settings(&self, settings: GatewaySettings) {
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_switches(settings.switches.clone());
        fleet.set_reprefill_penalty(settings.costs.reprefill_penalty);
        self.quotas.borrow_mut().set_settings(settings.quotas);
        self.overlay.borrow_mut().set_seeds(settings.seeds.clone());
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Whether a mechanism of the decisions is on.
    pub(crate) fn is_on(&self, switch: DecisionSwitch) -> bool {
        self.settings.borrow().switches.is_on(switch)
    }

    /// How a connection is dialled that must be up within `limit`.
    pub(crate) fn dial_plan(&self, limit: Duration) -> DialPlan {
        let source = self.settings.borrow().source;
        DialPlan { limit, source }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Moment {
        Moment::from_duration(self.started.elapsed())
    }

    /// The configuration in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stop_asked.get().is_some()
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && !self.is_leaving()
    }

    /// Streams under way.
    pub(crate) fn open_streams(&self) -> usize {
        self.open_streams.get()
    }

    /// A number for a new attempt.
    pub(crate) fn next_attempt(&self) -> u64 {
        let id = self.next_attempt.get();
        self.next_attempt.set(id + 1);
        id
    }

    /// Notes that a request for a service came from a caller.
    pub(crate) fn note_first(&self, service: &ServiceName) {
        let now = self.now();
        let mut retries = self.retries.borrow_mut();
        retries.entry(service.clone()).or_default().note_first(now);
    }

    /// Number of VMs, those lost lately included; none while this VM is too young to
    /// have heard of all.
    fn known_vms(&self) -> Option<usize> {
        let others = self.overlay.borrow().roster().others().count();
        (self.started.elapsed() >= ALONE_FOR).then_some(others + 1)
    }

    /// Takes one retry from the budget of a service.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let vms = self.known_vms();
        let limits = self.settings().retries;
        let mut retries = self.retries.borrow_mut();
        let share = retries.entry(service.clone()).or_default();
        share.try_repeat(now, &limits, vms)
    }

    /// Whether any other VM is known to live.
    pub(crate) fn has_live_peers(&self) -> bool {
        let overlay = self.overlay.borrow();
        overlay.roster().others().any(KnownVm::is_alive)
    }

    /// Lets time count: silent VMs, missing items, idle connections.
    fn tick(&self) {
        self.check_suspension(BootInstant::now());
        let now = self.now();
        self.overlay.borrow_mut().tick(now);
        self.apply_work(now);
        self.refresh_unresponsive(now);
        self.tell_changes();
        self.refresh_status();
        self.refresh_quota_peers(now);
        self.refresh_suspects(now);
        self.refresh_rollouts(now);
        let (base, expired) = {
            let mut mirror = self.mirror.borrow_mut();
            (mirror.revision(), mirror.expire(now))
        };
        self.pass_on(base, &expired);
        self.apply_changes(expired);
        self.pool.sweep();
        let mut overlay = self.overlay.borrow_mut();
        let age = overlay.plan(now).knowledge_age();
        let roster = overlay.roster();
        let near = roster.others().filter(|vm| roster.is_near(&vm.record));
        let vms: Vec<VmName> = near.map(|vm| vm.record.name.clone()).collect();
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_alone(vms.is_empty() && self.started.elapsed() >= ALONE_FOR);
        fleet.set_region_vms(vms);
        fleet.resize_pools();
        fleet.set_knowledge_age(age);
    }

    /// Logs which VMs have come to life or fallen silent.
    fn tell_changes(&self) {
        let mut overlay = self.overlay.borrow_mut();
        let mut news = overlay.roster_mut().take_changes();
        news.sort_unstable();
        news.dedup();
        if news.is_empty() {
            return;
        }
        let roster = overlay.roster();
        let is_alive = |vm: &&VmName| roster.get(vm).is_some_and(KnownVm::is_alive);
        let (alive, silent): (Vec<&VmName>, Vec<&VmName>) = news.iter().partition(is_alive);
        log::info!(
            known = roster.others().count(),
            alive = alive.len(),
            silent = silent.len(),
            first_alive:% = first_names(&alive),
            first_silent:% = first_names(&silent);
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

/// Starts the task that lets time count.
pub(crate) fn start_ticker(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(TICK).await;
            gateway.tick();
        }
    });
}
