//! The `onyxfall-entry` program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use argh::FromArgs;
use miette::{IntoDiagnostic, Report};
use onyxfall_entry::{EntryProcess, load_settings, start_tracing};
use onyxfall_logging::{LogSink, start_logging};

/// Serve callers of one entry VM.
#[derive(FromArgs)]
struct EntryArguments {
    /// settings file (INI)
    #[argh(option)]
    settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments: EntryArguments = argh::from_env();
    match run(&arguments) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &EntryArguments) -> Result<ExitCode, Report> {
    let settings = load_settings(&arguments.settings)?;
    if arguments.check_settings {
        println!("{}: no fault", arguments.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    start_logging("onyxfall-entry", settings.log_level.0, LogSink::Stdout);
    start_tracing();
    let asked = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&asked)).into_diagnostic()?;
    }
    let process = Arc::new(EntryProcess::start(settings).into_diagnostic()?);
    let watcher = Arc::clone(&process);
    let stopper = std::thread::spawn(move || {
        while !asked.load(Ordering::SeqCst) && !watcher.has_ended() {
            std::thread::sleep(Duration::from_millis(50));
        }
        watcher.request_shutdown();
    });
    let was_requested = process.wait_for_shutdown();
    stopper.join().ok();
    let Ok(process) = Arc::try_unwrap(process) else {
        unreachable!("the watcher thread has ended");
    };
    let cut = process.stop();
    log::info!("shut down; {cut} requests were cut off");
    Ok(if was_requested {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
