//! A store that comes back from an older copy loses what it had acknowledged, and gives
//! its revisions out again.

mod support;

use std::thread;
use std::time::Duration;

use http::StatusCode;
use onyxfall_fakes::ServerStub;
use onyxfall_fleet::ServerPhase;
use support::{Gateway, Site, call, wait_for, wait_used};

/// Changes after the copy, so that the store comes back with a much smaller revision.
const LATER_CHANGES: usize = 8;
/// Time in which what was written after the copy is missing before it is written again.
const MISSING: Duration = Duration::from_millis(1500);

/// Versions that a gateway has brought into force, in order.
fn versions(gateway: &Gateway) -> Vec<u64> {
    let log = gateway.log();
    let lines = log
        .lines()
        .filter(|line| line.contains("configuration in force"));
    let version = |line: &str| {
        line.split("\"version\":\"v")
            .nth(1)?
            .split('"')
            .next()?
            .parse()
            .ok()
    };
    lines.filter_map(version).collect()
}

fn wait_version(gateway: &Gateway, version: u64) {
    wait_for("a version to come into force", || {
        versions(gateway).contains(&version)
    });
}

/// VMs and servers in use, and a store that has kept a copy of that.
struct CopiedSite {
    gateways: Vec<Gateway>,
    servers: Vec<ServerStub>,
    // Dropped last: the addresses of the others are its.
    site: Site,
}

impl CopiedSite {
    fn start(vms: u8, regions: usize, servers: usize) -> Self {
        let site = Site::start_in(vms, regions);
        let servers = site.start_servers(servers);
        site.configure(1);
        let gateways: Vec<Gateway> = (0..usize::from(vms)).map(|vm| site.gateway(vm)).collect();
        for gateway in &gateways {
            gateway.wait_served();
        }
        site.store.save_snapshot();
        Self {
            gateways,
            servers,
            site,
        }
    }

    /// Changes something that means nothing.
    fn change_much(&self) {
        self.change_much_of("s0", &self.servers[0]);
    }

    fn change_much_of(&self, name: &str, server: &ServerStub) {
        for _ in 0..LATER_CHANGES {
            self.site.announce(name, server, 0);
        }
    }

    fn wait_versions(&self, version: u64) {
        for gateway in &self.gateways {
            wait_version(gateway, version);
        }
    }
}

struct RestoreCase {
    name: &'static str,
    vms: u8,
    regions: usize,
}

#[test]
fn a_configuration_written_after_a_restore_comes_into_force() {
    let case = |name, vms, regions| RestoreCase { name, vms, regions };
    let cases = [
        case("one VM", 1, 1),
        case("a VM that lives on the word of others", 4, 1),
        case("regions", 2, 2),
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || {
                let site = CopiedSite::start(case.vms, case.regions, 1);
                site.change_much();
                site.site.configure(2);
                site.wait_versions(2);
                site.site.store.restore_snapshot();
                site.site.configure(3);
                site.wait_versions(3);
                for gateway in &site.gateways {
                    let versions = versions(gateway);
                    assert!(versions.is_sorted(), "{}: {versions:?}", case.name);
                }
            });
        }
    });
}

/// The copy names a server that is gone and lacks one that serves, until that one has
/// written itself again.
#[test]
fn servers_are_used_as_they_were_known_before_a_restore() {
    let site = CopiedSite::start(1, 1, 2);
    let gateway = &site.gateways[0];
    let (old, new) = (
        &site.servers[0],
        ServerStub::start(site.site.ip(0)).unwrap(),
    );
    site.site.announce("s9", &new, 0);
    wait_used("the new server to be used", gateway, &new);
    let draining = ServerPhase::Draining { left: None };
    let leaving = &site.servers[1];
    site.site.announce_as("s1", leaving.address(), 0, draining);
    site.site.retire("s0");
    site.change_much_of("s9", &new);
    wait_for("the new server to be used alone", || {
        let before = (old.arrived() + leaving.arrived(), new.arrived() + 10);
        for number in 0..10 {
            call(gateway.callers(), "/repeat/x", &format!("alone{number}"));
        }
        (old.arrived() + leaving.arrived(), new.arrived()) == before
    });
    let before = old.arrived() + leaving.arrived();
    site.site.store.restore_snapshot();
    wait_for("the gateway to hear of it", || {
        gateway.log().contains("store was restored")
    });
    let ask = |when: &str, count: usize| {
        for number in 0..count {
            let reply = call(gateway.callers(), "/repeat/x", &format!("{when}{number}")).unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{when}");
        }
    };
    ask("restored", 30);
    thread::sleep(MISSING);
    ask("missing", 30);
    site.site.announce("s9", &new, 0);
    site.site.announce_as("s1", leaving.address(), 0, draining);
    thread::sleep(MISSING);
    ask("written again", 30);
    assert_eq!(
        old.arrived() + leaving.arrived(),
        before,
        "gone and leaving servers got work"
    );
}

/// A server whose entry had gone by itself shortly before writes itself again.
#[test]
fn a_server_that_writes_itself_again_after_a_restore_is_used() {
    let site = CopiedSite::start(1, 1, 2);
    let server = &site.servers[0];
    site.site.retire("s0");
    wait_for("the other server to be used alone", || {
        let before = server.arrived();
        for number in 0..10 {
            call(
                site.gateways[0].callers(),
                "/repeat/x",
                &format!("gone{number}"),
            );
        }
        server.arrived() == before
    });
    site.site.store.restore_snapshot();
    site.change_much();
    wait_used("the server to be used again", &site.gateways[0], server);
}
