//! Configuration and servers are read from the store or from peers, and survive outages of the
//! store.

mod support;

use onyxfall_adapter::stub::{config_key, server_key};
use onyxfall_fakes::{ServerStub, StoreMode};
use onyxfall_fleet::ServerPhase;
use support::{ServingSite, Site, call, get, wait_for};

#[test]
fn without_a_configuration_requests_are_refused_as_not_run() {
    let site = Site::start(1);
    let gateway = site.gateway(0);
    wait_for("the port of callers", || {
        call(gateway.callers(), "/once/x", "early").is_some()
    });
    let reply = call(gateway.callers(), "/once/x", "early").unwrap();
    assert_eq!(reply.status.as_u16(), 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(!gateway.is_ready());
    site.configure(1);
    gateway.wait_ready();
    let unknown = call(gateway.callers(), "/no-route/x", "late").unwrap();
    assert_eq!(unknown.status.as_u16(), 404);
}

#[test]
fn an_older_configuration_never_comes_into_force() {
    let ServingSite {
        gateway,
        server,
        site,
    } = ServingSite::start_at(5);
    let older = onyxfall_adapter::stub::document_body(4, &[], &[]);
    site.store.put(config_key(), older);
    // The gateway reads items in order: use of this server shows that the older configuration
    // was read.
    let second = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s1", &second, 0);
    let draining = ServerPhase::Draining { left: None };
    site.announce_as("s0", server.address(), 0, draining);
    wait_for("the second server to be used", || {
        call(gateway.callers(), "/once/x", "a").unwrap();
        !second.runs().is_empty()
    });
    let reply = call(gateway.callers(), "/once/x", "b").unwrap();
    assert_eq!(
        reply.status.as_u16(),
        200,
        "the older configuration has no routes"
    );
}

#[test]
fn a_draining_server_gets_no_more_requests() {
    let site = Site::start(1);
    let drained = ServerStub::start(site.ip(0)).unwrap();
    let staying = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &drained, 0);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    site.announce("s1", &staying, 0);
    let draining = ServerPhase::Draining { left: None };
    site.announce_as("s0", drained.address(), 0, draining);
    wait_for("the staying server to be used alone", || {
        let (left, stayed) = (drained.runs().len(), staying.runs().len());
        for number in 0..10 {
            call(gateway.callers(), "/once/x", &format!("d{number}")).unwrap();
        }
        drained.runs().len() == left && staying.runs().len() == stayed + 10
    });
}

#[test]
fn a_discarded_history_is_read_again() {
    let ServingSite {
        gateway,
        server: _server,
        site,
    } = ServingSite::start();
    let second = ServerStub::start(site.ip(0)).unwrap();
    site.store.set_mode(StoreMode::Refusing);
    site.announce("s1", &second, 0);
    site.store.delete(&server_key("s0"));
    site.store.compact_history();
    site.store.set_mode(StoreMode::Normal);
    wait_for("the second server to be used", || {
        call(gateway.callers(), "/once/x", "a").unwrap();
        !second.runs().is_empty()
    });
}

#[test]
fn a_gateway_keeps_serving_while_the_store_is_unavailable() {
    let ServingSite {
        gateway,
        server: _server,
        site,
    } = ServingSite::start();
    for mode in [StoreMode::Refusing, StoreMode::Unresponsive] {
        site.store.set_mode(mode);
        let reply = call(gateway.callers(), "/once/x", "away").unwrap();
        assert_eq!(reply.status.as_u16(), 200, "{mode:?}");
    }
}

#[test]
fn a_gateway_without_the_store_gets_a_copy_from_its_peer() {
    let site = Site::start(2);
    let server = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &server, 0);
    site.configure(1);
    let first = site.gateway(0);
    first.wait_served();
    let unreachable = std::net::TcpListener::bind((site.ip(1), 0)).unwrap();
    let second = site.gateway_with_store(1, unreachable.local_addr().unwrap());
    second.wait_ready();
    // The server is in the other region, so the request is forwarded.
    second.wait_served();
    assert!(server.runs().len() >= 2);
}

#[test]
fn the_directory_names_near_vms_first() {
    let site = Site::start(2);
    let server = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &server, 0);
    site.configure(1);
    let gateways = [site.gateway(0), site.gateway(1)];
    for gateway in &gateways {
        gateway.wait_served();
    }
    let resolve = |vm: usize, center: &str| {
        let path = onyxfall_adapter::RESOLVE_PATH;
        let query = format!("{path}?Name=a.example&Region=none&Zone={center}");
        get(gateways[vm].directory(), &query)
            .unwrap()
            .text()
            .to_owned()
    };
    for (center, named) in [("c0", 0), ("c1", 1)] {
        let address = gateways[named].callers().to_string();
        for vm in 0..2 {
            wait_for("the near VM to be named alone", || {
                resolve(vm, center).contains(&format!("[\"{address}\"]"))
            });
        }
    }
}
