//! Choice of routes, servers and regions.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, CallRequirements, CallerLimits, ConfigVersion, EngineLimits, FleetView,
    HomeRegions, LocalOption, PrefillTokens, PromptPart, PromptSize, RemoteSearch, RemoteTable,
    RepeatRule, ResponseShape, RoundTrips, RouteRule, RouteTable, RouteTarget, ServerPhase,
    ServerRecord, ServiceLoad, WorkShare,
};
use onyxfall_types::{RegionName, ServerId, name_tag};
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{at, place, ready_server};

const ENGINE: EngineLimits = EngineLimits {
    slots: 4,
    memory_tokens: 40_000,
    token_bytes: 18_432,
    keeps_backups: true,
};

fn view() -> FleetView {
    FleetView::new(place("vm0", &[("c0", "r0"), ("c1", "r1")]))
}

fn record(name: &str, center: &str, phase: ServerPhase) -> ServerRecord {
    ServerRecord {
        center: center.parse().unwrap(),
        phase,
        ..ready_server(name)
    }
}

fn needs(shared: u64, input: u64) -> CallRequirements {
    let part = |id, tokens| PromptPart { id, tokens };
    CallRequirements {
        service: "svc".parse().unwrap(),
        engine: Some(ENGINE),
        prompt: PromptSize {
            parts: vec![part(1, shared), part(2, input - shared)],
            input,
            output: 100,
            output_guess: None,
        },
        goal: Duration::from_secs(1),
        urgency: 5,
        backlog_limit: None,
        deadline: at(60_000),
        events: None,
        homes: HomeRegions::Any,
        version: None,
    }
}

fn choose(view: &mut FleetView, needs: &CallRequirements, excluded: &[ServerId]) -> LocalOption {
    view.choose(at(0), needs, excluded, &mut StdRng::seed_from_u64(1))
}

fn chosen(view: &mut FleetView, needs: &CallRequirements) -> ServerId {
    match choose(view, needs, &[]) {
        LocalOption::Free(choice) => choice.server,
        other => panic!("no server: {other:?}"),
    }
}

struct OptionCase {
    name: &'static str,
    prepare: fn(&mut FleetView),
    homes: &'static [&'static str],
    input: u64,
    expected: fn(&LocalOption) -> bool,
}

#[test]
fn only_permitted_and_available_servers_are_chosen() {
    let is_none = |option: &LocalOption| *option == LocalOption::None;
    let cases = [
        OptionCase {
            name: "a server of this region",
            prepare: |view| view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None),
            homes: &[],
            input: 1000,
            expected: |option| matches!(option, LocalOption::Free(_)),
        },
        OptionCase {
            name: "a server of another region",
            prepare: |view| view.put_server(at(0), record("s", "c1", ServerPhase::Ready), None),
            homes: &[],
            input: 1000,
            expected: is_none,
        },
        OptionCase {
            name: "a route with other home regions",
            prepare: |view| view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None),
            homes: &["r1"],
            input: 1000,
            expected: is_none,
        },
        OptionCase {
            name: "a draining server",
            prepare: |view| {
                let leaving = ServerPhase::Draining { left: None };
                view.put_server(at(0), record("s", "c0", leaving), None);
            },
            homes: &[],
            input: 1000,
            expected: is_none,
        },
        OptionCase {
            name: "a removed server",
            prepare: |view| {
                view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None);
                view.remove_server(at(0), "s");
            },
            homes: &[],
            input: 1000,
            expected: is_none,
        },
        OptionCase {
            name: "an evacuated data centre",
            prepare: |view| {
                view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None);
                view.evacuate("c0".parse().unwrap());
            },
            homes: &[],
            input: 1000,
            expected: is_none,
        },
        OptionCase {
            name: "a prompt beyond the server's memory",
            prepare: |view| view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None),
            homes: &[],
            input: 50_000,
            expected: |option| *option == LocalOption::Full,
        },
        OptionCase {
            name: "slots filled by other VMs",
            prepare: |view| {
                view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None);
                let id = view.find("s").unwrap();
                let work = WorkShare {
                    requests: 4,
                    ..WorkShare::default()
                };
                view.server_mut(id).set_others(at(0), work);
            },
            homes: &[],
            input: 1000,
            expected: |option| *option == LocalOption::Full,
        },
    ];
    for case in cases {
        let mut view = view();
        (case.prepare)(&mut view);
        let mut needs = needs(500, case.input);
        needs.homes = homes(case.homes);
        let option = choose(&mut view, &needs, &[]);
        assert!((case.expected)(&option), "{}: {option:?}", case.name);
    }
}

