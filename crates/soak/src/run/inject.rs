//! Applies the faults of the plan to the deployment, and lifts them.

use std::io;

use onyxfall_fakes::{LinkMode, ServerFault, StoreMode, StubTransfer};
use rustix::process::Signal;

use super::SoakRun;
use crate::brittle;
use crate::plan::{Fault, NextInstance};
use crate::signals::DisturbedPart;

impl SoakRun<'_> {
    pub(super) fn begin(&mut self, fault: Fault) -> io::Result<()> {
        if let Some(part) = disturbed_part(fault) {
            self.signals.disturbances.begin(part);
        }
        self.faults.begin(fault);
        self.set(fault)
    }

    pub(super) fn set(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(vm) => self.deployment.signal(vm, Signal::KILL),
            Fault::Shutdown(vm) => self.deployment.signal(vm, Signal::TERM),
            Fault::Pause(vm) | Fault::Suspend(vm, _) => self.deployment.signal(vm, Signal::STOP),
            Fault::Reload(vm) => self.deployment.signal(vm, Signal::HUP),
            Fault::Replace(server) => self.deployment.replace(server),
            Fault::Restart(server) => self.deployment.restart(server),
            Fault::SignalDrain(server, _) => {
                self.deployment.signal_drain(server);
                Ok(())
            }
            Fault::Backoff(server, backoff) => {
                self.deployment.set_backoff(server, Some(backoff));
                Ok(())
            }
            Fault::Limit(server, limit) => {
                self.deployment.set_limit(server, Some(limit));
                Ok(())
            }
            Fault::Places(server, places) => {
                self.deployment.set_places(server, Some(places));
                Ok(())
            }
            Fault::Brittle(server) => {
                self.deployment
                    .set_brittle(server, Some(brittle::REJECTIONS));
                Ok(())
            }
            Fault::MalformedEntry(server, kind) => {
                self.deployment.put_foreign_entry(server, kind);
                Ok(())
            }
            Fault::StoreLink(vm, mode) => {
                self.deployment.vms[vm].lock().store_link.set_mode(mode);
                Ok(())
            }
            Fault::CallerLink(vm, mode) => {
                self.deployment.vms[vm].lock().caller_link.set_mode(mode);
                Ok(())
            }
            Fault::ServerLink(server, mode) => {
                self.deployment.servers[server].lock().link.set_mode(mode);
                Ok(())
            }
            Fault::Paths(vm, cut) => self.deployment.cut_paths(vm, Some(cut)),
            Fault::Store(mode) => {
                self.deployment.store.set_mode(mode);
                Ok(())
            }
            Fault::CompactHistory => {
                self.deployment.store.compact_history();
                Ok(())
            }
            Fault::Restore => {
                self.deployment.save_snapshot();
                Ok(())
            }
            Fault::Server(server, fault) => {
                self.set_fault(server, fault);
                Ok(())
            }
            Fault::Stop(server) => {
                self.deployment.set_stopped(server, true);
                Ok(())
            }
            Fault::Transfer(server, transfer) => {
                for instance in &self.deployment.servers[server].lock().instances {
                    instance.set_transfer(transfer);
                }
                Ok(())
            }
            Fault::Configure => {
                self.deployment.configure();
                Ok(())
            }
        }
    }

    pub(super) fn end(&mut self, fault: Fault) -> io::Result<()> {
        self.clear_fault(fault)?;
        self.faults.end(|other| is_same_target(other, fault));
        match disturbed_part(fault) {
            // A process stays disturbed until it is started again.
            None | Some(DisturbedPart::Process(_)) => {}
            Some(part) => self.signals.disturbances.end(part),
        }
        Ok(())
    }

    pub(super) fn clear_fault(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Pause(vm) => self.deployment.signal(vm, Signal::CONT),
            Fault::Suspend(vm, seconds) => {
                self.deployment.move_clock(vm, seconds)?;
                self.deployment.signal(vm, Signal::CONT)
            }
            Fault::StoreLink(vm, _) => self.set(Fault::StoreLink(vm, LinkMode::Open)),
            Fault::CallerLink(vm, _) => self.set(Fault::CallerLink(vm, LinkMode::Open)),
            Fault::ServerLink(server, _) => self.set(Fault::ServerLink(server, LinkMode::Open)),
            Fault::Paths(vm, _) => self.deployment.cut_paths(vm, None),
            Fault::Store(_) => self.set(Fault::Store(StoreMode::Normal)),
            Fault::MalformedEntry(server, _) => {
                self.deployment.rewrite_entry(server);
                Ok(())
            }
            Fault::Server(server, _) => self.set(Fault::Server(server, ServerFault::None)),
            Fault::Stop(server) => {
                self.deployment.set_stopped(server, false);
                Ok(())
            }
            Fault::Transfer(server, _) => {
                self.set(Fault::Transfer(server, StubTransfer::default()))
            }
            Fault::SignalDrain(server, NextInstance::Renamed) => {
                self.deployment.replace_instance(server)
            }
            Fault::SignalDrain(server, NextInstance::Restarted) => self.deployment.restart(server),
            Fault::Backoff(server, _) => {
                self.deployment.set_backoff(server, None);
                Ok(())
            }
            Fault::Limit(server, _) => {
                self.deployment.set_limit(server, None);
                Ok(())
            }
            Fault::Places(server, _) => {
                self.deployment.set_places(server, None);
                Ok(())
            }
            Fault::Brittle(server) => {
                self.deployment.set_brittle(server, None);
                Ok(())
            }
            Fault::Restore => {
                self.deployment.store.restore_snapshot();
                Ok(())
            }
            Fault::Kill(_)
            | Fault::Shutdown(_)
            | Fault::Reload(_)
            | Fault::CompactHistory
            | Fault::Replace(_)
            | Fault::Restart(_)
            | Fault::Configure => Ok(()),
        }
    }

    pub(super) fn set_fault(&self, server: usize, fault: ServerFault) {
        for instance in &self.deployment.servers[server].lock().instances {
            instance.set_fault(fault);
        }
    }
}

