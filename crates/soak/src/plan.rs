//! The plan of faults of a run, drawn from its seed.
//!
//! Faults overlap on purpose: each series is drawn independently, and no fault waits for
//! another to end. The last part of a run is free of faults, so that recovery can be
//! checked.

use std::fmt;
use std::time::Duration;

use onyxfall_fakes::{
    BreakEnd, BreakPoint, LinkMode, PathCut, RequestedBackoff, ServerFault, StoreMode, StubFraming,
    StubTransfer,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::deployment::REGIONS;

/// Range of a fault's duration, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..2500;
/// Mean time between the starts of two faults, in milliseconds.
const FAULT_PAUSE_MS: u64 = 400;
/// Delay before the first fault, so that every gateway is serving by then.
const LEAD: Duration = Duration::from_secs(1);
/// Faults of server entries are drawn in a separate series, so that a seed gives the same
/// other faults with and without this series.
const ENTRY_SERIES: u64 = 0x656e_7472_7965_7321;
/// Mean time between the starts of two faults of server entries, in milliseconds.
const ENTRY_PAUSE_MS: u64 = 1200;
/// Number of kinds of foreign entries.
const FOREIGN_KINDS: usize = 15;

/// Signals of servers are drawn in a separate series, for the same reason.
const SIGNAL_SERIES: u64 = 0x776f_7264_735f_7331;
/// Mean time between the starts of two signal faults, in milliseconds: limits reduce the
/// requests that receive signals.
const SIGNAL_PAUSE_MS: u64 = 350;
/// Backoffs that servers ask for, in seconds: whole, fractional and malformed.
const BACKOFFS: [&str; 6] = ["1", "0.7", "2", "1.25", "-1", "soon"];
/// A server with backoff rejects every n-th request; the range of n.
const REJECT_EVERY: std::ops::Range<usize> = 1..4;

/// Limits of servers are drawn in a separate series, for the same reason.
const LIMIT_SERIES: u64 = 0x6c69_6d69_7473_5f31;
/// Mean time between the starts of two limit faults, in milliseconds, and the range
/// of their duration: it must continue after every VM has received the limit.
/// With a pause of 1800 ms, six runs of 5 s checked at most one limit in all.
const LIMIT_PAUSE_MS: u64 = 700;
const LIMIT_MS: std::ops::Range<u64> = 2500..6000;
/// Limits that servers signal, in requests per second: low, zero and malformed. Low ones are
/// rarely checked, since few requests carry them; the others leave enough requests.
const LIMITS: [&str; 9] = ["1", "2.5", "0.4", "4", "8", "12", "20", "0", "soon"];

/// Slow reading of servers is drawn in a separate series, for the same reason, with this mean
/// time between the starts in milliseconds.
const READING_SERIES: u64 = 0x7265_6164_696e_6721;
const READING_PAUSE_MS: u64 = 2500;

/// Paces that servers state, the last ones malformed: not a number, negative, zero, empty and
/// one field too many.
const PACES: [&str; 5] = ["60", "100", "160", "250", "400"];
const MALFORMED_PACES: [&str; 5] = ["fast", "-5", "0", "", "160, 7"];
/// Time for which a server states a pace, and one part in how many is malformed.
const PACE_MS: u128 = 250;
const MALFORMED_PARTS: u32 = 12;

/// Restores of the store are drawn in a separate series, for the same reason.
const RESTORE_SERIES: u64 = 0x7265_7374_6f72_6531;
/// Mean time between the starts of two restores, in milliseconds.
const RESTORE_PAUSE_MS: u64 = 3000;

/// Cuts of the paths between a VM and all servers are drawn in a separate series, for the same
/// reason.
const PATH_SERIES: u64 = 0x7061_7468_735f_6375;
/// Mean time between the starts of two cuts, in milliseconds.
const PATH_PAUSE_MS: u64 = 1500;

/// Responses without a length or chunks, and streams that are broken off visibly, are drawn in a
/// separate series, for the same reason, with this mean time between the starts in milliseconds.
const TRANSFER_SERIES: u64 = 0x7472_616e_7366_6572;
const TRANSFER_PAUSE_MS: u64 = 300;

/// Failures that look like rejections are drawn in a separate series, for the same reason, with
/// this mean time between the starts in milliseconds and these statuses.
const UNMARKED_SERIES: u64 = 0x756e_6d61_726b_6564;
const UNMARKED_PAUSE_MS: u64 = 1200;
const UNMARKED_STATUSES: [u16; 3] = [408, 429, 503];

/// Suspensions are drawn in a separate series, for the same reason.
const SUSPENSION_SERIES: u64 = 0x6177_6179_5f73_6572;
/// Mean time between the starts of two suspensions, in milliseconds.
const SUSPENSION_PAUSE_MS: u64 = 1700;
/// Seconds by which a suspended VM's clock is advanced.
const SUSPENSION_S: std::ops::RangeInclusive<u64> = 1..=60;

/// Servers with few places are drawn in a separate series, for the same reason, with this mean time
/// between the starts in milliseconds and this number of places.
const PLACES_SERIES: u64 = 0x706c_6163_6573_5f31;
const PLACES_PAUSE_MS: u64 = 1200;
const PLACES: std::ops::Range<u32> = 1..5;

/// Stops of servers are drawn in a separate series, for the same reason. They do not overlap, so that
/// none is longer than a request may take.
const STOP_SERIES: u64 = 0x7374_6f70_735f_6f66;
/// Range of a stop's duration, of which short ones are more frequent, and of the time between two, in
/// milliseconds.
const STOP_MS: std::ops::Range<f64> = 400.0..3000.0;
const STOP_PAUSE_MS: std::ops::Range<u64> = 400..1200;

/// Name of a server's next instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextInstance {
    /// The next instance has a new name.
    Renamed,
    /// The next instance keeps the name; only its start time differs.
    Restarted,
}

