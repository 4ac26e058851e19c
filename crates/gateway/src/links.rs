//! Links between VMs: frames over TCP.
//!
//! The overlay plans which links this VM dials. On each link, the dialling VM sends updates at
//! an interval that depends on the link's relation, and the other end replies to those that
//! need a reply. Store changes and copies of the store go both ways.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use onyxfall_clock::BootInstant;
use onyxfall_fleet::DecisionSwitch;
use onyxfall_intake::OpenConnection;
use onyxfall_overlay::{LinkRelation, PlannedLink, VmRecord};
use onyxfall_types::VmName;
use onyxfall_wire::{
    FrameError, MAX_FRAME, PROTOCOL_VERSION, PeerCodec, PeerFrame, PeerHello, PeerPayload,
    SnapshotRequest, VmUpdate,
};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::connection::{LATE_DIAL_LIMIT, dial};
use crate::copies::OutgoingCopy;
use crate::frames::{vm_entry, vm_record};
use crate::gateway::Gateway;
use crate::share::DeltaAudience;
use crate::updates::{UpdateReceiveState, UpdateSendState};

type FramedLink = Framed<TcpStream, PeerCodec>;

/// Lower bound of a dial timeout, even for a VM nearby: its process may not be scheduled for a
/// tenth of a second.
const MIN_DIAL_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before a link is dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(500);
/// Delay before a link is dialled again during startup. VMs that lost power together come back
/// within a few tenths of a second, and no request can be forwarded until a link is up.
const STARTUP_REDIAL_DELAY: Duration = Duration::from_millis(20);
/// Interval at which planned links that are not open are looked for.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which planned links that are not open are looked for during startup.
const STARTUP_PLAN_INTERVAL: Duration = Duration::from_millis(10);
/// Time since the start of this VM that counts as startup here.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);
/// Timeout for writing one frame. The link to a peer that does not read is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time between a connection and its hello, and the longest hello.
const HELLO_LIMIT: Duration = Duration::from_secs(3);
const MAX_HELLO: usize = 16 * 1024;

/// Starts the task that dials the planned links, and goes on as the plan changes.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let dialled: Rc<RefCell<BTreeSet<SocketAddr>>> = Rc::default();
        loop {
            for link in gateway.planned_links() {
                let address = link.address;
                if dialled.borrow_mut().insert(address) {
                    let gateway = Rc::clone(&gateway);
                    let dialled = Rc::clone(&dialled);
                    tokio::task::spawn_local(async move {
                        maintain_link(&gateway, address).await;
                        dialled.borrow_mut().remove(&address);
                    });
                }
            }
            let is_starting = gateway.started.elapsed() < STARTUP_PERIOD;
            tokio::time::sleep(if is_starting {
                STARTUP_PLAN_INTERVAL
            } else {
                PLAN_INTERVAL
            })
            .await;
        }
    });
}

impl Gateway {
    /// Whether this VM reports to an aggregator, which sends it the updates of other VMs.
    pub(crate) fn is_member(&self) -> bool {
        let now = self.now();
        self.overlay.borrow_mut().plan(now).primary().is_some()
    }

    fn planned_links(&self) -> Vec<PlannedLink> {
        let now = self.now();
        self.overlay.borrow_mut().plan(now).links.clone()
    }

    fn planned_link(&self, address: SocketAddr) -> Option<PlannedLink> {
        let now = self.now();
        self.overlay.borrow_mut().plan(now).at(address).cloned()
    }

    /// Time between two updates on a link, depending on what has changed.
    fn send_interval(&self, relation: LinkRelation, sent: &UpdateSendState) -> Duration {
        let now = self.now();
        if relation == LinkRelation::Report {
            self.refresh_own_work(now);
        }
        let mut overlay = self.overlay.borrow_mut();
        let has_changes = overlay.has_changes(relation, sent.link());
        let is_dense = has_changes && self.is_on(DecisionSwitch::NearHeartbeats);
        overlay.plan(now).interval(relation, is_dense)
    }
}

/// Notifies every VM at once of a change of this VM's status; used at shutdown.
pub(crate) fn notify_all(gateway: &Rc<Gateway>) {
    gateway.refresh_status();
    gateway.send_updates_now.notify_waiters();
}

