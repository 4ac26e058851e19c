//! The `onyxfall-soak` program: runs real gateways as processes on loopback, injects
//! faults from outside by a plan drawn from a seed, and checks the promises from
//! what callers and backend servers observe.
//!
//! A seed always gives the same plan, but its effect on the processes depends on
//! scheduling, so it may take several runs of a seed to reproduce a failure.

mod brittle;
mod callers;
mod capacity;
mod checks;
mod crowd;
mod cuts;
mod deployment;
mod failover;
mod fault_log;
mod inventory;
mod limits;
mod partition;
mod parts;
mod plan;
mod processes;
mod repeats;
mod run;
mod signals;
mod silence;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use miette::{IntoDiagnostic, Report, miette};

use crate::plan::RunSize;
use crate::processes::ServerArguments;

/// Inject faults into real gateways from outside, and check their promises.
#[derive(FromArgs)]
struct SoakArguments {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,

    /// number of seeds, one after the other
    #[argh(option, default = "1")]
    seeds: u64,

    /// time with faults, in seconds
    #[argh(option, default = "8")]
    seconds: u64,

    /// gateways
    #[argh(option, default = "6")]
    vms: usize,

    /// backend servers
    #[argh(option, default = "6")]
    servers: usize,

    /// gateway program; by default the one beside this program
    #[argh(option)]
    program: Option<PathBuf>,

    #[argh(subcommand)]
    command: Option<SoakCommand>,
}

/// What the program does in place of a soak.
#[derive(FromArgs)]
#[argh(subcommand)]
enum SoakCommand {
    Server(ServerArguments),
    List(ListArguments),
}

/// Print the names of the faults that seeds draw and of the promises that are checked.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArguments {}

fn main() -> ExitCode {
    let arguments: SoakArguments = argh::from_env();
    let done = match &arguments.command {
        Some(SoakCommand::Server(server)) => Some(processes::serve(server)),
        Some(SoakCommand::List(_)) => Some(inventory::print()),
        None => None,
    };
    if let Some(done) = done {
        return match done {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        };
    }
    match run(&arguments) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("{failed} of {} seeds failed", arguments.seeds);
            ExitCode::FAILURE
        }
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

/// Runs every seed; returns the number that failed.
fn run(arguments: &SoakArguments) -> Result<u64, Report> {
    let beside = std::env::current_exe()
        .into_diagnostic()?
        .with_file_name("onyxfall-gateway");
    let program = arguments.program.clone().unwrap_or(beside);
    if !program.is_file() {
        return Err(miette!("{}: no gateway program there", program.display()));
    }
    if arguments.vms == 0 || arguments.servers == 0 {
        return Err(miette!("a run needs a gateway and a server"));
    }
    let size = RunSize {
        vms: arguments.vms,
        servers: arguments.servers,
        time: Duration::from_secs(arguments.seconds),
    };
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let result = run::run_seed(&program, seed, &size).into_diagnostic()?;
        let faults = result.plan.len();
        let broken = result.broken.len();
        println!(
            "seed {seed}: {faults} faults, {broken} promises broken, requests by status {}",
            result.summary
        );
        if broken > 0 {
            failed += 1;
            result.plan.iter().for_each(|fault| println!("  {fault}"));
            result
                .broken
                .iter()
                .for_each(|broken| println!("  {broken}"));
        }
    }
    Ok(failed)
}
