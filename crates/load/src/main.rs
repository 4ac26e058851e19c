//! The `onyxfall-load` program: runs load scenarios and compares their results.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use miette::{IntoDiagnostic, Report, miette};
use onyxfall_load::{LoadResult, load_scenario, plot_latency, render_table, run_scenario};

/// Send load, and show what it measured.
#[derive(FromArgs)]
struct LoadArguments {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Run(RunCommand),
    Table(TableCommand),
}

/// run a scenario against a running deployment
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunCommand {
    /// scenario file (INI)
    #[argh(option)]
    scenario: PathBuf,

    /// label of the run, such as the policy
    #[argh(option, default = "String::from(\"run\")")]
    label: String,

    /// file for the result (JSON)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// show results side by side
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
struct TableCommand {
    /// result files (JSON)
    #[argh(positional)]
    results: Vec<PathBuf>,

    /// file for a plot (SVG)
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: LoadArguments = argh::from_env();
    match run(&arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: &LoadCommand) -> Result<(), Report> {
    match command {
        LoadCommand::Run(command) => {
            let scenario = load_scenario(&command.scenario)?;
            let result = run_scenario(&scenario, &command.label);
            if let Some(out) = &command.out {
                let text = serde_json::to_string_pretty(&result).into_diagnostic()?;
                std::fs::write(out, text).into_diagnostic()?;
            }
            println!("{}", render_table(&[result]));
            Ok(())
        }
        LoadCommand::Table(command) => {
            let mut results: Vec<LoadResult> = Vec::new();
            for path in &command.results {
                let text = std::fs::read_to_string(path).into_diagnostic()?;
                results.push(serde_json::from_str(&text).into_diagnostic()?);
            }
            println!("{}", render_table(&results));
            match &command.plot {
                Some(path) => plot_latency(&results, path).map_err(|e| miette!("{e}")),
                None => Ok(()),
            }
        }
    }
}