#[test]
fn a_shared_prefix_uses_one_server_until_it_is_busy() {
    let mut view = view();
    for name in ["s0", "s1", "s2"] {
        view.put_server(at(0), record(name, "c0", ServerPhase::Ready), None);
    }
    let needs = needs(5000, 6000);
    let owner = chosen(&mut view, &needs);
    for _ in 0..10 {
        assert_eq!(chosen(&mut view, &needs), owner);
    }
    let busy = WorkShare {
        requests: 1,
        prefill: PrefillTokens::of(5, 60_000),
        ..WorkShare::default()
    };
    view.server_mut(owner).set_others(at(0), busy);
    assert_ne!(
        chosen(&mut view, &needs),
        owner,
        "the busy owner was chosen again"
    );
}

#[test]
fn the_last_server_is_never_ejected() {
    let mut view = view();
    view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None);
    let needs = needs(500, 1000);
    for attempt in 0..20 {
        let server = chosen(&mut view, &needs);
        view.start_attempt(at(0), server, attempt, &needs);
        view.end_attempt(at(0), server, attempt, AttemptResult::Broken, None);
    }
    chosen(&mut view, &needs);
}

#[test]
fn work_is_added_and_removed() {
    let mut view = view();
    view.put_server(at(0), record("s", "c0", ServerPhase::Ready), None);
    let needs = needs(500, 1000);
    let id = view.find("s").unwrap();
    view.start_attempt(at(0), id, 1, &needs);
    // The token flow decays over five seconds.
    let flow = 1100 / 5;
    assert_eq!(
        view.server(id).own_work(at(0)),
        WorkShare {
            requests: 1,
            prefill: PrefillTokens::of(5, 1000),
            memory: 1100,
            flow,
            ..WorkShare::default()
        }
    );
    view.record_response(at(5), id, 1);
    let own = view.server(id).own_work(at(5));
    assert_eq!(own.prefill.total(), 0, "the prompt is prefilled");
    view.end_attempt(at(9), id, 1, AttemptResult::Succeeded, None);
    let own = view.server(id).own_work(at(600_000));
    assert_eq!(own, WorkShare::default());
}

struct RemoteCase {
    name: &'static str,
    /// Wait and usable servers in the report of `r1`.
    load: (u64, u32),
    age_ms: u64,
    homes: &'static [&'static str],
    excluded: &'static [&'static str],
    is_option: bool,
}

#[test]
fn only_a_permitted_and_available_region_is_an_option() {
    let base = RemoteCase {
        name: "an available region",
        load: (60, 2),
        age_ms: 0,
        homes: &[],
        excluded: &[],
        is_option: true,
    };
    let cases = [
        RemoteCase {
            name: "no usable server",
            load: (60, 0),
            is_option: false,
            ..base
        },
        RemoteCase {
            name: "an expired report",
            age_ms: 9000,
            is_option: false,
            ..base
        },
        RemoteCase {
            name: "not a home region",
            homes: &["r0"],
            is_option: false,
            ..base
        },
        RemoteCase {
            name: "a home region",
            homes: &["r1"],
            ..base
        },
        RemoteCase {
            name: "tried before",
            excluded: &["r1"],
            is_option: false,
            ..base
        },
        base,
    ];
    let own = "r0".parse().unwrap();
    let trips = RoundTrips::default();
    for case in cases {
        let mut table = RemoteTable::default();
        let load = ServiceLoad {
            wait: Duration::from_millis(case.load.0),
            usable: case.load.1,
            event_interval: Duration::ZERO,
            backlog: Duration::ZERO,
            spare: 0,
            capacity: 0,
        };
        let loads = BTreeMap::from([(name_tag("svc"), load)]);
        table.apply(at(0), &"r1".parse().unwrap(), Duration::ZERO, loads);
        let mut needs = needs(500, 1000);
        needs.homes = homes(case.homes);
        let excluded: Vec<RegionName> = case
            .excluded
            .iter()
            .map(|region| region.parse().unwrap())
            .collect();
        let search = RemoteSearch {
            needs: &needs,
            service_tag: name_tag("svc"),
            own_region: &own,
            prefix_home: None,
            trips: &trips,
            work: Duration::from_millis(5),
            work_with_prefix: Duration::from_millis(5),
            excluded: &excluded,
        };
        let found = table.best(at(case.age_ms), &search);
        assert_eq!(found.is_some(), case.is_option, "{}", case.name);
    }
}

