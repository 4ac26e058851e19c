//! Links between VMs: frames over TCP.
//!
//! The overlay plans which links this VM dials. On a link the VM that dialled it tells
//! its updates at an interval that the relation asks for, and the other end answers
//! those that want an answer. Changes of the store and copies of it go both ways.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use onyxfall_clock::BootInstant;
use onyxfall_fleet::DecisionSwitch;
use onyxfall_overlay::{LinkRelation, PlannedLink, VmRecord};
use onyxfall_types::VmName;
use onyxfall_wire::{
    FrameError, PROTOCOL_VERSION, PeerCodec, PeerFrame, PeerHello, PeerPayload, SnapshotRequest,
    VmUpdate,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use crate::connection::{LATE_DIAL_LIMIT, dial};
use crate::copies::OutgoingCopy;
use crate::frames::{vm_entry, vm_record};
use crate::gateway::Gateway;
use crate::listen::accept;
use crate::share::DeltaAudience;
use crate::updates::{UpdateReceiveState, UpdateSendState};

type FramedLink = Framed<TcpStream, PeerCodec>;

/// Least limit of a dial, also to a VM next door: it may be without its processor
/// for a tenth of a second.
const LEAST_DIAL_LIMIT: Duration = Duration::from_millis(150);
/// Pause before a link is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(500);
/// The same while this VM is young: VMs that lost power together come back within
/// some tenths of a second, and until a link is up no request can be sent away.
const YOUNG_DIAL_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two looks for links that are planned and not there.
const LOOK: Duration = Duration::from_millis(100);
/// The same while this VM is young.
const YOUNG_LOOK: Duration = Duration::from_millis(10);
/// Age up to which a VM counts as young here.
const YOUNG: Duration = Duration::from_secs(5);
/// Bound on writing one frame; a peer that does not read loses its link.
const SEND_LIMIT: Duration = Duration::from_secs(2);

/// Starts dialling the links that are planned, now and later.
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
                        keep_link(&gateway, address).await;
                        dialled.borrow_mut().remove(&address);
                    });
                }
            }
            let is_young = gateway.started.elapsed() < YOUNG;
            tokio::time::sleep(if is_young { YOUNG_LOOK } else { LOOK }).await;
        }
    });
}

impl Gateway {
    /// Whether this VM reports to an aggregator, from which it gets what others tell.
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

    /// Time between two updates on a link, by what there is to tell.
    fn tell_interval(&self, relation: LinkRelation, told: &UpdateSendState) -> Duration {
        let now = self.now();
        if relation == LinkRelation::Report {
            self.refresh_own_work(now);
        }
        let mut overlay = self.overlay.borrow_mut();
        let has_changes = overlay.has_changes(relation, told.link());
        let is_dense = has_changes && self.is_on(DecisionSwitch::NearHeartbeats);
        overlay.plan(now).interval(relation, is_dense)
    }
}

/// Tells every VM at once of a change of this one; used when it leaves.
pub(crate) fn tell_all(gateway: &Rc<Gateway>) {
    gateway.refresh_status();
    gateway.send_updates_now.notify_waiters();
}

/// Keeps a link as long as it is planned.
async fn keep_link(gateway: &Rc<Gateway>, address: SocketAddr) {
    let mut failures = 0;
    while let Some(planned) = gateway.planned_link(address) {
        let dialled = BootInstant::now();
        let limit = dial_limit(gateway, &planned, failures);
        match dial(address, gateway.dial_plan(limit)).await {
            Ok(stream) => {
                failures = 0;
                let ended = LinkEnd::new(gateway, stream)
                    .tell(address, dialled.elapsed())
                    .await;
                if let Err(e) = ended {
                    log::info!(address:% = address, error:% = e; "link lost");
                }
            }
            Err(e) => {
                failures += 1;
                log::debug!("no link to {address}: {e}");
            }
        }
        let is_young = gateway.started.elapsed() < YOUNG;
        tokio::time::sleep(if is_young {
            YOUNG_DIAL_PAUSE
        } else {
            DIAL_PAUSE
        })
        .await;
    }
}

