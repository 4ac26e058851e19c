//! Backlog limits under load: many VMs in virtual time that share the work of one region's
//! model servers, with and without limits.
//!
//! The figures that are compared are those of callers. Limits are derived from the routes by
//! the product; the bounds are the requirements of `docs/design/contended-capacity.md`.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, BackendService, BacklogLimits, CallRequirements, CallerLimits, ConfigVersion,
    EngineLimits, FleetView, HomeRegions, LocalOption, PrefillTokens, PromptPart, PromptSize,
    RepeatRule, ResponseShape, RouteRule, RouteTable, RouteTarget, ServerRecord, TimePrediction,
    WorkShare,
};
use onyxfall_types::ServerId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{at, needs, place, ready_server};

const VMS: usize = 20;
const SERVERS: usize = 12;
/// Age of what VMs know of each other's work, and the interval at which it is renewed.
const AGE_MS: u64 = 150;
/// Prompt tokens that a server prefills in a millisecond.
const PREFILL_RATE: u64 = 57;
/// Time from the first to the last byte of a response.
const DECODE_MS: u64 = 150;
/// Requests that arrive before this time are not counted: VMs learn the costs of the servers.
const WARM_MS: u64 = 4000;
/// Time at which servers are lost.
const LOSS_MS: u64 = 5000;
const RUN_MS: u64 = 24_000;
/// Shares of the goal beyond which the gateway refuses a request of any kind.
const IDLE_SHARE: f64 = 0.1;
const OVERLOAD_SHARE: f64 = 1.0;
/// By how much a class may be served less often than a less important one.
const ORDER_TOLERANCE: f64 = 0.05;
/// A class starves if it is served under this fraction as often as all.
const STARVING: f64 = 0.25;

const ENGINE: EngineLimits = EngineLimits {
    slots: 64,
    memory_tokens: 500_000,
    token_bytes: 1,
    keeps_backups: false,
};

/// Kind of requests.
struct Kind {
    name: &'static str,
    priority: u8,
    goal_ms: u64,
    /// Tokens of a prompt, on average.
    tokens: u64,
    /// Value of a request that is served in time.
    price: f64,
    urgency: u8,
    /// Usual demand, as a fraction of what all servers can prefill.
    usual: f64,
}

/// The urgent and important kind, and the patient and cheap one.
const KINDS: [Kind; 2] = [
    Kind {
        name: "important",
        priority: 0,
        goal_ms: 1000,
        tokens: 6000,
        price: 10.0,
        urgency: 0,
        usual: 0.35,
    },
    Kind {
        name: "cheap",
        priority: 2,
        goal_ms: 2000,
        tokens: 2000,
        price: 0.79,
        urgency: 6,
        usual: 0.45,
    },
];

