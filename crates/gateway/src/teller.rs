//! What a VM tells on one link that it has dialled: heartbeats, changes of the store
//! for VMs of its region, and now and then the members that it knows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use onyxfall_fleet::DecisionSwitch;
use onyxfall_policy::MemberBeat;
use onyxfall_wire::{FrameError, PeerPayload, SnapshotRequest};

use crate::beat::{beat_interval, own_beat};
use crate::costs::CostsTold;
use crate::gateway::Gateway;
use crate::links::{FramedLink, known_members, send, take_reply};

/// Time between two lists of members on a link within the region, so that VMs of
/// other regions that one VM hears of stay known to all. Far below the time
/// after which a silent member is forgotten.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(30);
/// Least time between two requests for a copy of the store on one link.
const SNAPSHOT_PAUSE: Duration = Duration::from_millis(600);

/// What is told on one link, and when it was last told.
pub(crate) struct LinkTeller<'a> {
    gateway: &'a Rc<Gateway>,
    peer: &'a MemberBeat,
    is_near: bool,
    next_delta: u64,
    asked_snapshot: Option<Instant>,
    told_members: Instant,
    told_costs: CostsTold,
}

impl<'a> LinkTeller<'a> {
    /// A link to `peer` on which nothing was told yet.
    pub(crate) fn new(gateway: &'a Rc<Gateway>, peer: &'a MemberBeat) -> Self {
        Self {
            gateway,
            peer,
            is_near: gateway.is_near(&peer.region),
            next_delta: gateway.share.borrow().next_number(),
            asked_snapshot: None,
            told_members: Instant::now(),
            told_costs: CostsTold::default(),
        }
    }

    /// Tells until the link breaks, or the other VM is no longer to be told.
    pub(crate) async fn run(mut self, link: &mut FramedLink) -> Result<(), FrameError> {
        while self.gateway.members.borrow().tells(self.peer) {
            self.tell(link).await?;
            self.listen(link).await?;
        }
        Ok(())
    }

    async fn tell(&mut self, link: &mut FramedLink) -> Result<(), FrameError> {
        let gateway = self.gateway;
        if self.is_near {
            self.tell_deltas(link).await?;
        }
        let mut beat = own_beat(gateway, &self.peer.region);
        if self.is_near {
            beat.costs = self.told_costs.due(gateway);
        }
        send(link, PeerPayload::VmBeat(beat)).await?;
        let may_ask = self
            .asked_snapshot
            .is_none_or(|at| at.elapsed() >= SNAPSHOT_PAUSE);
        if may_ask && gateway.wants_snapshot_of(&self.peer.name) {
            self.asked_snapshot = Some(Instant::now());
            let request = PeerPayload::SnapshotRequest(SnapshotRequest {});
            send(link, request).await?;
        }
        if self.is_near && self.told_members.elapsed() >= MEMBERS_INTERVAL {
            self.told_members = Instant::now();
            send(link, PeerPayload::Members(known_members(gateway))).await?;
        }
        Ok(())
    }

    async fn tell_deltas(&mut self, link: &mut FramedLink) -> Result<(), FrameError> {
        let deltas = {
            let share = self.gateway.share.borrow();
            let deltas = share.deltas_from(self.next_delta);
            self.next_delta = share.next_number();
            deltas
        };
        for delta in deltas {
            send(link, PeerPayload::Delta(delta)).await?;
        }
        Ok(())
    }

    /// Takes what comes back until the next heartbeat is due.
    async fn listen(&self, link: &mut FramedLink) -> Result<(), FrameError> {
        let until = tokio::time::Instant::now() + self.interval();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until) => return Ok(()),
                () = self.gateway.beat_now.notified() => return Ok(()),
                frame = link.next() => match frame {
                    Some(frame) => take_reply(self.gateway, self.peer, frame?),
                    None => return Err(FrameError::Closed),
                },
            }
        }
    }

    fn interval(&self) -> Duration {
        let members = self.gateway.members.borrow();
        let near = members
            .others()
            .filter(|member| self.gateway.is_near(&member.beat.region))
            .count();
        let is_dense = self.gateway.is_on(DecisionSwitch::NearHeartbeats);
        beat_interval(near, self.is_near, is_dense)
    }
}