/// A fault; the first `usize` is the index of the VM or server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The gateway is killed, and restarted when the fault ends.
    Kill(usize),
    /// The gateway is sent a shutdown signal, and restarted once it has exited.
    Shutdown(usize),
    /// The gateway is paused.
    Pause(usize),
    /// The gateway is paused, and its clock is advanced by the given seconds afterwards, as
    /// after a suspension of the VM.
    Suspend(usize, u64),
    /// The gateway is sent a signal to reload its settings.
    Reload(usize),
    /// Sets the mode of the link between a gateway and the store.
    StoreLink(usize, LinkMode),
    /// Sets the mode of the link between callers and a gateway.
    CallerLink(usize, LinkMode),
    /// Sets the mode of the link between gateways and a server.
    ServerLink(usize, LinkMode),
    /// Cuts the paths between a gateway and all servers.
    Paths(usize, PathCut),
    /// Sets the mode of the store.
    Store(StoreMode),
    /// The store compacts its history.
    CompactHistory,
    /// The store is restored from a snapshot made at the start of the fault.
    Restore,
    /// Sets how a server fails requests.
    Server(usize, ServerFault),
    /// The process of a server is stopped, and goes on when the fault ends.
    Stop(usize),
    /// Sets how a server transfers its responses.
    Transfer(usize, StubTransfer),
    /// A server drains, and a new instance with a new name replaces it.
    Replace(usize),
    /// The operator writes a new configuration.
    Configure,
    /// A server crashes and restarts under the same name.
    Restart(usize),
    /// A server signals in its responses alone that it is draining; when the fault ends, a
    /// new instance replaces it.
    SignalDrain(usize, NextInstance),
    /// A server rejects requests and asks for backoff.
    Backoff(usize, RequestedBackoff),
    /// A server signals a limit, in requests per second.
    Limit(usize, &'static str),
    /// A server says that it falls over if it rejects too many requests for want of room.
    Brittle(usize),
    /// A server runs at most so many requests at the same time, keeps a few more in its queue and
    /// rejects others.
    Places(usize, u32),
    /// Another writer overwrites a server's entry with a foreign value. The second number
    /// selects the kind of value.
    MalformedEntry(usize, usize),
}

impl Fault {
    /// Name of the fault and its mode, without the index of its VM or server.
    pub(crate) fn switch(self) -> String {
        match self {
            Self::StoreLink(_, mode) => format!("StoreLink {mode:?}"),
            Self::CallerLink(_, mode) => format!("CallerLink {mode:?}"),
            Self::ServerLink(_, mode) => format!("ServerLink {mode:?}"),
            Self::Paths(_, cut) => format!("Paths {cut:?}"),
            Self::Store(mode) => format!("Store {mode:?}"),
            Self::Server(_, fault) => format!("Server {fault:?}"),
            Self::SignalDrain(_, next) => format!("SignalDrain {next:?}"),
            Self::Backoff(_, backoff) => format!("Backoff {}", backoff.seconds),
            Self::Limit(_, limit) => format!("Limit {limit}"),
            Self::Transfer(_, StubTransfer { framing, break_end }) => {
                format!("Transfer {framing:?} {break_end:?}")
            }
            other => {
                let text = format!("{other:?}");
                text.split('(').next().unwrap_or_default().to_owned()
            }
        }
    }

