//! What is done to a deployment, and when, drawn from a seed.
//!
//! Faults overlap on purpose: each kind comes in a series of its own, and nothing
//! waits for another fault to end. The last part of a run is free of faults, so
//! that recovery can be checked.

use std::fmt;
use std::time::Duration;

use onyxfall_fakes::{RequestedBackoff, ServerFault, StoreMode};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::link::LinkMode;

/// Bounds of the time that one fault lasts.
const FAULT_MS: std::ops::Range<u64> = 200..2500;
/// Mean time between the beginnings of two faults, in milliseconds.
const FAULT_PAUSE_MS: u64 = 400;
/// Pause before the first fault, so that every gateway serves.
const LEAD: Duration = Duration::from_secs(1);
/// Entries change in a series of their own, so that the other faults of a seed stay
/// those that it was first played with.
const ENTRY_SERIES: u64 = 0x656e_7472_7965_7321;
/// Mean time between the beginnings of two of these, in milliseconds.
const ENTRY_PAUSE_MS: u64 = 1200;
/// Kinds of what other writers leave in entries.
const FOREIGN_KINDS: usize = 15;

/// Words of servers come in a series of their own, for the same reason.
const WORD_SERIES: u64 = 0x776f_7264_735f_7331;
/// Mean time between the beginnings of two of these, in milliseconds.
const WORD_PAUSE_MS: u64 = 450;
/// Times of rest that servers ask for, in seconds: whole, in part, absurd.
const RESTS: [&str; 6] = ["1", "0.7", "2", "1.25", "-1", "soon"];
/// Servers turn away every so-many-th request.
const RESTS_EVERY: std::ops::Range<usize> = 1..4;

/// Limits of servers come in a series of their own, for the same reason.
const LIMIT_SERIES: u64 = 0x6c69_6d69_7473_5f31;
/// Mean time between the beginnings of two of these, in milliseconds, and how long one
/// lasts: time must be left after every VM has read it.
const LIMIT_PAUSE_MS: u64 = 1800;
const LIMIT_MS: std::ops::Range<u64> = 1500..5000;
/// Requests a second that servers take: few, none, absurd.
const LIMITS: [&str; 6] = ["1", "2.5", "0.4", "4", "0", "soon"];

/// Restores of the store come in a series of their own, for the same reason.
const RESTORE_SERIES: u64 = 0x7265_7374_6f72_6531;
/// Mean time between the beginnings of two of these, in milliseconds.
const RESTORE_PAUSE_MS: u64 = 3000;

/// Suspensions come in a series of their own, for the same reason.
const AWAY_SERIES: u64 = 0x6177_6179_5f73_6572;
/// Mean time between the beginnings of two of these, in milliseconds.
const AWAY_PAUSE_MS: u64 = 1700;
/// Seconds that a suspended VM's clock is ahead afterwards.
const AWAY_S: std::ops::RangeInclusive<u64> = 1..=60;

/// How the next life of a server is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextLife {
    /// By a new name.
    Renamed,
    /// As the one before; its birth tells them apart.
    Reborn,
}

/// A fault; `usize` names the VM or server that it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The gateway is killed, and started again at the end.
    Kill(usize),
    /// The gateway is told to stop, and started again once it has ended.
    Stop(usize),
    /// The gateway is paused.
    Pause(usize),
    /// The gateway is paused, and its clock has gone on by so many seconds afterwards, as
    /// after a suspension.
    Suspend(usize, u64),
    /// The gateway is told to read its settings again.
    Reload(usize),
    /// The link between a gateway and the store.
    StoreLink(usize, LinkMode),
    /// The link between callers and a gateway.
    CallerLink(usize, LinkMode),
    /// The link between gateways and a server.
    ServerLink(usize, LinkMode),
    /// The store itself.
    Store(StoreMode),
    /// The store drops its history.
    ForgetHistory,
    /// The store comes back from a copy that was made at the beginning.
    Restore,
    /// What a server does with requests.
    Server(usize, ServerFault),
    /// A server leaves and a new life takes its place.
    Replace(usize),
    /// A new configuration.
    Configure,
    /// A server crashes and starts again under its name.
    Rebirth(usize),
    /// A server leaves and says so in its answers alone; at the end a new life takes its
    /// place.
    Leave(usize, NextLife),
    /// A server turns requests away and asks for rest.
    Rest(usize, RequestedBackoff),
    /// A server names the requests a second that it takes.
    Limit(usize, &'static str),
    /// Another writer leaves something in a server's entry that is none.
    /// The second number says what it is.
    Foreign(usize, usize),
}

impl Fault {
    /// Whether it is over at once.
    pub(crate) fn is_momentary(self) -> bool {
        matches!(
            self,
            Self::Stop(_)
                | Self::Reload(_)
                | Self::ForgetHistory
                | Self::Replace(_)
                | Self::Configure
                | Self::Rebirth(_)
        )
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// When it begins, from the start of the run.
    pub(crate) at: Duration,
    /// When it ends.
    pub(crate) until: Duration,
    /// What it is.
    pub(crate) fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, until) = (self.at.as_millis(), self.until.as_millis());
        write!(f, "{at:>6} ms to {until:>6} ms {:?}", self.fault)
    }
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSize {
    /// Gateways.
    pub(crate) vms: usize,
    /// Servers.
    pub(crate) servers: usize,
    /// Time with faults.
    pub(crate) time: Duration,
}