fn routes() -> RouteTable {
    let rule = |kind: &Kind| RouteRule {
        name: kind.name.parse().unwrap(),
        host: "svc.example".to_owned(),
        path_prefix: format!("/{}", kind.name),
        repeat: RepeatRule::Once,
        shape: ResponseShape::Whole,
        timeout: Duration::from_secs(10),
        goal: Duration::from_millis(kind.goal_ms),
        priority: kind.priority,
        targets: vec![RouteTarget {
            service: "svc".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 1,
        homes: HomeRegions::Any,
        is_public: true,
    };
    let service = BackendService {
        name: "svc".parse().unwrap(),
        max_connections: 64,
        cold_for: Duration::ZERO,
        health_path: String::new(),
        cold_rate: 0.0,
        engine: Some(ENGINE),
    };
    let limits = CallerLimits {
        max_head: 8192,
        max_body: 1 << 20,
        head_time: Duration::from_secs(30),
        idle: Duration::from_secs(30),
    };
    let rules = KINDS.iter().map(rule).collect();
    RouteTable::new(ConfigVersion(1), rules, vec![service], limits)
}

fn view(vm: usize) -> FleetView {
    let mut view = FleetView::new(place(&format!("vm{vm}"), &[("c0", "r0")]));
    for server in 0..SERVERS {
        let record = ServerRecord {
            slots: ENGINE.slots,
            ..ready_server(&format!("s{server}"))
        };
        view.put_server(at(0), record, None);
    }
    let others = (0..VMS).filter(|other| *other != vm);
    let others = others.map(|vm| format!("vm{vm}").parse().unwrap());
    view.set_region_vms(others.collect());
    view.set_knowledge_age(Duration::from_millis(AGE_MS));
    view
}

/// Request at a server.
#[derive(Clone, Copy)]
struct Request {
    vm: usize,
    attempt: u64,
    kind: usize,
    arrived: u64,
    tokens: u64,
    /// Tokens that have to be prefilled yet.
    left: u64,
    /// Time of the last byte, set when the prompt is prefilled.
    end: u64,
}

/// Simulated model server. It prefills one prompt at a time, the most urgent first.
#[derive(Clone, Default)]
struct Server {
    queue: VecDeque<Request>,
    prefilling: Option<Request>,
    decoding: Vec<Request>,
    is_lost: bool,
}

impl Server {
    fn requests(&self) -> impl Iterator<Item = &Request> {
        let waiting = self.queue.iter().chain(&self.prefilling);
        waiting.chain(&self.decoding)
    }

    /// Advances by one millisecond. Returns the requests whose prompt is prefilled now.
    fn prefill(&mut self, now: u64) -> Vec<Request> {
        let mut budget = PREFILL_RATE;
        let mut prefilled = Vec::new();
        while budget > 0 {
            if self.prefilling.is_none() {
                let urgency = |request: &Request| KINDS[request.kind].urgency;
                let next = (0..self.queue.len()).min_by_key(|index| urgency(&self.queue[*index]));
                self.prefilling = next.and_then(|index| self.queue.remove(index));
            }
            let Some(request) = &mut self.prefilling else {
                break;
            };
            let done = request.left.min(budget);
            request.left -= done;
            budget -= done;
            if request.left == 0 {
                request.end = now + DECODE_MS;
                prefilled.push(*request);
                self.prefilling = None;
            }
        }
        self.decoding.extend(&prefilled);
        prefilled
    }

    /// Removes the requests whose response has ended.
    fn complete(&mut self, now: u64) -> Vec<Request> {
        let (ended, decoding) = self.decoding.iter().partition(|it| it.end <= now);
        self.decoding = decoding;
        ended
    }

    /// Work of all VMs but `vm`.
    fn work_of_others(&self, vm: usize) -> WorkShare {
        let others = self.requests().filter(|request| request.vm != vm);
        others.fold(WorkShare::default(), |sum, request| {
            let pending = if request.end == 0 { request.tokens } else { 0 };
            sum.plus(WorkShare {
                requests: 1,
                prefill: PrefillTokens::of(KINDS[request.kind].urgency, pending),
                memory: request.tokens,
                ..WorkShare::default()
            })
        })
    }
}

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
struct KindOutcome {
    arrivals: u32,
    refused: u32,
    /// Requests whose response began.
    served: u32,
    /// Those of them whose response began within the goal.
    in_time: u32,
}

impl KindOutcome {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.arrivals.max(1))
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrivals.max(1))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    kinds: [KindOutcome; KINDS.len()],
    /// Requests refused by an idle service.
    refused_idle: u32,
}

impl Outcome {
    /// Value of what was served in time, as a share of that of all requests.
    fn worth(&self) -> f64 {
        let sum = |count: fn(&KindOutcome) -> u32| -> f64 {
            let kinds = self.kinds.iter().zip(&KINDS);
            kinds
                .map(|(it, kind)| f64::from(count(it)) * kind.price)
                .sum()
        };
        sum(|it| it.in_time) / sum(|it| it.arrivals)
    }

    fn served_of_all(&self) -> f64 {
        let sum = |count: fn(&KindOutcome) -> u32| self.kinds.iter().map(count).sum::<u32>();
        f64::from(sum(|it| it.served)) / f64::from(sum(|it| it.arrivals))
    }
}

/// Whether the gateway refuses a request with such a prediction.
fn is_refused(predicted: &TimePrediction, needs: &CallRequirements, now: u64) -> bool {
    let is_full = predicted.backlog > needs.goal.mul_f64(IDLE_SHARE)
        && predicted.loaded > needs.goal.mul_f64(OVERLOAD_SHARE);
    is_full
        || !needs.allows_backlog(predicted.backlog)
        || predicted.first > needs.deadline - at(now)
}

/// Whether nothing waits and under half of the slots are taken.
fn is_idle(servers: &[Server]) -> bool {
    let present = servers.iter().filter(|server| !server.is_lost);
    let slots: usize = present.clone().map(|_| ENGINE.slots as usize).sum();
    let taken: usize = present.map(|server| server.requests().count()).sum();
    servers.iter().all(|server| server.queue.is_empty()) && 2 * taken < slots
}

struct LoadCase {
    name: &'static str,
    /// Demand of each kind, as a multiple of the usual one.
    times: [f64; KINDS.len()],
    lost_servers: usize,
    /// Whether the servers cannot serve everything.
    is_overload: bool,
}