    /// Whether the fault has no duration.
    pub(crate) fn is_momentary(self) -> bool {
        matches!(
            self,
            Self::Shutdown(_)
                | Self::Reload(_)
                | Self::CompactHistory
                | Self::Replace(_)
                | Self::Configure
                | Self::Restart(_)
        )
    }
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// Start of the fault, from the start of the run.
    pub(crate) at: Duration,
    /// End of the fault, from the start of the run.
    pub(crate) until: Duration,
    /// The fault.
    pub(crate) fault: Fault,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, until) = (self.at.as_millis(), self.until.as_millis());
        write!(f, "{at:>6} ms to {until:>6} ms {:?}", self.fault)
    }
}

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSize {
    /// Number of gateways.
    pub(crate) vms: usize,
    /// Number of backend servers.
    pub(crate) servers: usize,
    /// Length of the part with faults.
    pub(crate) time: Duration,
}

/// Draws one fault.
type DrawFault = fn(&mut StdRng, &RunSize) -> Fault;

/// A series of faults that is drawn independently of other series.
struct FaultSeries {
    /// Combined with the seed, so that each series has its own random draws.
    name: u64,
    /// Mean time between the starts of two faults, in milliseconds.
    pause_ms: u64,
    /// Range of a fault's duration, in milliseconds.
    lasts_ms: std::ops::Range<u64>,
    draw: DrawFault,
}

impl FaultSeries {
    /// Draws the faults of a seed.
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

/// All paces that servers state.
pub(crate) fn paces() -> impl Iterator<Item = &'static str> {
    PACES.into_iter().chain(MALFORMED_PACES)
}

/// The pace that a server states at a time of the run of a seed.
pub(crate) fn pace_at(seed: u64, server: usize, time: Duration) -> &'static str {
    let period = u64::try_from(time.as_millis() / PACE_MS).unwrap_or(u64::MAX);
    let mut rng = StdRng::seed_from_u64(seed ^ (period << 32) ^ ((server as u64) << 16));
    let paces = if rng.random_range(0..MALFORMED_PARTS) == 0 {
        MALFORMED_PACES
    } else {
        PACES
    };
    paces[rng.random_range(0..paces.len())]
}

/// Draws the faults of a seed, in the order of their start.
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
        usual(SIGNAL_SERIES, SIGNAL_PAUSE_MS, draw_signal),
        usual(SUSPENSION_SERIES, SUSPENSION_PAUSE_MS, draw_suspension),
        usual(READING_SERIES, READING_PAUSE_MS, |rng, size| {
            Fault::Server(rng.random_range(0..size.servers), ServerFault::ReadsSlowly)
        }),
        usual(TRANSFER_SERIES, TRANSFER_PAUSE_MS, draw_transfer),
        usual(PLACES_SERIES, PLACES_PAUSE_MS, |rng, size| {
            let server = rng.random_range(0..size.servers);
            Fault::Places(server, rng.random_range(PLACES))
        }),
        usual(UNMARKED_SERIES, UNMARKED_PAUSE_MS, |rng, size| {
            let server = rng.random_range(0..size.servers);
            let status = UNMARKED_STATUSES[rng.random_range(0..UNMARKED_STATUSES.len())];
            Fault::Server(server, ServerFault::FailsWith(status))
        }),
        usual(RESTORE_SERIES, RESTORE_PAUSE_MS, |_, _| Fault::Restore),
        usual(PATH_SERIES, PATH_PAUSE_MS, |rng, size| {
            let vm = rng.random_range(0..size.vms);
            Fault::Paths(vm, PathCut::ALL[rng.random_range(0..PathCut::ALL.len())])
        }),
        FaultSeries {
            lasts_ms: LIMIT_MS,
            ..usual(LIMIT_SERIES, LIMIT_PAUSE_MS, draw_limit)
        },
    ];
    let drawn = series.iter().flat_map(|series| series.draw(seed, size));
    let mut faults: Vec<PlannedFault> = drawn.collect();
    faults.extend(draw_stops(seed, size));
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws stops of one, most or all servers, or of those of a region, each beside a fault of another
/// kind.
fn draw_stops(seed: u64, size: &RunSize) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ STOP_SERIES);
    let mut faults = Vec::new();
    let mut end = LEAD;
    while end < LEAD + size.time {
        let at = end + Duration::from_millis(rng.random_range(STOP_PAUSE_MS));
        let skewed = rng.random::<f64>().powi(2);
        let lasts_ms = STOP_MS.start + (STOP_MS.end - STOP_MS.start) * skewed;
        let lasts = Duration::from_secs_f64(lasts_ms / 1000.0);
        end = at + lasts;
        let servers = draw_stopped(&mut rng, size);
        let planned = |at, fault| PlannedFault {
            at,
            until: end,
            fault,
        };
        let stops = servers
            .iter()
            .map(|server| planned(at, Fault::Stop(*server)));
        faults.extend(stops);
        let beside = at + lasts.mul_f64(rng.random());
        faults.push(planned(beside, draw_beside_stop(&mut rng, size)));
    }
    faults
}