/// Draws one fault.
type DrawFault = fn(&mut StdRng, &RunSize) -> Fault;

/// Faults that come in a series of their own.
struct FaultSeries {
    /// Keeps its draws apart from those of other series.
    name: u64,
    /// Mean time between the beginnings of two, in milliseconds.
    pause_ms: u64,
    /// How long one lasts, in milliseconds.
    lasts_ms: std::ops::Range<u64>,
    draw: DrawFault,
}

impl FaultSeries {
    /// The faults of a seed.
    fn draw(&self, seed: u64, size: &RunSize) -> Vec<PlannedFault> {
        let mut rng = StdRng::seed_from_u64(seed ^ self.name);
        let millis = u64::try_from(size.time.as_millis()).unwrap_or(u64::MAX);
        let count = (millis / self.pause_ms).max(1);
        let planned = (0..count).map(|_| {
            let at = LEAD + Duration::from_millis(rng.random_range(0..millis.max(1)));
            let lasts = Duration::from_millis(rng.random_range(self.lasts_ms.clone()));
            PlannedFault {
                at,
                until: at + lasts,
                fault: (self.draw)(&mut rng, size),
            }
        });
        planned.collect()
    }
}

/// The faults of a seed, in the order of their beginning.
pub(crate) fn draw_plan(seed: u64, size: &RunSize) -> Vec<PlannedFault> {
    let usual = |name, pause_ms, draw: DrawFault| FaultSeries {
        name,
        pause_ms,
        lasts_ms: FAULT_MS,
        draw,
    };
    let series = [
        usual(0, FAULT_PAUSE_MS, draw_fault),
        usual(ENTRY_SERIES, ENTRY_PAUSE_MS, draw_entry_fault),
        usual(WORD_SERIES, WORD_PAUSE_MS, draw_word),
        usual(AWAY_SERIES, AWAY_PAUSE_MS, draw_suspension),
        usual(RESTORE_SERIES, RESTORE_PAUSE_MS, |_, _| Fault::Restore),
        FaultSeries {
            lasts_ms: LIMIT_MS,
            ..usual(LIMIT_SERIES, LIMIT_PAUSE_MS, draw_limit)
        },
    ];
    let drawn = series.iter().flat_map(|series| series.draw(seed, size));
    let mut faults: Vec<PlannedFault> = drawn.collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_entry_fault(rng: &mut StdRng, size: &RunSize) -> Fault {
    let server = rng.random_range(0..size.servers);
    if rng.random() {
        Fault::Rebirth(server)
    } else {
        Fault::Foreign(server, rng.random_range(0..FOREIGN_KINDS))
    }
}

fn draw_word(rng: &mut StdRng, size: &RunSize) -> Fault {
    let server = rng.random_range(0..size.servers);
    if rng.random_range(0..3) == 0 {
        let next = if rng.random() {
            NextLife::Renamed
        } else {
            NextLife::Reborn
        };
        return Fault::Leave(server, next);
    }
    let rest = RequestedBackoff {
        seconds: RESTS[rng.random_range(0..RESTS.len())],
        every: rng.random_range(RESTS_EVERY),
    };
    Fault::Rest(server, rest)
}

fn draw_limit(rng: &mut StdRng, size: &RunSize) -> Fault {
    let server = rng.random_range(0..size.servers);
    Fault::Limit(server, LIMITS[rng.random_range(0..LIMITS.len())])
}

fn draw_suspension(rng: &mut StdRng, size: &RunSize) -> Fault {
    let vm = rng.random_range(0..size.vms);
    Fault::Suspend(vm, rng.random_range(AWAY_S))
}

fn draw_fault(rng: &mut StdRng, size: &RunSize) -> Fault {
    let vm = rng.random_range(0..size.vms);
    let server = rng.random_range(0..size.servers);
    match rng.random_range(0..18) {
        0 => Fault::Kill(vm),
        1 => Fault::Stop(vm),
        2 | 3 => Fault::Pause(vm),
        4 => Fault::Reload(vm),
        5 | 6 => Fault::StoreLink(vm, draw_mode(rng)),
        7 => Fault::CallerLink(vm, draw_mode(rng)),
        8 | 9 => Fault::ServerLink(server, draw_mode(rng)),
        10 => Fault::Store(if rng.random() {
            StoreMode::Refusing
        } else {
            StoreMode::Unresponsive
        }),
        11 => Fault::ForgetHistory,
        12..=14 => Fault::Server(server, draw_failing(rng)),
        15 => Fault::Replace(server),
        _ => Fault::Configure,
    }
}

fn draw_mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Slow,
        1 => LinkMode::Broken,
        2 => LinkMode::HeldThere,
        3 => LinkMode::HeldBack,
        _ => LinkMode::Held,
    }
}

fn draw_failing(rng: &mut StdRng) -> ServerFault {
    const ALL: [ServerFault; 6] = [
        ServerFault::Fails,
        ServerFault::Rejects,
        ServerFault::Closes,
        ServerFault::WrongResponse,
        ServerFault::Disconnects,
        ServerFault::Unresponsive,
    ];
    ALL[rng.random_range(0..ALL.len())]
}
