//! The `onyxfall` program: command line for operators.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use miette::{IntoDiagnostic, Report, WrapErr, miette};
use onyxfall_bundle::{ContentDigest, HeadRecord, SigningSecret};
use onyxfall_logging::{LogSink, start_logging};
use onyxfall_operator::{
    OperatorContext, PredictionReport, RequestTimeline, RollPlan, SuspectReport, TeamReport,
    VersionReport, lift_suspect, load_operator_settings, read_plan,
};
use onyxfall_platform::PlatformClient;
use onyxfall_suspects::EvidenceKey;
use onyxfall_types::RegionName;

/// Timeout for reading the metrics or the plan of one VM.
const METRICS_TIMEOUT: Duration = Duration::from_secs(3);

/// Propose, sign off, roll out and withdraw bundles; drain VMs and servers.
#[derive(FromArgs)]
struct OperatorArguments {
    /// settings file (INI); not needed by check and keygen
    #[argh(option, default = "PathBuf::from(\"operator.ini\")")]
    settings: PathBuf,

    #[argh(subcommand)]
    command: OperatorCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum OperatorCommand {
    Keygen(KeygenCommand),
    Check(CheckCommand),
    Propose(ProposeCommand),
    SignOff(SignOffCommand),
    Roll(RollCommand),
    Withdraw(WithdrawCommand),
    Drain(DrainCommand),
    Undrain(UndrainCommand),
    Status(StatusCommand),
    Explain(ExplainCommand),
    Predictions(PredictionsCommand),
    Teams(TeamsCommand),
    Rollout(RolloutCommand),
    Plan(PlanCommand),
    Suspects(SuspectsCommand),
}

/// generate an operator's key pair
#[derive(FromArgs)]
#[argh(subcommand, name = "keygen")]
struct KeygenCommand {
    /// file for the secret key; must not exist
    #[argh(option)]
    secret_file: PathBuf,
}

/// check a bundle without changing anything
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// bundle file (INI)
    #[argh(positional)]
    bundle: PathBuf,
}

/// store a bundle under its digest
#[derive(FromArgs)]
#[argh(subcommand, name = "propose")]
struct ProposeCommand {
    /// bundle file (INI)
    #[argh(positional)]
    bundle: PathBuf,
}

/// sign a proposed bundle
#[derive(FromArgs)]
#[argh(subcommand, name = "sign-off")]
struct SignOffCommand {
    /// digest, as printed by propose
    #[argh(positional)]
    content: ContentDigest,
}

/// roll a signed bundle out region by region
#[derive(FromArgs)]
#[argh(subcommand, name = "roll")]
struct RollCommand {
    /// digest, as printed by propose
    #[argh(positional)]
    content: ContentDigest,

    /// regions in order, separated by commas
    #[argh(option)]
    regions: String,

    /// maximum time to wait for the entry VMs of a region, in ms; 0 disables the wait
    #[argh(option, default = "30000")]
    patience_ms: u64,
}

/// restore the former content, under a higher version
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct WithdrawCommand {
    /// digest of the content to withdraw
    #[argh(positional)]
    content: ContentDigest,
}

/// drain an entry VM or a backend server
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct DrainCommand {
    /// name of the VM or server
    #[argh(positional)]
    name: String,
}

/// cancel a drain request
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
struct UndrainCommand {
    /// name of the VM or server
    #[argh(positional)]
    name: String,
}

/// show the content in force in each region
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusCommand {}