/// How long to wait for a link to come up, after `failures` in a row.
fn dial_limit(gateway: &Gateway, planned: &PlannedLink, failures: u32) -> Duration {
    if !gateway.is_on(DecisionSwitch::EarlyDial) {
        return LATE_DIAL_LIMIT;
    }
    let overlay = gateway.overlay.borrow();
    let known = planned.vm.as_ref().and_then(|vm| overlay.roster().get(vm));
    let region = known.map(|vm| &vm.record.region);
    let limit = gateway.trips.borrow().dial_limit(region, failures);
    limit.max(LEAST_DIAL_LIMIT)
}

/// Accepts links that other VMs dial.
pub(crate) async fn serve_links(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let (stream, from) = accept(&listener).await;
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            if let Err(e) = LinkEnd::new(&gateway, stream).serve().await {
                log::debug!("link from {from} ended: {e}");
            }
        });
    }
}

/// One end of a link.
struct LinkEnd<'a> {
    gateway: &'a Rc<Gateway>,
    link: FramedLink,
    /// The VM at the other end, once it has said who it is.
    peer: Option<VmRecord>,
    told: UpdateSendState,
    /// What the other end last told on this link.
    heard: Option<LinkRelation>,
    next_delta: u64,
    /// Whether a choice waits for the answer to the next update.
    asks: bool,
    /// The copy of the store that the other end has asked for.
    outgoing: OutgoingCopy,
}

impl<'a> LinkEnd<'a> {
    fn new(gateway: &'a Rc<Gateway>, stream: TcpStream) -> Self {
        Self {
            gateway,
            link: Framed::new(stream, PeerCodec::default()),
            peer: None,
            told: UpdateSendState::default(),
            heard: None,
            next_delta: gateway.share.borrow().next_number(),
            asks: false,
            outgoing: OutgoingCopy::default(),
        }
    }

