//! The `onyxfall-fakes` program: runs stubs described by an INI file.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use miette::{IntoDiagnostic, Report, WrapErr};
use onyxfall_fakes::{
    EngineSettings, FakeEngine, FakeLink, FakePlatform, FakeService, LinkRules, ServiceSettings,
};
use onyxfall_http::{HttpLimits, HttpReply, HttpRequest, HttpServer, Responder};
use onyxfall_settings::{FaultList, IniDocument, SectionReader};
use onyxfall_types::ByteSize;
use serde::Deserialize;

/// Run stubs of the platform's service, backend servers and links.
#[derive(FromArgs)]
struct FakesArguments {
    /// description file (INI)
    #[argh(option)]
    settings: PathBuf,
}

/// The running stubs; dropping them stops their servers.
#[derive(Default)]
struct RunningFakes {
    platforms: Vec<FakePlatform>,
    engines: Vec<FakeEngine>,
    services: Vec<FakeService>,
    links: Vec<FakeLink>,
    controls: Vec<HttpServer>,
}

fn main() -> ExitCode {
    let arguments: FakesArguments = argh::from_env();
    match start(&arguments) {
        Ok(fakes) => {
            println!(
                "running {} platforms, {} engines, {} services, {} links",
                fakes.platforms.len(),
                fakes.engines.len(),
                fakes.services.len(),
                fakes.links.len()
            );
            loop {
                std::thread::park();
            }
        }
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Report> {
    TcpListener::bind(address)
        .into_diagnostic()
        .wrap_err_with(|| address.to_string())
}

fn start(arguments: &FakesArguments) -> Result<RunningFakes, Report> {
    let document = IniDocument::load(&arguments.settings)?;
    let mut faults = FaultList::new();
    document.check_headers(
        &["platform", "engine", "service", "link", "links", "control"],
        &mut faults,
    );
    let mut fakes = RunningFakes::default();
    let mut one_way = Duration::ZERO;
    for reader in document.readers("links") {
        one_way = reader.millis("one-way-ms", one_way, &mut faults);
        reader.finish(&mut faults);
    }
    let rules = LinkRules::new(one_way);
    for reader in document.readers("control") {
        if let Some(listen) = reader.required("listen", &mut faults) {
            fakes
                .controls
                .push(start_control(bind(listen)?, Arc::clone(&rules))?);
        }
        reader.finish(&mut faults);
    }
    for reader in document.readers("platform") {
        if let Some(listen) = reader.required("listen", &mut faults) {
            fakes
                .platforms
                .push(FakePlatform::start(bind(listen)?).into_diagnostic()?);
        }
        reader.finish(&mut faults);
    }
    for reader in document.readers("engine") {
        if let Some(engine) = start_engine(&reader, &mut faults)? {
            fakes.engines.push(engine);
        }
        reader.finish(&mut faults);
    }
    for reader in document.readers("service") {
        if let Some(service) = start_service(&reader, &mut faults)? {
            fakes.services.push(service);
        }
        reader.finish(&mut faults);
    }
    for reader in document.readers("link") {
        let listen = reader.required("listen", &mut faults);
        let target = reader.required("target", &mut faults);
        reader.finish(&mut faults);
        if let (Some(listen), Some(target)) = (listen, target) {
            let link = FakeLink::start(bind(listen)?, target, Arc::clone(&rules));
            fakes.links.push(link.into_diagnostic()?);
        }
    }
    document.finish(faults)?;
    Ok(fakes)
}

/// A pair of regions to cut or restore, as posted to the control port.
#[derive(Deserialize)]
struct CutOrder {
    a: u8,
    b: u8,
    cut: bool,
}

/// Serves the control port, which cuts and restores links.
fn start_control(listener: TcpListener, rules: Arc<LinkRules>) -> Result<HttpServer, Report> {
    let handler = move |mut request: HttpRequest, responder: Responder| {
        let body = request.read_body(ByteSize::new(4096)).unwrap_or_default();
        let status = match serde_json::from_slice::<CutOrder>(&body) {
            Ok(order) => {
                rules.set_cut(order.a, order.b, order.cut);
                200
            }
            Err(_) => 400,
        };
        let _ = responder.reply(HttpReply::full(status, "application/json", "{}"));
    };
    HttpServer::start(listener, HttpLimits::default(), handler).into_diagnostic()
}

fn start_engine(
    reader: &SectionReader<'_>,
    faults: &mut FaultList,
) -> Result<Option<FakeEngine>, Report> {
    let default = EngineSettings::default();
    let settings = EngineSettings {
        slots: reader.or_default("slots", default.slots, faults),
        prefill: reader.millis("prefill-ms", default.prefill, faults),
        token: reader.millis("token-ms", default.token, faults),
        cache: reader.or_default("cache", default.cache, faults),
        lag: reader.millis("lag-ms", default.lag, faults),
        incarnation: reader.or_default("incarnation", default.incarnation, faults),
    };
    let Some(listen) = reader.required("listen", faults) else {
        return Ok(None);
    };
    FakeEngine::start(bind(listen)?, settings)
        .into_diagnostic()
        .map(Some)
}

fn start_service(
    reader: &SectionReader<'_>,
    faults: &mut FaultList,
) -> Result<Option<FakeService>, Report> {
    let default = ServiceSettings::default();
    let settings = ServiceSettings {
        slots: reader.or_default("slots", default.slots, faults),
        work: reader.millis("work-ms", default.work, faults),
        incarnation: reader.or_default("incarnation", default.incarnation, faults),
    };
    let Some(listen) = reader.required("listen", faults) else {
        return Ok(None);
    };
    FakeService::start(bind(listen)?, settings)
        .into_diagnostic()
        .map(Some)
}
