//! Plays one case of the review: the project's gateways as processes, and stand-ins for the
//! platform's store, the backend servers and the clients in this process.
//!
//! `driver CASE RECORD` exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disturbance is left out.

mod client;
mod copied_run;
mod documents;
mod extra_answer;
mod gateway;
mod half_read;
mod http;
mod names;
mod record;
mod rolling_stop;
mod server;
mod slow_reader;
mod small_window;
mod stage;
mod stepped_clock;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Whether the rule of a case held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("expected a case and the path of its record");
        return ExitCode::from(2);
    };
    let is_disturbed = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = Record::create(Path::new(path)).and_then(|record| match case.as_str() {
        "copied-run" => copied_run::play(&record, is_disturbed),
        "extra-answer" => extra_answer::play(&record, is_disturbed),
        "half-read" => half_read::play(&record, is_disturbed),
        "rolling-stop" => rolling_stop::play(&record, is_disturbed),
        "slow-reader" => slow_reader::play(&record, is_disturbed),
        "stepped-clock" => stepped_clock::play(&record, is_disturbed),
        _ => Err(std::io::Error::other("unknown case")),
    });
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
