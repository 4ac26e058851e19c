//! The supervisor tree: threads that are restarted when they fail.
//!
//! A child that panics, or returns before it is told to, is started again after
//! a pause that doubles. A child that fails too often within a window brings
//! its supervisor down, and with it the process: a fresh VM is better than one
//! that half works. A supervisor may be a child of another.

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use onyxfall_clock::BootInstant;
use parking_lot::Mutex;

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LAST_PAUSE: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(30);
const MAX_FAILURES: usize = 8;

/// Tells threads to stop; clones share one state.
#[derive(Clone)]
pub struct StopSignal {
    sender: Arc<Mutex<Option<Sender<()>>>>,
    receiver: Receiver<()>,
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

impl StopSignal {
    /// A signal that was not given.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            sender: Arc::new(Mutex::new(Some(sender))),
            receiver,
        }
    }

    /// Gives the signal.
    pub fn stop(&self) {
        self.sender.lock().take();
    }

    /// Whether it was given.
    pub fn is_stopped(&self) -> bool {
        self.sender.lock().is_none()
    }

    /// Waits for the signal up to `timeout`; whether it was given.
    ///
    /// ```
    /// use onyxfall_entry::StopSignal;
    /// let signal = StopSignal::new();
    /// assert!(!signal.wait(std::time::Duration::ZERO));
    /// signal.stop();
    /// assert!(signal.wait(std::time::Duration::MAX));
    /// ```
    pub fn wait(&self, timeout: Duration) -> bool {
        match self.receiver.recv_timeout(timeout) {
            Err(RecvTimeoutError::Timeout) => false,
            Ok(()) | Err(RecvTimeoutError::Disconnected) => true,
        }
    }

    /// A channel that disconnects when the signal is given, for `select!`.
    pub fn channel(&self) -> &Receiver<()> {
        &self.receiver
    }
}

/// When a child is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartRule {
    /// Whenever it ends before the stop.
    Always,
    /// Only when it panics.
    OnPanic,
}

type ChildFn = dyn Fn(&StopSignal) + Send + Sync;

/// A supervised thread.
#[derive(Clone)]
pub struct ChildSpec {
    name: String,
    rule: RestartRule,
    run: Arc<ChildFn>,
}

impl ChildSpec {
    /// A child that runs `run` until the stop signal.
    pub fn new(
        name: impl Into<String>,
        rule: RestartRule,
        run: impl Fn(&StopSignal) + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.into(),
            rule,
            run: Arc::new(run),
        }
    }
}

/// Runs children and restarts them.
pub struct Supervisor {
    name: String,
    children: Vec<ChildSpec>,
}

impl Supervisor {
    /// A supervisor that runs nothing yet.
    pub fn new(name: impl Into<String>, children: Vec<ChildSpec>) -> Self {
        Self {
            name: name.into(),
            children,
        }
    }

    /// Runs the children until the stop signal or until one fails too often;
    /// whether it was the signal.
    ///
    /// ```
    /// use onyxfall_entry::{ChildSpec, RestartRule, StopSignal, Supervisor};
    /// let stop = StopSignal::new();
    /// let outer = stop.clone();
    /// let child = ChildSpec::new("child", RestartRule::OnPanic, move |_| outer.stop());
    /// assert!(Supervisor::new("root", vec![child]).run(&stop));
    /// ```
    pub fn run(&self, stop: &StopSignal) -> bool {
        let failed = StopSignal::new();
        let children = StopSignal::new();
        let threads: Vec<_> = self
            .children
            .iter()
            .filter_map(|child| self.start(child, &children, &failed))
            .collect();
        let mut clean = true;
        crossbeam::channel::select! {
            recv(stop.channel()) -> _ => {}
            recv(failed.channel()) -> _ => clean = stop.is_stopped(),
        }
        children.stop();
        for thread in threads {
            let _ = thread.join();
        }
        clean
    }

    /// This supervisor as a child of another.
    ///
    /// # Panics
    ///
    /// The child panics when the supervisor gives up, so that its parent acts.
    pub fn into_child(self) -> ChildSpec {
        let name = self.name.clone();
        ChildSpec::new(name, RestartRule::Always, move |stop| {
            assert!(self.run(stop), "supervisor {} gave up", self.name);
        })
    }

    fn start(
        &self,
        child: &ChildSpec,
        stop: &StopSignal,
        failed: &StopSignal,
    ) -> Option<thread::JoinHandle<()>> {
        let (spec, stop, failed) = (child.clone(), stop.clone(), failed.clone());
        let thread = thread::Builder::new()
            .name(child.name.clone())
            .spawn(move || keep_running(&spec, &stop, &failed));
        match thread {
            Ok(thread) => Some(thread),
            Err(e) => {
                log::error!("{}: no thread for {}: {e}", self.name, child.name);
                None
            }
        }
    }
}

fn keep_running(child: &ChildSpec, stop: &StopSignal, failed: &StopSignal) {
    let mut failures: VecDeque<BootInstant> = VecDeque::new();
    let mut pause = FIRST_PAUSE;
    loop {
        let panicked = catch_unwind(AssertUnwindSafe(|| (child.run)(stop))).is_err();
        if stop.is_stopped() || (!panicked && child.rule == RestartRule::OnPanic) {
            return;
        }
        log::error!(
            "{} ended early (panicked: {panicked}); starting it again",
            child.name
        );
        let now = BootInstant::now();
        failures.push_back(now);
        failures.retain(|at| now - *at < WINDOW);
        if failures.len() > MAX_FAILURES {
            log::error!(
                "{} failed {MAX_FAILURES} times in {WINDOW:?}; giving up",
                child.name
            );
            failed.stop();
            return;
        }
        if stop.wait(pause) {
            return;
        }
        pause = (pause * 2).min(LAST_PAUSE);
    }
}
