//! State that the tasks of one process share, and the decisions made on it.
//!
//! Each part has a cell of its own. A part is borrowed for one decision and
//! never across an await.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use onyxfall_adapter::{StoreKey, StoreNews, read_item, read_key};
use onyxfall_fleet::{
    AwayOption, AwaySearch, AwayTable, FleetView, LocalOption, MirrorChange, RetryShare,
    RouteTable, ServerChoice, StoreMirror, goes_away,
};
use onyxfall_policy::{MemberBeat, MemberTable, MemberTiming, Moment};
use onyxfall_types::{Incarnation, RefusalReason, RequestError, ServiceName, VmName, name_tag};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;

use crate::attempt::ServerTarget;
use crate::call::{CallContext, SharedCall};
use crate::metrics::GatewayMetrics;
use crate::pool::ConnectionPool;
use crate::relay::PeerTarget;
use crate::serve::CallProgress;
use crate::settings::GatewaySettings;
use crate::store::StoreLink;

/// Look at what has changed by time alone.
const TICK: Duration = Duration::from_millis(250);
/// Pause between two looks for a server while none is usable.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
/// Part of the goal for which a request waits for a usable server; a refusal
/// later than a quarter of the goal counts as late.
const PATIENCE_PART: f64 = 0.22;
/// Age up to which a VM may not have heard of the other regions yet, and the
/// part of the goal for which requests wait there: what waits is then served.
const YOUNG: Duration = Duration::from_millis(1500);
const YOUNG_PATIENCE_PART: f64 = 0.6;
/// Part of the goal up to which an expected first byte is worth its work. A late
/// answer earns a third and makes others late; a refusal at once lets the caller
/// come back. Chosen by trials on the bench: 0.4 to 1.6.
const OVERLOAD_PART: f64 = 0.7;
/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(900));
/// Silence after which another VM is suspected: a few heartbeats.
const SUSPECT_AFTER: Duration = Duration::from_millis(1300);
const GONE_AFTER: Duration = Duration::from_secs(6);
const FORGET_AFTER: Duration = Duration::from_mins(2);

/// Where a request goes next.
pub(crate) enum RouteStep {
    /// To a server of this region.
    Server(ServerTarget),
    /// To a VM of another region.
    Peer(PeerTarget),
    /// Nowhere yet; look again after a pause.
    Later(Duration),
    /// Nowhere.
    Refuse(RequestError),
}

/// Shared state of a gateway.
pub(crate) struct Gateway {
    settings: RefCell<Rc<GatewaySettings>>,
    vm: VmName,
    started: Instant,
    table: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) fleet: RefCell<FleetView>,
    pub(crate) mirror: RefCell<StoreMirror>,
    pub(crate) members: RefCell<MemberTable>,
    /// Members that have said that callers may be sent to them.
    pub(crate) ready_vms: RefCell<BTreeMap<VmName, bool>>,
    pub(crate) away: RefCell<AwayTable>,
    retries: RefCell<BTreeMap<ServiceName, RetryShare>>,
    pub(crate) pool: ConnectionPool,
    pub(crate) store: RefCell<StoreLink>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) stop_asked: Cell<Option<Instant>>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_streams: Cell<usize>,
    /// Sends a heartbeat on every link at once.
    pub(crate) beat_now: Notify,
    /// VMs whose copy of the store should be asked for.
    snapshot_wishes: RefCell<BTreeSet<VmName>>,
    rng: RefCell<StdRng>,
    next_attempt: Cell<u64>,
}

