//! The series of measurements. Each measures how a cost grows with one dimension of a
//! deployment, at a few sizes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_bundle::parse_bundle;
use onyxfall_policy::{Moment, PolicySettings, RequestRouter, TicketLedger};
use onyxfall_settings::IniDocument;
use onyxfall_types::Incarnation;

use crate::bench::{BenchShape, SlopeBench};
use crate::fit::{SeriesPoint, SeriesRow};
use crate::memory::{processor_seconds, resident_bytes};

type MeasureFn = Box<dyn Fn() -> Result<Vec<SeriesRow>, String>>;

/// A named measurement that returns one or more rows of the table.
pub(crate) struct SlopeSeries {
    pub(crate) name: &'static str,
    run: MeasureFn,
}

impl SlopeSeries {
    pub(crate) fn measure(&self) -> Result<Vec<SeriesRow>, String> {
        (self.run)()
    }
}

/// Base shape; most series vary one field of it.
const SMALL: BenchShape = BenchShape {
    centers: 1,
    members: 4,
    servers: 4,
    models: 1,
};

/// Returns all series. `seconds` is the length of a control measurement at each point;
/// `daemons` is the largest deployment of the "time to force" series.
pub(crate) fn all(seconds: u64, daemons: usize) -> Vec<SlopeSeries> {
    let window = Duration::from_secs(seconds);
    let control = move |name: &'static str, shapes: Vec<(f64, BenchShape)>| SlopeSeries {
        name,
        run: Box::new(move || control_rows(name, &shapes, window)),
    };
    let members = [2, 4, 8].map(|m| {
        (
            m as f64,
            BenchShape {
                members: m,
                ..SMALL
            },
        )
    });
    let servers = [0, 32, 128].map(|s| {
        (
            s as f64,
            BenchShape {
                servers: s,
                ..SMALL
            },
        )
    });
    let centers = [2, 8, 16, 28].map(|c| {
        (
            c as f64,
            BenchShape {
                centers: c,
                members: 2,
                ..SMALL
            },
        )
    });
    let models = [1, 19, 37].map(|m| {
        (
            m as f64,
            BenchShape {
                centers: 4,
                members: 2,
                models: m,
                ..SMALL
            },
        )
    });
    vec![
        control("control against members of a data centre", members.to_vec()),
        control("control against servers of a data centre", servers.to_vec()),
        control("control against data centres", centers.to_vec()),
        control("control against models", models.to_vec()),
        SlopeSeries {
            name: "configuration changes",
            run: Box::new(change_rows),
        },
        SlopeSeries {
            name: "time to force",
            run: Box::new(move || force_rows(daemons)),
        },
        SlopeSeries {
            name: "memory",
            run: Box::new(memory_rows),
        },
    ]
}

/// Measures control bytes, processor time and resident memory per daemon, and platform
/// calls of the whole deployment.
fn control_rows(
    name: &str,
    shapes: &[(f64, BenchShape)],
    window: Duration,
) -> Result<Vec<SeriesRow>, String> {
    let units = [
        "bytes/s sent",
        "% of a core",
        "MB resident",
        "platform calls/s in all",
    ];
    let mut points: [Vec<SeriesPoint>; 4] = Default::default();
    for (x, shape) in shapes {
        let memory = resident_bytes();
        let bench = SlopeBench::start(*shape)?;
        thread::sleep(Duration::from_secs(2));
        let daemons = shape.daemons() as f64;
        let sent = "onyxfall_peer_bytes_total{class=\"control\",flow=\"out\"";
        let (bytes, calls) = (bench.metric(sent), total(&bench.platform.calls()));
        let (cpu, started) = (processor_seconds(), Instant::now());
        thread::sleep(window);
        let (cpu, calls) = (
            processor_seconds() - cpu,
            total(&bench.platform.calls()) - calls,
        );
        let seconds = started.elapsed().as_secs_f64();
        let bytes = bench.metric(sent) - bytes;
        let ys = [
            bytes / seconds / daemons,
            cpu / seconds / daemons * 100.0,
            (resident_bytes() - memory) / daemons / 1e6,
            calls / seconds,
        ];
        for (series, y) in points.iter_mut().zip(ys) {
            series.push(SeriesPoint { x: *x, y });
        }
        bench.end();
    }
    let rows = units.into_iter().zip(points);
    Ok(rows
        .map(|(unit, points)| SeriesRow {
            name: name.to_owned(),
            unit,
            points,
        })
        .collect())
}

/// Sums the calls over all paths.
fn total(calls: &BTreeMap<String, u64>) -> f64 {
    calls.values().sum::<u64>() as f64
}

/// Number of configuration changes averaged at each point.
const CHANGES: u32 = 5;

