//! Few VMs of a region watch the store; the others learn from them.

mod support;

use std::time::Duration;

use onyxfall_adapter::stub::{RouteShape, RouteText, ServiceText, config_key, document_body};
use onyxfall_fakes::ServerStub;
use support::{Gateway, Site, call, wait_for};

/// VMs of the region, all in one.
const VMS: u8 = 5;
/// VMs that watch for a region.
const WATCHERS: usize = 2;
/// Looks in a row for which a state must hold to count as steady.
const STEADY_LOOKS: usize = 40;

fn start() -> (Vec<Gateway>, ServerStub, Site) {
    let site = Site::start_in(VMS, 1);
    let server = ServerStub::start(site.ip(0)).unwrap();
    site.announce("s0", &server, 0);
    site.configure(1);
    let gateways: Vec<Gateway> = (0..usize::from(VMS)).map(|vm| site.gateway(vm)).collect();
    for gateway in &gateways {
        gateway.wait_served();
    }
    (gateways, server, site)
}

fn wait_watched(site: &Site) {
    let mut looks = 0;
    wait_for("two VMs to watch for the region", || {
        let watches = site.store.open_watches();
        looks = if (1..=WATCHERS).contains(&watches) {
            looks + 1
        } else {
            0
        };
        looks >= STEADY_LOOKS
    });
}

fn wait_in_force(gateway: &Gateway) {
    wait_for("the new configuration", || {
        let reply = call(gateway.callers(), "/once/x", "probe");
        reply.is_some_and(|reply| reply.status.as_u16() == 404)
    });
}

/// Writes a configuration without routes, which shows as 404.
fn withdraw_routes(site: &Site, version: u64) {
    let body = onyxfall_adapter::stub::document_body(version, &[], &[]);
    let key = onyxfall_adapter::stub::config_key();
    site.store.put(key, body);
}

#[test]
fn few_vms_watch_and_all_learn_of_changes() {
    let (gateways, _server, site) = start();
    wait_watched(&site);
    withdraw_routes(&site, 2);
    for gateway in &gateways {
        wait_in_force(gateway);
    }
    wait_watched(&site);
}

#[test]
fn others_watch_when_the_watchers_are_gone() {
    let (mut gateways, _server, site) = start();
    wait_watched(&site);
    // Whoever watches is among the first three or the last two: kill all but two,
    // so that at least one VM that followed has to watch.
    gateways.truncate(2);
    wait_watched(&site);
    withdraw_routes(&site, 2);
    for gateway in &gateways {
        wait_in_force(gateway);
    }
}

/// Watches that the other watcher may end, half a second each, until a VM whose watch
/// brings nothing has a change that all others know. Until the watch's own end it would
/// take twenty.
const MOST_WATCHES: usize = 12;

#[test]
fn a_watch_that_brings_nothing_is_given_up_once_others_know_more() {
    let (gateways, _server, site) = start();
    wait_watched(&site);
    site.store.stall_next_watch();
    wait_for("a watch that waits for ever", || {
        !site.store.awaits_stalled_watch()
    });
    let before = site.store.answered_watches();
    withdraw_routes(&site, 2);
    for gateway in &gateways {
        wait_in_force(gateway);
    }
    let ended = site.store.answered_watches() - before;
    assert!(ended < MOST_WATCHES, "{ended} watches ended until then");
}

/// Routes that nobody uses, as large deployments have them: their configuration is larger
/// than what a small VM's link should carry at once.
const IDLE_ROUTES: usize = 600;

#[test]
fn a_large_configuration_reaches_all_without_further_reads() {
    let (gateways, _server, site) = start();
    wait_watched(&site);
    let hosts: Vec<String> = (0..IDLE_ROUTES)
        .map(|number| format!("idle{number}.example"))
        .collect();
    let routes: Vec<RouteText<'_>> = hosts
        .iter()
        .map(|host| RouteText {
            host,
            path_prefix: "/idle/",
            shape: RouteShape::Once,
            service: support::SERVICE,
            timeout: Duration::from_secs(3),
            home_regions: &[],
            is_public: false,
        })
        .collect();
    let services = [ServiceText {
        name: support::SERVICE,
        engine: None,
    }];
    let body = document_body(2, &routes, &services);
    let bytes = body.len();
    let before = site.store.answered_ranges();
    site.store.put(config_key(), body);
    for gateway in &gateways {
        wait_in_force(gateway);
    }
    let reads = site.store.answered_ranges() - before;
    assert_eq!(reads, 0, "pages read for a configuration of {bytes} bytes");
}
