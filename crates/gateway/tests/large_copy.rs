//! A VM that cannot reach the store gets a large copy of it from another VM, compressed.

mod support;

use std::net::{Ipv4Addr, SocketAddr};

use http::StatusCode;
use onyxfall_adapter::stub::{long_server_body, server_body, server_key};
use onyxfall_fakes::ServerStub;
use onyxfall_fleet::ServerRecord;
use support::{Site, call, get, record, wait_for};

/// Number of entries whose copy exceeds the largest message.
const ENTRIES: usize = 15_000;
/// Name of a server that sorts after all of these.
const LAST_SERVER: &str = "zz-served";
/// Padding of each entry: entries of servers with models are longer by as much.
const ENTRY_BYTES: usize = 450;

#[test]
fn a_copy_that_is_larger_than_a_message_reaches_a_vm_without_the_store() {
    let site = Site::start_in(2, 1);
    let server = ServerStub::start(site.ip(0)).unwrap();
    site.put(&record(LAST_SERVER, &server, 5));
    let other = ServerRecord {
        service: "other".parse().unwrap(),
        ..record("unused", &server, 5)
    };
    let body = long_server_body(&other, ENTRY_BYTES);
    for number in 0..ENTRIES {
        site.store
            .put(&server_key(&format!("i-{number:08x}")), body.clone());
    }
    site.configure(1);
    let first = site.gateway(0);
    first.wait_served();
    let unreachable = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let second = site.gateway_with_store(1, unreachable);
    // The only server of the service sorts last, so the whole copy has arrived.
    wait_for("the VM without a store to serve", || {
        let reply = call(second.callers(), "/repeat/x", "asked");
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    });
}

/// Number of entries in a large deployment. They differ in address and start time.
const TYPICAL_ENTRIES: u32 = 3_000;
/// Largest ratio of the bytes of a copy to the bytes of its entries.
const MAX_COPY_RATIO: f64 = 0.25;

/// Value of a metric of a VM; 0 if the VM does not report it.
fn metric_value(gateway: &support::Gateway, name: &str) -> f64 {
    let metrics = get(gateway.ready(), "/metrics").unwrap();
    let line = metrics.text().lines().find(|line| line.starts_with(name));
    line.map_or(0.0, |line| {
        line.rsplit(' ').next().unwrap().parse().unwrap()
    })
}

#[test]
fn a_copy_takes_a_quarter_of_the_bytes_of_its_entries() {
    let site = Site::start_in(2, 1);
    let server = ServerStub::start(site.ip(0)).unwrap();
    let mut bytes = 0;
    for number in 0..TYPICAL_ENTRIES {
        let mixed = number.wrapping_mul(0x9e37_79b1);
        let host = Ipv4Addr::from_bits(0x0a00_0000 + (mixed >> 8));
        let entry = ServerRecord {
            service: "other".parse().unwrap(),
            address: SocketAddr::from((host, 8000)),
            ..record("unused", &server, mixed.into())
        };
        let (key, body) = (server_key(&format!("i-{mixed:08x}")), server_body(&entry));
        bytes += key.len() + body.len();
        site.store.put(&key, body);
    }
    site.put(&record(LAST_SERVER, &server, 5));
    site.configure(1);
    let first = site.gateway(0);
    first.wait_served();
    let unreachable = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let second = site.gateway_with_store(1, unreachable);
    second.wait_served();
    // The copy is complete: the server that it uses sorts after all other entries.
    let ratio = metric_value(&first, "onyxfall_copy_bytes_sent_total") / bytes as f64;
    assert!(
        ratio <= MAX_COPY_RATIO,
        "copy takes {ratio:.2} of the bytes of its entries"
    );
}