/// Measures the configuration bytes that a daemon sends per change, against the number of
/// servers in the bundle.
fn change_rows() -> Result<Vec<SeriesRow>, String> {
    let mut points = Vec::new();
    for servers in [4, 32, 128] {
        let shape = BenchShape {
            centers: 2,
            members: 4,
            servers,
            models: 1,
        };
        let bench = SlopeBench::start(shape)?;
        let sent = "onyxfall_peer_bytes_total{class=\"configuration\",flow=\"out\"";
        let before = bench.metric(sent);
        for edition in 2..2 + CHANGES {
            let content = bench.sign(edition)?;
            bench.roll(content)?;
            bench.wait_in_force(content)?;
        }
        thread::sleep(Duration::from_secs(2));
        let bytes = bench.metric(sent) - before;
        let x = (shape.centers * servers) as f64;
        let y = bytes / f64::from(CHANGES) / shape.daemons() as f64;
        points.push(SeriesPoint { x, y });
        bench.end();
    }
    let name = "configuration bytes against servers in the bundle".to_owned();
    Ok(vec![SeriesRow {
        name,
        unit: "bytes sent per daemon and change",
        points,
    }])
}

/// Measures the time from the last step of a rollout until its content is in force in every
/// entry, against the number of daemons.
fn force_rows(daemons: usize) -> Result<Vec<SeriesRow>, String> {
    let mut points = Vec::new();
    for count in [16, 64, daemons] {
        let shape = BenchShape {
            centers: count / 8,
            members: 8,
            servers: 4,
            models: 1,
        };
        let bench = SlopeBench::start(shape)?;
        thread::sleep(Duration::from_secs(3));
        let content = bench.sign(2)?;
        bench.roll(content)?;
        let seconds = bench.wait_in_force(content)?.as_secs_f64();
        points.push(SeriesPoint {
            x: shape.daemons() as f64,
            y: seconds,
        });
        bench.end();
    }
    let name = "time to force against daemons".to_owned();
    Ok(vec![SeriesRow {
        name,
        unit: "s after the last step",
        points,
    }])
}

/// Returns a bundle with one data centre and the given numbers of servers and teams.
fn bundle_text(servers: usize, teams: usize) -> String {
    let mut text =
        "[bundle]\nname = b\n[region r]\n[data-centre c]\nregion = r\n[model m]\n".to_owned();
    for server in 0..servers {
        let (a, b) = (server / 250, server % 250 + 1);
        let _ = write!(
            text,
            "[server s{server}]\ndata-centre = c\naddress = 127.1.{a}.{b}:8000\nserves = m\n"
        );
    }
    for team in 0..teams {
        let _ = write!(text, "[team t{team}]\nrate = 5/s\n");
    }
    text
}

/// Measures the length of a bundle's text and the resident memory of a router against the
/// number of servers, the memory of a router against the number of teams, and the memory of
/// a ticket ledger against the number of open tickets.
fn memory_rows() -> Result<Vec<SeriesRow>, String> {
    let mut text_points = Vec::new();
    let mut server_points = Vec::new();
    let mut team_points = Vec::new();
    let build_router = |text: &str| -> Result<RequestRouter, String> {
        let document = IniDocument::parse("b", text).map_err(|e| e.to_string())?;
        let bundle = Arc::new(parse_bundle(&document).map_err(|e| e.to_string())?);
        let center = bundle.center_id("c").ok_or("no data centre")?;
        Ok(RequestRouter::new(
            bundle,
            center,
            PolicySettings::default(),
            Moment::ZERO,
        ))
    };
    let mut live_routers = Vec::new();
    for servers in [1000, 4000, 12_000] {
        let text = bundle_text(servers, 0);
        text_points.push(SeriesPoint {
            x: servers as f64,
            y: text.len() as f64,
        });
        let before = resident_bytes();
        live_routers.push(build_router(&text)?);
        let y = resident_bytes() - before;
        server_points.push(SeriesPoint {
            x: servers as f64,
            y,
        });
    }
    for teams in [1000, 4000, 16_000] {
        let text = bundle_text(1, teams);
        let before = resident_bytes();
        live_routers.push(build_router(&text)?);
        team_points.push(SeriesPoint {
            x: teams as f64,
            y: resident_bytes() - before,
        });
    }
    black_box(&live_routers);
    let mut ticket_points = Vec::new();
    for tickets in [10_000, 40_000, 65_000] {
        let before = resident_bytes();
        let name = "vm".parse().map_err(|e| format!("{e}"))?;
        let mut ledger = TicketLedger::new(name, Incarnation::new(1), [1; 32], 65_536);
        for _ in 0..tickets {
            ledger.issue().map_err(|e| e.to_string())?;
        }
        let y = resident_bytes() - before;
        ticket_points.push(SeriesPoint {
            x: f64::from(tickets),
            y,
        });
        black_box(&ledger);
    }
    let row = |name: &str, points| SeriesRow {
        name: name.to_owned(),
        unit: "bytes",
        points,
    };
    Ok(vec![
        row("bundle text against servers", text_points),
        row(
            "memory of a router and its bundle, with parsing, against servers",
            server_points,
        ),
        row(
            "memory of a router and its bundle, with parsing, against teams",
            team_points,
        ),
        row("memory of open tickets", ticket_points),
    ])
}