    /// Tells the VM at the other end of a link that was dialled in `took`, for as long
    /// as the link is planned.
    async fn tell(mut self, address: SocketAddr, took: Duration) -> Result<(), FrameError> {
        self.send(hello(self.gateway)).await?;
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
            let asks = std::mem::take(&mut self.asks);
            self.send_update(planned.relation, asks).await?;
            let told = tokio::time::Instant::now();
            loop {
                let until = told + self.gateway.tell_interval(planned.relation, &self.told);
                let was_known = self.peer.is_some();
                let has_part = self.outgoing.has_next();
                let frame = tokio::select! {
                    () = tokio::task::yield_now(), if has_part => {
                        self.send_part().await?;
                        continue;
                    }
                    () = tokio::time::sleep_until(until) => break,
                    () = self.gateway.send_updates_now.notified() => break,
                    () = self.gateway.queries.ask_now.notified(), if is_report => {
                        self.asks = true;
                        break;
                    }
                    () = self.gateway.queries.own_changed.notified(), if is_report => {
                        self.gateway.own_work_at.set(None);
                        continue;
                    }
                    frame = self.link.next() => frame,
                };
                self.take(frame.ok_or(FrameError::Closed)??).await?;
                if let (false, Some(peer)) = (was_known, &self.peer) {
                    let mut trips = self.gateway.trips.borrow_mut();
                    trips.note(&peer.region, took);
                }
            }
        }
        Ok(())
    }

    /// Answers the VM that dialled the link.
    async fn serve(mut self) -> Result<(), FrameError> {
        // When this VM told its sum last, if the other one is a member of it.
        let mut told_sum: Option<tokio::time::Instant> = None;
        loop {
            let has_part = self.outgoing.has_next();
            let is_member = told_sum.is_some();
            let due = told_sum
                .map(|told| told + self.gateway.tell_interval(LinkRelation::Digest, &self.told));
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
                () = wait_due(self.gateway, due), if is_member => {
                    self.send_update(LinkRelation::Digest, false).await?;
                    told_sum = Some(tokio::time::Instant::now());
                    continue;
                }
            };
            let Some(frame) = frame else {
                self.end();
                return Ok(());
            };
            let is_greeted = self.peer.is_some();
            let told = self.take(frame?).await?;
            if !is_greeted {
                self.send(hello(self.gateway)).await?;
            }
            if let Some(told) = told {
                if told.relation == Some(LinkRelation::Report) {
                    self.send_deltas(DeltaAudience::Members).await?;
                } else {
                    // It hears of changes elsewhere. Should it report here later, those of
                    // now would be old, and have been undone since.
                    self.next_delta = self.gateway.share.borrow().next_number();
                    told_sum = None;
                }
                let is_sum = told.answer == Some(LinkRelation::Digest);
                let waits = is_sum && told_sum.is_some() && !told.asks;
                if let Some(answer) = told.answer.filter(|_| !waits) {
                    self.send_update(answer, false).await?;
                    told_sum = is_sum.then(tokio::time::Instant::now);
                }
            }
        }
    }

    /// Notes that the other end has closed the link.
    fn end(&self) {
        if let (Some(peer), Some(relation)) = (&self.peer, self.heard) {
            let now = self.gateway.now();
            let mut overlay = self.gateway.overlay.borrow_mut();
            overlay.end_link(now, &peer.name, relation);
        }
    }

    /// Takes one frame; the first one must say who is at the other end.
    async fn take(&mut self, frame: PeerFrame) -> Result<Option<UpdateReceiveState>, FrameError> {
        let Some(peer) = self.peer.as_ref().map(|peer| peer.name.clone()) else {
            let peer = take_hello(self.gateway, frame).ok_or(FrameError::Closed)?;
            self.peer = Some(peer);
            return Ok(None);
        };
        match frame.payload {
            Some(PeerPayload::Update(update)) => {
                return self.take_update(&peer, &update).await.map(Some);
            }
            Some(PeerPayload::SnapshotRequest(request)) => {
                let copy = self.gateway.own_copy();
                self.outgoing.begin(copy, request.takes_packed);
            }
            Some(PeerPayload::Snapshot(part)) => self.gateway.take_copy_part(&peer, part),
            Some(PeerPayload::Delta(delta)) => self.gateway.take_delta(&peer, delta),
            other => log::debug!("unexpected frame on a link: {other:?}"),
        }
        Ok(None)
    }

    async fn take_update(
        &mut self,
        peer: &VmName,
        update: &VmUpdate,
    ) -> Result<UpdateReceiveState, FrameError> {
        let taken = self.gateway.take_update(peer, update);
        let taken = taken.ok_or(FrameError::Closed)?;
        self.heard = taken.relation.or(self.heard);
        if self.gateway.asks_copy_of(peer) {
            let request = PeerPayload::SnapshotRequest(SnapshotRequest { takes_packed: true });
            self.send(request).await?;
        }
        Ok(taken)
    }

    async fn send_update(&mut self, relation: LinkRelation, asks: bool) -> Result<(), FrameError> {
        let peer = self.peer.as_ref().map(|peer| &peer.name);
        let mut update = self.gateway.make_update(relation, peer, &mut self.told);
        update.asks = asks;
        self.send(PeerPayload::Update(Box::new(update))).await
    }

    /// Sends the next part of the copy that the other end has asked for.
    async fn send_part(&mut self) -> Result<(), FrameError> {
        let part = self.outgoing.take_next();
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
        let sent = tokio::time::timeout(SEND_LIMIT, self.link.send(payload.into())).await;
        sent.map_err(|_| FrameError::Io(std::io::ErrorKind::TimedOut.into()))?
    }
}

/// Waits until the sum for a member is due, or this VM has something urgent to tell.
async fn wait_due(gateway: &Gateway, due: Option<tokio::time::Instant>) {
    let Some(due) = due else { return };
    tokio::select! {
        () = tokio::time::sleep_until(due) => {}
        () = gateway.send_updates_now.notified() => {}
    }
}

fn hello(gateway: &Gateway) -> PeerPayload {
    gateway.refresh_status();
    let overlay = gateway.overlay.borrow();
    PeerPayload::Hello(PeerHello {
        protocol: PROTOCOL_VERSION,
        deployment: String::new(),
        member: None,
        vm: Some(vm_entry(overlay.roster().own())),
    })
}

/// Takes a greeting; none if it is not one of this protocol.
fn take_hello(gateway: &Gateway, frame: PeerFrame) -> Option<VmRecord> {
    let Some(PeerPayload::Hello(hello)) = frame.payload else {
        return None;
    };
    if hello.protocol != PROTOCOL_VERSION {
        log::warn!(protocol = hello.protocol; "peer of another protocol refused");
        return None;
    }
    let settings = gateway.settings();
    let record = vm_record(hello.vm.as_ref()?, &settings.place.centers)?;
    let now = gateway.now();
    let mut overlay = gateway.overlay.borrow_mut();
    overlay.roster_mut().hear(now, &record);
    Some(record)
}
