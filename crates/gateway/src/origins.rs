//! Versions that began streams: records them at their owners, and finds them for callers that
//! resume a stream.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use onyxfall_adapter::{CallHead, StreamResumption};
use onyxfall_fleet::{ConfigVersion, ResponseShape};
use onyxfall_policy::Moment;
use onyxfall_streams::{
    HISTORY, OwnerAnswer, ResumptionVerdict, StreamMemory, StreamOrigin, StreamTag, VersionClaim,
    VersionHistory, ViewState, judge_resumption, stream_owners,
};
use onyxfall_types::{RefusalReason, RequestError, ServiceName, SoftwareVersion, VmName, name_tag};
use onyxfall_wire::{StreamRecord, VersionHistorySet};
use rand::seq::IteratorRandom;
use tokio::sync::Notify;

use crate::call::{CallContext, CallOrigin, ResponseRule};
use crate::gateway::Gateway;
use crate::origin_messages::{
    ask_history, ask_origin, encode_history, encode_record, send_records,
};

/// Time for which records for the same owner are gathered. Records that a VM still holds are lost
/// with it.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// A stream and its resumptions last at most this many timeouts of its route.
const TIMEOUTS: u32 = 2;
/// Shortest assumed life of a stream.
const MIN_LIFE: Duration = Duration::from_secs(10);
/// Pause before the first question for the history of another VM, and longest pause between two.
const FIRST_HISTORY_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_HISTORY_PAUSE: Duration = Duration::from_secs(8);
/// Retry delay of a resumption whose version is not known: time for a VM that does not answer to
/// be treated as unresponsive.
const UNKNOWN_RETRY: Duration = Duration::from_millis(200);

/// What this VM knows of versions and streams.
pub(crate) struct StreamOrigins {
    history: RefCell<VersionHistory>,
    memory: RefCell<StreamMemory>,
    /// Records to send, by owner.
    pending: RefCell<BTreeMap<VmName, Vec<StreamRecord>>>,
    /// Notified when the first record is pending.
    records_pending: Notify,
    /// Assumed life of a stream, with the configuration that it was computed from.
    life: Cell<Option<(ConfigVersion, Duration)>>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            history: RefCell::new(VersionHistory::new(Moment::ZERO)),
            memory: RefCell::default(),
            pending: RefCell::default(),
            records_pending: Notify::new(),
            life: Cell::default(),
        }
    }
}

impl StreamOrigins {
    /// Records that changes may have been missed until now.
    pub(crate) fn restart_history(&self, now: Moment) {
        self.history.borrow_mut().restart(now);
    }
}

/// Starts the tasks that send records and take over the history of another VM.
pub(crate) fn start(gateway: &Rc<Gateway>) {
    tokio::task::spawn_local(send_pending(Rc::clone(gateway)));
    tokio::task::spawn_local(inherit_history(Rc::clone(gateway)));
}

async fn send_pending(gateway: Rc<Gateway>) {
    loop {
        gateway.origins.records_pending.notified().await;
        tokio::time::sleep(GATHER_TIME).await;
        for (vm, records) in gateway.origins.pending.take() {
            let gateway = Rc::clone(&gateway);
            tokio::task::spawn_local(async move { send_records(&gateway, &vm, records).await });
        }
    }
}

/// Asks other VMs for their history while this VM's own does not cover the life of a stream.
async fn inherit_history(gateway: Rc<Gateway>) {
    let mut pause = FIRST_HISTORY_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        if gateway.origins.history.borrow().is_complete(gateway.now()) {
            pause = LONGEST_HISTORY_PAUSE;
            continue;
        }
        let peer = {
            let overlay = gateway.overlay.borrow();
            let staying = overlay.roster().others().filter(|vm| vm.is_staying());
            let names = staying.map(|vm| vm.record.name.clone());
            names.choose(&mut *gateway.rng.borrow_mut())
        };
        let Some(peer) = peer else {
            pause = FIRST_HISTORY_PAUSE;
            continue;
        };
        if let Some((age, entries)) = ask_history(&gateway, &peer).await {
            let mut history = gateway.origins.history.borrow_mut();
            history.inherit(gateway.now(), age, entries);
        }
        pause = (pause * 2).min(LONGEST_HISTORY_PAUSE);
    }
}

impl Gateway {
    /// Records the versions of all known servers.
    pub(crate) fn observe_versions(&self, now: Moment) {
        let mut history = self.origins.history.borrow_mut();
        for (service, version) in self.fleet.borrow().entry_versions() {
            history.record(now, service, version);
        }
        history.expire(now);
        self.origins.memory.borrow_mut().expire(now);
    }

    /// Longest time that callers may take to resume a stream.
    fn stream_life(&self) -> Duration {
        let Some(table) = self.table() else {
            return HISTORY;
        };
        if let Some((version, life)) = self.origins.life.get()
            && version == table.version()
        {
            return life;
        }
        let routes = table.routes();
        let streams = routes.filter(|rule| matches!(rule.shape, ResponseShape::Stream { .. }));
        let longest = streams.map(|rule| rule.timeout * TIMEOUTS).max();
        let life = longest.unwrap_or_default().clamp(MIN_LIFE, HISTORY);
        self.origins.life.set(Some((table.version(), life)));
        life
    }