/// The part whose disturbance by a fault excuses a VM from obeying a signal.
fn disturbed_part(fault: Fault) -> Option<DisturbedPart> {
    match fault {
        Fault::Pause(vm) | Fault::Suspend(vm, _) => Some(DisturbedPart::Vm(vm)),
        Fault::Paths(vm, _) => Some(DisturbedPart::Path(vm)),
        Fault::Kill(vm) | Fault::Shutdown(vm) => Some(DisturbedPart::Process(vm)),
        Fault::ServerLink(server, _) => Some(DisturbedPart::Link(server)),
        Fault::Stop(server) => Some(DisturbedPart::Server(server)),
        _ => None,
    }
}

/// Whether two faults change the same property of the same target.
pub(super) fn is_same_target(a: Fault, b: Fault) -> bool {
    match (a, b) {
        (Fault::Pause(a) | Fault::Suspend(a, _), Fault::Pause(b) | Fault::Suspend(b, _))
        | (Fault::StoreLink(a, _), Fault::StoreLink(b, _))
        | (Fault::CallerLink(a, _), Fault::CallerLink(b, _))
        | (Fault::ServerLink(a, _), Fault::ServerLink(b, _))
        | (Fault::Paths(a, _), Fault::Paths(b, _))
        | (Fault::SignalDrain(a, _), Fault::SignalDrain(b, _))
        | (Fault::Backoff(a, _), Fault::Backoff(b, _))
        | (Fault::Limit(a, _), Fault::Limit(b, _))
        | (Fault::Places(a, _), Fault::Places(b, _))
        | (Fault::Brittle(a), Fault::Brittle(b))
        | (Fault::Stop(a), Fault::Stop(b))
        | (Fault::Transfer(a, _), Fault::Transfer(b, _))
        | (Fault::MalformedEntry(a, _), Fault::MalformedEntry(b, _))
        | (Fault::Server(a, _), Fault::Server(b, _)) => a == b,
        (Fault::Store(_), Fault::Store(_)) | (Fault::Restore, Fault::Restore) => true,
        _ => false,
    }
}
