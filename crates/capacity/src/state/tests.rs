//! Tests of the capacity state in virtual time, without a network.

use onyxfall_fleet::{
    BackendService, CallerLimits, ConfigVersion, EngineLimits, RepeatRule, ResponseShape,
    RouteRule, RouteTarget, TeamRule,
};

use super::*;

const REGIONS: [&str; 3] = ["ra", "rb", "rc"];
/// Age beyond which a report counts as nothing.
const REPORT_LIFETIME_MS: u64 = 1500;
/// Steps in which virtual time advances.
const STEP_MS: u64 = 10;

fn at(millis: u64) -> Moment {
    Moment::from_duration(Duration::from_millis(millis))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn service(name: &str, is_model: bool) -> BackendService {
    BackendService {
        name: name.parse().unwrap(),
        max_connections: 8,
        cold_for: Duration::ZERO,
        health_path: String::new(),
        cold_rate: 0.0,
        engine: is_model.then_some(EngineLimits {
            slots: 64,
            memory_tokens: 500_000,
            token_bytes: 1,
            keeps_backups: false,
        }),
    }
}

/// The regions of a list; every region if it is empty.
fn homes(text: &str) -> HomeRegions {
    let listed = text.split(',').filter(|name| !name.is_empty());
    HomeRegions::listed(listed.map(|name| name.parse().unwrap()).collect())
}

fn route(name: &str, service: &str, priority: u8, goal_ms: u64, regions: HomeRegions) -> RouteRule {
    RouteRule {
        name: name.parse().unwrap(),
        host: "svc.example".to_owned(),
        path_prefix: format!("/{name}"),
        repeat: RepeatRule::Once,
        shape: ResponseShape::Whole,
        timeout: Duration::from_secs(10),
        goal: ms(goal_ms),
        priority,
        targets: vec![RouteTarget {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 2,
        homes: regions,
        is_public: false,
    }
}

/// Two kinds of requests to the model service `chat`; kinds of `solo` and `page` are not planned.
fn table(routes: Vec<RouteRule>, teams: &[(Option<u8>, &str)]) -> RouteTable {
    let services = vec![
        service("chat", true),
        service("solo", true),
        service("page", false),
    ];
    let limits = CallerLimits {
        max_head: 8192,
        max_body: 1 << 20,
        head_time: Duration::from_secs(30),
        idle: Duration::from_secs(30),
    };
    let rules = teams.iter().enumerate();
    let rules = rules.map(|(number, (priority, regions))| TeamRule {
        name: format!("team{number}").parse().unwrap(),
        keys: Vec::new(),
        priority: *priority,
        quota: None,
        homes: homes(regions),
    });
    RouteTable::new(ConfigVersion(1), routes, services, limits)
        .with_teams(TeamTable::new(rules.collect()))
}

fn any_routes() -> Vec<RouteRule> {
    vec![
        route("bid", "chat", 0, 1000, HomeRegions::Any),
        route("bulk", "chat", 2, 2000, HomeRegions::Any),
        route("solo", "solo", 0, 1000, HomeRegions::Any),
        route("page", "page", 0, 100, HomeRegions::Any),
        route("feed", "page", 1, 400, HomeRegions::Any),
    ]
}

fn names(regions: &[&str]) -> Vec<RegionName> {
    regions.iter().map(|name| name.parse().unwrap()).collect()
}

fn state_in(own: &str, regions: &[&str], table: &RouteTable) -> CapacityState {
    let mut state = CapacityState::new(names(regions), &own.parse().unwrap());
    state.set_table(table);
    state
}

/// State of a VM in `own` with two kinds of requests of one team.
fn state(own: &str) -> CapacityState {
    state_in(own, &REGIONS, &table(any_routes(), &[]))
}

fn chat() -> ServiceName {
    "chat".parse().unwrap()
}

fn class(state: &CapacityState, kind: u8) -> ClassTag {
    let found = state.class(&chat(), importance(kind, None), &HomeRegions::Any);
    found.unwrap()
}

const BID: u8 = 0;
const BULK: u8 = 2;

/// Report of another region: capacity and the work asked for by kind, in server seconds a second.
fn report(state: &mut CapacityState, sent: u64, region: usize, capacity: f64, flows: &[(u8, f64)]) {
    let flows = flows.iter();
    let flows: Vec<(u32, u64)> = flows
        .map(|(kind, rate)| (class(state, *kind).get(), WorkRate::clamped(*rate).micros()))
        .collect();
    state.ledger_mut().receive(at(sent), region, &flows);
    let tag = name_tag(chat().as_str());
    state.receive_capacity(at(sent), region, tag, WorkRate::clamped(capacity));
}

/// Sets what the other VMs of the own region ask for.
fn ask(state: &mut CapacityState, kind: u8, rate: f64) {
    let tag = class(state, kind).get();
    let micros = WorkRate::clamped(rate).micros();
    assert!(state.ledger_mut().set_peer_flow(tag, micros));
}

fn refresh(state: &mut CapacityState, now: u64, servers: usize) {
    state.refresh(at(now), &chat(), servers, &PlanRules::default());
}

fn share(state: &CapacityState, kind: u8) -> &PlanShare {
    state.share(&chat(), class(state, kind)).unwrap()
}

#[track_caller]
fn assert_near(found: f64, expected: f64, what: &str) {
    assert!(
        (found - expected).abs() <= 0.01 * expected.abs().max(1.0),
        "{what}: {found} instead of {expected}"
    );
}

struct ClassCase {
    name: &'static str,
    /// Regions of the kinds `bid` and `bulk`.
    kinds: [&'static str; 2],
    /// Priority and regions of each team.
    teams: &'static [(Option<u8>, &'static str)],
    /// Importance and regions of each class, the most important first.
    classes: &'static [(&'static str, &'static str)],
}

const CLASS_CASES: &[ClassCase] = &[
    ClassCase {
        name: "no teams",
        kinds: ["", ""],
        teams: &[],
        classes: &[("0.0", ""), ("2.0", "")],
    },
    ClassCase {
        name: "the rank of the route comes before that of the team",
        kinds: ["", ""],
        teams: &[(Some(1), ""), (Some(0), "")],
        classes: &[("0.0", ""), ("0.1", ""), ("2.0", ""), ("2.1", "")],
    },
    ClassCase {
        name: "teams without a priority and of the same rank share a class",
        kinds: ["", ""],
        teams: &[(None, ""), (Some(0), ""), (Some(2), ""), (Some(9), "")],
        classes: &[("0.0", ""), ("0.2", ""), ("2.0", ""), ("2.2", "")],
    },
    ClassCase {
        name: "regions of the route and the team both apply",
        kinds: ["rc,ra", ""],
        teams: &[(Some(1), "rb,ra")],
        classes: &[("0.1", "ra"), ("2.1", "ra,rb")],
    },
    ClassCase {
        name: "teams of one rank that may run in other regions are other classes",
        kinds: ["", "ra,rb,rc"],
        teams: &[(Some(0), ""), (Some(0), "rb")],
        classes: &[
            ("0.0", ""),
            ("0.0", "rb"),
            ("2.0", "ra,rb,rc"),
            ("2.0", "rb"),
        ],
    },
];

fn class_table(case: &ClassCase) -> RouteTable {
    let [bid, bulk] = case.kinds.map(homes);
    let mut routes = any_routes();
    routes[0].homes = bid;
    routes[1].homes = bulk;
    table(routes, case.teams)
}

/// Guards against requests that are counted in no class or in the class of others, and against
/// classes for services that have no order of importance.
#[test]
fn classes_follow_routes_and_teams() {
    for case in CLASS_CASES {
        let table = class_table(case);
        let state = state_in("ra", &REGIONS, &table);
        let mut found: Vec<(String, String)> = state
            .classes
            .iter()
            .map(|class| {
                assert_eq!(class.service, chat(), "{}", case.name);
                let regions = state.names_of(class.homes);
                let regions: Vec<&str> = regions.iter().map(RegionName::as_str).collect();
                (class.importance.to_string(), regions.join(","))
            })
            .collect();
        assert!(
            found.iter().map(|(importance, _)| importance).is_sorted(),
            "{}: {found:?}",
            case.name
        );
        found.sort();
        let expected = case.classes.iter();
        let expected: Vec<_> = expected
            .map(|(importance, regions)| ((*importance).to_owned(), (*regions).to_owned()))
            .collect();
        assert_eq!(found, expected, "{}", case.name);
        // Every request of a planned service finds its class.
        for rule in table.routes() {
            for (_, team) in table.teams().into_iter().flat_map(TeamTable::iter) {
                let regions = rule.homes.and(&team.homes);
                let service = &rule.targets[0].service;
                let importance = importance(rule.priority, team.priority);
                let class = state.class(service, importance, &regions);
                assert_eq!(class.is_some(), *service == chat(), "{}", case.name);
            }
        }
    }
}

/// Guards against VMs that disagree on a class: their flows would not add up.
#[test]
fn tags_are_alike_on_vms_of_all_regions() {
    for case in CLASS_CASES {
        let tags = |own, regions: &[&str]| -> Vec<(u32, Importance)> {
            let state = state_in(own, regions, &class_table(case));
            let classes = state.classes.iter();
            classes.map(|it| (it.tag.get(), it.importance)).collect()
        };
        let expected = tags("ra", &REGIONS);
        for own in REGIONS {
            // The configuration may list regions in another order, or twice.
            let found = tags(own, &["rc", "rb", "ra", "rb"]);
            assert_eq!(found, expected, "{}: {own}", case.name);
        }
        let distinct: BTreeSet<u32> = expected.iter().map(|(tag, _)| *tag).collect();
        assert_eq!(distinct.len(), expected.len(), "{}", case.name);
    }
}

struct ReportCase {
    name: &'static str,
    /// Time and region of each received report.
    reports: &'static [(u64, usize)],
    /// Times at which the plan is refreshed, and whether there is one then.
    plans: &'static [(u64, bool)],
}

const REPORT_CASES: &[ReportCase] = &[
    ReportCase {
        name: "a VM that receives nothing",
        reports: &[],
        plans: &[(0, false), (10_000, false)],
    },
    ReportCase {
        name: "one region reports once",
        reports: &[(1000, 1)],
        plans: &[
            (0, false),
            (1000, true),
            (1000 + REPORT_LIFETIME_MS, true),
            (1001 + REPORT_LIFETIME_MS, false),
        ],
    },
    ReportCase {
        name: "one of two regions falls silent",
        reports: &[(0, 1), (0, 2), (1000, 2)],
        plans: &[(1501, true), (2500, true), (2501, false)],
    },
    ReportCase {
        name: "a region returns",
        reports: &[(0, 1), (5000, 1)],
        plans: &[(3000, false), (5000, true)],
    },
];

/// Guards against decisions by a plan that rests on no report or on old ones.
#[test]
fn there_is_a_plan_only_with_a_recent_report() {
    for case in REPORT_CASES {
        let mut state = state("ra");
        ask(&mut state, BID, 1.0);
        let mut reports = case.reports.iter().peekable();
        for (now, is_planned) in case.plans {
            while let Some((sent, region)) = reports.next_if(|(sent, _)| sent <= now) {
                report(&mut state, *sent, *region, 4.0, &[(BID, 1.0)]);
            }
            refresh(&mut state, *now, 4);
            let class = class(&state, BID);
            let found = state.standing(&chat(), class).is_some();
            assert_eq!(found, *is_planned, "{}: at {now} ms", case.name);
            if !is_planned {
                // The VM decides by itself: it sends nothing to a region that a plan names.
                assert!(state.plans().is_empty(), "{}", case.name);
                assert_eq!(state.planned_region(&chat(), class, 1.0), None);
            }
        }
    }
}

/// Guards against a plan that survives a change of its classes.
#[test]
fn a_new_configuration_drops_the_plan() {
    let mut state = state("ra");
    report(&mut state, 0, 1, 4.0, &[]);
    refresh(&mut state, 0, 4);
    assert!(!state.plans().is_empty());
    state.set_table(&table(any_routes(), &[(Some(1), "ra")]));
    assert!(state.plans().is_empty());
    refresh(&mut state, 10, 4);
    assert!(!state.plans().is_empty());
}

/// Guards against sending work to a region that cannot be reached, and against counting its
/// callers.
#[test]
fn a_partitioned_region_plans_with_its_own_side() {
    let mut state = state("ra");
    // Regions a and c are overloaded, and b has capacity.
    ask(&mut state, BULK, 8.0);
    report(&mut state, 0, 1, 8.0, &[]);
    report(&mut state, 0, 2, 4.0, &[(BULK, 4.0)]);
    refresh(&mut state, 0, 4);
    assert_near(share(&state, BULK).refused, 0.0, "refused");
    assert_near(share(&state, BULK).served[1], 0.5, "sent to region b");
    // Only region c still reports.
    for sent in (0..=2000).step_by(400) {
        report(&mut state, sent, 2, 4.0, &[(BULK, 4.0)]);
    }
    refresh(&mut state, 2000, 4);
    let planned = &state.plans()[&chat()];
    assert_eq!(planned.demand.capacity[1], WorkRate::ZERO);
    let offered = planned.demand.classes.iter().map(|it| it.offered[1]);
    assert!(offered.into_iter().all(|rate| rate == WorkRate::ZERO));
    // All regions of one side get the same fraction: 8 of 12.
    let own_side = share(&state, BULK);
    assert_near(own_side.refused, 1.0 / 3.0, "refused on this side");
    assert_near(own_side.served[1], 0.0, "sent to the other side");
    assert_eq!(
        state.standing(&chat(), class(&state, BULK)),
        Some(ClassStanding::Partial)
    );
}

struct RetryCase {
    name: &'static str,
    /// Milliseconds that callers have left, of requests that follow each other.
    left: &'static [u64],
    /// Number of requests that count as demand.
    counted: usize,
}

const RETRY_CASES: &[RetryCase] = &[
    RetryCase {
        name: "new requests",
        left: &[2000, 2000, 1990],
        counted: 3,
    },
    RetryCase {
        name: "a request and its two retries",
        left: &[2000, 1500, 1100],
        counted: 1,
    },
    RetryCase {
        name: "delay before arrival is no retry",
        left: &[2000, 1901],
        counted: 2,
    },
    RetryCase {
        name: "one caller that allows more time makes no retries of the others",
        left: &[1000, 2000, 1000],
        counted: 3,
    },
];

/// Guards against demand that grows with each refusal. Refused callers retry, and a plan that
/// counts them would refuse more.
#[test]
fn retries_are_no_demand() {
    const WORK_MS: u64 = 100;
    for case in RETRY_CASES {
        let mut state = state("ra");
        let class = class(&state, BULK);
        for left in case.left {
            state.record_offered(at(0), class, ms(*left), ms(WORK_MS));
        }
        let offered = state.ledger().offered(at(0), class, 0).per_second();
        let expected = case.counted as f64 * ms(WORK_MS).as_secs_f64();
        assert!(
            (offered - expected).abs() < 1e-9,
            "{}: {offered}",
            case.name
        );
        // The longest time of one class says nothing about another.
        let other = self::class(&state, BID);
        state.record_offered(at(0), other, ms(500), ms(WORK_MS));
        let offered = state.ledger().offered(at(0), other, 0).per_second();
        assert!((offered - 0.1).abs() < 1e-9, "{}: {offered}", case.name);
    }
}

/// Records that `servers` servers do `rate` seconds of estimated work a second each, and
/// refreshes the plan as a VM does.
fn work(state: &mut CapacityState, from: u64, to: u64, servers: usize, rate: f64) {
    for now in (from..to).step_by(usize::try_from(STEP_MS).unwrap()) {
        let done = Duration::from_secs_f64(rate * servers as f64 * STEP_MS as f64 / 1e3);
        state.record_done(at(now), &chat(), done);
        if now % 200 == 0 {
            refresh(state, now, servers);
        }
    }
}

/// Guards against a plan that refuses what servers can do: where prefixes are cached, they do
/// more than a second of estimated work in a second.
#[test]
fn observed_throughput_calibrates_the_capacity() {
    const SERVERS: usize = 10;
    let mut state = state("ra");
    refresh(&mut state, 0, SERVERS);
    assert_near(
        state.own_capacity(&chat()).per_second(),
        10.0,
        "at the start",
    );
    // Idle servers do less than they can.
    work(&mut state, 0, 4000, SERVERS, 0.3);
    assert_near(state.own_capacity(&chat()).per_second(), 10.0, "quiet");
    work(&mut state, 4000, 10_000, SERVERS, 1.6);
    assert_near(state.own_capacity(&chat()).per_second(), 16.0, "busy");
    // The measure lasts through a quiet time between two bursts, and does not stay for ever.
    work(&mut state, 10_000, 15_000, SERVERS, 0.3);
    let kept = state.own_capacity(&chat()).per_second();
    assert!((14.5..16.0).contains(&kept), "{kept} after 5 s");
    work(&mut state, 15_000, 190_000, SERVERS, 0.3);
    assert_near(
        state.own_capacity(&chat()).per_second(),
        10.0,
        "after 180 s",
    );
    // A service that is not planned is not measured.
    state.record_done(at(190_000), &"page".parse().unwrap(), ms(1000));
    assert_eq!(state.own_capacity(&"page".parse().unwrap()), WorkRate::ZERO);
}

/// Plan of a VM of region a, which keeps `kept` of 10 s/s and sends the rest to b and c.
fn spilling(kept: usize, to_b: f64) -> CapacityState {
    let mut state = state("ra");
    ask(&mut state, BULK, 10.0);
    report(&mut state, 0, 1, to_b, &[]);
    report(&mut state, 0, 2, 10.0 - kept as f64 - to_b, &[]);
    refresh(&mut state, 0, kept);
    state
}

/// Region that serves each of `count` evenly spaced points.
fn regions_of(state: &CapacityState, count: u32) -> Vec<Option<RegionName>> {
    let points = (0..count).map(|point| (f64::from(point) + 0.5) / f64::from(count));
    let class = class(state, BULK);
    points
        .map(|point| state.planned_region(&chat(), class, point).cloned())
        .collect()
}

struct SpillCase {
    name: &'static str,
    /// Servers of the own region and capacity of region b before and after a change.
    before: (usize, f64),
    after: (usize, f64),
    /// Share of points that has to move, and share that may move.
    least: f64,
    most: f64,
}

const SPILL_CASES: &[SpillCase] = &[
    SpillCase {
        name: "nothing changes",
        before: (6, 3.0),
        after: (6, 3.0),
        least: 0.0,
        most: 0.0,
    },
    SpillCase {
        name: "region a keeps more, and one region receives less",
        before: (6, 4.0),
        after: (7, 3.0),
        least: 0.1,
        most: 0.1,
    },
    SpillCase {
        name: "two other regions change",
        before: (6, 3.0),
        after: (6, 2.9),
        least: 0.01,
        most: 0.01,
    },
    SpillCase {
        // Regions that follow one another in the order of points move together, so that
        // at most one boundary for each other region passes a point.
        name: "region a keeps less, and the last region receives more",
        before: (7, 2.0),
        after: (6, 2.0),
        least: 0.1,
        most: 0.2,
    },
];

/// Guards against prefixes that change their region with each plan: they would be prefilled
/// again there.
#[test]
fn few_points_move_when_shares_change() {
    const POINTS: u32 = 10_000;
    for case in SPILL_CASES {
        let before = spilling(case.before.0, case.before.1);
        let after = spilling(case.after.0, case.after.1);
        let (old, new) = (regions_of(&before, POINTS), regions_of(&after, POINTS));
        assert_eq!(old, regions_of(&before, POINTS), "{}", case.name);
        let moved = old.iter().zip(&new).filter(|(old, new)| old != new).count();
        let moved = moved as f64 / f64::from(POINTS);
        assert!(
            (case.least - 0.002..=case.most + 0.002).contains(&moved),
            "{}: {moved} moved",
            case.name
        );
        // The points are divided as the plan divides the work.
        let expected = share(&after, BULK);
        let served: f64 = expected.served.iter().sum();
        for (index, region) in names(&REGIONS).into_iter().enumerate() {
            let is_there = |found: &&Option<RegionName>| {
                found.as_ref().map_or(index == 0, |found| *found == region)
            };
            let found = new.iter().filter(is_there).count() as f64 / f64::from(POINTS);
            let expected = expected.served[index] / served;
            assert!(
                (found - expected).abs() < 0.002,
                "{}: {region} {found} instead of {expected}",
                case.name
            );
        }
    }
}

/// Guards against VMs that choose different regions for a prefix although they know the same:
/// it would be prefilled in each.
#[test]
fn vms_with_the_same_ledger_choose_alike() {
    let vm = |is_asked_here: bool| {
        let mut state = state("ra");
        // One VM has all callers of the region, and the other one knows them from its sums.
        if is_asked_here {
            let class = class(&state, BULK);
            state.record_offered(at(0), class, ms(2000), Duration::from_secs(10));
        } else {
            ask(&mut state, BULK, 10.0);
        }
        let reports = [(1, 3.0), (2, 1.0)];
        for (region, capacity) in reports {
            report(&mut state, 0, region, capacity, &[(BID, 0.5)]);
        }
        refresh(&mut state, 0, 5);
        state
    };
    let (one, other) = (vm(true), vm(false));
    assert_eq!(share(&one, BULK), share(&other, BULK));
    assert!(share(&one, BULK).refused > 0.0);
    assert_eq!(regions_of(&one, 10_000), regions_of(&other, 10_000));
}

struct LossCase {
    name: &'static str,
    /// Servers that are left of ten.
    left: usize,
    /// Time after the loss.
    after_ms: u64,
}

const LOSS_CASES: &[LossCase] = &[
    LossCase {
        name: "a quarter is lost",
        left: 7,
        after_ms: 200,
    },
    LossCase {
        name: "most are lost",
        left: 2,
        after_ms: 2000,
    },
    LossCase {
        name: "all are lost and two return",
        left: 0,
        after_ms: 2000,
    },
];

/// Guards against a plan that gives out the capacity of servers that are lost: the work that
/// they did just before must not count as throughput of the remaining ones.
#[test]
fn capacity_follows_the_servers_that_are_left() {
    const SERVERS: usize = 10;
    for case in LOSS_CASES {
        let mut state = state("ra");
        work(&mut state, 0, 5000, SERVERS, 1.0);
        let lost_at = 5000;
        work(&mut state, lost_at, lost_at + case.after_ms, case.left, 1.0);
        let left = case.left.max(2);
        refresh(&mut state, lost_at + case.after_ms, left);
        let found = state.own_capacity(&chat()).per_second();
        assert!(
            found <= left as f64 * 1.1,
            "{}: {found} s/s of {left} servers that do 1 s/s each",
            case.name
        );
    }
}

/// Guards against demand that vanishes: a caller that states no time allows the timeout of the
/// route, and the new requests of all others, which allow less, are no retries.
#[test]
fn one_patient_caller_does_not_hide_the_demand_of_others() {
    let mut state = state("ra");
    let class = class(&state, BULK);
    state.record_offered(at(0), class, Duration::from_secs(10), ms(100));
    // Eight decay times of the meter: after five, it is still more than 1 % below a steady rate.
    for now in (10..8000).step_by(10) {
        state.record_offered(at(now), class, ms(2000), ms(10));
    }
    // A hundred requests a second of 10 ms each.
    let offered = state.ledger().offered(at(8000), class, 0).per_second();
    assert_near(offered, 1.0, "offered");
}

struct SilenceCase {
    name: &'static str,
    /// Servers that count as usable during the silence. A VM alone has no votes on them.
    usable: usize,
    /// Work that is asked for, in seconds a second and server.
    rate: f64,
}

const SILENCE_CASES: &[SilenceCase] = &[
    SilenceCase {
        name: "a VM alone",
        usable: 10,
        rate: 0.9,
    },
    SilenceCase {
        name: "several VMs",
        usable: 0,
        rate: 0.9,
    },
];

/// Guards against a plan that gives out more than servers can do, or less: the responses that
/// waited for the end of a silence begin together.
#[test]
fn a_silence_of_all_servers_leaves_the_capacity_as_it_was() {
    const SERVERS: usize = 10;
    const LENGTH_MS: u64 = 1500;
    for case in SILENCE_CASES {
        let mut state = state("ra");
        let from = 5000;
        work(&mut state, 0, from, SERVERS, case.rate);
        let to = from + LENGTH_MS;
        for now in (from..to).step_by(200) {
            refresh(&mut state, now, case.usable);
        }
        let waiting = case.rate * SERVERS as f64 * LENGTH_MS as f64 / 1e3;
        state.record_done(at(to), &chat(), Duration::from_secs_f64(waiting));
        state.record_silence(&chat(), at(to));
        let mut last = to;
        for after in [1000, 4000, 6000] {
            let now = to + after;
            work(&mut state, last, now, SERVERS, case.rate);
            last = now;
            let found = state.own_capacity(&chat()).per_second();
            let is_usual = (9.5..=11.0).contains(&found);
            assert!(is_usual, "{}: {found} s/s after {after} ms", case.name);
        }
    }
}
