//! The store forgets its history and goes down 0.8 s later. A gateway that is reading all pages by
//! then takes its copy for whole up to the latest revision that it has read, and never hears of
//! what has changed on the pages that it did not reach.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Clients, Sent, Traffic};
use crate::documents::{HOST, PATH, ServerEntry, fleet_config};
use crate::gateway::{Deployment, Zone, free_ports};
use crate::names::name;
use crate::record::Record;
use crate::server::{Server, ServerPlan, Step};
use crate::stage::Stage;
use crate::store::Store;

const SERVICE: &str = "gallery-app";
const MODELS: &str = "caption-models";
const ZONES: [Zone; 3] = [
    Zone {
        name: "bne-hall-a",
        region: "brisbane",
    },
    Zone {
        name: "tsv-hall-a",
        region: "townsville",
    },
    Zone {
        name: "twb-hall-a",
        region: "toowoomba",
    },
];
/// Zone of the gateways and of the servers that they use. The store stands in the first one.
const OWN: Zone = ZONES[1];
/// Model servers of the other regions, of which only the entries matter here.
const FAR_SERVERS: u32 = 9700;
/// Time from a call of the store to its answer: 55 ms each way, and 4 ms.
const ROUND_TRIP: Duration = Duration::from_millis(114);
/// Time from one change of a far server's entry to the next.
const CHANGE_PAUSE: Duration = Duration::from_millis(50);
const SERVERS: u8 = 7;
const WORK: Duration = Duration::from_millis(200);
/// Bounds of the site.
const CONTACT: Duration = Duration::from_secs(8);
const DRAIN: Duration = Duration::from_secs(6);
/// How long watches hear nothing, the time until the store goes down, and how long it is down.
const DEAF: Duration = Duration::from_secs(1);
const UP: Duration = Duration::from_millis(800);
const DOWN: Duration = Duration::from_secs(3);
/// How long the server serves on after the store is back: the store is stable `CONTACT` after that,
/// and machines are in touch `CONTACT` later.
const SERVES_ON: Duration = Duration::from_secs(20);

fn write_entry(store: &Store, id: &str, entry: &ServerEntry) {
    store.put(&format!("{}{id}", name("server-prefix")), &entry.text());
}

fn write_far(store: &Store, stage: &Stage, number: u32, slots: u32) {
    let zone = ZONES[if number.is_multiple_of(3) { 2 } else { 0 }];
    let port = u16::try_from(1 + number % 60_000).unwrap_or(1);
    let entry = ServerEntry {
        service: MODELS,
        zone: zone.name,
        address: SocketAddr::new(stage.ip(200), port),
        state: "ready",
        slots,
        born: None,
    };
    write_entry(store, &format!("i-{:08x}", number * 400_000), &entry);
}

pub fn play(record: &Record, is_disturbed: bool) -> io::Result<Verdict> {
    let stage = Arc::new(Stage::new()?);
    let store = Store::start_far(stage.ip(1), ROUND_TRIP)?;
    store.put(name("config-key"), &fleet_config(SERVICE));
    for number in 0..FAR_SERVERS {
        write_far(&store, &stage, number, 24);
    }
    let mut servers = Vec::new();
    for host in 21..21 + SERVERS {
        let plan = ServerPlan {
            id: format!("i-f1d9e6b{host}"),
            work: WORK,
            garble_each: 0,
        };
        let server = Server::start_on(stage.ip(host), plan, record)?;
        write_entry(&store, server.id(), &own_entry(&server, "ready"));
        servers.push(server);
    }
    let machines: Vec<_> = [11, 12, 13].map(|host| (stage.ip(host), OWN)).into();
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
    let is_over = Arc::new(AtomicBool::new(false));
    let changing = {
        let (store, stage, is_over) = (store.clone(), Arc::clone(&stage), Arc::clone(&is_over));
        thread::spawn(move || change_far_servers(&store, &stage, &is_over))
    };
    thread::sleep(CONTACT + Duration::from_secs(4));
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers()).collect();
    let traffic = Traffic {
        gateway: gateways[0].callers(),
        host: HOST,
        path: PATH,
        budget: Duration::from_millis(2500),
        pause: Duration::from_millis(400),
    };
    let clients = Clients::start_at(&callers, 40, &traffic, record);
    thread::sleep(Duration::from_secs(3));

    let forgets = is_disturbed && std::env::var("HISTORY").as_deref() != Ok("kept");
    let goes_down = is_disturbed && std::env::var("STORE").as_deref() != Ok("up");
    let server = &servers[0];
    let key = format!("{}{}", name("server-prefix"), server.id());
    let text = own_entry(server, "draining").text();
    if forgets {
        store.put_unheard(&key, &text);
    } else {
        store.put(&key, &text);
    }
    let confirmed = record.now_ms();
    record.note(format!(
        "the store, undisturbed so far, has confirmed that {} is draining",
        server.id()
    ));
    if forgets {
        record.note("watches hear nothing");
        thread::sleep(DEAF);
        store.forget_history();
        record.note("the store has forgotten its history and has cut the watches");
    } else {
        thread::sleep(DEAF);
    }
    thread::sleep(UP);
    if goes_down {
        store.set_down(true);
        record.note("the store is down");
        thread::sleep(DOWN);
        store.set_down(false);
        record.note("the store is back");
    } else {
        thread::sleep(DOWN);
    }
    let back = record.now_ms();
    thread::sleep(SERVES_ON);
    store.remove(&key);
    server.end();
    record.note("the server has ended");
    thread::sleep(Duration::from_secs(2));
    let sent = clients.finish();
    is_over.store(true, Ordering::SeqCst);
    let _ = changing.join();
    drop(gateways);
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(0);
    let bound = (confirmed + millis(DRAIN)).max(back + 2 * millis(CONTACT));
    Ok(judge(record, server, &sent, bound, confirmed))
}

fn own_entry<'a>(server: &Server, state: &'a str) -> ServerEntry<'a> {
    ServerEntry {
        service: SERVICE,
        zone: OWN.name,
        address: server.address(),
        state,
        slots: 6,
        born: None,
    }
}

/// Goes on changing entries of far servers, as a large fleet does: one after the other, over all keys.
fn change_far_servers(store: &Store, stage: &Stage, is_over: &AtomicBool) {
    for count in 1_u32.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(CHANGE_PAUSE);
        if !store.takes_writes() {
            continue;
        }
        let number = count.wrapping_mul(2_654_435_761) % FAR_SERVERS;
        write_far(store, stage, number, 24 + count % 2);
    }
}

fn judge(record: &Record, server: &Server, sent: &[Sent], bound: u64, confirmed: u64) -> Verdict {
    let entries = server.entries();
    let late = |step| {
        let entries = entries.iter();
        entries.filter(move |entry| entry.step == step && entry.at_ms > bound)
    };
    let arrived = late(Step::Arrived).count();
    let cut = late(Step::Cut).count();
    record.tell(format!(
        "{} requests; DRAIN: {arrived} reached the server later than {} ms after it was confirmed as \
         draining, all machines in touch; {cut} of them were cut by its end",
        sent.len(),
        bound - confirmed,
    ));
    if arrived > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
