//! The `onyxfall-slopes` program: measures how control traffic, memory, time to
//! force and platform calls grow, for docs/CAPACITY.md.
//!
//! Everything runs in this process: real entries over loopback, one stub of
//! the platform, and a responder for each backend server's load report. Figures are
//! per daemon and second unless stated otherwise; a row has the measured points
//! and the least-squares line through them.

mod bench;
mod fit;
mod memory;
mod series;

use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;

/// Measure the slopes of control traffic, memory and time to force.
#[derive(FromArgs)]
struct SlopesArguments {
    /// seconds to watch each point
    #[argh(option, default = "4")]
    seconds: u64,

    /// only the series whose name contains this
    #[argh(option, default = "String::new()")]
    only: String,

    /// most daemons in one point
    #[argh(option, default = "128")]
    daemons: usize,
}

fn main() -> ExitCode {
    let arguments: SlopesArguments = argh::from_env();
    let started = Instant::now();
    println!("| series | unit | points (x: y) | slope per x | at x = 0 | r2 |");
    println!("|---|---|---|---|---|---|");
    let mut failed = false;
    for series in series::all(arguments.seconds, arguments.daemons) {
        if !series.name.contains(&arguments.only) {
            continue;
        }
        match series.measure() {
            Ok(rows) => rows.iter().for_each(|row| println!("{row}")),
            Err(e) => {
                failed = true;
                println!("| {} | failed: {e} | | | | |", series.name);
            }
        }
    }
    println!("\nmeasured in {:.0} s", started.elapsed().as_secs_f64());
    if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
