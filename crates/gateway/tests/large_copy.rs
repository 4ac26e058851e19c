//! A VM that the store turns away gets a large copy of it from another VM, in few bytes.

mod support;

use std::net::{Ipv4Addr, SocketAddr};

use http::StatusCode;
use onyxfall_adapter::stub::{long_server_body, server_body, server_key};
use onyxfall_fakes::ServerStub;
use onyxfall_fleet::ServerRecord;
use support::{Site, call, get, record, wait_for};

/// Entries whose copy is larger than any one message may be.
const ENTRIES: usize = 15_000;
/// Name of a server after all of these.
const LAST_SERVER: &str = "zz-served";
/// Bytes by which their entries are longer: those of servers with models are.
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
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let second = site.gateway_with_store(1, nowhere);
    // The only server of the service is the last of all entries: the whole copy has come.
    wait_for("the VM without a store to serve", || {
        let reply = call(second.callers(), "/repeat/x", "asked");
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    });
}

/// Entries as a large deployment has them: what differs is where each server is and when it
/// began.
const USUAL_ENTRIES: u32 = 3_000;
/// Bytes of a copy for each byte of its entries.
const COPY_PART: f64 = 0.25;

/// What a VM's metrics say of a count; 0 if it says nothing.
fn count(gateway: &support::Gateway, name: &str) -> f64 {
    let told = get(gateway.ready(), "/metrics").unwrap();
    let line = told.text().lines().find(|line| line.starts_with(name));
    line.map_or(0.0, |line| {
        line.rsplit(' ').next().unwrap().parse().unwrap()
    })
}

#[test]
fn a_copy_takes_a_quarter_of_the_bytes_of_its_entries() {
    let site = Site::start_in(2, 1);
    let server = ServerStub::start(site.ip(0)).unwrap();
    let mut bytes = 0;
    for number in 0..USUAL_ENTRIES {
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
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let second = site.gateway_with_store(1, nowhere);
    second.wait_served();
    // It has the whole copy: the server that it serves with is the last of all entries.
    let part = count(&first, "onyxfall_copy_bytes_sent_total") / bytes as f64;
    assert!(part <= COPY_PART, "{part:.2} of the bytes of the entries");
}
