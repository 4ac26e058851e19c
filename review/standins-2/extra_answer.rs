//! A garbled server sends an extra answer late: a request that may run once runs twice, or is
//! refused as not run although it runs.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Clients, Outcome, Traffic};
use crate::documents::{HOST, PATH, ServerEntry, config};
use crate::gateway::{Deployment, Zone, free_ports};
use crate::names::name;
use crate::record::Record;
use crate::server::{Server, ServerPlan, Step};
use crate::stage::Stage;
use crate::store::Store;

const SERVICE: &str = "portal-inzerat";
const ZONES: [Zone; 3] = [
    Zone {
        name: "tn-hala",
        region: "sk-zapad",
    },
    Zone {
        name: "bb-hala",
        region: "sk-stred",
    },
    Zone {
        name: "ke-hala",
        region: "sk-vychod",
    },
];
/// Time that a request runs, as on the site's sheet.
const WORK: Duration = Duration::from_millis(30);
/// Each answer of this number is followed by an extra one while the server is garbled: 0.02 of them.
const GARBLE_EACH: usize = 50;
/// Length of the disturbance.
const GARBLED: Duration = Duration::from_secs(5);
/// Statuses that promise that a request has not run and will not.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn play(record: &Record, is_disturbed: bool) -> io::Result<Verdict> {
    let stage = Stage::new()?;
    let store = Store::start(stage.ip(1))?;
    store.put(name("config-key"), &config(SERVICE, 1200, 110));
    let mut servers = Vec::new();
    for (host, zone) in (21..).zip(ZONES) {
        let plan = ServerPlan {
            id: format!("i-7f3a9{host}"),
            work: WORK,
            garble_each: GARBLE_EACH,
        };
        let server = Server::start_on(stage.ip(host), plan, record)?;
        let entry = ServerEntry {
            service: SERVICE,
            zone: zone.name,
            address: server.address(),
            state: "ready",
            slots: 6,
            born: None,
        };
        store.put(
            &format!("{}{}", name("server-prefix"), server.id()),
            &entry.text(),
        );
        servers.push(server);
    }
    let machines: Vec<_> = (11..).map(|host| stage.ip(host)).zip(ZONES).collect();
    let addresses: Vec<_> = machines.iter().map(|(ip, _)| *ip).collect();
    let deployment = Deployment {
        zones: &ZONES,
        store: store.address(),
        machines,
        first_port: free_ports(&addresses)?,
        grace_s: 8,
        budget_extra: 56,
        contracts: "base,drain,config,cost,retry,recover,engine,stream,places,platform",
        folder: stage.folder(),
    };
    let gateways = deployment.start()?;
    thread::sleep(Duration::from_secs(3));
    let traffic = Traffic {
        gateway: gateways[0].callers(),
        host: HOST,
        path: PATH,
        budget: Duration::from_millis(2500),
        pause: Duration::from_millis(100),
    };
    let clients = Clients::start(4, &traffic, record);
    thread::sleep(Duration::from_secs(8));
    let before = servers[0].answers();
    servers[0].set_garbled(is_disturbed);
    record.note(format!("disturbance begins: {is_disturbed}"));
    thread::sleep(GARBLED);
    servers[0].set_garbled(false);
    let answers = servers[0].answers() - before;
    record.note(format!(
        "disturbance ends; answers of the server meanwhile: {answers}"
    ));
    thread::sleep(Duration::from_secs(4));
    let sent = clients.finish();
    drop(gateways);
    Ok(judge(record, &servers, &sent))
}

fn judge(record: &Record, servers: &[Server], sent: &[crate::client::Sent]) -> Verdict {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for server in servers {
        for entry in server.entries() {
            if entry.step == Step::Ran {
                runs.entry(entry.request_id)
                    .or_default()
                    .push(server.id().to_owned());
            }
        }
    }
    let mut twice = 0;
    for (request_id, servers) in &runs {
        if servers.len() > 1 {
            twice += 1;
            record.tell(format!(
                "TWICE: {request_id} ran at {}",
                servers.join(" and ")
            ));
        }
    }
    let mut refused = 0;
    for request in sent {
        let is_refused =
            matches!(request.outcome, Outcome::Status(status) if PROMISES.contains(&status));
        if is_refused && runs.contains_key(&request.request_id) {
            refused += 1;
            record.tell(format!(
                "REFUSED: {} ran, {:?}",
                request.request_id, request.outcome
            ));
        }
    }
    record.tell(format!(
        "{} requests, {} ran, {twice} twice, {refused} refused though they ran",
        sent.len(),
        runs.len()
    ));
    if twice + refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
