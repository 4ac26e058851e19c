//! Configuration and servers from the store, from peers, and through outages.

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
    // Later items are seen after the older configuration was.
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
fn a_leaving_server_gets_nothing_more() {
    let site = Site::start(1);
    let leaving = ServerStub::start(site.ip(0)).unwrap();
    let staying = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &leaving, 0);
    site.configure(1);
    let gateway = site.gateway(0);
    gateway.wait_served();
    site.announce("s1", &staying, 0);
    let draining = ServerPhase::Draining { left: None };
    site.announce_as("s0", leaving.address(), 0, draining);
    wait_for("the staying server to be used alone", || {
        let (left, stayed) = (leaving.runs().len(), staying.runs().len());
        for number in 0..10 {
            call(gateway.callers(), "/once/x", &format!("d{number}")).unwrap();
        }
        leaving.runs().len() == left && staying.runs().len() == stayed + 10
    });
}

#[test]
fn history_that_is_gone_is_read_anew() {
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
fn a_gateway_serves_on_while_the_store_is_away() {
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
fn a_gateway_without_the_store_takes_its_peers_copy() {
    let site = Site::start(2);
    let server = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &server, 0);
    site.configure(1);
    let first = site.gateway(0);
    first.wait_served();
    let nowhere = std::net::TcpListener::bind((site.ip(1), 0)).unwrap();
    let second = site.gateway_with_store(1, nowhere.local_addr().unwrap());
    second.wait_ready();
    // The server is in the other region, so that the request is passed on.
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
    let ask = |vm: usize, center: &str| {
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
                ask(vm, center).contains(&format!("[\"{address}\"]"))
            });
        }
    }
}