#[test]
fn forwarded_work_adds_its_full_time() {
    let own = "r0".parse().unwrap();
    let mut table = RemoteTable::default();
    let load = ServiceLoad {
        wait: Duration::from_millis(30),
        usable: 2,
        event_interval: Duration::ZERO,
        backlog: Duration::ZERO,
        spare: 0,
        capacity: 0,
    };
    let tags = [name_tag("svc"), name_tag("other")];
    table.apply(
        at(0),
        &"r1".parse().unwrap(),
        Duration::ZERO,
        tags.map(|tag| (tag, load)).into(),
    );
    let mut plain = needs(500, 1000);
    plain.engine = None;
    let trips = RoundTrips::default();
    let best = |table: &RemoteTable, needs: &CallRequirements, tag| {
        let search = RemoteSearch {
            needs,
            service_tag: tag,
            own_region: &own,
            prefix_home: None,
            trips: &trips,
            work: Duration::from_millis(5),
            work_with_prefix: Duration::from_millis(5),
            excluded: &[],
        };
        table.best(at(0), &search).unwrap()
    };
    let before = best(&table, &plain, tags[0]);
    for _ in 0..30 {
        let option = best(&table, &plain, tags[0]);
        table.record_sent(at(0), &option, tags[0]);
    }
    let after = best(&table, &plain, tags[0]);
    // Thirty requests of 5 ms over two servers.
    assert_eq!(
        after.predicted.first,
        before.predicted.first + Duration::from_millis(75)
    );
    assert_eq!(
        best(&table, &plain, tags[1]).predicted,
        before.predicted,
        "another service"
    );
}

#[test]
fn work_forwarded_by_peers_counts_until_the_region_can_report_it() {
    let own = "r0".parse().unwrap();
    let region: RegionName = "r1".parse().unwrap();
    let (needs, trips) = (needs(500, 1000), RoundTrips::default());
    let loads = || {
        let load = ServiceLoad {
            wait: Duration::from_millis(30),
            usable: 2,
            ..ServiceLoad::default()
        };
        BTreeMap::from([(name_tag("svc"), load)])
    };
    let search = RemoteSearch {
        needs: &needs,
        service_tag: name_tag("svc"),
        own_region: &own,
        prefix_home: None,
        trips: &trips,
        work: Duration::from_millis(20),
        work_with_prefix: Duration::from_millis(20),
        excluded: &[],
    };
    let trip = Duration::from_millis(100);
    // Another VM that sends 20 ms of work every 100 ms reports its rate.
    let mut peer = RemoteTable::default();
    peer.apply(at(0), &region, trip, loads());
    for turn in 0..100 {
        let now = at(turn * 100);
        peer.apply(now, &region, trip, loads());
        let option = peer.best(now, &search).unwrap();
        peer.record_sent(now, &option, search.service_tag);
    }
    let (tag, rate) = peer.own_rates(at(9900)).next().unwrap();
    assert!((0.15..0.27).contains(&rate), "{rate}");
    let mut table = RemoteTable::default();
    table.apply(at(10_000), &region, trip, loads());
    let first = |table: &RemoteTable, ms| table.best(at(ms), &search).unwrap().predicted.first;
    let before = first(&table, 10_000);
    let now = at(10_000);
    assert!(table.set_peer_rate(now, tag, rate));
    assert!(!table.set_peer_rate(now, tag + 1, rate), "an unknown tag");
    // 150 ms before the report, and 250 ms after it, over two servers.
    let added = |table: &RemoteTable, ms| first(table, ms).checked_sub(before).unwrap();
    for (ms, unreported_s, excess_factor) in [(10_000, 0.150, 1.0), (10_250, 0.400, 0.85)] {
        let expected = Duration::from_secs_f64(unreported_s * rate * excess_factor / 2.0);
        assert!(
            added(&table, ms).abs_diff(expected) < Duration::from_millis(1),
            "{ms}"
        );
    }
    // Work that has been sent for a while is part of the report.
    table.apply(at(20_000), &region, trip, loads());
    assert!(added(&table, 20_000) < Duration::from_millis(1));
}

