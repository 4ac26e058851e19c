//! This VM's view of the entry VMs.
//!
//! Heartbeats are authoritative, the platform's list is only a hint. A member
//! without a heartbeat for a while is suspected, later gone. Incarnations order
//! all updates about a VM: an older incarnation is ignored, and a VM that receives
//! a later incarnation under its own name adopts one later still, so that no
//! clocks are compared.
//!
//! Duties that may safely run twice (observing a server, representing the data
//! centre) are assigned by rendezvous hashing over the members that are alive. Two
//! VMs with different views may both perform a duty for a short time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::{CenterName, Incarnation, RegionName, VmName, stable_hash};

use crate::moment::Moment;

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Named by the platform's list or the settings; no heartbeat received yet.
    Hinted,
    /// A heartbeat was received recently.
    Alive,
    /// No heartbeat for the suspicion timeout.
    Suspect,
    /// In a planned shutdown.
    Leaving,
    /// No heartbeat for the gone timeout.
    Gone,
}

/// Content of a VM's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberHeartbeat {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub center: CenterName,
    /// Region of the VM.
    pub region: RegionName,
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Whether the VM is in a planned shutdown.
    pub leaving: bool,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other entries.
    pub peer_address: SocketAddr,
}

/// This VM's view of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmMember {
    /// Last heartbeat of the member.
    pub beat: MemberHeartbeat,
    /// State of the member.
    pub state: MemberState,
    /// When the last heartbeat, update or hint about the member was received.
    pub received_at: Moment,
}

/// Timeouts of unresponsive members.
#[derive(Clone, Copy, Debug)]
pub struct MemberTiming {
    /// Time without a heartbeat until a member is suspected.
    pub suspect_after: Duration,
    /// Time without a heartbeat until a member is gone.
    pub gone_after: Duration,
    /// Time without a heartbeat until a gone member is evicted.
    pub evict_after: Duration,
}

impl Default for MemberTiming {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(3),
            gone_after: Duration::from_secs(10),
            evict_after: Duration::from_mins(10),
        }
    }
}

/// The members of the system, including this VM.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: MemberHeartbeat,
    timing: MemberTiming,
    members: BTreeMap<VmName, VmMember>,
}

impl MemberTable {
    /// Creates a table with only this VM.
    pub fn new(own: MemberHeartbeat, timing: MemberTiming) -> Self {
        Self {
            own,
            timing,
            members: BTreeMap::new(),
        }
    }

    /// Content of this VM's own heartbeat.
    pub fn own(&self) -> &MemberHeartbeat {
        &self.own
    }

    /// Marks this VM as being in a planned shutdown.
    pub fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Applies a heartbeat; returns whether it changed a member's state or
    /// incarnation.
    pub fn receive(&mut self, now: Moment, beat: &MemberHeartbeat) -> bool {
        if beat.name == self.own.name {
            return self.receive_own(beat.incarnation);
        }
        let state = if beat.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let Some(known) = self.members.get_mut(&beat.name) else {
            let member = VmMember {
                beat: beat.clone(),
                state,
                received_at: now,
            };
            self.members.insert(beat.name.clone(), member);
            return true;
        };
        if beat.incarnation < known.beat.incarnation {
            return false;
        }
        let is_same_incarnation = beat.incarnation == known.beat.incarnation;
        if is_same_incarnation && known.state == MemberState::Leaving {
            known.received_at = now;
            return false;
        }
        let changed = known.state != state || !is_same_incarnation;
        *known = VmMember {
            beat: beat.clone(),
            state,
            received_at: now,
        };
        changed
    }

    /// The serving members of a data centre, including this VM, ordered by name.
    pub fn serving_in<'a>(&'a self, center: &'a CenterName) -> Vec<&'a MemberHeartbeat> {
        let own = (self.own.center == *center && !self.own.leaving).then_some(&self.own);
        let mut beats: Vec<&MemberHeartbeat> = self
            .alive_in(center)
            .map(|member| &member.beat)
            .chain(own)
            .collect();
        beats.sort_by(|a, b| a.name.cmp(&b.name));
        beats
    }

    /// Hash of [`Self::serving_in`]; equal lists have equal hashes.
    pub fn serving_hash(&self, center: &CenterName) -> u64 {
        let texts: Vec<String> = self
            .serving_in(center)
            .iter()
            .map(|b| {
                format!(
                    "{} {} {} {}",
                    b.name, b.incarnation, b.address, b.peer_address
                )
            })
            .collect();
        let parts: Vec<&str> = texts.iter().map(String::as_str).collect();
        stable_hash(&parts)
    }

    /// Applies a message of another data centre that its list of members is unchanged,
    /// which refreshes its alive members.
    pub fn receive_center(&mut self, now: Moment, center: &CenterName) {
        let members = self
            .members
            .values_mut()
            .filter(|m| m.beat.center == *center);
        for member in members.filter(|m| m.state == MemberState::Alive) {
            member.received_at = now;
        }
    }

