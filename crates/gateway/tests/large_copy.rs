//! A VM that the store turns away gets a large copy of it from another VM.

mod support;

use std::net::{Ipv4Addr, SocketAddr};

use http::StatusCode;
use onyxfall_adapter::standin::{long_server_body, server_key};
use onyxfall_fakes::ServerStandIn;
use onyxfall_fleet::ServerRecord;
use support::{Site, call, record, wait_for};

/// Entries whose copy is larger than any one message may be.
const ENTRIES: usize = 15_000;
/// Name of a server after all of these.
const LAST_SERVER: &str = "zz-served";
/// Bytes by which their entries are longer: those of servers with models are.
const ENTRY_BYTES: usize = 450;

#[test]
fn a_copy_that_is_larger_than_a_message_reaches_a_vm_without_the_store() {
    let site = Site::start_in(2, 1);
    let server = ServerStandIn::start(site.ip(0)).unwrap();
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
