//! Many VMs that choose servers on load data of the same age, in virtual time.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use onyxfall_fleet::{
    AttemptResult, DecisionSwitch, DecisionSwitches, FleetView, LocalOption, ServerRecord,
    WorkShare,
};
use onyxfall_types::ServerId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{at, needs, place, ready_server};

const SERVERS: usize = 2;
const SLOTS: u32 = 6;
/// Number of requests that a server accepts before it rejects others.
const MAX_REQUESTS: u32 = 30;
/// Processing time of one request in a slot.
const SERVICE_MS: u64 = 30;
/// Time to completion beyond which a request has waited for more than twice its own
/// time.
const SLOW_MS: u64 = 3 * SERVICE_MS;

fn view(vm: usize, vms: usize, age_ms: u64, off: &[DecisionSwitch]) -> FleetView {
    let mut view = FleetView::new(place(&format!("vm{vm}"), &[("c0", "r0")]));
    for server in 0..SERVERS {
        let record = ServerRecord {
            slots: SLOTS,
            ..ready_server(&format!("s{server}"))
        };
        view.put_server(at(0), record, None);
    }
    let others = (0..vms).filter(|other| *other != vm);
    view.set_region_vms(
        others
            .map(|vm| format!("vm{vm}").parse().unwrap())
            .collect(),
    );
    view.set_knowledge_age(Duration::from_millis(age_ms));
    let policy = DecisionSwitches::default().policy();
    view.set_switches(DecisionSwitches::new(policy, off.iter().copied()));
    view
}

/// Request at a server.
#[derive(Clone, Copy)]
struct Request {
    vm: usize,
    attempt: u64,
    sent: u64,
    /// Time of completion, set when the request starts to run.
    end: u64,
}

/// Simulated server.
#[derive(Clone, Default)]
struct Server {
    queue: VecDeque<Request>,
    running: Vec<Request>,
}

impl Server {
    fn requests(&self) -> u32 {
        u32::try_from(self.queue.len() + self.running.len()).unwrap()
    }

    fn requests_of(&self, vm: usize) -> u32 {
        let all = self.queue.iter().chain(&self.running);
        u32::try_from(all.filter(|request| request.vm == vm).count()).unwrap()
    }

    /// Advances to `now`: completes and starts requests, and returns the completed
    /// ones.
    fn step(&mut self, now: u64) -> Vec<Request> {
        let (ended, running) = self.running.iter().partition(|request| request.end <= now);
        self.running = running;
        while self.running.len() < SLOTS as usize {
            let Some(mut request) = self.queue.pop_front() else {
                break;
            };
            request.end = now + SERVICE_MS;
            self.running.push(request);
        }
        ended
    }
}

#[derive(Debug, Default)]
struct Outcome {
    arrivals: u32,
    rejected: u32,
    /// Requests that took longer than `SLOW_MS`, beyond the goal of a nearby caller.
    slow: u32,
}

/// Simulates `rate` requests per second for ten seconds from `vms` VMs, whose data on
/// each other's work is `age_ms` old and renewed at the same interval.
fn simulate(vms: usize, rate: f64, age_ms: u64, off: &[DecisionSwitch]) -> Outcome {
    let mut rng = StdRng::seed_from_u64(5);
    let mut views: Vec<FleetView> = (0..vms).map(|vm| view(vm, vms, age_ms, off)).collect();
    let ids: Vec<ServerId> = (0..SERVERS)
        .map(|server| views[0].find(&format!("s{server}")).unwrap())
        .collect();
    let mut servers = vec![Server::default(); SERVERS];
    let mut next = 0;
    let mut outcome = Outcome::default();
    for now in 0..10_000 {
        for (server, id) in servers.iter_mut().zip(&ids) {
            for request in server.step(now) {
                outcome.slow += u32::from(now - request.sent > SLOW_MS);
                let result = AttemptResult::Succeeded;
                views[request.vm].record_response(at(now), *id, request.attempt);
                views[request.vm].end_attempt(at(now), *id, request.attempt, result, None);
            }
        }
        if now % age_ms == 0 {
            for (vm, view) in views.iter_mut().enumerate() {
                for (server, id) in servers.iter().zip(&ids) {
                    let others = WorkShare {
                        requests: server.requests() - server.requests_of(vm),
                        ..WorkShare::default()
                    };
                    view.server_mut(*id).set_others(at(now), others);
                }
            }
        }
        if !rng.random_bool(rate / 1000.0) {
            continue;
        }
        let vm = rng.random_range(0..vms);
        let LocalOption::Free(choice) = views[vm].choose(at(now), &needs(), &[], &mut rng) else {
            outcome.rejected += 1;
            continue;
        };
        let server = ids.iter().position(|id| *id == choice.server).unwrap();
        outcome.arrivals += 1;
        if servers[server].requests() >= MAX_REQUESTS {
            outcome.rejected += 1;
            continue;
        }
        next += 1;
        views[vm].start_attempt(at(now), choice.server, next, &needs());
        servers[server].queue.push_back(Request {
            vm,
            attempt: next,
            sent: now,
            end: 0,
        });
    }
    outcome
}

struct HerdCase {
    name: &'static str,
    vms: usize,
    rate: f64,
    age_ms: u64,
    off: &'static [DecisionSwitch],
    /// Maximum numbers of slow and of rejected requests per thousand.
    slow: u32,
    rejected: u32,
}

/// 75 % and 85 % of the servers' capacity.
const NORMAL: f64 = 300.0;
const BUSY: f64 = 340.0;

#[test]
fn vms_with_the_same_load_data_do_not_all_choose_the_same_server() {
    let cases = [
        HerdCase {
            name: "few VMs, recent data",
            vms: 3,
            rate: NORMAL,
            age_ms: 30,
            off: &[],
            slow: 0,
            rejected: 0,
        },
        HerdCase {
            name: "few VMs, old data",
            vms: 3,
            rate: BUSY,
            age_ms: 250,
            off: &[],
            slow: 10,
            rejected: 0,
        },
        HerdCase {
            name: "many VMs",
            vms: 100,
            rate: NORMAL,
            age_ms: 150,
            off: &[],
            slow: 50,
            rejected: 0,
        },
        HerdCase {
            name: "many VMs, busy servers",
            vms: 100,
            rate: BUSY,
            age_ms: 150,
            off: &[],
            slow: 100,
            rejected: 3,
        },
        HerdCase {
            name: "many VMs that each choose the best server",
            vms: 100,
            rate: NORMAL,
            age_ms: 150,
            off: &[DecisionSwitch::LevelDraw],
            slow: 1000,
            rejected: 1000,
        },
    ];
    let mut slow_if_drawn = 0;
    for case in cases {
        let outcome = simulate(case.vms, case.rate, case.age_ms, case.off);
        let of_thousand = |count: u32| count * 1000 / outcome.arrivals.max(1);
        let (slow, rejected) = (of_thousand(outcome.slow), of_thousand(outcome.rejected));
        assert!(slow <= case.slow, "{}: {slow} slow", case.name);
        assert!(
            rejected <= case.rejected,
            "{}: {rejected} rejected",
            case.name
        );
        if case.name == "many VMs" {
            slow_if_drawn = slow;
        }
        if !case.off.is_empty() {
            assert!(
                slow > 3 * slow_if_drawn,
                "{}: {slow} slow, {slow_if_drawn} if drawn",
                case.name
            );
        }
    }
}
