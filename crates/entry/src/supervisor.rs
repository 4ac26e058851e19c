//! The supervisor tree: threads that are restarted when they fail.
//!
//! A child that panics or returns before shutdown is restarted after a delay that
//! doubles. A child that fails too often within a window fails its supervisor, and with
//! it the process, because a new VM is better than one that works in part. A supervisor
//! may be a child of another one.

use std::collections::VecDeque;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use onyxfall_clock::BootInstant;
use parking_lot::Mutex;

const MIN_RESTART_DELAY: Duration = Duration::from_millis(50);
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);
const FAILURE_WINDOW: Duration = Duration::from_secs(30);
const MAX_FAILURES: usize = 8;

/// Signals threads to stop; clones share one state.
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
    /// Creates a signal that is not set.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            sender: Arc::new(Mutex::new(Some(sender))),
            receiver,
        }
    }

    /// Sets the signal.
    pub fn stop(&self) {
        self.sender.lock().take();
    }

    /// Whether the signal is set.
    pub fn is_stopped(&self) -> bool {
        self.sender.lock().is_none()
    }

    /// Waits up to `timeout` for the signal; returns whether it is set.
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

    /// A channel that disconnects when the signal is set, for `select!`.
    pub fn channel(&self) -> &Receiver<()> {
        &self.receiver
    }
}

/// When a child is restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartRule {
    /// Whenever the child ends before shutdown.
    Always,
    /// Only when the child panics.
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
    /// Creates a child that runs `run` until the stop signal is set.
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
    /// Creates a supervisor; [`Self::run`] starts the children.
    pub fn new(name: impl Into<String>, children: Vec<ChildSpec>) -> Self {
        Self {
            name: name.into(),
            children,
        }
    }

    /// Runs the children until the stop signal is set or a child fails too often;
    /// returns whether the signal was set.
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
        let mut is_clean = true;
        crossbeam::channel::select! {
            recv(stop.channel()) -> _ => {}
            recv(failed.channel()) -> _ => is_clean = stop.is_stopped(),
        }
        children.stop();
        for thread in threads {
            let _ = thread.join();
        }
        is_clean
    }

    /// Converts this supervisor into a child of another.
    ///
    /// # Panics
    ///
    /// The child panics when the supervisor fails, so that its parent restarts it.
    pub fn into_child(self) -> ChildSpec {
        let name = self.name.clone();
        ChildSpec::new(name, RestartRule::Always, move |stop| {
            assert!(self.run(stop), "supervisor {} failed", self.name);
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
            .spawn(move || run_with_restarts(&spec, &stop, &failed));
        match thread {
            Ok(thread) => Some(thread),
            Err(e) => {
                log::error!(
                    "supervisor {}: cannot start a thread for {}: {e}",
                    self.name,
                    child.name
                );
                None
            }
        }
    }
}

fn run_with_restarts(child: &ChildSpec, stop: &StopSignal, failed: &StopSignal) {
    let mut failures: VecDeque<BootInstant> = VecDeque::new();
    let mut delay = MIN_RESTART_DELAY;
    loop {
        let panicked = catch_unwind(AssertUnwindSafe(|| (child.run)(stop))).is_err();
        if stop.is_stopped() || (!panicked && child.rule == RestartRule::OnPanic) {
            return;
        }
        log::error!(
            "{} ended early (panicked: {panicked}); restarting it",
            child.name
        );
        let now = BootInstant::now();
        failures.push_back(now);
        failures.retain(|at| now - *at < FAILURE_WINDOW);
        if failures.len() > MAX_FAILURES {
            log::error!(
                "{} failed {MAX_FAILURES} times in {FAILURE_WINDOW:?}; its supervisor fails",
                child.name
            );
            failed.stop();
            return;
        }
        if stop.wait(delay) {
            return;
        }
        delay = (delay * 2).min(MAX_RESTART_DELAY);
    }
}
