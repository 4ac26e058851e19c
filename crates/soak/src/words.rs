//! What servers said of themselves against what reached them afterwards.
//!
//! A VM that has passed a server's answer on, or refuses with 503, has read the heads of
//! the answers before it; one that ends a request for its deadline may not have. So a
//! request that a caller sends after any caller has had an answer by which a server told a
//! VM that it leaves, or wants rest, must not reach that server from that VM: no time is
//! granted for it, since what was on its way before was sent before. A freeze or restart of
//! the VM excuses it, and a link that is harmed while the answer is under way.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use onyxfall_fakes::ArrivedRequest;

use crate::callers::CallReport;
use crate::checks::BrokenPromise;

/// Status by which a VM refuses.
const REFUSED: u16 = 503;

/// Something whose disturbance excuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DisturbedPart {
    /// A VM stands still.
    Vm(usize),
    /// Its process was told to end, or has ended.
    Process(usize),
    /// The link to a server is harmed.
    Link(usize),
}

/// When parts were disturbed.
#[derive(Default)]
pub(crate) struct DisturbanceLog {
    open: BTreeMap<DisturbedPart, Instant>,
    ended: Vec<(DisturbedPart, Instant, Instant)>,
}

impl DisturbanceLog {
    /// Notes that a disturbance begins; one that is under way goes on.
    pub(crate) fn begin(&mut self, part: DisturbedPart) {
        self.open.entry(part).or_insert_with(Instant::now);
    }

    /// Notes that it ends.
    pub(crate) fn end(&mut self, part: DisturbedPart) {
        if let Some(begun) = self.open.remove(&part) {
            self.ended.push((part, begun, Instant::now()));
        }
    }

    pub(crate) fn is_disturbed(&self, part: DisturbedPart, from: Instant, to: Instant) -> bool {
        let is_open = self.open.get(&part).is_some_and(|begun| *begun <= to);
        let mut ended = self.ended.iter();
        is_open || ended.any(|(other, begun, end)| *other == part && *begun <= to && *end >= from)
    }
}

/// What callers saw of a request, as far as the order of events goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    pub(crate) sent: Instant,
    /// When the answer had come, if it shows that the VM had read what servers said.
    read: Option<Instant>,
}

/// One life of a server, and what reached it.
pub(crate) struct LifeArrivals {
    /// The server.
    pub(crate) server: usize,
    /// Which of its lives.
    pub(crate) life: usize,
    /// In the order of arrival.
    pub(crate) arrivals: Vec<ArrivedRequest>,
}

/// The checks, fed while a run goes on.
#[derive(Default)]
pub(crate) struct WordChecks {
    pub(crate) calls: BTreeMap<String, CallTimes>,
    pub(crate) disturbances: DisturbanceLog,
    /// When requests reached the last of their servers.
    last_arrivals: BTreeMap<String, Instant>,
    /// Words that were told and could be checked, for the report.
    pub(crate) told: usize,
    /// Times of limits that could be checked, for the report.
    pub(crate) limited: usize,
}

/// A word that a VM is known to have read.
struct ToldWord {
    vm: usize,
    /// When a caller had the answer.
    read: Instant,
    /// When it was said.
    said: Instant,
    /// Until when it holds; none if it holds for good.
    until: Option<Instant>,
}

impl WordChecks {
    /// Notes when a request was sent and answered.
    pub(crate) fn take_report(&mut self, report: &CallReport) {
        let times = CallTimes {
            sent: report.sent,
            read: report.answered.filter(|_| shows_reading(report)),
        };
        self.calls.insert(report.id.clone(), times);
    }

    /// Notes what reached a life of a server; all of them before the first check.
    pub(crate) fn note_arrivals(&mut self, life: &LifeArrivals) {
        for arrived in &life.arrivals {
            let last = self.last_arrivals.entry(arrived.request_id.clone());
            let last = last.or_insert(arrived.at);
            *last = arrived.at.max(*last);
        }
    }

    /// When a caller had the answer to a request, if that shows that the VM had read what
    /// the server said in its answer. It does not where the request reached the server only
    /// after that, or went on to another server although this one ran it: its VM had given
    /// the attempt up.
    pub(crate) fn read_at(&self, arrived: &ArrivedRequest) -> Option<Instant> {
        let read = self.calls.get(&arrived.request_id)?.read?;
        let last = self.last_arrivals.get(&arrived.request_id);
        let went_on = arrived.said.rest.is_none() && last.is_some_and(|last| *last > arrived.at);
        (arrived.at < read && !went_on).then_some(read)
    }

    /// The promises that were broken at one life of a server; `vms` are the VMs' addresses.
    pub(crate) fn check(&mut self, life: &LifeArrivals, vms: &[IpAddr]) -> Vec<BrokenPromise> {
        let told = self.told_words(life, vms);
        self.told += told.len();
        let mut broken = Vec::new();
        for word in &told {
            let later = life.arrivals.iter().filter(|arrived| {
                vms[word.vm] == arrived.from && self.is_after(word, arrived, life.server)
            });
            broken.extend(later.map(|arrived| describe(word, arrived, life)));
        }
        broken
    }

    /// Words whose answer a caller has had.
    fn told_words(&self, life: &LifeArrivals, vms: &[IpAddr]) -> Vec<ToldWord> {
        let mut told = Vec::new();
        for arrived in &life.arrivals {
            let read = self.read_at(arrived);
            let vm = vms.iter().position(|ip| *ip == arrived.from);
            let (Some(read), Some(vm)) = (read, vm) else {
                continue;
            };
            let said = arrived.at;
            let word = |until| ToldWord {
                vm,
                read,
                said,
                until,
            };
            if arrived.said.is_leaving {
                told.push(word(None));
            }
            let seconds = arrived.said.rest.and_then(|rest| rest.seconds.parse().ok());
            let rest = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            if let Some(rest) = rest {
                told.push(word(Some(said + rest)));
            }
        }
        told
    }

    /// Whether a request was sent after a word was read, and reached the server all the
    /// same, without an excuse.
    fn is_after(&self, word: &ToldWord, arrived: &ArrivedRequest, server: usize) -> bool {
        let sent = self.calls.get(&arrived.request_id).map(|times| times.sent);
        if sent.is_none_or(|sent| sent <= word.read) {
            return false;
        }
        if word.until.is_some_and(|until| arrived.at >= until) {
            return false;
        }
        let is_disturbed = |part| self.disturbances.is_disturbed(part, word.said, arrived.at);
        let link = DisturbedPart::Link(server);
        let may_be_unread = self.disturbances.is_disturbed(link, word.said, word.read);
        let is_vm_disturbed = is_disturbed(DisturbedPart::Vm(word.vm))
            || is_disturbed(DisturbedPart::Process(word.vm));
        !is_vm_disturbed && !may_be_unread
    }
}

/// Whether an answer shows that its VM has read what the servers before it had said: it is
/// a server's, or the VM's refusal. Callers of a suspended VM got 504 for requests whose
/// refusals by a server it had never read.
fn shows_reading(report: &CallReport) -> bool {
    report.is_own || report.status == Some(REFUSED)
}

fn describe(word: &ToldWord, arrived: &ArrivedRequest, life: &LifeArrivals) -> BrokenPromise {
    let LifeArrivals { server, life, .. } = life;
    let after = (arrived.at - word.read).as_millis();
    let id = &arrived.request_id;
    let text = format!(
        "server {server}, life {life}, vm{}: {id} after {after} ms",
        word.vm
    );
    if word.until.is_some() {
        BrokenPromise::SentInRest(text)
    } else {
        BrokenPromise::SentWhileLeaving(text)
    }
}