/// Draws the servers that are stopped together.
pub(crate) fn draw_stopped(rng: &mut StdRng, size: &RunSize) -> Vec<usize> {
    let drawn = rng.random_range(0..size.servers);
    let kind = rng.random_range(0..4);
    let is_stopped = |server: &usize| match kind {
        0 => *server == drawn,
        1 => *server != drawn,
        2 => server % REGIONS == drawn % REGIONS,
        _ => true,
    };
    (0..size.servers).filter(is_stopped).collect()
}

/// Draws a planned change or a fault of a VM or server beside a stop.
fn draw_beside_stop(rng: &mut StdRng, size: &RunSize) -> Fault {
    let vm = rng.random_range(0..size.vms);
    match rng.random_range(0..8) {
        0..=2 => Fault::Configure,
        3 => Fault::Reload(vm),
        4 => Fault::Shutdown(vm),
        5 => Fault::Kill(vm),
        6 => Fault::Paths(vm, PathCut::ALL[rng.random_range(0..PathCut::ALL.len())]),
        _ => Fault::Replace(rng.random_range(0..size.servers)),
    }
}

fn draw_entry_fault(rng: &mut StdRng, size: &RunSize) -> Fault {
    let server = rng.random_range(0..size.servers);
    if rng.random() {
        Fault::Restart(server)
    } else {
        Fault::MalformedEntry(server, rng.random_range(0..FOREIGN_KINDS))
    }
}

fn draw_signal(rng: &mut StdRng, size: &RunSize) -> Fault {
    let server = rng.random_range(0..size.servers);
    if rng.random_range(0..3) == 0 {
        let next = if rng.random() {
            NextInstance::Renamed
        } else {
            NextInstance::Restarted
        };
        return Fault::SignalDrain(server, next);
    }
    if rng.random_range(0..4) == 0 {
        return Fault::Brittle(server);
    }
    let backoff = RequestedBackoff {
        seconds: BACKOFFS[rng.random_range(0..BACKOFFS.len())],
        every: rng.random_range(REJECT_EVERY),
    };
    Fault::Backoff(server, backoff)
}

fn draw_transfer(rng: &mut StdRng, size: &RunSize) -> Fault {
    let server = rng.random_range(0..size.servers);
    let break_end = if rng.random() {
        BreakEnd::Close
    } else {
        BreakEnd::Reset
    };
    match rng.random_range(0..4) {
        0 => Fault::Server(server, ServerFault::BreaksStreams(BreakPoint::BeforeEvents)),
        1 => Fault::Server(server, ServerFault::BreaksStreams(BreakPoint::InEvent)),
        _ => Fault::Transfer(
            server,
            StubTransfer {
                framing: StubFraming::UntilClose,
                break_end,
            },
        ),
    }
}

fn draw_limit(rng: &mut StdRng, size: &RunSize) -> Fault {
    let server = rng.random_range(0..size.servers);
    Fault::Limit(server, LIMITS[rng.random_range(0..LIMITS.len())])
}

fn draw_suspension(rng: &mut StdRng, size: &RunSize) -> Fault {
    let vm = rng.random_range(0..size.vms);
    Fault::Suspend(vm, rng.random_range(SUSPENSION_S))
}

fn draw_fault(rng: &mut StdRng, size: &RunSize) -> Fault {
    let vm = rng.random_range(0..size.vms);
    let server = rng.random_range(0..size.servers);
    match rng.random_range(0..18) {
        0 => Fault::Kill(vm),
        1 => Fault::Shutdown(vm),
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
        11 => Fault::CompactHistory,
        12..=14 => Fault::Server(server, draw_server_fault(rng)),
        15 => Fault::Replace(server),
        _ => Fault::Configure,
    }
}

fn draw_mode(rng: &mut StdRng) -> LinkMode {
    match rng.random_range(0..6) {
        0 => LinkMode::Slow,
        5 => LinkMode::Narrow,
        1 => LinkMode::Broken,
        2 => LinkMode::StalledToTarget,
        3 => LinkMode::StalledFromTarget,
        _ => LinkMode::Stalled,
    }
}

fn draw_server_fault(rng: &mut StdRng) -> ServerFault {
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
