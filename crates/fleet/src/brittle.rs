//! Servers that fall over when they have to reject too many requests for want of room.
//!
//! While the servers of a service are brittle, each says so in all of its responses. The VMs of
//! the region then keep the requests under way at a server below its slots, so that it has
//! nothing to reject: each VM uses an equal part of the slots, whatever it knows of the others.
//! Where there are more VMs than slots, a VM sends one request at a time while the known
//! requests of all VMs, and those that they are expected to have sent since, leave a slot free.
//! A VM that is rejected all the same sends nothing for as long as its part of the tolerated
//! rejections lasts.
//!
//! Invariant: a VM believes a server to be brittle from the first response of any server of its
//! service that says so, until a response to a later request does not, or [`BRITTLE_TTL`] after
//! the last one that did.

use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{RequestRate, ServerId, ServiceName};

use crate::call::CallRequirements;
use crate::view::FleetView;

/// Lifetime of the last statement. A server that gets little work states nothing for seconds.
const BRITTLE_TTL: Duration = Duration::from_secs(12);
/// Part of a server's slots and memory that is used while it is brittle. Connections that are
/// being established may hold slots, too.
const USED_PART: f64 = 0.75;
/// Longest time for which a VM sends nothing after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What a response says of the rejections that its server bears.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum BrittleSignal {
    /// The server is not brittle.
    #[default]
    None,
    /// The server falls over if it rejects more requests than this.
    Rejections(RequestRate),
    /// The stated number cannot be parsed.
    Malformed,
}

/// The rejections that a server has stated it bears.
#[derive(Clone, Copy, Debug)]
struct StatedRejections {
    rate: RequestRate,
    at: Moment,
}

/// What was last stated by a server, or by any server of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BrittleRecord {
    stated: Option<StatedRejections>,
    /// When a response last stated that it is not brittle.
    lifted: Option<Moment>,
}

impl BrittleRecord {
    fn apply(&mut self, now: Moment, signal: BrittleSignal, sent: Moment) {
        match signal {
            BrittleSignal::Rejections(rate) => {
                self.stated = Some(StatedRejections { rate, at: now });
            }
            BrittleSignal::None => {
                if self.stated.is_none_or(|stated| sent > stated.at) {
                    self.stated = None;
                    self.lifted = Some(now);
                }
            }
            BrittleSignal::Malformed => {}
        }
    }

    fn rate(&self, now: Moment) -> Option<RequestRate> {
        let stated = self.stated?;
        (now - stated.at < BRITTLE_TTL).then_some(stated.rate)
    }

    /// The rate in force for a server with this record, whose service has the record `service`.
    fn rate_within(&self, now: Moment, service: Self) -> Option<RequestRate> {
        if let Some(rate) = self.rate(now) {
            return Some(rate);
        }
        let stated = service.stated?;
        let is_later = self.lifted.is_none_or(|lifted| stated.at > lifted);
        service.rate(now).filter(|_| is_later)
    }
}

impl FleetView {
    /// Applies what a response to a request that was sent at `sent` says of its server.
    ///
    /// ```
    /// use onyxfall_fleet::{BrittleSignal, FleetView, VmLocation};
    /// use onyxfall_types::RequestRate;
    /// # use onyxfall_fleet::{StartTime, ServerPhase, ServerRecord};
    /// # use onyxfall_policy::Moment;
    /// # let (center, region): (onyxfall_types::CenterName, onyxfall_types::RegionName) =
    /// #     ("c1".parse().unwrap(), "r1".parse().unwrap());
    /// # let mut fleet = FleetView::new(VmLocation {
    /// #     vm: "vm1".parse().unwrap(),
    /// #     center: center.clone(),
    /// #     region: region.clone(),
    /// #     centers: [(center.clone(), region)].into(),
    /// # });
    /// # let record = ServerRecord {
    /// #     name: "s1".parse().unwrap(),
    /// #     started_at: StartTime::UNKNOWN,
    /// #     service: "svc".parse().unwrap(),
    /// #     version: None,
    /// #     address: "10.0.0.1:80".parse().unwrap(),
    /// #     center,
    /// #     slots: 4,
    /// #     phase: ServerPhase::Ready,
    /// #     cold_left: std::time::Duration::ZERO,
    /// # };
    /// # fleet.put_server(Moment::ZERO, record, None);
    /// let server = fleet.find("s1").unwrap();
    /// let rate = RequestRate::new(3.0).unwrap();
    /// fleet.apply_brittle(Moment::ZERO, server, BrittleSignal::Rejections(rate), Moment::ZERO);
    /// assert_eq!(fleet.tolerated_rejections(Moment::ZERO, server), Some(rate));
    /// ```
    pub fn apply_brittle(
        &mut self,
        now: Moment,
        id: ServerId,
        signal: BrittleSignal,
        sent: Moment,
    ) {
        let id = self.same_instance(id);
        let server = self.server_mut(id);
        server.brittle.apply(now, signal, sent);
        let service = server.record.service.clone();
        let record = self.brittle_services.entry(service).or_default();
        record.apply(now, signal, sent);
    }

    /// Rejections a second that a server bears from all VMs together; `None` if it is not
    /// brittle.
    pub fn tolerated_rejections(&self, now: Moment, id: ServerId) -> Option<RequestRate> {
        let server = self.server(id);
        let service = self.brittle_services.get(&server.record.service)?;
        server.brittle.rate_within(now, *service)
    }

    /// Whether this VM's part of a brittle server's slots and memory has room for a request.
    /// Always true for a server that is not brittle.
    pub(crate) fn has_brittle_room(
        &self,
        now: Moment,
        id: ServerId,
        needs: &CallRequirements,
    ) -> bool {
        if self.tolerated_rejections(now, id).is_none() {
            return true;
        }
        let server = self.server(id);
        let slots = needs
            .engine
            .map_or(server.record.slots, |engine| engine.slots);
        let (used, vms) = (
            f64::from(slots) * USED_PART,
            self.sender_count(&needs.service),
        );
        let own = server.own_share();
        let others = self.sharing_vms(&needs.service);
        let knows_others = self.is_only_sender(&needs.service) || !others.is_empty();
        if self.is_discovering() || !knows_others {
            // The slots are shared with VMs that this one does not know yet.
            return own.requests == 0;
        }
        if used < vms {
            let servers = self.servers_of(&needs.service).len().max(1) as f64;
            let unreported = self.unreported_requests(now, &needs.service) / servers;
            let known = f64::from(server.work().requests);
            return own.requests == 0 && known + unreported + 1.0 <= used;
        }
        let has_slot = f64::from(own.requests + 1) <= used / vms;
        let has_memory = needs.engine.is_none_or(|engine| {
            let part = engine.memory_tokens as f64 * USED_PART / vms;
            own.requests == 0 || (own.memory + needs.prompt.memory()) as f64 <= part
        });
        has_slot && has_memory
    }

    /// Pauses sending to a brittle server that has rejected a request of this VM.
    pub(crate) fn record_brittle_rejection(&mut self, now: Moment, id: ServerId) {
        let Some(rate) = self.tolerated_rejections(now, id) else {
            return;
        };
        let vms = self.sender_count(&self.server(id).record.service);
        let pause = vms / rate.per_second().max(f64::MIN_POSITIVE);
        let pause = Duration::from_secs_f64(pause.min(MAX_PAUSE.as_secs_f64()));
        self.server_mut(id).record_backoff(now, pause);
    }

    /// Number of VMs of this region that send to a service, this one included.
    fn sender_count(&self, service: &ServiceName) -> f64 {
        (self.sharing_vms(service).len() + 1) as f64
    }
}