fn rule(path_prefix: &str, homes: &[&str]) -> RouteRule {
    RouteRule {
        name: "r".parse().unwrap(),
        host: "a.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        repeat: RepeatRule::Once,
        shape: ResponseShape::Whole,
        timeout: Duration::from_secs(1),
        goal: Duration::from_secs(1),
        priority: 0,
        targets: vec![RouteTarget {
            service: "svc".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 1,
        homes: self::homes(homes),
        is_public: true,
    }
}

fn homes(names: &[&str]) -> HomeRegions {
    HomeRegions::listed(names.iter().map(|name| name.parse().unwrap()).collect())
}

fn table(rules: Vec<RouteRule>) -> RouteTable {
    let limits = CallerLimits {
        max_head: 1,
        max_body: 1,
        head_time: Duration::ZERO,
        idle: Duration::ZERO,
    };
    RouteTable::new(ConfigVersion(1), rules, Vec::new(), limits)
}

#[test]
fn the_longest_matching_prefix_selects_the_route() {
    let table = table(vec![rule("/a/", &[]), rule("/a/b/", &[]), rule("/", &[])]);
    let cases = [("/a/b/c", "/a/b/"), ("/a/bc", "/a/"), ("/x", "/")];
    for (path, prefix) in cases {
        let found = table.find("a.example", path).unwrap();
        assert_eq!(found.path_prefix, prefix, "{path}");
    }
    assert!(table.find("b.example", "/a/").is_none());
}

#[test]
fn homes_of_a_host_are_the_regions_listed_by_most_routes() {
    let rules = vec![
        rule("/a/", &["r0", "r1"]),
        rule("/b/", &["r1"]),
        rule("/c/", &["r2"]),
        rule("/d/", &[]),
    ];
    let homes = table(rules).homes_of_host("a.example");
    assert_eq!(homes, vec!["r1".parse().unwrap()]);
    assert!(
        table(vec![rule("/a/", &[])])
            .homes_of_host("a.example")
            .is_empty()
    );
}

#[test]
fn a_split_follows_its_weights_and_is_deterministic() {
    let mut split = rule("/a/", &[]);
    let target = |service: &str, weight| RouteTarget {
        service: service.parse().unwrap(),
        weight,
    };
    split.targets = vec![target("one", 90), target("two", 10)];
    let ids: Vec<String> = (0..2000).map(|number| format!("id{number}")).collect();
    let twos = ids
        .iter()
        .filter(|id| split.service_for(id).as_str() == "two")
        .count();
    assert!((100..300).contains(&twos), "{twos} of 2000 at a tenth");
    assert!(
        ids.iter()
            .all(|id| split.service_for(id) == split.service_for(id))
    );
}

#[test]
fn a_short_shared_part_does_not_determine_the_server() {
    let mut view = view();
    for name in ["s0", "s1", "s2"] {
        view.put_server(at(0), record(name, "c0", ServerPhase::Ready), None);
    }
    // The prior assumes 20 ms for the prefill of a thousand tokens.
    let short = needs(200, 800);
    let owner = chosen(&mut view, &needs(5000, 5600));
    let busy = WorkShare {
        requests: 1,
        prefill: PrefillTokens::of(5, 10_000),
        ..WorkShare::default()
    };
    view.server_mut(owner).set_others(at(0), busy);
    assert_eq!(chosen(&mut view, &needs(5000, 5600)), owner, "a long part");
    assert_ne!(chosen(&mut view, &short), owner, "a short part");
}

#[test]
fn a_request_goes_to_a_server_that_meets_its_deadline() {
    let mut view = view();
    let ids: Vec<ServerId> = ["s0", "s1"]
        .into_iter()
        .map(|name| {
            view.put_server(at(0), record(name, "c0", ServerPhase::Ready), None);
            view.find(name).unwrap()
        })
        .collect();
    // Responses of 21 events teach an interval of 40 ms between events.
    for id in 0..40 {
        let now = id * 10_000;
        let call = needs(0, 100 + id);
        view.start_attempt(at(now), ids[0], id, &call);
        view.record_response(at(now + 50), ids[0], id);
        view.end_attempt(
            at(now + 850),
            ids[0],
            id,
            AttemptResult::Succeeded,
            Some(21),
        );
    }
    let now = at(1_000_000);
    let prefilling = WorkShare {
        requests: 3,
        prefill: PrefillTokens::of(9, 15_000),
        ..WorkShare::default()
    };
    let mut long = needs(0, 100);
    long.events = Some(50.0);
    let alone = view.predict(now, ids[0], &long).whole;
    view.server_mut(ids[0]).set_others(now, prefilling);
    let busy_whole = view.predict(now, ids[0], &long).whole;
    assert!(alone.as_millis().abs_diff(2000) < 250, "{alone:?}");
    assert!(
        busy_whole > alone,
        "{busy_whole:?} if busy, {alone:?} alone"
    );
    long.deadline = now + (alone + busy_whole) / 2;
    let rng = &mut StdRng::seed_from_u64(1);
    let LocalOption::Free(choice) = view.choose(now, &long, &[], rng) else {
        panic!("no server");
    };
    assert_eq!(choice.server, ids[1]);
}
