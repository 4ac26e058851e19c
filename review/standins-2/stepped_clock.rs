//! A server restarts while its clock is set back: gateways take its later words for those of an
//! earlier life, and send to it long after it said that it is draining.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::client::{Clients, Outcome, Sent, Traffic};
use crate::documents::{HOST, PATH, ServerEntry, config};
use crate::gateway::{Deployment, Zone, free_ports};
use crate::names::name;
use crate::record::Record;
use crate::server::{Server, ServerPlan, Step};
use crate::stage::Stage;
use crate::store::Store;

const SERVICE: &str = "gallery-app";
const ZONES: [Zone; 1] = [Zone {
    name: "bne-hall-a",
    region: "brisbane",
}];
/// Servers; one of seven restarts, which is less than a share of 0.15.
const SERVERS: u8 = 7;
const WORK: Duration = Duration::from_millis(200);
/// How far the server's clock is set back, and for how long.
const STEP_MS: u64 = 2000;
const STEPPED: Duration = Duration::from_secs(5);
/// Time that the server's first life lasts, and the pause until the second one.
const FIRST_LIFE: Duration = Duration::from_millis(1000);
const DOWN: Duration = Duration::from_millis(500);
/// Bounds of the site.
const CONTACT: Duration = Duration::from_secs(8);
const DRAIN: Duration = Duration::from_secs(6);
/// How much longer than that the server serves before it ends.
const LINGER: Duration = Duration::from_secs(4);

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}

fn write_entry(store: &Store, server: &Server, state: &str, born: u64) {
    let entry = ServerEntry {
        service: SERVICE,
        zone: ZONES[0].name,
        address: server.address(),
        state,
        slots: 6,
        born: Some(born),
    };
    store.put(&entry_key(server), &entry.text());
}

fn entry_key(server: &Server) -> String {
    format!("{}{}", name("server-prefix"), server.id())
}

pub fn play(record: &Record, is_disturbed: bool) -> io::Result<Verdict> {
    // With CLOCK=right the server restarts, and its clock is not set back.
    let is_clock_right = std::env::var("CLOCK").as_deref() == Ok("right");
    let step_ms = if is_clock_right { 0 } else { STEP_MS };
    let stage = Stage::new()?;
    let store = Store::start(stage.ip(1))?;
    store.put(name("config-key"), &config(SERVICE, 1200, 1800));
    let start = |host: u8, address: SocketAddr| {
        let plan = ServerPlan {
            id: format!("i-02d9e6b{host}"),
            work: WORK,
            garble_each: 0,
        };
        Server::start(address, plan, record)
    };
    for host in 22..21 + SERVERS {
        let server = start(host, SocketAddr::new(stage.ip(host), 0))?;
        write_entry(&store, &server, "ready", unix_ms());
    }
    let machines: Vec<_> = [11, 12].map(|host| (stage.ip(host), ZONES[0])).into();
    let addresses: Vec<_> = machines.iter().map(|(ip, _)| *ip).collect();
    let deployment = Deployment {
        zones: &ZONES,
        store: store.address(),
        machines,
        first_port: free_ports(&addresses)?,
        grace_s: 8,
        budget_extra: 1040,
        contracts: "base,drain,config,cost,retry,recover,health,pool,engine,stream,places,platform",
        folder: stage.folder(),
    };
    let gateways = deployment.start()?;
    let traffic = Traffic {
        gateway: gateways[0].callers(),
        host: HOST,
        path: PATH,
        budget: Duration::from_millis(2500),
        pause: Duration::from_millis(400),
    };
    let clients = Clients::start(40, &traffic, record);
    thread::sleep(Duration::from_secs(3));

    let mut server = start(21, SocketAddr::new(stage.ip(21), 0))?;
    let mut born = unix_ms();
    write_entry(&store, &server, "ready", born);
    record.note(format!("server {} starts, born {born}", server.id()));
    let mut cut = 0;
    if is_disturbed {
        thread::sleep(FIRST_LIFE);
        server.end();
        cut = count_cut(&server);
        record.note(format!(
            "its clock is set back by {step_ms} ms, and it goes down"
        ));
        thread::sleep(DOWN);
        server = start(21, server.address())?;
        born = unix_ms() - step_ms;
        write_entry(&store, &server, "ready", born);
        record.note(format!("it starts again, born {born}"));
        thread::sleep(STEPPED - DOWN);
        record.note("its clock is right again");
    }
    thread::sleep(CONTACT + Duration::from_secs(2));

    write_entry(&store, &server, "draining", born);
    let confirmed = record.now_ms();
    record.note("the store has confirmed that the server is draining");
    thread::sleep(DRAIN + LINGER);
    store.remove(&entry_key(&server));
    server.end();
    record.note("the server has ended");
    thread::sleep(Duration::from_secs(2));
    let sent = clients.finish();
    drop(gateways);
    let bound = confirmed + u64::try_from(DRAIN.as_millis()).unwrap_or(0);
    Ok(judge(record, &server, &sent, bound, cut))
}

fn count_cut(server: &Server) -> usize {
    thread::sleep(WORK);
    let entries = server.entries();
    entries
        .iter()
        .filter(|entry| entry.step == Step::Cut)
        .count()
}

fn judge(record: &Record, server: &Server, sent: &[Sent], bound: u64, cut: usize) -> Verdict {
    let entries = server.entries();
    let late = |step| {
        entries
            .iter()
            .filter(move |entry| entry.step == step && entry.at_ms > bound)
    };
    let arrived = late(Step::Arrived).count();
    let lost: Vec<&str> = late(Step::Cut)
        .map(|entry| entry.request_id.as_str())
        .collect();
    let failed = |request: &&Sent| {
        lost.contains(&request.request_id.as_str()) && request.outcome != Outcome::Status(200)
    };
    let failed = sent.iter().filter(failed).count();
    record.tell(format!(
        "{} requests; DRAIN: {arrived} reached the server later than {} ms after it was confirmed as \
         draining; {} of them were cut by its end, and {failed} callers got no answer of a server \
         (its first life had cut {cut})",
        sent.len(),
        DRAIN.as_millis(),
        lost.len(),
    ));
    if arrived > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
