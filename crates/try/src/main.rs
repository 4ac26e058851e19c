//! The `onyxfall-try` program: two regions, their stand-ins and entries in one
//! process, real requests over loopback. Each step checks what it prints; the
//! program exits 0 only if every check held.

mod client;
mod steps;
mod town;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut town = match town::TryTown::start() {
        Ok(town) => town,
        Err(e) => {
            eprintln!("could not start: {e}");
            return ExitCode::from(2);
        }
    };
    let mut failed = 0;
    for step in steps::ALL {
        match (step.run)(&mut town) {
            Ok(seen) => println!("ok    {:<28} {seen}", step.name),
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