/// Keeps a link open as long as it is planned.
async fn maintain_link(gateway: &Rc<Gateway>, address: SocketAddr) {
    let mut failures = 0;
    while let Some(planned) = gateway.planned_link(address) {
        let dialled = BootInstant::now();
        let timeout = dial_timeout(gateway, &planned, failures);
        match dial(address, gateway.dial_plan(timeout)).await {
            Ok(stream) => {
                failures = 0;
                let ended = LinkEnd::new(gateway, stream)
                    .run_dialled(address, dialled.elapsed())
                    .await;
                if let Err(e) = ended {
                    log::info!(address:% = address, error:% = e; "link lost");
                }
            }
            Err(e) => {
                failures += 1;
                log::debug!("cannot dial {address}: {e}");
            }
        }
        let is_starting = gateway.started.elapsed() < STARTUP_PERIOD;
        tokio::time::sleep(if is_starting {
            STARTUP_REDIAL_DELAY
        } else {
            REDIAL_DELAY
        })
        .await;
    }
}

/// Timeout for dialling a link after `failures` failed attempts in a row.
fn dial_timeout(gateway: &Gateway, planned: &PlannedLink, failures: u32) -> Duration {
    if !gateway.is_on(DecisionSwitch::EarlyDial) {
        return LATE_DIAL_LIMIT;
    }
    let overlay = gateway.overlay.borrow();
    let known = planned.vm.as_ref().and_then(|vm| overlay.roster().get(vm));
    let region = known.map(|vm| &vm.record.region);
    let timeout = gateway.trips.borrow().dial_limit(region, failures);
    timeout.max(MIN_DIAL_TIMEOUT)
}

/// Serves a link that another VM has dialled.
pub(crate) fn serve_link(
    gateway: Rc<Gateway>,
    stream: TcpStream,
    from: SocketAddr,
    open: OpenConnection,
) {
    tokio::task::spawn_local(async move {
        let link = LinkEnd::new(&gateway, stream).run_accepted(&open);
        let ended = tokio::select! {
            _ = open.wait_eviction() => return,
            ended = link => ended,
        };
        if let Err(e) = ended {
            log::debug!("link from {from} ended: {e}");
        }
    });
}

/// One end of a link.
struct LinkEnd<'a> {
    gateway: &'a Rc<Gateway>,
    link: FramedLink,
    /// The VM at the other end, known after its hello.
    peer: Option<VmRecord>,
    sent: UpdateSendState,
    /// Relation of the last update from the other end.
    last_relation: Option<LinkRelation>,
    next_delta: u64,
    /// Whether a routing decision waits for the reply to the next update.
    is_query_due: bool,
    /// The copy of the store that the other end has requested.
    outgoing: OutgoingCopy,
}

impl<'a> LinkEnd<'a> {
    fn new(gateway: &'a Rc<Gateway>, stream: TcpStream) -> Self {
        Self {
            gateway,
            link: Framed::new(stream, PeerCodec::default()),
            peer: None,
            sent: UpdateSendState::default(),
            last_relation: None,
            next_delta: gateway.share.borrow().next_number(),
            is_query_due: false,
            outgoing: OutgoingCopy::default(),
        }
    }

    /// Sends updates on a dialled link for as long as it is planned. `dial_time` is how long
    /// dialling took.
    async fn run_dialled(
        mut self,
        address: SocketAddr,
        dial_time: Duration,
    ) -> Result<(), FrameError> {
        self.send(hello_of(self.gateway)).await?;
        while let Some(planned) = self.gateway.planned_link(address) {
            if matches!(
                planned.relation,
                LinkRelation::Partial | LinkRelation::Report
            ) {
                self.send_deltas(DeltaAudience::Everyone).await?;
            } else {
                self.next_delta = self.gateway.share.borrow().next_number();
            }
            let is_report = planned.relation == LinkRelation::Report;
            let is_query = std::mem::take(&mut self.is_query_due);
            self.send_update(planned.relation, is_query).await?;
            let sent_at = tokio::time::Instant::now();
            loop {
                let until = sent_at + self.gateway.send_interval(planned.relation, &self.sent);
                let was_known = self.peer.is_some();
                let has_part = self.outgoing.has_next();
                let frame = tokio::select! {
                    () = tokio::task::yield_now(), if has_part => {
                        self.send_part().await?;
                        continue;
                    }
                    () = tokio::time::sleep_until(until) => break,
                    () = self.gateway.send_updates_now.notified() => break,
                    () = self.gateway.queries.query_now.notified(), if is_report => {
                        self.is_query_due = true;
                        break;
                    }
                    () = self.gateway.queries.own_changed.notified(), if is_report => {
                        self.gateway.own_work_at.set(None);
                        continue;
                    }
                    frame = self.link.next() => frame,
                };
                self.receive(frame.ok_or(FrameError::Closed)??).await?;
                if let (false, Some(peer)) = (was_known, &self.peer) {
                    let mut trips = self.gateway.trips.borrow_mut();
                    trips.note(&peer.region, dial_time);
                }
            }
        }
        Ok(())
    }