    /// Records which version sent the first event of a caller's stream: at its owners, unless the
    /// service has had no other version.
    pub(crate) fn record_origin(&self, call: &CallContext, version: Option<&SoftwareVersion>) {
        let is_resumable = call.rules.response == ResponseRule::Resumable;
        if !is_resumable || call.origin != CallOrigin::Caller {
            return;
        }
        let (now, service, life) = (self.now(), &call.needs.service, self.stream_life());
        let claim = {
            let mut history = self.origins.history.borrow_mut();
            history.record(now, service, version);
            history.claim(now, service, life)
        };
        let Some(version) = version else {
            return;
        };
        if matches!(claim, VersionClaim::Single(_)) {
            return;
        }
        let tag = StreamTag::of(&call.request_id);
        let origin = StreamOrigin {
            service_tag: name_tag(service.as_str()),
            version: version.clone(),
        };
        let record = encode_record(tag, &origin, life);
        let mut memory = self.origins.memory.borrow_mut();
        memory.record(now, tag, origin, life);
        let mut pending = self.origins.pending.borrow_mut();
        let was_empty = pending.is_empty();
        for owner in self.owners(tag) {
            self.metrics.count("onyxfall_origin_records_total");
            pending.entry(owner).or_default().push(record.clone());
        }
        if was_empty && !pending.is_empty() {
            self.origins.records_pending.notify_one();
        }
    }

    /// The other VMs that own a stream.
    fn owners(&self, tag: StreamTag) -> Vec<VmName> {
        let overlay = self.overlay.borrow();
        let roster = overlay.roster();
        let alive = roster.others().filter(|vm| vm.is_alive());
        let vms = alive.map(|vm| (&vm.record.name, roster.is_near(&vm.record)));
        stream_owners(tag, vms).into_iter().cloned().collect()
    }

    /// Keeps the records of streams that this VM owns.
    pub(crate) fn keep_records(
        &self,
        records: impl Iterator<Item = (StreamTag, StreamOrigin, Duration)>,
    ) {
        let now = self.now();
        let mut memory = self.origins.memory.borrow_mut();
        for (tag, origin, lasts) in records {
            memory.record(now, tag, origin, lasts.min(HISTORY));
        }
    }

    /// What this VM knows of a stream.
    pub(crate) fn origin_answer(
        &self,
        service: &ServiceName,
        tag: StreamTag,
        life: Duration,
    ) -> OwnerAnswer {
        let now = self.now();
        self.observe_versions(now);
        OwnerAnswer {
            origin: self.origins.memory.borrow().origin(now, tag).cloned(),
            claim: self.origins.history.borrow().claim(now, service, life),
        }
    }

    /// The history of this VM, for another one.
    pub(crate) fn history_message(&self) -> VersionHistorySet {
        let now = self.now();
        self.observe_versions(now);
        encode_history(&self.origins.history.borrow(), now)
    }

    /// Finds the version that began a stream which a caller resumes.
    ///
    /// # Errors
    ///
    /// The version cannot be told; the request has not run.
    pub(crate) async fn find_origin(
        &self,
        service: &ServiceName,
        call: &CallHead,
        resumption: &StreamResumption,
    ) -> Result<SoftwareVersion, RequestError> {
        let first_attempt = resumption.first_attempt.as_deref();
        let tag = StreamTag::of(first_attempt.unwrap_or_default());
        let verdict = self.judge_stream(service, tag).await;
        let (version, source) = match &verdict {
            ResumptionVerdict::Known(version, source) => (version.as_str(), source.as_str()),
            ResumptionVerdict::Unknown => ("unknown", "unknown"),
        };
        self.metrics.count(match &verdict {
            ResumptionVerdict::Known(..) => "onyxfall_resumptions_total",
            ResumptionVerdict::Unknown => "onyxfall_unknown_resumptions_total",
        });
        log::info!(
            request = call.request_id.as_str(),
            first_attempt = first_attempt.unwrap_or("none"),
            after = resumption.last_event.as_str(),
            service = service.as_str(),
            version,
            source;
            "caller resumes a stream"
        );
        match verdict {
            ResumptionVerdict::Known(version, _) => Ok(version),
            ResumptionVerdict::Unknown => {
                let detail = "the version that began the stream is not known";
                let error = RequestError::not_run(RefusalReason::Unresumable, detail);
                Err(error.with_retry_after(UNKNOWN_RETRY))
            }
        }
    }

    async fn judge_stream(&self, service: &ServiceName, tag: StreamTag) -> ResumptionVerdict {
        let (service_tag, life) = (name_tag(service.as_str()), self.stream_life());
        let own = self.origin_answer(service, tag, life);
        let view = ViewState {
            has_peers: self.has_live_peers(),
            is_watching: self.store.borrow().is_watched(),
            copy_age: self.copy_age(),
        };
        let needs_answer = view.needs_answer();
        let is_single = matches!(own.claim, VersionClaim::Single(_));
        let mut verdict = judge_resumption(service_tag, &own, &[], needs_answer);
        let owners = if own.origin.is_some() {
            Vec::new()
        } else {
            self.owners(tag)
        };
        let questions = owners.iter();
        let mut questions: FuturesUnordered<_> = questions
            .map(|vm| ask_origin(self, vm, service, tag, life))
            .collect();
        let mut answers = Vec::new();
        while let Some(answer) = questions.next().await {
            answers.extend(answer);
            verdict = judge_resumption(service_tag, &own, &answers, needs_answer);
            let is_recorded = answers.iter().any(|answer| answer.origin.is_some());
            let is_confirmed = is_single && matches!(verdict, ResumptionVerdict::Known(..));
            if is_recorded || is_confirmed {
                break;
            }
        }
        verdict
    }
}
