//! API keys, teams, their home regions and their quotas.

mod support;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use onyxfall_adapter::stub::{TeamText, caller_headers, claim_team};
use onyxfall_fakes::ServerStub;
use support::{Gateway, HOST, Reply, SERVICE, Site, get, send, wait_for};

const KEY: &str = "jbvk9m68k7b2ex5wa5xw";
const SECOND_KEY: &str = "yhks8nbkxxmibw6kpqk8";
const UNKNOWN_KEY: &str = "never-in-any-document";

const TEAM: TeamText<'static> = TeamText {
    name: "huka270",
    keys: &[KEY, SECOND_KEY],
    rate: 0.0,
    home_regions: &[],
};

/// A site of several regions with one VM and at most one server in each, and teams.
struct TeamSite {
    // Fields drop in order: the gateways before what they depend on.
    gateways: Vec<Gateway>,
    servers: Vec<ServerStub>,
    site: Site,
}

impl TeamSite {
    fn start(vms: u8, servers: u8, teams: &[TeamText<'_>]) -> Self {
        let site = Site::start(vms);
        let started = (0..usize::from(servers)).map(|vm| {
            let server = ServerStub::start(site.ip(vm)).unwrap();
            site.announce(&format!("s{vm}"), &server, vm);
            server
        });
        let servers = started.collect();
        site.configure_teams(1, teams);
        let gateways: Vec<Gateway> = (0..usize::from(vms)).map(|vm| site.gateway(vm)).collect();
        gateways.iter().for_each(Gateway::wait_public);
        Self {
            gateways,
            servers,
            site,
        }
    }

    fn runs(&self, id: &str) -> usize {
        let runs = self.servers.iter().flat_map(ServerStub::runs);
        runs.filter(|run| run.call.request_id == id).count()
    }
}

/// Sends a request with credentials and a forged team name.
fn call_as(gateway: &Gateway, path: &str, id: &str, credentials: &[&str]) -> Reply {
    let mut headers = caller_headers(HOST, id, Duration::from_secs(3));
    for credential in credentials {
        claim_team(&mut headers, credential, "forged");
    }
    let body = Bytes::from_static(b"body");
    send(gateway.callers(), Method::POST, path, headers, body).unwrap()
}

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

struct KeyCase {
    name: &'static str,
    path: &'static str,
    credentials: Vec<String>,
    status: u16,
    /// Team name that the server receives.
    team: Option<&'static str>,
}

#[test]
fn a_request_needs_exactly_one_known_key_and_the_server_gets_its_team() {
    let long = "k".repeat(8 * 1024);
    let case = |name, path, credentials: &[String], status, team| KeyCase {
        name,
        path,
        credentials: credentials.to_vec(),
        status,
        team,
    };
    let team = Some("huka270");
    let cases = [
        case("known", "/once/x", &[bearer(KEY)], 200, team),
        case("the other key", "/once/x", &[bearer(SECOND_KEY)], 200, team),
        case(
            "odd form",
            "/once/x",
            &[format!("bEARER   {KEY}  ")],
            200,
            team,
        ),
        case("stream", "/stream/x", &[bearer(KEY)], 200, team),
        case("none", "/once/x", &[], 401, None),
        case("empty", "/once/x", &[String::new()], 401, None),
        case(
            "another scheme",
            "/once/x",
            &[format!("Basic {KEY}")],
            401,
            None,
        ),
        case("two", "/once/x", &[bearer(KEY), bearer(KEY)], 401, None),
        case("unknown", "/once/x", &[bearer(UNKNOWN_KEY)], 401, None),
        case("8 KB", "/once/x", &[bearer(&long)], 401, None),
        case("public", "/public/x", &[], 200, None),
        case("public, with a key", "/public/x", &[bearer(KEY)], 200, None),
        case("no route", "/nowhere/x", &[bearer(KEY)], 404, None),
    ];
    let site = TeamSite::start(1, 1, &[TEAM]);
    for (number, case) in cases.iter().enumerate() {
        let id = format!("k{number}");
        let credentials: Vec<&str> = case.credentials.iter().map(String::as_str).collect();
        let reply = call_as(&site.gateways[0], case.path, &id, &credentials);
        assert_eq!(reply.status.as_u16(), case.status, "{}", case.name);
        let challenge = reply.headers.get("www-authenticate");
        assert_eq!(challenge.is_some(), case.status == 401, "{}", case.name);
        let runs = site.servers[0].runs();
        let run = runs.iter().find(|run| run.call.request_id == id);
        assert_eq!(run.is_some(), case.status == 200, "{}: run", case.name);
        if let Some(run) = run {
            assert_eq!(run.call.team.as_deref(), case.team, "{}", case.name);
            assert!(!run.call.has_key, "{}: the key was forwarded", case.name);
        }
    }
}

#[test]
fn a_forwarded_request_carries_the_team_but_not_the_key() {
    let site = TeamSite::start(2, 1, &[TEAM]);
    // The only server is in the first region.
    let reply = call_as(&site.gateways[1], "/once/x", "far", &[&bearer(KEY)]);
    assert_eq!(reply.status, StatusCode::OK);
    let runs = site.servers[0].runs();
    let run = runs
        .iter()
        .find(|run| run.call.request_id == "far")
        .unwrap();
    assert_eq!(run.call.team.as_deref(), Some("huka270"));
    assert!(!run.call.has_key);
}

#[test]
fn a_team_is_served_in_its_home_regions_only() {
    let bound = TeamText {
        home_regions: &["r1"],
        ..TEAM
    };
    let site = TeamSite::start(2, 1, &[bound]);
    // The only server is in a region that is not a home.
    for gateway in &site.gateways {
        let reply = call_as(gateway, "/once/x", "bound", &[&bearer(KEY)]);
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    // A VM with another configuration may still forward the request.
    let mut headers = caller_headers(HOST, "bound", Duration::from_secs(3));
    let own = [
        ("onyxfall-vm", "vm1"),
        ("onyxfall-service", SERVICE),
        ("onyxfall-goal-ms", "400"),
        ("onyxfall-team", "huka270"),
    ];
    for (name, value) in own {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let gateway = &site.gateways[0];
    let address = SocketAddr::new(IpAddr::V4(gateway.ip), gateway.ports.relay);
    let body = Bytes::from_static(b"body");
    let reply = send(address, Method::POST, "/once/x", headers, body).unwrap();
    let verdict = reply.headers.get("onyxfall-verdict").unwrap();
    assert_eq!(verdict, "not-run");
    assert_eq!(site.runs("bound"), 0);
}

#[test]
fn a_team_beyond_its_quota_is_rejected_at_once_and_others_are_not() {
    let limited = TeamText { rate: 5.0, ..TEAM };
    let other = TeamText {
        name: "other",
        keys: &[UNKNOWN_KEY],
        ..TEAM
    };
    let site = TeamSite::start(1, 1, &[limited, other]);
    let mut refused = 0;
    for number in 0..60 {
        let id = format!("q{number}");
        let reply = call_as(&site.gateways[0], "/once/x", &id, &[&bearer(KEY)]);
        if reply.status == StatusCode::TOO_MANY_REQUESTS {
            refused += 1;
            let after = reply.headers.get("retry-after").unwrap().to_str().unwrap();
            assert!(after.parse::<f64>().unwrap() > 0.0, "{after}");
            assert_eq!(site.runs(&id), 0);
        }
        let reply = call_as(
            &site.gateways[0],
            "/once/x",
            "other",
            &[&bearer(UNKNOWN_KEY)],
        );
        assert_eq!(reply.status, StatusCode::OK, "another team was refused");
    }
    // At the limit, 60 requests take 12 s; each of these took a fraction of a second.
    assert!(refused > 0, "nothing was refused");
}

#[test]
fn a_removed_key_is_rejected_and_a_new_one_served() {
    let site = TeamSite::start(2, 2, &[TEAM]);
    let changed = TeamText {
        keys: &[SECOND_KEY, UNKNOWN_KEY],
        ..TEAM
    };
    site.site.configure_teams(2, &[changed]);
    for gateway in &site.gateways {
        wait_for("the key to be refused", || {
            let reply = call_as(gateway, "/once/x", "gone", &[&bearer(KEY)]);
            reply.status == StatusCode::UNAUTHORIZED
        });
        for key in [SECOND_KEY, UNKNOWN_KEY] {
            let reply = call_as(gateway, "/once/x", "kept", &[&bearer(key)]);
            assert_eq!(reply.status, StatusCode::OK);
        }
    }
    // An older configuration does not restore the key.
    site.site.configure_teams(1, &[TEAM]);
    for number in 0..20 {
        let id = format!("back{number}");
        let reply = call_as(&site.gateways[0], "/once/x", &id, &[&bearer(KEY)]);
        assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
    }
}

#[test]
fn no_key_appears_in_logs_metrics_or_responses() {
    let limited = TeamText { rate: 2.0, ..TEAM };
    let site = TeamSite::start(2, 1, &[limited]);
    let mut replies: Vec<Reply> = Vec::new();
    for number in 0..12 {
        let id = format!("s{number}");
        for gateway in &site.gateways {
            for credential in [bearer(KEY), format!("Basic {KEY}"), bearer(UNKNOWN_KEY)] {
                replies.push(call_as(gateway, "/once/x", &id, &[&credential]));
            }
        }
    }
    // A document that is truncated after a key.
    let truncated = format!("{{\"Version\":3,\"Tenants\":[{{\"ApiKeys\":[\"{KEY}\"");
    site.site
        .store
        .put(onyxfall_adapter::stub::config_key(), truncated);
    wait_for("the truncated document to be seen", || {
        site.gateways
            .iter()
            .any(|gateway| gateway.log().contains("item not understood"))
    });
    let mut outputs: Vec<String> = site.gateways.iter().map(Gateway::log).collect();
    for gateway in &site.gateways {
        outputs.push(get(gateway.ready(), "/metrics").unwrap().text().to_owned());
    }
    outputs.extend(
        replies
            .iter()
            .map(|reply| format!("{:?} {}", reply.headers, reply.text())),
    );
    for text in outputs {
        for key in [KEY, SECOND_KEY, UNKNOWN_KEY] {
            assert!(!text.contains(key), "a key appears in: {text}");
        }
    }
    let headers: Vec<HeaderMap> = replies.into_iter().map(|reply| reply.headers).collect();
    assert!(
        headers
            .iter()
            .any(|headers| headers.contains_key("www-authenticate"))
    );
}