    /// Applies the complete list of another data centre's serving members. A member
    /// that is not on the list becomes suspect until a later list names it again.
    pub fn receive_members(&mut self, now: Moment, center: &CenterName, beats: &[MemberHeartbeat]) {
        let listed = |name: &VmName| beats.iter().any(|beat| beat.name == *name);
        let members = self
            .members
            .values_mut()
            .filter(|m| m.beat.center == *center);
        for member in members.filter(|m| !listed(&m.beat.name)) {
            member.state = member.state.max(MemberState::Suspect);
        }
        for beat in beats.iter().filter(|beat| beat.center == *center) {
            self.receive(now, beat);
        }
    }

    /// Adds a VM named by the platform's list, the settings or another VM as
    /// hinted. A known VM is replaced only if it is hinted or gone and is in another
    /// region: VMs of other regions need not send heartbeats to this VM directly, so
    /// that hints may be the only information about them.
    pub fn hint(&mut self, now: Moment, beat: &MemberHeartbeat) {
        if beat.name == self.own.name {
            return;
        }
        let hinted = VmMember {
            beat: beat.clone(),
            state: MemberState::Hinted,
            received_at: now,
        };
        let Some(known) = self.members.get_mut(&beat.name) else {
            self.members.insert(beat.name.clone(), hinted);
            return;
        };
        let is_unconfirmed = matches!(known.state, MemberState::Hinted | MemberState::Gone);
        let is_remote = beat.region != self.own.region;
        if is_unconfirmed && is_remote && beat.incarnation >= known.beat.incarnation {
            *known = hinted;
        }
    }

    /// Applies a planned shutdown reported by the platform's list.
    pub fn hint_leaving(&mut self, name: &VmName) {
        if let Some(member) = self.members.get_mut(name) {
            member.state = member.state.max(MemberState::Leaving);
        }
    }

    /// Applies the timeouts; returns the names of members whose state changed.
    pub fn tick(&mut self, now: Moment) -> Vec<VmName> {
        let timing = self.timing;
        let mut changed = Vec::new();
        for (name, member) in &mut self.members {
            let next = timed_out_state(member.state, now - member.received_at, timing);
            if next != member.state {
                member.state = next;
                changed.push(name.clone());
            }
        }
        self.members.retain(|_, member| {
            member.state != MemberState::Gone || now - member.received_at < timing.evict_after
        });
        changed
    }

    /// All members except this VM.
    pub fn others(&self) -> impl Iterator<Item = &VmMember> {
        self.members.values()
    }

    /// A member by name.
    pub fn get(&self, name: &VmName) -> Option<&VmMember> {
        self.members.get(name)
    }

    /// Members alive in a data centre, except this VM, ordered by name.
    pub fn alive_in<'a>(&'a self, center: &'a CenterName) -> impl Iterator<Item = &'a VmMember> {
        self.members
            .values()
            .filter(move |m| m.state == MemberState::Alive && m.beat.center == *center)
    }

    /// This VM's rank among the serving members of its data centre, and their number.
    ///
    /// ```
    /// use onyxfall_policy::{MemberHeartbeat, MemberTable, MemberTiming};
    /// use onyxfall_types::Incarnation;
    /// let own = MemberHeartbeat {
    ///     name: "vm-1".parse().unwrap(),
    ///     center: "c".parse().unwrap(),
    ///     region: "r".parse().unwrap(),
    ///     incarnation: Incarnation::new(1),
    ///     leaving: false,
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     peer_address: "127.0.0.1:2".parse().unwrap(),
    /// };
    /// assert_eq!(MemberTable::new(own, MemberTiming::default()).own_rank(), (0, 1));
    /// ```
    pub fn own_rank(&self) -> (usize, usize) {
        let names: Vec<&VmName> = self
            .alive_in(&self.own.center)
            .map(|member| &member.beat.name)
            .collect();
        let rank = names.iter().filter(|name| ***name < self.own.name).count();
        (rank, names.len() + 1)
    }

    /// The member that is assigned a duty in this data centre.
    pub fn duty_owner(&self, duty: &str) -> &VmName {
        let own = (!self.own.leaving).then_some(&self.own.name);
        let others = self
            .alive_in(&self.own.center)
            .map(|member| &member.beat.name);
        others
            .chain(own)
            .max_by_key(|name| stable_hash(&[duty, name.as_str()]))
            .unwrap_or(&self.own.name)
    }

    /// Whether this VM is assigned a duty.
    pub fn has_duty(&self, duty: &str) -> bool {
        *self.duty_owner(duty) == self.own.name
    }

    fn receive_own(&mut self, received: Incarnation) -> bool {
        if received <= self.own.incarnation {
            return false;
        }
        self.own.incarnation = received.next();
        true
    }
}

fn timed_out_state(state: MemberState, elapsed: Duration, timing: MemberTiming) -> MemberState {
    match state {
        _ if elapsed >= timing.gone_after => MemberState::Gone,
        MemberState::Alive if elapsed >= timing.suspect_after => MemberState::Suspect,
        _ => state,
    }
}
