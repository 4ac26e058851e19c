//! Few VMs of a region watch the store, and the others get its changes from them.

mod support;

use std::time::Duration;

use onyxfall_adapter::stub::{RouteShape, RouteText, ServiceText, config_key, document_body};
use onyxfall_fakes::{ServerStub, StoreMode};
use support::{Gateway, Site, call, wait_for};

/// Number of VMs, all in one region.
const VMS: u8 = 5;
/// Number of VMs that watch the store for a region.
const WATCHERS: usize = 2;
/// Number of consecutive polls after which a state counts as stable.
const STABLE_POLLS: usize = 40;

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
    let mut polls = 0;
    wait_for("two VMs to watch for the region", || {
        let watches = site.store.open_watches();
        polls = if (1..=WATCHERS).contains(&watches) {
            polls + 1
        } else {
            0
        };
        polls >= STABLE_POLLS
    });
}

fn wait_in_force(gateway: &Gateway) {
    wait_for("the new configuration", || {
        let reply = call(gateway.callers(), "/once/x", "probe");
        reply.is_some_and(|reply| reply.status.as_u16() == 404)
    });
}

/// Writes a configuration without routes, which callers see as 404.
fn withdraw_routes(site: &Site, version: u64) {
    let body = onyxfall_adapter::stub::document_body(version, &[], &[]);
    let key = onyxfall_adapter::stub::config_key();
    site.store.put(key, body);
}

#[test]
fn few_vms_watch_and_all_receive_changes() {
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
    // The watchers are among the first three or the last two VMs. With all but two killed, at
    // least one VM that did not watch has to.
    gateways.truncate(2);
    wait_watched(&site);
    withdraw_routes(&site, 2);
    for gateway in &gateways {
        wait_in_force(gateway);
    }
}

/// Largest number of watches, half a second each, that the other watcher may finish before a VM
/// with a stalled watch has a change that all others have. If the VM waited for the stalled
/// watch to time out, there would be twenty.
const MAX_WATCHES: usize = 12;

#[test]
fn a_stalled_watch_is_cancelled_once_others_have_later_changes() {
    let (gateways, _server, site) = start();
    wait_watched(&site);
    site.store.stall_next_watch();
    wait_for("a watch that never responds", || {
        !site.store.awaits_stalled_watch()
    });
    let before = site.store.answered_watches();
    withdraw_routes(&site, 2);
    for gateway in &gateways {
        wait_in_force(gateway);
    }
    let ended = site.store.answered_watches() - before;
    assert!(ended < MAX_WATCHES, "{ended} watches finished before then");
}

/// Makes the store lose every watch that is open or sent within its silence.
fn lose_all_watches(site: &Site) {
    let before = site.store.unanswered_calls();
    site.store.set_mode(StoreMode::Unresponsive);
    wait_for("all watches to be lost", || {
        site.store.unanswered_calls() >= before + WATCHERS && site.store.open_watches() == 0
    });
    site.store.set_mode(StoreMode::Normal);
}

/// Guards against VMs that miss all changes after a silence of the store has lost every watch,
/// until a watch times out and the store is read again.
#[test]
fn a_silence_that_loses_every_watch_hides_no_change() {
    let (gateways, _server, site) = start();
    wait_watched(&site);
    lose_all_watches(&site);
    let before = site.store.answered_ranges();
    withdraw_routes(&site, 2);
    for gateway in &gateways {
        wait_in_force(gateway);
    }
    let reads = site.store.answered_ranges() - before;
    assert_eq!(reads, 0, "pages read until the change was in force");
}

/// Number of unused routes. As in large deployments, they make the configuration larger than
/// what the link of a small VM should carry at once.
const IDLE_ROUTES: usize = 600;

#[test]
fn a_large_configuration_reaches_all_vms_without_further_reads() {
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
