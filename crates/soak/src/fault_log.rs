//! When each fault of a run was in effect.

use std::time::Instant;

use crate::plan::Fault;

/// The faults of a run so far, with their start and end.
#[derive(Default)]
pub(crate) struct FaultLog {
    faults: Vec<(Fault, Instant, Option<Instant>)>,
}

impl FaultLog {
    /// Records the start of a fault.
    pub(crate) fn begin(&mut self, fault: Fault) {
        self.begin_at(fault, Instant::now());
    }

    /// Records a fault that started at `begun`.
    pub(crate) fn begin_at(&mut self, fault: Fault, begun: Instant) {
        let end = fault.is_momentary().then_some(begun);
        self.faults.push((fault, begun, end));
    }

    /// Records the end of the faults for which `is_ended` is true.
    pub(crate) fn end(&mut self, is_ended: impl Fn(Fault) -> bool) {
        let open = self.faults.iter_mut().filter(|(_, _, end)| end.is_none());
        for (_, _, end) in open.filter(|(fault, ..)| is_ended(*fault)) {
            *end = Some(Instant::now());
        }
    }

    /// The faults that were in effect at some time between `from` and `to`.
    pub(crate) fn between(&self, from: Instant, to: Instant) -> impl Iterator<Item = Fault> {
        let faults = self.faults.iter();
        let active =
            faults.filter(move |(_, begun, end)| *begun <= to && end.is_none_or(|end| end >= from));
        active.map(|(fault, ..)| *fault)
    }

    /// Whether a reload of a VM's settings between `from` and `to` may have moved its clock: a
    /// gateway that is starting misses the signal at the end of a suspension.
    pub(crate) fn may_step_clock(&self, vm: usize, from: Instant, to: Instant) -> bool {
        let mut is_moved = false;
        for (fault, begun, _) in &self.faults {
            match *fault {
                Fault::Suspend(other, _) if other == vm => is_moved = true,
                Fault::Reload(other) if other == vm => {
                    if is_moved && (from..=to).contains(begun) {
                        return true;
                    }
                    is_moved = false;
                }
                _ => {}
            }
        }
        false
    }
}