    /// Replies to the VM that dialled the link.
    async fn run_accepted(mut self, open: &OpenConnection) -> Result<(), FrameError> {
        self.link.codec_mut().limit_frames(MAX_HELLO);
        let hello = tokio::time::timeout(HELLO_LIMIT, self.link.next()).await;
        let Ok(Some(frame)) = hello else {
            return Ok(());
        };
        self.receive(frame?).await?;
        self.send(hello_of(self.gateway)).await?;
        self.link.codec_mut().limit_frames(MAX_FRAME);
        open.keep();
        // When this VM last sent its digest, if the other VM is a member of it.
        let mut digest_sent_at: Option<tokio::time::Instant> = None;
        loop {
            let has_part = self.outgoing.has_next();
            let is_member = digest_sent_at.is_some();
            let due = digest_sent_at
                .map(|at| at + self.gateway.send_interval(LinkRelation::Digest, &self.sent));
            let frame = tokio::select! {
                frame = self.link.next() => frame,
                () = tokio::task::yield_now(), if has_part => {
                    self.send_part().await?;
                    continue;
                }
                () = self.gateway.send_deltas_now.notified() => {
                    if is_member {
                        self.send_deltas(DeltaAudience::Members).await?;
                    }
                    continue;
                }
                () = self.gateway.queries.changed.notified(), if is_member => continue,
                () = wait_until_due(self.gateway, due), if is_member => {
                    self.send_update(LinkRelation::Digest, false).await?;
                    digest_sent_at = Some(tokio::time::Instant::now());
                    continue;
                }
            };
            let Some(frame) = frame else {
                self.record_closed();
                return Ok(());
            };
            let received = self.receive(frame?).await?;
            if let Some(received) = received {
                if received.relation == Some(LinkRelation::Report) {
                    self.send_deltas(DeltaAudience::Members).await?;
                } else {
                    // The other VM gets changes elsewhere. If it reports here later, the
                    // changes queued now would be outdated, and later changes may have reverted
                    // them.
                    self.next_delta = self.gateway.share.borrow().next_number();
                    digest_sent_at = None;
                }
                let is_digest = received.answer == Some(LinkRelation::Digest);
                let is_deferred = is_digest && digest_sent_at.is_some() && !received.is_query;
                if let Some(answer) = received.answer.filter(|_| !is_deferred) {
                    self.send_update(answer, false).await?;
                    digest_sent_at = is_digest.then(tokio::time::Instant::now);
                }
            }
        }
    }

    /// Records that the other end has closed the link.
    fn record_closed(&self) {
        if let (Some(peer), Some(relation)) = (&self.peer, self.last_relation) {
            let now = self.gateway.now();
            let mut overlay = self.gateway.overlay.borrow_mut();
            overlay.end_link(now, &peer.name, relation);
        }
    }

