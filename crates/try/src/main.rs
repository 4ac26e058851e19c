//! The `onyxfall-try` program: runs two regions with their stubs and entries in one
//! process, and sends real requests over loopback. Each step checks the results that it
//! prints; the program exits with 0 only if every check passed.

mod client;
mod deployment;
mod steps;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut deployment = match deployment::TryDeployment::start() {
        Ok(deployment) => deployment,
        Err(e) => {
            eprintln!("cannot start the deployment: {e}");
            return ExitCode::from(2);
        }
    };
    let mut failed = 0;
    for step in steps::ALL {
        match (step.run)(&mut deployment) {
            Ok(result) => println!("ok    {:<28} {result}", step.name),
            Err(e) => {
                failed += 1;
                println!("FAIL  {:<28} {e}", step.name);
            }
        }
    }
    println!("{} steps, {failed} failed", steps::ALL.len());
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
