//! Backend servers as processes of their own, which signals stop and continue.
//!
//! VMs connect to them without a link in between, so that they meet the kernel of a stopped process.
//! Each is started from the soak's own program, reports its requests for each line of its input, and
//! ends with its input.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::str::FromStr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use onyxfall_adapter::stub::ReceivedCall;
use onyxfall_fakes::{ArrivedRequest, RunState, ServerStub, StubSignals};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};

use crate::deployment::VERSIONS;
use crate::plan::{RunSize, draw_stopped};

/// Number of stops of a phase, their length in milliseconds, and the time before each, in which
/// streams begin.
const STOPS: usize = 4;
const STOP_MS: std::ops::Range<u64> = 400..1500;
pub(crate) const BETWEEN_STOPS: Duration = Duration::from_millis(800);
/// Combined with the seed, so that the phase has random draws of its own.
const STOP_SERIES: u64 = 0x7369_6773_746f_7073;

/// Prefixes of the lines of a report.
const ARRIVED: &str = "arrived";
const RUN: &str = "run";
const END: &str = "end";
/// Stands for a time or name that is absent.
const NONE: &str = "-";

/// Run one backend server, for the soak that has started this process.
#[derive(FromArgs)]
#[argh(subcommand, name = "server")]
pub(crate) struct ServerArguments {
    /// address to listen on, at any port
    #[argh(option)]
    ip: IpAddr,

    /// name of the server
    #[argh(option)]
    name: String,

    /// its software version
    #[argh(option)]
    version: String,
}

/// Serves requests until the input ends.
///
/// # Errors
///
/// The address cannot be listened on, or the soak has gone.
pub(crate) fn serve(arguments: &ServerArguments) -> io::Result<()> {
    // A stopped process would not see the end of its input.
    set_parent_process_death_signal(Some(Signal::KILL))?;
    let stub = ServerStub::start(arguments.ip)?;
    stub.set_name(&arguments.name);
    if let Some(version) = VERSIONS.iter().find(|known| **known == arguments.version) {
        stub.set_version(version);
    }
    let mut output = io::stdout().lock();
    writeln!(output, "{}", stub.address())?;
    output.flush()?;
    for line in io::stdin().lines() {
        line?;
        write_report(&stub, &mut output)?;
        output.flush()?;
    }
    Ok(())
}

fn write_report(stub: &ServerStub, output: &mut impl Write) -> io::Result<()> {
    let now = Instant::now();
    let age = |at: Instant| now.saturating_duration_since(at).as_micros();
    for arrived in stub.arrivals_from(0) {
        let ArrivedRequest {
            at,
            from,
            request_id,
            done,
            run,
            has_sent,
            ..
        } = arrived;
        let done = done.map_or(NONE.to_owned(), |done| age(done).to_string());
        let at = age(at);
        writeln!(
            output,
            "{ARRIVED} {request_id} {from} {at} {done} {run:?} {has_sent}"
        )?;
    }
    for run in stub.runs_from(0) {
        let team = run.team.as_deref().unwrap_or(NONE);
        writeln!(output, "{RUN} {} {team} {}", run.request_id, run.has_key)?;
    }
    writeln!(output, "{END}")
}

/// The requests that reached a server process.
#[derive(Default)]
pub(crate) struct ServerReport {
    pub(crate) arrivals: Vec<ArrivedRequest>,
    pub(crate) runs: Vec<ReceivedCall>,
}

/// A running server process; dropping it kills it.
pub(crate) struct ServerProcess {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    address: SocketAddr,
}

impl ServerProcess {
    /// Starts a server on a free port of `ip`.
    ///
    /// # Errors
    ///
    /// The process cannot be started, or ends before it listens.
    pub(crate) fn start(ip: IpAddr, name: &str, version: &str) -> io::Result<Self> {
        let ip = ip.to_string();
        let mut child = Command::new(std::env::current_exe()?)
            .args(["server", "--ip", &ip, "--name", name, "--version", version])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(io::Error::other("a server process has no pipes"));
        };
        let mut output = BufReader::new(output);
        let mut line = String::new();
        output.read_line(&mut line)?;
        let address = line.trim().parse().map_err(io::Error::other)?;
        Ok(Self {
            child,
            input,
            output,
            address,
        })
    }

    /// Address on which it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends it a signal.
    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        match id {
            Some(id) => Ok(kill_process(id, signal)?),
            None => Err(io::Error::other("a server process has no id")),
        }
    }

    /// Reads its report and kills it: runs under way are broken off.
    pub(crate) fn finish(mut self) -> io::Result<ServerReport> {
        writeln!(self.input)?;
        let now = Instant::now();
        let mut report = ServerReport::default();
        loop {
            let mut line = String::new();
            if self.output.read_line(&mut line)? == 0 {
                return Err(io::Error::other("a server process has ended"));
            }
            let fields: Vec<&str> = line.split_whitespace().collect();
            match fields.as_slice() {
                [ARRIVED, fields @ ..] => report.arrivals.push(read_arrival(now, fields)?),
                [RUN, id, team, has_key] => report.runs.push(ReceivedCall {
                    request_id: (*id).to_owned(),
                    team: (*team != NONE).then(|| (*team).to_owned()),
                    has_key: parse(has_key)?,
                    ..ReceivedCall::default()
                }),
                [END] => return Ok(report),
                _ => return Err(malformed(&line)),
            }
        }
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        // It may already have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_arrival(now: Instant, fields: &[&str]) -> io::Result<ArrivedRequest> {
    let [id, from, at, done, run, has_sent] = fields else {
        return Err(malformed(&fields.join(" ")));
    };
    let time = |age: &str| -> io::Result<Instant> {
        let age = Duration::from_micros(parse(age)?);
        Ok(now.checked_sub(age).unwrap_or(now))
    };
    let run = match *run {
        "NotRun" => RunState::NotRun,
        "Finished" => RunState::Finished,
        "Abandoned" => RunState::Abandoned,
        _ => RunState::BrokenOff,
    };
    Ok(ArrivedRequest {
        at: time(at)?,
        from: parse(from)?,
        request_id: (*id).to_owned(),
        done: Some(if *done == NONE { now } else { time(done)? }),
        signals: StubSignals::default(),
        run,
        has_sent: parse(has_sent)?,
    })
}

fn parse<T: FromStr>(field: &str) -> io::Result<T> {
    field.parse().map_err(|_| malformed(field))
}

fn malformed(text: &str) -> io::Error {
    io::Error::other(format!("malformed report of a server process: {text}"))
}

/// A stop of some server processes.
pub(crate) struct ProcessStop {
    pub(crate) servers: Vec<usize>,
    pub(crate) lasts: Duration,
    /// The VM that is told to reload its settings meanwhile.
    pub(crate) reloads: usize,
}

/// Draws the stops of a seed.
pub(crate) fn draw_process_stops(seed: u64, size: &RunSize) -> Vec<ProcessStop> {
    let mut rng = StdRng::seed_from_u64(seed ^ STOP_SERIES);
    let stops = (0..STOPS).map(|_| ProcessStop {
        servers: draw_stopped(&mut rng, size),
        lasts: Duration::from_millis(rng.random_range(STOP_MS)),
        reloads: rng.random_range(0..size.vms),
    });
    stops.collect()
}
