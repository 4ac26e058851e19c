//! A store that is restored from a backup loses acknowledged writes and reuses their revisions.

mod support;

use std::thread;
use std::time::Duration;

use http::StatusCode;
use onyxfall_fakes::ServerStub;
use onyxfall_fleet::ServerPhase;
use support::{Gateway, Site, call, wait_for, wait_used};

/// Number of changes after the backup, so that the restored store has a much smaller revision.
const LATER_CHANGES: usize = 8;
/// How long entries written after the backup are missing before they are written again.
const MISSING_FOR: Duration = Duration::from_millis(1500);

/// Versions that a gateway has put into force, in order.
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

/// Serving VMs and servers, and a store with a backup of that state.
struct BackedUpSite {
    gateways: Vec<Gateway>,
    servers: Vec<ServerStub>,
    // Dropped last, since the others use its addresses.
    site: Site,
}

impl BackedUpSite {
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

    /// Advances the revision of the store without changing any content.
    fn advance_revision(&self) {
        self.advance_revision_with("s0", &self.servers[0]);
    }

    fn advance_revision_with(&self, name: &str, server: &ServerStub) {
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
        case("VMs that get changes from other VMs", 4, 1),
        case("regions", 2, 2),
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || {
                let site = BackedUpSite::start(case.vms, case.regions, 1);
                site.advance_revision();
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

/// The backup lists a server that has gone and lacks one in service, until that one writes its
/// entry again.
#[test]
fn servers_stay_as_they_were_before_a_restore() {
    let site = BackedUpSite::start(1, 1, 2);
    let gateway = &site.gateways[0];
    let (old, new) = (
        &site.servers[0],
        ServerStub::start(site.site.ip(0)).unwrap(),
    );
    site.site.announce("s9", &new, 0);
    wait_used("the new server to be used", gateway, &new);
    let draining = ServerPhase::Draining { left: None };
    let drained = &site.servers[1];
    site.site.announce_as("s1", drained.address(), 0, draining);
    site.site.retire("s0");
    site.advance_revision_with("s9", &new);
    wait_for("the new server to be used alone", || {
        let before = (old.arrived() + drained.arrived(), new.arrived() + 10);
        for number in 0..10 {
            call(gateway.callers(), "/repeat/x", &format!("alone{number}"));
        }
        (old.arrived() + drained.arrived(), new.arrived()) == before
    });
    let before = old.arrived() + drained.arrived();
    site.site.store.restore_snapshot();
    wait_for("the gateway to detect the restore", || {
        gateway.log().contains("store was restored")
    });
    let send = |when: &str, count: usize| {
        for number in 0..count {
            let reply = call(gateway.callers(), "/repeat/x", &format!("{when}{number}")).unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{when}");
        }
    };
    send("restored", 30);
    thread::sleep(MISSING_FOR);
    send("missing", 30);
    site.site.announce("s9", &new, 0);
    site.site.announce_as("s1", drained.address(), 0, draining);
    thread::sleep(MISSING_FOR);
    send("written again", 30);
    assert_eq!(
        old.arrived() + drained.arrived(),
        before,
        "removed and draining servers received requests"
    );
}

/// A server whose entry was removed shortly before the restore writes its entry again.
#[test]
fn a_server_that_writes_its_entry_again_after_a_restore_is_used() {
    let site = BackedUpSite::start(1, 1, 2);
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
    site.advance_revision();
    wait_used("the server to be used again", &site.gateways[0], server);
}