/// show the timeline of one request from log files, or from standard input
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainCommand {
    /// id of the request, as received by the caller or found in a log line
    #[argh(positional)]
    request: String,

    /// log files of the VMs; standard input if there are none
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// compare predicted with measured times of requests from log files, or from standard input
#[derive(FromArgs)]
#[argh(subcommand, name = "predictions")]
struct PredictionsCommand {
    /// log files of the VMs; standard input if there are none
    #[argh(positional)]
    logs: Vec<PathBuf>,

    /// write a plot (SVG)
    #[argh(option)]
    plot: Option<PathBuf>,
}

/// show the usage of team limits, summed over the metrics of gateways
#[derive(FromArgs)]
#[argh(subcommand, name = "teams")]
struct TeamsCommand {
    /// addresses at which gateways serve readiness and metrics, IP:PORT each
    #[argh(positional)]
    addresses: Vec<SocketAddr>,
}

/// show the progress of service rollouts, from the metrics of gateways
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
struct RolloutCommand {
    /// addresses at which gateways serve readiness and metrics, IP:PORT each
    #[argh(positional)]
    addresses: Vec<SocketAddr>,
}

/// show which requests and prompt parts are refused because servers crash under them, from the
/// metrics of gateways, or lift the verdict on one of them
#[derive(FromArgs)]
#[argh(subcommand, name = "suspects")]
struct SuspectsCommand {
    /// lift the verdict on this key on all VMs, through the first of the gateways that can
    #[argh(option)]
    lift: Option<EvidenceKey>,

    /// addresses at which gateways serve readiness and metrics, IP:PORT each
    #[argh(positional)]
    addresses: Vec<SocketAddr>,
}

/// show the capacity plan of a gateway
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanCommand {
    /// address at which the gateway serves readiness and metrics, IP:PORT
    #[argh(positional)]
    address: SocketAddr,
}

fn main() -> ExitCode {
    let arguments: OperatorArguments = argh::from_env();
    start_logging("onyxfall", log::LevelFilter::Warn, LogSink::Stderr);
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &OperatorArguments) -> Result<(), Report> {
    match &arguments.command {
        OperatorCommand::Keygen(command) => keygen(&command.secret_file),
        OperatorCommand::Check(command) => {
            let (file, text) = read_bundle(&command.bundle)?;
            let (bundle, canonical) = OperatorContext::check(&file, &text)?;
            println!("{bundle}\ncontent {}", ContentDigest::of(&canonical));
            Ok(())
        }
        OperatorCommand::Explain(command) => explain(command),
        OperatorCommand::Predictions(command) => predictions(command),
        OperatorCommand::Teams(command) => teams(command),
        OperatorCommand::Rollout(command) => rollout(command),
        OperatorCommand::Plan(command) => plan(command),
        OperatorCommand::Suspects(command) => suspects(command),
        command => run_with_platform(command, &open_context(&arguments.settings)?),
    }
}

fn run_with_platform(command: &OperatorCommand, context: &OperatorContext) -> Result<(), Report> {
    match command {
        OperatorCommand::Propose(command) => {
            let (file, text) = read_bundle(&command.bundle)?;
            println!("proposed {}", context.propose(&file, &text)?);
        }
        OperatorCommand::SignOff(command) => {
            let signers = context.sign_off(&command.content)?;
            println!("signed by {signers:?}");
        }
        OperatorCommand::Roll(command) => {
            let plan = RollPlan {
                content: command.content,
                regions: parse_regions(&command.regions)?,
                patience: Duration::from_millis(command.patience_ms),
            };
            let head = context.roll(&plan, |step| {
                println!("{} is at {}", step.region, step.version);
            })?;
            print_head(&head);
        }
        OperatorCommand::Withdraw(command) => print_head(&context.withdraw(&command.content)?),
        OperatorCommand::Drain(command) => {
            context.drain(&command.name)?;
            println!("{} is to drain", command.name);
        }
        OperatorCommand::Undrain(command) => {
            context.undrain(&command.name)?;
            println!("the drain of {} is taken back", command.name);
        }
        OperatorCommand::Status(_) => print_head(&context.head()?),
        OperatorCommand::Keygen(_)
        | OperatorCommand::Check(_)
        | OperatorCommand::Explain(_)
        | OperatorCommand::Predictions(_)
        | OperatorCommand::Teams(_)
        | OperatorCommand::Rollout(_)
        | OperatorCommand::Plan(_)
        | OperatorCommand::Suspects(_) => {
            unreachable!("commands without platform access are handled by `run`")
        }
    }
    Ok(())
}

fn explain(command: &ExplainCommand) -> Result<(), Report> {
    let mut timeline = RequestTimeline::default();
    read_logs(&command.logs, |name, lines| {
        timeline.read(name, &command.request, lines)
    })?;
    if timeline.is_empty() {
        return Err(miette!("no log line of request {} found", command.request));
    }
    print!("{timeline}");
    Ok(())
}

fn predictions(command: &PredictionsCommand) -> Result<(), Report> {
    let mut report = PredictionReport::default();
    read_logs(&command.logs, |_, lines| report.read(lines))?;
    if report.is_empty() {
        return Err(miette!("no log line contains a prediction"));
    }
    print!("{report}");
    if let Some(path) = &command.plot {
        let result = report.plot(path);
        result.map_err(|e| miette!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn teams(command: &TeamsCommand) -> Result<(), Report> {
    let mut report = TeamReport::default();
    read_metrics(&command.addresses, |vm, metrics| report.read(vm, metrics));
    if report.is_empty() {
        return Err(miette!("no VM reported a team"));
    }
    print!("{report}");
    Ok(())
}

fn rollout(command: &RolloutCommand) -> Result<(), Report> {
    let mut report = VersionReport::default();
    read_metrics(&command.addresses, |vm, metrics| report.read(vm, metrics));
    if report.is_empty() {
        return Err(miette!("no VM reported a rollout"));
    }
    print!("{report}");
    Ok(())
}

fn suspects(command: &SuspectsCommand) -> Result<(), Report> {
    if let Some(key) = command.lift {
        return lift(&command.addresses, key);
    }
    let mut report = SuspectReport::default();
    read_metrics(&command.addresses, |vm, metrics| report.read(vm, metrics));
    if report.is_empty() {
        return Err(miette!(
            "no VM refuses a request or part under which servers crashed"
        ));
    }
    print!("{report}");
    Ok(())
}

/// Lifts the verdict on a key through one VM; prints an error for each VM that cannot.
fn lift(addresses: &[SocketAddr], key: EvidenceKey) -> Result<(), Report> {
    if addresses.is_empty() {
        return Err(miette!("expected the status address of a gateway, IP:PORT"));
    }
    for address in addresses {
        match lift_suspect(*address, key, METRICS_TIMEOUT) {
            Ok(()) => {
                println!("lifted {key} at {address}, which tells the other VMs");
                return Ok(());
            }
            Err(e) => eprintln!("{e}"),
        }
    }
    Err(miette!("no VM has lifted the verdict on {key}"))
}

fn plan(command: &PlanCommand) -> Result<(), Report> {
    let report = read_plan(command.address, METRICS_TIMEOUT).into_diagnostic()?;
    print!("{report}");
    Ok(())
}

/// Reads the metrics of each VM; prints an error for each VM that cannot be read.
fn read_metrics(addresses: &[SocketAddr], mut read: impl FnMut(&str, &str)) {
    let config = ureq::Agent::config_builder().timeout_global(Some(METRICS_TIMEOUT));
    let agent: ureq::Agent = config.build().into();
    for address in addresses {
        let response = agent.get(format!("http://{address}/metrics")).call();
        let text = response.and_then(|mut response| response.body_mut().read_to_string());
        match text {
            Ok(metrics) => read(&address.to_string(), &metrics),
            Err(e) => eprintln!("{address}: {e}; its metrics are missing from the report"),
        }
    }
}

/// Reads each log, or standard input (named `-`) if no log is given.
fn read_logs(
    logs: &[PathBuf],
    mut read: impl FnMut(&str, &mut dyn BufRead) -> io::Result<()>,
) -> Result<(), Report> {
    for log in logs {
        let name = log.display().to_string();
        let file = std::fs::File::open(log)
            .into_diagnostic()
            .wrap_err_with(|| name.clone())?;
        let result = read(&name, &mut BufReader::new(file));
        result.into_diagnostic().wrap_err(name)?;
    }
    if logs.is_empty() {
        read("-", &mut io::stdin().lock()).into_diagnostic()?;
    }
    Ok(())
}

fn read_bundle(path: &Path) -> Result<(String, String), Report> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| file.clone())?;
    Ok((file, text))
}

fn open_context(path: &Path) -> Result<OperatorContext, Report> {
    let settings = load_operator_settings(path)?;
    let secret = std::fs::read_to_string(&settings.secret_file)
        .into_diagnostic()
        .wrap_err_with(|| format!("secret key {}", settings.secret_file))?;
    let secret: SigningSecret = secret.parse().map_err(|e| miette!("secret key: {e}"))?;
    let store = Arc::new(PlatformClient::new(settings.platform.clone()));
    let deployment = settings.deployment.clone();
    Ok(OperatorContext::new(
        store,
        &deployment,
        settings.operators,
        settings.name,
        secret,
    ))
}

fn parse_regions(text: &str) -> Result<Vec<RegionName>, Report> {
    let names = text
        .split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty());
    names
        .map(|name| name.parse().map_err(|e| miette!("--regions: {e}")))
        .collect()
}

/// Generates a key pair and writes the secret key to a file that only its owner can read.
fn keygen(path: &Path) -> Result<(), Report> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let secret = SigningSecret::generate();
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())?;
    writeln!(file, "{}", secret.reveal()).into_diagnostic()?;
    println!("key = {}", secret.public());
    Ok(())
}

fn print_head(head: &HeadRecord) {
    println!("head {}", head.version);
    for record in head.regions.values() {
        println!(
            "  {} {} {} by {}",
            record.region, record.version, record.content, record.operator
        );
    }
    if let Some(open) = &head.rollout {
        let remaining: Vec<&str> = open.remaining.iter().map(RegionName::as_str).collect();
        println!(
            "  rolling {} by {}: {} to come",
            open.content,
            open.operator,
            remaining.join(", ")
        );
    }
}