/// A number that is larger in a later life of a VM; should the clock have gone
/// back, peers tell of the former life and a larger one is taken.
fn first_incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings) -> Self {
        let place = settings.place.clone();
        let own = MemberBeat {
            name: place.vm.clone(),
            center: place.center.clone(),
            region: place.region.clone(),
            incarnation: first_incarnation(),
            leaving: false,
            address: settings.callers,
            peer_address: settings.peers,
        };
        let timing = MemberTiming {
            suspect_after: SUSPECT_AFTER,
            gone_after: GONE_AFTER,
            forget_after: FORGET_AFTER,
        };
        Self {
            vm: place.vm.clone(),
            started: Instant::now(),
            table: RefCell::default(),
            fleet: RefCell::new(FleetView::new(place)),
            mirror: RefCell::default(),
            members: RefCell::new(MemberTable::new(own, timing)),
            ready_vms: RefCell::default(),
            away: RefCell::default(),
            retries: RefCell::default(),
            pool: ConnectionPool::default(),
            store: RefCell::default(),
            metrics: GatewayMetrics::default(),
            stop_asked: Cell::new(None),
            open_requests: Cell::new(0),
            open_streams: Cell::new(0),
            beat_now: Notify::new(),
            snapshot_wishes: RefCell::default(),
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
        *self.settings.borrow_mut() = Rc::new(settings);
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

    /// Notes whether a VM's copy of the store should be asked for.
    pub(crate) fn note_snapshot_wish(&self, vm: &VmName, wants: bool) {
        let mut wishes = self.snapshot_wishes.borrow_mut();
        if wants {
            wishes.insert(vm.clone());
        } else {
            wishes.remove(vm);
        }
    }

    /// Whether a VM's copy of the store should be asked for.
    pub(crate) fn wants_snapshot_of(&self, vm: &VmName) -> bool {
        self.snapshot_wishes.borrow().contains(vm)
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

    /// Takes one retry from the budget of a service.
    pub(crate) fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let vms = self.members.borrow().others().count() + 1;
        let limits = self.settings().retries;
        let mut retries = self.retries.borrow_mut();
        let share = retries.entry(service.clone()).or_default();
        share.try_repeat(now, &limits, vms)
    }

    /// Decides where a request goes next.
    pub(crate) fn decide(&self, call: &SharedCall, progress: &CallProgress) -> RouteStep {
        let now = self.now();
        let local = self.fleet.borrow_mut().choose(
            now,
            &call.needs,
            &progress.servers,
            &mut *self.rng.borrow_mut(),
        );
        let away = self
            .best_away(now, call, progress)
            .filter(|away| !is_too_late(call, away.predicted));
        match (local, away) {
            (LocalOption::Free(choice), away) => self.weigh(now, call, choice, away),
            (_, Some(away)) => self.send_away(call, away),
            (LocalOption::Full, None) => {
                RouteStep::Refuse(overloaded("every server is full", call.needs.goal / 2))
            }
            (LocalOption::Resting | LocalOption::None, None) => self.wait_or_refuse(call),
        }
    }

    /// Decides between a server of this region and another region.
    fn weigh(
        &self,
        now: Moment,
        call: &SharedCall,
        choice: ServerChoice,
        away: Option<AwayOption>,
    ) -> RouteStep {
        let fleet = self.fleet.borrow();
        let server = fleet.server(choice.server);
        if let Some(away) = away {
            let unread = server.unread_shared(now, &call.needs.prompt);
            let (goal, local) = (call.needs.goal, choice.predicted);
            if goes_away(goal, local, unread, away.predicted, away.holds_prefix) {
                log::info!(
                    request = call.request_id.as_str(),
                    target = away.vm.as_str(),
                    goal_ms = millis(goal),
                    local_ms = millis(local),
                    away_ms = millis(away.predicted),
                    unread_shared = unread,
                    holds_prefix = away.holds_prefix;
                    "sent away"
                );
                return self.send_away(call, away);
            }
        }
        if is_too_late(call, choice.predicted) {
            let after = choice.predicted.saturating_sub(call.needs.goal / 2);
            let detail = format!(
                "no server can answer in time: the best one after {} ms, the goal is {} ms",
                millis(choice.predicted),
                millis(call.needs.goal),
            );
            return RouteStep::Refuse(overloaded(&detail, after));
        }
        RouteStep::Server(ServerTarget {
            id: choice.server,
            name: server.record.name.to_string(),
            address: server.record.address,
            predicted: choice.predicted,
        })
    }

    /// Waits for a server while the caller's patience lasts.
    fn wait_or_refuse(&self, call: &CallContext) -> RouteStep {
        let part = if self.started.elapsed() < YOUNG {
            YOUNG_PATIENCE_PART
        } else {
            PATIENCE_PART
        };
        let patience = call.needs.goal.mul_f64(part);
        if call.age() + LOOK_AGAIN < patience {
            return RouteStep::Later(LOOK_AGAIN);
        }
        RouteStep::Refuse(overloaded("no server is usable", call.needs.goal / 2))
    }

    fn send_away(&self, call: &CallContext, away: AwayOption) -> RouteStep {
        let tag = name_tag(call.needs.service.as_str());
        self.away.borrow_mut().note_sent(&away, tag);
        let port = self.settings().relay.port();
        let members = self.members.borrow();
        let Some(member) = members.get(&away.vm) else {
            let detail = "the VM of the other region is gone";
            return RouteStep::Refuse(overloaded(detail, Duration::ZERO));
        };
        let address = SocketAddr::new(member.beat.peer_address.ip(), port);
        RouteStep::Peer(PeerTarget {
            vm: away.vm,
            address,
            predicted: away.predicted,
        })
    }

    fn best_away(
        &self,
        now: Moment,
        call: &CallContext,
        progress: &CallProgress,
    ) -> Option<AwayOption> {
        if !call.may_leave() {
            return None;
        }
        let fleet = self.fleet.borrow();
        let search = AwaySearch {
            needs: &call.needs,
            service_tag: name_tag(call.needs.service.as_str()),
            own_region: &fleet.place().region,
            prefix_home: fleet.prefix_home(&call.needs),
            excluded: &progress.vms,
        };
        self.away.borrow().best(now, &search)
    }

    /// Notes that another life of a server has its address.
    pub(crate) fn note_replaced(&self, server: &str) {
        log::info!(server; "another server has the address");
        self.fleet.borrow_mut().remove_server(server);
    }

    /// Takes changes of the copy of the store.
    pub(crate) fn apply_changes(&self, changes: Vec<MirrorChange>) {
        for change in changes {
            match change {
                MirrorChange::Set(key, value) => match read_item(&key, &value) {
                    Ok(news) => self.take_news(news),
                    Err(e) => log::error!(key = key.as_str(), error:% = e; "item not understood"),
                },
                MirrorChange::Removed(key) => self.take_removal(&key),
            }
        }
    }

    fn take_news(&self, news: StoreNews) {
        let now = self.now();
        let table = self.table();
        match news {
            StoreNews::Config(next) => self.take_table(*next),
            StoreNews::Server(record) => {
                log::info!(
                    server = record.name.as_str(),
                    service = record.service.as_str(),
                    phase:? = record.phase,
                    cold_ms = millis(record.cold_left);
                    "server seen"
                );
                let mut fleet = self.fleet.borrow_mut();
                fleet.put_server(now, record, table.as_deref());
            }
            StoreNews::Evacuation(center) => {
                log::info!(center = center.as_str(); "data centre is evacuated");
                self.fleet.borrow_mut().evacuate(center);
            }
            StoreNews::Other => {}
        }
    }

    /// Brings a configuration into force unless a newer one is.
    fn take_table(&self, next: RouteTable) {
        let held = self.table().map(|table| table.version());
        if held.is_some_and(|held| held >= next.version()) {
            log::warn!(version:% = next.version(); "older configuration ignored");
            return;
        }
        log::info!(version:% = next.version(), routes = next.len(); "configuration in force");
        *self.table.borrow_mut() = Some(Rc::new(next));
    }

    fn take_removal(&self, key: &str) {
        match read_key(key) {
            StoreKey::Server(name) => {
                log::info!(server = name.as_str(); "server gone");
                self.fleet.borrow_mut().remove_server(name.as_str());
            }
            StoreKey::Evacuation(center) => {
                log::info!(center = center.as_str(); "data centre is taken back");
                let (now, table) = (self.now(), self.table());
                let mut fleet = self.fleet.borrow_mut();
                fleet.take_back(now, &center, table.as_deref());
            }
            // A configuration is never withdrawn; the last one stays in force.
            StoreKey::Config | StoreKey::Other => {}
        }
    }

    /// Lets time count: silent members, missing items, idle connections.
    fn tick(&self) {
        let now = self.now();
        let changed = self.members.borrow_mut().tick(now);
        for vm in changed {
            let state = self.members.borrow().get(&vm).map(|member| member.state);
            log::info!(member = vm.as_str(), state:? = state; "member changed");
            self.away.borrow_mut().forget(&vm);
            self.forget_work(&vm);
        }
        let expired = self.mirror.borrow_mut().expire(now);
        self.apply_changes(expired);
        self.pool.sweep();
        let members = self.members.borrow();
        let region = &self.settings().place.region;
        let vms = members
            .others()
            .filter(|member| member.beat.region == *region)
            .map(|member| member.beat.name.clone())
            .collect();
        self.fleet.borrow_mut().set_region_vms(vms);
    }

    /// Forgets the work of a VM that is gone.
    fn forget_work(&self, vm: &VmName) {
        let mut fleet = self.fleet.borrow_mut();
        let ids: Vec<_> = fleet.live().map(|(id, _)| id).collect();
        for id in ids {
            let none = onyxfall_fleet::WorkShare::default();
            fleet.server_mut(id).set_others(vm, none);
        }
    }

    /// Logs and counts the end of a request that a server answered.
    pub(crate) fn tell_end(&self, call: &CallContext, progress: &CallProgress, outcome: &str) {
        let age = call.age();
        self.metrics.note_end(&call.route, outcome, age);
        log::info!(
            request = call.request_id.as_str(),
            route = call.route.as_str(),
            version:% = call.version,
            target = progress.last_target.as_str(),
            arrivals = progress.arrivals,
            resumes = progress.resumes,
            predicted_ms = millis(progress.predicted),
            first_ms = millis(progress.first_byte),
            age_ms = millis(age),
            outcome;
            "request ended"
        );
    }

    /// Logs and counts a request that got no server's answer.
    pub(crate) fn tell_refusal(
        &self,
        call: &CallContext,
        progress: &CallProgress,
        error: &RequestError,
    ) {
        let age = call.age();
        self.metrics
            .note_end(&call.route, error.reason.as_str(), age);
        log::warn!(
            request = call.request_id.as_str(),
            route = call.route.as_str(),
            version:% = call.version,
            target = progress.last_target.as_str(),
            arrivals = progress.arrivals,
            cause = progress.last_cause,
            age_ms = millis(age),
            verdict = error.verdict.as_str(),
            reason = error.reason.as_str(),
            detail = error.detail.as_str();
            "request refused"
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn is_too_late(call: &CallContext, predicted: Duration) -> bool {
    let bound = call.needs.goal.mul_f64(OVERLOAD_PART);
    predicted > bound.min(call.time_left())
}

fn overloaded(detail: &str, after: Duration) -> RequestError {
    let after = after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    RequestError::not_run(RefusalReason::Overloaded, detail).with_retry_after(after)
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
