//! The `onyxfall-gateway` program: serves the callers of one entry VM on a platform whose
//! store holds the configuration and the list of backend servers.
//!
//! A process runs one event loop. Its tasks share one [`gateway::Gateway`], which is
//! borrowed for a decision and never across an await. Only log output has a thread of its
//! own.

mod attempt;
mod backup;
mod body;
mod call;
mod caller_stream;
mod capacity_settings;
mod connection;
mod copies;
mod costs;
mod decide;
mod directory;
mod frames;
mod gateway;
mod links;
mod listen;
mod metrics;
mod numbered;
mod open;
mod origin_messages;
mod origins;
mod plan_report;
mod planning;
mod pool;
mod race;
mod reach;
mod relay;
mod relays;
mod reload;
mod report;
mod rollouts;
mod serve;
mod settings;
mod share;
mod shutdown;
mod signals;
mod store;
mod store_changes;
mod store_check;
mod store_client;
mod stream;
mod suspects;
mod suspension;
mod suspicion;
mod teams;
mod updates;
mod work_queries;

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use argh::FromArgs;
use miette::{IntoDiagnostic, Report};
use onyxfall_logging::{LogSink, start_logging};

use crate::gateway::Gateway;
use crate::settings::load_settings;

/// Serve callers of one entry VM.
#[derive(FromArgs)]
struct GatewayArguments {
    /// settings file (INI); by default the one that the platform names
    #[argh(option)]
    settings: Option<PathBuf>,

    /// check the settings and exit
    #[argh(switch)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments: GatewayArguments = argh::from_env();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: GatewayArguments) -> Result<(), Report> {
    let path = arguments
        .settings
        .or_else(|| std::env::var_os(onyxfall_adapter::SETTINGS_VARIABLE).map(PathBuf::from))
        .ok_or_else(|| miette::miette!("no settings file; pass --settings"))?;
    let settings = load_settings(&path)?;
    if arguments.check_settings {
        println!("{}: no fault; {}", path.display(), settings.switches);
        println!("{}", settings.capacity_plan);
        return Ok(());
    }
    start_logging("onyxfall-gateway", log::LevelFilter::Info, LogSink::Stdout);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, async {
        let gateway = Rc::new(Gateway::new(settings));
        listen::start(&gateway)?;
        store::start(&gateway);
        rollouts::start(&gateway);
        links::start(&gateway);
        reach::start(&gateway);
        origins::start(&gateway);
        gateway::start_ticker(&gateway);
        reload::start(&gateway, path);
        let switches = gateway.settings().switches.clone();
        log::info!(vm = gateway.vm().as_str(), decisions:% = switches; "started");
        shutdown::run(&gateway).await;
        Ok::<(), std::io::Error>(())
    });
    log::logger().flush();
    result.into_diagnostic()
}