    /// Handles one frame. The first one must be a hello that identifies the other VM.
    async fn receive(
        &mut self,
        frame: PeerFrame,
    ) -> Result<Option<UpdateReceiveState>, FrameError> {
        let Some(peer) = self.peer.as_ref().map(|peer| peer.name.clone()) else {
            let peer = receive_hello(self.gateway, frame).ok_or(FrameError::Closed)?;
            self.peer = Some(peer);
            return Ok(None);
        };
        match frame.payload {
            Some(PeerPayload::Update(update)) => {
                return self.receive_update(&peer, &update).await.map(Some);
            }
            Some(PeerPayload::SnapshotRequest(request)) => {
                // A change may have been lost after this VM reported that its copy is whole.
                if self.gateway.shares_copy() {
                    let copy = self.gateway.own_copy();
                    self.outgoing.begin(copy, request.takes_packed);
                }
            }
            Some(PeerPayload::Snapshot(part)) => self.gateway.apply_copy_part(&peer, part),
            Some(PeerPayload::Delta(delta)) => self.gateway.apply_delta(&peer, delta),
            other => log::debug!("unexpected frame on a link: {other:?}"),
        }
        Ok(None)
    }

    async fn receive_update(
        &mut self,
        peer: &VmName,
        update: &VmUpdate,
    ) -> Result<UpdateReceiveState, FrameError> {
        let received = self.gateway.apply_update(peer, update);
        let received = received.ok_or(FrameError::Closed)?;
        self.last_relation = received.relation.or(self.last_relation);
        if self.gateway.should_request_copy(peer) {
            let request = PeerPayload::SnapshotRequest(SnapshotRequest { takes_packed: true });
            self.send(request).await?;
        }
        Ok(received)
    }

    async fn send_update(
        &mut self,
        relation: LinkRelation,
        is_query: bool,
    ) -> Result<(), FrameError> {
        let peer = self.peer.as_ref().map(|peer| &peer.name);
        let mut update = self.gateway.make_update(relation, peer, &mut self.sent);
        update.asks = is_query;
        self.send(PeerPayload::Update(Box::new(update))).await
    }

    /// Sends the next part of the copy that the other end has requested.
    async fn send_part(&mut self) -> Result<(), FrameError> {
        let part = self.outgoing.pop_next();
        if let Some(part) = part.map_err(FrameError::Packed)? {
            let metrics = &self.gateway.metrics;
            metrics.count_more("onyxfall_copy_bytes_sent_total", part.bytes() as u64);
            self.send(PeerPayload::Snapshot(part)).await?;
        }
        Ok(())
    }

    async fn send_deltas(&mut self, audience: DeltaAudience) -> Result<(), FrameError> {
        let deltas = {
            let share = self.gateway.share.borrow();
            let deltas = share.deltas_from(self.next_delta, audience);
            self.next_delta = share.next_number();
            deltas
        };
        for delta in deltas {
            self.send(PeerPayload::Delta(delta)).await?;
        }
        Ok(())
    }

    async fn send(&mut self, payload: PeerPayload) -> Result<(), FrameError> {
        let sent = tokio::time::timeout(SEND_TIMEOUT, self.link.send(payload.into())).await;
        sent.map_err(|_| FrameError::Io(std::io::ErrorKind::TimedOut.into()))?
    }
}

/// Waits until the digest for a member is due or this VM has an urgent change to send.
async fn wait_until_due(gateway: &Gateway, due: Option<tokio::time::Instant>) {
    let Some(due) = due else { return };
    tokio::select! {
        () = tokio::time::sleep_until(due) => {}
        () = gateway.send_updates_now.notified() => {}
    }
}

fn hello_of(gateway: &Gateway) -> PeerPayload {
    gateway.refresh_status();
    let overlay = gateway.overlay.borrow();
    PeerPayload::Hello(PeerHello {
        protocol: PROTOCOL_VERSION,
        deployment: String::new(),
        member: None,
        vm: Some(vm_entry(overlay.roster().own())),
    })
}

/// Handles a hello. Returns `None` if the frame is not a hello of this protocol version.
fn receive_hello(gateway: &Gateway, frame: PeerFrame) -> Option<VmRecord> {
    let Some(PeerPayload::Hello(hello)) = frame.payload else {
        return None;
    };
    if hello.protocol != PROTOCOL_VERSION {
        log::warn!(protocol = hello.protocol; "rejected a peer with another protocol version");
        return None;
    }
    let settings = gateway.settings();
    let record = vm_record(hello.vm.as_ref()?, &settings.place.centers)?;
    let now = gateway.now();
    let mut overlay = gateway.overlay.borrow_mut();
    overlay.roster_mut().receive(now, &record);
    Some(record)
}