const LOAD_CASES: &[LoadCase] = &[
    LoadCase {
        name: "the cheap kind at 2.5 times its usual load",
        times: [1.0, 2.5],
        lost_servers: 0,
        is_overload: true,
    },
    LoadCase {
        name: "a quarter of the servers lost",
        times: [1.0, 1.0],
        lost_servers: SERVERS / 4,
        is_overload: true,
    },
    LoadCase {
        name: "quiet",
        times: [0.4, 0.4],
        lost_servers: 0,
        is_overload: false,
    },
];

/// Simulates a load; `limits` holds the backlog limit of each kind.
fn simulate(case: &LoadCase, limits: [Option<Duration>; KINDS.len()], seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut views: Vec<FleetView> = (0..VMS).map(view).collect();
    let ids: Vec<ServerId> = (0..SERVERS)
        .map(|server| views[0].find(&format!("s{server}")).unwrap())
        .collect();
    let mut servers = vec![Server::default(); SERVERS];
    let mut outcome = Outcome::default();
    let mut attempts = 0;
    for now in 0..RUN_MS {
        if now == LOSS_MS {
            for (number, server) in servers.iter_mut().enumerate().take(case.lost_servers) {
                *server = Server {
                    is_lost: true,
                    ..Server::default()
                };
                let name = format!("s{number}");
                for view in &mut views {
                    view.remove_server(at(now), &name);
                }
            }
        }
        for (server, id) in servers.iter_mut().zip(&ids) {
            for request in server.prefill(now) {
                let kind = &KINDS[request.kind];
                if request.arrived >= WARM_MS {
                    let counts = &mut outcome.kinds[request.kind];
                    counts.served += 1;
                    counts.in_time += u32::from(now - request.arrived <= kind.goal_ms);
                }
                views[request.vm].record_response(at(now), *id, request.attempt);
            }
            for request in server.complete(now) {
                let result = AttemptResult::Succeeded;
                views[request.vm].end_attempt(at(now), *id, request.attempt, result, None);
            }
        }
        if now.is_multiple_of(AGE_MS) {
            for (server, id) in servers.iter().zip(&ids).filter(|(it, _)| !it.is_lost) {
                for (vm, view) in views.iter_mut().enumerate() {
                    let others = server.work_of_others(vm);
                    view.server_mut(*id).set_others(at(now), others);
                }
            }
        }
        for (number, kind) in KINDS.iter().enumerate() {
            let capacity = SERVERS as f64 * PREFILL_RATE as f64;
            let rate = capacity * kind.usual * case.times[number] / kind.tokens as f64;
            // No requests arrive that could not end before the run does.
            if !rng.random_bool(rate) || now > RUN_MS - 3000 {
                continue;
            }
            let tokens = rng.random_range(kind.tokens / 2..=kind.tokens * 3 / 2);
            let needs = CallRequirements {
                engine: Some(ENGINE),
                prompt: PromptSize {
                    input: tokens,
                    output: 20,
                    ..PromptSize::default()
                },
                goal: Duration::from_millis(kind.goal_ms),
                urgency: kind.urgency,
                backlog_limit: limits[number],
                deadline: at(now + 2 * kind.goal_ms),
                ..needs()
            };
            let is_counted = u32::from(now >= WARM_MS);
            let counts = &mut outcome.kinds[number];
            counts.arrivals += is_counted;
            let vm = rng.random_range(0..VMS);
            let choice = match views[vm].choose(at(now), &needs, &[], &mut rng) {
                LocalOption::Free(choice) if !is_refused(&choice.predicted, &needs, now) => choice,
                _ => {
                    counts.refused += is_counted;
                    outcome.refused_idle += u32::from(is_idle(&servers));
                    continue;
                }
            };
            attempts += 1;
            views[vm].start_attempt(at(now), choice.server, attempts, &needs);
            let server = ids.iter().position(|id| *id == choice.server).unwrap();
            servers[server].queue.push_back(Request {
                vm,
                attempt: attempts,
                kind: number,
                arrived: now,
                tokens,
                left: tokens,
                end: 0,
            });
        }
    }
    outcome
}

/// Guards against a tolerant, cheap kind that fills servers beyond what an urgent, important one
/// can bear, and against limits that refuse where there is capacity.
#[test]
fn limits_keep_room_for_the_important_kind_and_refuse_nobody_in_quiet_times() {
    let limits = BacklogLimits::new(&routes());
    let limits = KINDS.map(|kind| limits.of(&"svc".parse().unwrap(), kind.priority));
    assert!(limits.iter().all(Option::is_some), "{limits:?}");
    for case in LOAD_CASES {
        for seed in [1, 2, 3] {
            let limited = simulate(case, limits, seed);
            let free = simulate(case, [None; KINDS.len()], seed);
            let found = format!(
                "{}, seed {seed}: worth {:.3}, without limits {:.3}\n{limited:#?}\nwithout limits {free:#?}",
                case.name,
                limited.worth(),
                free.worth()
            );
            println!("{found}");
            let [important, cheap] = &limited.kinds;
            assert!(
                important.in_time_share() >= cheap.in_time_share() - ORDER_TOLERANCE,
                "the important kind is in time less often: {found}"
            );
            assert!(
                important.served_share() >= cheap.served_share() - ORDER_TOLERANCE,
                "the important kind is served less often: {found}"
            );
            for (kind, counts) in KINDS.iter().zip(&limited.kinds) {
                assert!(
                    counts.served_share() >= STARVING * limited.served_of_all(),
                    "{} starves: {found}",
                    kind.name
                );
            }
            assert_eq!(limited.refused_idle, 0, "refused by idle servers: {found}");
            if case.is_overload {
                let without = free.kinds[0].in_time_share();
                assert!(
                    important.in_time_share() >= without,
                    "limits cost the important kind: {found}"
                );
                assert!(
                    limited.worth() >= free.worth(),
                    "limits cost worth: {found}"
                );
            } else {
                let refused: u32 = limited.kinds.iter().map(|it| it.refused).sum();
                assert_eq!(refused, 0, "refused in quiet times: {found}");
            }
        }
    }
}

struct PlaceCase {
    name: &'static str,
    /// Pending prompt tokens at the owner of the request's prefix and at each other server.
    owner: u64,
    others: u64,
    /// Tokens at one server that is not the owner.
    one: u64,
    /// Whether the request is placed at a server under its limit.
    is_placed: bool,
}

/// The prior cost of a thousand tokens is 20 ms, so a limit of 350 ms is 17,500 tokens.
const PLACE_CASES: &[PlaceCase] = &[
    PlaceCase {
        name: "all are idle",
        owner: 0,
        others: 0,
        one: 0,
        is_placed: true,
    },
    PlaceCase {
        name: "the owner is over the limit, and the others are not",
        owner: 20_000,
        others: 12_000,
        one: 12_000,
        is_placed: true,
    },
    PlaceCase {
        name: "the owner alone is under the limit",
        owner: 12_000,
        others: 30_000,
        one: 30_000,
        is_placed: true,
    },
    PlaceCase {
        name: "one server that does not have the prefix is under the limit",
        owner: 18_000,
        others: 20_000,
        one: 16_000,
        is_placed: true,
    },
    PlaceCase {
        name: "all are over the limit",
        owner: 20_000,
        others: 20_000,
        one: 20_000,
        is_placed: false,
    },
];

/// Guards against a request that is refused at the server that has its prefix although another
/// one is under its limit.
#[test]
fn a_request_is_placed_at_a_server_under_its_limit_if_there_is_one() {
    let limit = Duration::from_millis(350);
    let parts = vec![
        PromptPart {
            id: 1,
            tokens: 8000,
        },
        PromptPart { id: 2, tokens: 500 },
    ];
    let needs = CallRequirements {
        engine: Some(ENGINE),
        prompt: PromptSize {
            parts,
            input: 8500,
            output: 20,
            ..PromptSize::default()
        },
        goal: Duration::from_secs(2),
        urgency: 6,
        backlog_limit: Some(limit),
        ..needs()
    };
    for case in PLACE_CASES {
        for seed in 0..20 {
            let (mut view, mut rng) = (view(0), StdRng::seed_from_u64(seed));
            let LocalOption::Free(owner) = view.choose(at(0), &needs, &[], &mut rng) else {
                panic!("{}: no owner", case.name);
            };
            let first_ids = ["s0", "s1"].map(|name| view.find(name).unwrap());
            let one = first_ids.into_iter().find(|id| *id != owner.server);
            let one = one.unwrap();
            for server in 0..SERVERS {
                let id = view.find(&format!("s{server}")).unwrap();
                let tokens = match id {
                    id if id == owner.server => case.owner,
                    id if id == one => case.one,
                    _ => case.others,
                };
                let work = WorkShare {
                    requests: 3,
                    prefill: PrefillTokens::of(0, tokens),
                    memory: tokens,
                    ..WorkShare::default()
                };
                view.server_mut(id).set_others(at(10), work);
            }
            let LocalOption::Free(choice) = view.choose(at(20), &needs, &[], &mut rng) else {
                panic!("{}: no server", case.name);
            };
            let backlog = choice.predicted.backlog;
            assert_eq!(
                needs.allows_backlog(backlog),
                case.is_placed,
                "{}, seed {seed}: {backlog:?} with a limit of {limit:?}",
                case.name
            );
        }
    }
}
